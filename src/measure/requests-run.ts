/**
One measured run: a site, a condition, a policy and a seed, on manual time.
*/
import {settingsSchema} from '../core/settings-schema.ts';
import {Admission, type AdmissionLimits} from '../requests/admission.ts';
import {HedgePolicy} from '../requests/hedge.ts';
import {ConcurrencyLimitRegistry} from '../requests/limit.ts';
import {type UpstreamAnnouncement} from '../types/announcements.ts';
import {RequestClass} from '../types/requests.ts';
import {ManualClock} from '../utils/manual-clock.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {type Condition} from './requests-conditions.ts';
import {MeasuredEntry} from './requests-entry.ts';
import {SimulatedHosts} from './requests-hosts.ts';
import {type Policy} from './requests-policies.ts';
import {type Recorder} from './requests-recorder.ts';
import {
	classLoads, createUpstreams, drawRunMs, getCapacityPerS, getSlotShare, type Site,
} from './requests-sites.ts';

/** Options of one run. */
export type RunOptions = {
	site: Site;
	condition: Condition;
	policy: Policy;
	seed: number;
	seconds: number;
	/** Records how requests end; several runs may share one. */
	recorder: Recorder;
};

/** Result of one run. */
export type RunResult = {
	/** Digest of every choice in order. */
	choiceDigest: number;
	/** Most requests that any host had at once. */
	maxRunning: number;
};

const warmUpMs = 2000;
/** Lost upstreams leave the membership after this time. */
const leaseMs = 3000;
/** Time for accepted requests to end. */
const drainMs = 90_000;
/** Streams of random numbers of one seed. */
const streams = {
	offer: 1, hosts: 2, choice: 10, admission: 20,
};
const {queueLimit, longShare, waitShare} = settingsSchema.admission;
/** The product's defaults. */
const admissionLimits: AdmissionLimits = {queueLimit: queueLimit.defaultValue, longShare: longShare.defaultValue, waitShare: waitShare.defaultValue};
const callerCount = 20;

/** Simulates one run. */
export const runRequests = (options: RunOptions): RunResult => {
	const {site, condition, seed, seconds} = options;
	// The time starts at 0, so that fractions of a millisecond keep their precision.
	const clock = new ManualClock(0);
	const endMs = warmUpMs + (seconds * 1000);
	const hosts = new SimulatedHosts(site, condition, createStream(seed, streams.hosts), endMs);
	const upstreams = createUpstreams(site);
	let routable: readonly UpstreamAnnouncement[] = upstreams;
	const run: RunState = {
		...options, clock, hosts, endMs, choiceDigest: 0, maxRunning: 0, getRoutable: () => routable,
		indexes: new Map(upstreams.map(({upstreamId}, index) => [upstreamId, index])),
	};
	const entries = Array.from({length: site.entryCount}, (_, index) => createEntry(run, index));
	if (condition.isDomainLost) {
		clock.setTimer(() => {
			routable = upstreams.filter((_, index) => !hosts.isLost(index, clock.monotonicMs()));
			for (const entry of entries) {
				entry.wake();
			}
		}, hosts.faultAtMs + leaseMs);
	}

	offer(run, entries);
	clock.advanceSync(endMs + drainMs);
	return {choiceDigest: run.choiceDigest, maxRunning: run.maxRunning};
};

type RunState = RunOptions & RunResult & {
	clock: ManualClock;
	hosts: SimulatedHosts;
	endMs: number;
	getRoutable: () => readonly UpstreamAnnouncement[];
	indexes: ReadonlyMap<string, number>;
};

const createStream = (seed: number, stream: number) => createRandom((seed * 8191) + (stream * 131));

const createEntry = (run: RunState, index: number): MeasuredEntry => {
	const {site, condition, policy, seed, clock, hosts, recorder, getRoutable} = run;
	const {measurementDelayMs} = condition;
	const chooser = policy.createChooser({
		clock,
		random: createStream(seed, streams.choice + index),
		failureDomain: site.failureDomains[index % site.failureDomains.length]!,
		deliverResult: measurementDelayMs === undefined
			? undefined
			: record => {
				clock.setTimer(record, measurementDelayMs);
			},
	}, {site, condition, getRoutable});
	return new MeasuredEntry({
		site,
		index,
		clock,
		hosts,
		recorder,
		endMs: run.endMs,
		chooser: {
			...bindChooser(chooser),
			recordStart(upstreamId, requestClass) {
				const upstreamIndex = run.indexes.get(upstreamId)!;
				run.choiceDigest = ((run.choiceDigest * 31) + upstreamIndex + 1) % 2_147_483_647;
				run.maxRunning = Math.max(run.maxRunning, hosts.getRunning(upstreamIndex) + 1);
				chooser.recordStart(upstreamId, requestClass);
			},
		},
		createAdmission: getFreeSlots => new Admission({
			clock, random: createStream(seed, streams.admission + index), limits: admissionLimits, getFreeSlots,
		}),
		getRoutable,
		getSlotShare: upstreamIndex => getSlotShare(site, upstreamIndex, index),
		attemptTimeoutMs: policy.attemptTimeoutMs,
		limits: policy.isLimiting ? new ConcurrencyLimitRegistry() : undefined,
		hedges: policy.isHedging ? new HedgePolicy() : undefined,
	});
};

const bindChooser = (chooser: ReturnType<Policy['createChooser']>) => ({
	choose: chooser.choose.bind(chooser), recordStart: chooser.recordStart.bind(chooser), recordEnd: chooser.recordEnd.bind(chooser),
});

/** Offers requests until the end, as a Poisson process that does not depend on the policy. */
const offer = (run: RunState, entries: MeasuredEntry[]): void => {
	const {site, condition, seed, clock, recorder, endMs} = run;
	const random = createStream(seed, streams.offer);
	const meanGapMs = 1000 / (condition.load * getCapacityPerS(site));
	const next = () => {
		const nowMs = clock.monotonicMs();
		const requestClass = random.next() < classLoads.check.share ? RequestClass.Check : RequestClass.Long;
		const isCounted = nowMs >= warmUpMs;
		recorder.arrived[requestClass] += isCounted ? 1 : 0;
		const sentAtMs = nowMs - site.clientMs;
		entries[random.below(entries.length)]!.submit({
			requestClass,
			callerId: `caller-${random.below(callerCount)}`,
			idleMs: drawRunMs(classLoads[requestClass], random),
			sentAtMs,
			deadlineAtMs: sentAtMs + classLoads[requestClass].deadlineMs,
			isCounted,
		});
		const gapMs = -Math.log(1 - random.next()) * meanGapMs;
		if (nowMs + gapMs < endMs) {
			clock.setTimer(next, gapMs);
		}
	};

	clock.setTimer(next, 0);
};
