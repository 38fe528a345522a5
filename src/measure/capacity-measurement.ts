/**
Measures the slopes and computes the capacity table from them.
*/
import {createSettings} from '../core/settings.ts';
import {measureAnnouncements} from './capacity-announcements.ts';
import {measureClaims} from './capacity-claims.ts';
import {measureConfig} from './capacity-config.ts';
import {measureEntries} from './capacity-entries.ts';
import {measureJobScheduling} from './capacity-jobs.ts';
import {getCapacityLines, type CapacityLine, type CapacitySettings} from './capacity-model.ts';
import {type MeasureOptions, type MeasureReport, type MeasureRow} from './measure-types.ts';
import {type Slope} from './slope.ts';

/** Slopes and the lines computed from them. */
export type Capacity = {
	slopes: Slope[];
	lines: CapacityLine[];
};

const steps = 5;

/** Measures everything once. */
export const measureCapacity = async ({seed, onProgress}: Pick<MeasureOptions, 'seed' | 'onProgress'>): Promise<Capacity> => {
	onProgress(0, steps, 'configuration');
	const config = await measureConfig();
	onProgress(1, steps, 'announcements');
	const announcements = await measureAnnouncements();
	onProgress(2, steps, 'claims');
	const claims = await measureClaims(seed);
	onProgress(3, steps, 'jobs');
	const jobs = await measureJobScheduling(seed);
	onProgress(4, steps, 'entries');
	const entries = await measureEntries(seed);
	const [configUs, sectionState, snapshotBytes, changeBytes] = config as [Slope, Slope, Slope, Slope];
	const [announcementUs, announcementBytes] = announcements as [Slope, Slope];
	const [, claimUs, claimBytes, claimState] = claims as [Slope, Slope, Slope, Slope];
	const [, startUs, taskState, restUs, renewCalls] = jobs as [Slope, Slope, Slope, Slope, Slope];
	const [, peerBytes, , hostState, peerCalls] = entries as [Slope, Slope, Slope, Slope, Slope];
	const lines = getCapacityLines({
		announcementUs,
		announcementBytes,
		hostState,
		peerBytes,
		peerCalls,
		configUs,
		sectionState,
		snapshotBytes,
		changeBytes,
		claimUs,
		claimBytes,
		claimState,
		startUs,
		taskState,
		restUs,
		renewCalls,
	}, getCapacitySettings());
	return {slopes: [...config, ...announcements, ...claims, ...jobs, ...entries], lines};
};

/** Measures the capacity and returns it as a report. */
export const reportCapacity = async (options: MeasureOptions): Promise<MeasureReport> => {
	const {slopes, lines} = await measureCapacity(options);
	const rows: MeasureRow[] = lines.map(({role, what, value, unit, budget, mechanism}) => ({
		labels: {role, what: `${what}, ${unit}`, mechanism}, figures: {value, ...(budget !== undefined && {budget})},
	}));
	const notes = slopes.map(({name, per, perUnit, base, error}) =>
		`Slope: ${name}: ${perUnit.toPrecision(4)} a ${per}, base ${base.toPrecision(4)}, off by ${(100 * error).toFixed(0)}% at most.`);
	return {
		matter: 'capacity', seed: options.seed, seconds: options.seconds, rows, notes,
	};
};

const getCapacitySettings = (): CapacitySettings => {
	const {membership, claims, jobs, log, ownership, peers} = createSettings();
	return {
		announceEveryMs: membership.announceEveryMs,
		appendsPerSecond: log.appendsPerSecond,
		claimAppendEveryMs: claims.appendEveryMs,
		jobGatherMs: jobs.gatherMs,
		renewEveryMs: jobs.renewEveryMs,
		ownershipRenewEveryMs: ownership.renewEveryMs,
		presenceEveryMs: peers.presenceEveryMs,
		announcementsPerSecond: membership.announcementsPerSecond,
		maxQueuedEnds: jobs.maxQueued,
		maxDecisions: jobs.maxDecisions,
		roundMs: jobs.roundMs,
	};
};
