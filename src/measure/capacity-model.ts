/**
Computes what each role needs at the planned size from measured slopes.
*/
import {getAppendIntervalMs} from '../core/append-interval.ts';
import {
	assumed, budget, configChangesPerSecond, jobsPerSecond, scale,
} from './capacity-scale.ts';
import {getAt, type Slope} from './slope.ts';

/** One line of the capacity table. */
export type CapacityLine = {
	role: string;
	what: string;
	value: number;
	unit: string;
	/** Undefined if there is no budget. */
	budget?: number;
	/** The part of the program that causes or bounds the value. */
	mechanism: string;
};

/** Settings that the lines depend on. */
export type CapacitySettings = {
	announceEveryMs: number;
	appendsPerSecond: number;
	claimAppendEveryMs: number;
	jobGatherMs: number;
	renewEveryMs: number;
	ownershipRenewEveryMs: number;
	presenceEveryMs: number;
	announcementsPerSecond: number;
	maxQueuedEnds: number;
	maxDecisions: number;
	roundMs: number;
};

/** Slopes by name. */
export type Slopes = Record<
	'announcementUs' | 'announcementBytes' | 'hostState' | 'peerBytes' | 'peerCalls' | 'configUs' | 'sectionState' | 'snapshotBytes'
	| 'changeBytes' | 'claimUs' | 'claimBytes' | 'claimState' | 'startUs' | 'taskState' | 'restUs' | 'renewCalls',
	Slope
>;

const megabyte = 1024 * 1024;
const usPerSecond = 1_000_000;
/** Size of one attempt's entry in a message that renews leases. */
const attemptBytes = 90;

const entryCount = scale.failureDomains * assumed.entriesPerDomain;
const entriesPerRegion = entryCount / scale.regions;
const hostCount = scale.workers + scale.latencyCriticalTasks;
const hostsPerRegion = hostCount / scale.regions;
const taskCount = scale.latencyCriticalTasks + scale.batchTasks;

/** Computes all lines. */
export const getCapacityLines = (slopes: Slopes, settings: CapacitySettings): CapacityLine[] => [
	...getEntryLines(slopes, settings),
	...getHostLines(slopes, settings),
	...getWorkerLines(settings),
	...getLogLines(slopes, settings),
	...getBurstLines(slopes, settings),
];

const getEntryLines = (slopes: Slopes, settings: CapacitySettings): CapacityLine[] => {
	const role = `entry (${entryCount}, ${entriesPerRegion} a region)`;
	const announcements = hostCount / entryCount * 1000 / settings.announceEveryMs;
	const tasks = taskCount / entryCount;
	const starts = scale.startsPerSecond / entryCount;
	const touchedWorkers = Math.min(scale.workers / scale.regions, tasks) * 1000 / settings.renewEveryMs;
	return [
		{
			role,
			what: 'hosts known, all regions',
			value: slopes.hostState.perUnit * hostCount / megabyte,
			unit: 'MB',
			mechanism: 'membership: announcements by host',
		},
		{
			role,
			what: 'hosts known, own region',
			value: slopes.hostState.perUnit * hostsPerRegion / megabyte,
			unit: 'MB',
			mechanism: 'membership, if sets are kept by region',
		},
		{
			role,
			what: 'announcements taken',
			value: announcements,
			unit: 'a second',
			mechanism: 'control server, replies ask for a later next one when over budget',
		},
		{
			role,
			what: 'announcements taken',
			value: announcements * slopes.announcementUs.perUnit / usPerSecond,
			unit: 'cores',
			mechanism: 'HTTP and JSON; both ends were measured together',
		},
		{
			role,
			what: 'calls to peers of the region',
			value: getAt(slopes.peerCalls, entriesPerRegion),
			unit: 'a second',
			mechanism: 'one task for each peer: heartbeat, relay, slots, configuration',
		},
		{
			role,
			what: 'bytes with peers of the region',
			value: slopes.peerBytes.perUnit * hostsPerRegion / 1024,
			unit: 'KB a second',
			mechanism: 'slot shares asked for and renewed, for each upstream known',
		},
		{
			role,
			what: 'configuration',
			value: slopes.sectionState.perUnit * assumed.sections / megabyte,
			unit: 'MB',
			mechanism: 'fold of the configuration stream',
		},
		{
			role,
			what: 'configuration',
			value: configChangesPerSecond * getAt(slopes.configUs, assumed.sections) / usPerSecond,
			unit: 'cores',
			mechanism: 'fold: judges only what changes',
		},
		{
			role,
			what: 'claims known for an hour',
			value: slopes.claimState.perUnit * assumed.claimsPerSecond * 3600 / scale.regions / megabyte,
			unit: 'MB',
			mechanism: 'claim fold, by region; bounded by claims.maxKnown',
		},
		{
			role,
			what: 'claims',
			value: assumed.claimsPerSecond / scale.regions * getAt(slopes.claimUs, 1000) / usPerSecond,
			unit: 'cores',
			mechanism: 'claim book: every entry folds the claims of its region',
		},
		{
			role,
			what: 'running tasks owned',
			value: slopes.taskState.perUnit > 0 ? slopes.taskState.perUnit * tasks / megabyte : getMean(slopes.taskState) * tasks / megabyte,
			unit: 'MB',
			mechanism: 'shard owner and placement engine',
		},
		{
			role,
			what: 'task starts at the peak',
			value: starts,
			unit: 'a second',
			mechanism: 'shards, each with one owner',
		},
		{
			role,
			what: 'task starts at the peak',
			value: starts * getMean(slopes.startUs) / usPerSecond,
			unit: 'cores',
			mechanism: 'placement, order to the worker; the stand-in worker is included',
		},
		{
			role,
			what: 'keeping tasks running',
			value: getAt(slopes.restUs, tasks) / usPerSecond,
			unit: 'cores',
			mechanism: 'lease keeper: one message for each worker and period',
		},
		{
			role,
			what: 'calls to workers',
			value: touchedWorkers * slopes.renewCalls.perUnit,
			unit: 'a second',
			mechanism: 'lease keeper, for each worker with tasks of this entry',
		},
	];
};

const getHostLines = (slopes: Slopes, settings: CapacitySettings): CapacityLine[] => {
	const role = 'guard or announcing host';
	const announcements = 1000 / settings.announceEveryMs;
	const bytes = (slopes.announcementBytes.base + assumed.announcementOverheadBytes) * announcements;
	return [
		{
			role,
			what: 'announcements',
			value: bytes / 1024,
			unit: 'KB a second',
			budget: budget.bytesPerSecond / 1024,
			mechanism: 'announcer',
		},
		{
			role,
			what: 'announcements',
			value: 100 * announcements * slopes.announcementUs.perUnit / usPerSecond,
			unit: '% of a core',
			budget: 100 * budget.cpuShare,
			mechanism: 'announcer; both ends were measured together',
		},
	];
};

const getWorkerLines = ({renewEveryMs, announceEveryMs}: CapacitySettings): CapacityLine[] => {
	const role = 'worker';
	const tasks = taskCount / scale.workers;
	// Tasks of one worker belong to shards of all entries of its region.
	const renewers = Math.min(tasks, entriesPerRegion);
	const bytes = ((tasks * attemptBytes) + (renewers * assumed.announcementOverheadBytes)) * 1000 / renewEveryMs;
	return [
		{
			role,
			what: 'messages that renew leases',
			value: renewers * 1000 / renewEveryMs,
			unit: 'a second',
			mechanism: 'one message for each entry that has tasks there',
		},
		{
			role,
			what: 'control traffic',
			value: (bytes + (assumed.announcementOverheadBytes * 2 * 1000 / announceEveryMs)) / 1024,
			unit: 'KB a second',
			budget: budget.bytesPerSecond / 1024,
			mechanism: 'renewals and announcements',
		},
	];
};

const getLogLines = (slopes: Slopes, settings: CapacitySettings): CapacityLine[] => {
	const role = 'platform log';
	const claimAppendIntervalMs = getAppendIntervalMs(entryCount, settings.appendsPerSecond, settings.claimAppendEveryMs);
	const jobAppendIntervalMs = getAppendIntervalMs(entryCount, settings.appendsPerSecond, settings.jobGatherMs);
	const claimAppends = entryCount * Math.min(1000 / claimAppendIntervalMs, 2 * assumed.claimsPerSecond / entryCount);
	const jobEntries = jobsPerSecond * (1 + assumed.tasksPerJob);
	const jobAppends = entryCount * Math.min(1000 / jobAppendIntervalMs, jobEntries / entryCount);
	const ownership = entryCount * 1000 / settings.ownershipRenewEveryMs;
	const presence = entryCount * 1000 / settings.presenceEveryMs;
	const appendWaitLine: CapacityLine = {
		role, what: 'wait that the pace adds to a claim, mean', value: claimAppendIntervalMs / 2, unit: 'ms', mechanism: 'appends shared among all entries',
	};
	const lines: Array<[string, number, string]> = [
		['appends of claims', claimAppends, 'claim writer: one record for all that gathered'],
		['appends of jobs', jobAppends, 'job writer: one record for all that gathered; none for a start'],
		['appends of ownership', ownership, 'one renewal of an entry for all its shards'],
		['appends of presence', presence, 'one record of an entry'],
		['appends of configuration', configChangesPerSecond, 'one record of a change'],
	];
	const total = lines.reduce((sum, [, value]) => sum + value, 0);
	return [
		...lines.map(([what, value, mechanism]) => ({
			role, what, value, unit: 'a second', mechanism,
		})),
		appendWaitLine,
		{
			role,
			what: 'appends, all',
			value: total,
			unit: 'a second',
			budget: scale.logAppendsPerSecond,
			mechanism: 'sum',
		},
		{
			role,
			what: 'bytes of claims and configuration',
			value: ((assumed.claimsPerSecond * getAt(slopes.claimBytes, 1000)) + (configChangesPerSecond * slopes.changeBytes.base)) / 1024,
			unit: 'KB a second',
			mechanism: 'records',
		},
		{
			role,
			what: 'one snapshot of the configuration',
			value: getAt(slopes.snapshotBytes, assumed.sections) / megabyte,
			unit: 'MB',
			mechanism: 'one record',
		},
	];
};

const getBurstLines = (slopes: Slopes, settings: CapacitySettings): CapacityLine[] => {
	const domainTasks = taskCount / scale.failureDomains;
	const decisionsPerSecond = settings.maxDecisions * 1000 / settings.roundMs;
	const regionEntries = entriesPerRegion;
	const domainHosts = hostCount / scale.failureDomains;
	const ends = scale.startsPerSecond / scale.regions * 3600 / regionEntries;
	return [
		{
			role: 'loss of a failure domain',
			what: 'tasks to place again',
			value: domainTasks,
			unit: 'tasks',
			mechanism: 'shard owners of the region',
		},
		{
			role: 'loss of a failure domain',
			what: 'time to decide, at the set bound of decisions',
			value: domainTasks / (regionEntries * decisionsPerSecond),
			unit: 's',
			mechanism: 'placement rounds',
		},
		{
			role: 'loss of a failure domain',
			what: 'processor time to start them',
			value: domainTasks / regionEntries * getMean(slopes.startUs) / usPerSecond,
			unit: 's of each entry',
			mechanism: 'placement and orders',
		},
		{
			role: 'loss of a failure domain',
			what: 'hosts that announce to other entries',
			value: domainHosts / (regionEntries - assumed.entriesPerDomain) / settings.announcementsPerSecond,
			unit: 's at the budget',
			mechanism: 'announcement budget, jitter',
		},
		{
			role: 'region cut from the log for an hour',
			what: 'ends held by an entry at the peak rate',
			value: ends,
			unit: 'ends',
			budget: settings.maxQueuedEnds,
			mechanism: 'job writer, bounded by jobs.maxQueued',
		},
	];
};

const getMean = ({samples}: Slope): number => samples.reduce((sum, {value}) => sum + value, 0) / samples.length;
