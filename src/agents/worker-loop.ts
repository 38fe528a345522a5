/**
The loop that renews the leases of this host's worker as far as they are proven, lets the worker drop the ends that are
stored in the log, and lists its runs.
*/
import {ErrorCode, getMessage, isError} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {OrderRefusal, type WorkerClient, type WorkerListing} from '../types/fleet.ts';
import {type Wakeup} from '../utils/wakeup.ts';
import {estimateCrashedAtMs, type AgentState, type WorkerState} from './agent-state.ts';
import {type AgentLogEvent} from './order-handler.ts';

/** Options of the loop. */
export type WorkerLoopOptions = {
	state: AgentState;
	client: WorkerClient;
	clock: Clock;
	wakeup: Wakeup;
	getFence: () => number;
	onFenceRefused: () => void;
	maxLeaseMs: number;
	/** Raises the fencing token, so that a restarted worker refuses calls that were meant for its predecessor. */
	raiseFence: () => void;
	/** The leases of an agent that was declared lost have expired: it may register again. */
	onLeasesExpired: () => void;
	note: AgentLogEvent;
};

/** The worker answers a listing after this if no run ends before; measurements of latency-critical tasks are at most this old. */
const listWaitMs = 500;
/** Interval at which measurements are sent to an owner: they cover the last half second, so sending them more often adds little. */
const measurementIntervalMs = 400;
/** Pause between listings while some ends are not stored in the log yet: the worker does not wait before it lists these again. */
const unstoredPauseMs = 100;
const retryMs = 100;
const idleMs = 250;
/** Added to the computed end of a lease before its tasks count as killed: the worker needs some ms for the kill. */
const expirySlackMs = 300;
/** A worker that refuses renewals counts as one without an answer after this; it may refuse single calls. */
const maxRefusalMs = 1000;
/** Runs that a log line lists. */
const maxLoggedRuns = 3;

/** Runs until the signal aborts. */
export const runWorkerLoop = async (options: WorkerLoopOptions, signal: AbortSignal): Promise<void> => {
	const {state, clock, wakeup} = options;
	while (!signal.aborted) {
		const {worker} = state;
		if (!worker) {
			await wakeup.wait(clock, idleMs, signal);
			continue;
		}

		const isReached = await renew(options, worker);
		if (!isReached) {
			await clock.sleep(retryMs, signal);
		} else if (worker.runs.ended.some(row => row.number > worker.forgetUpTo)) {
			await wakeup.wait(clock, unstoredPauseMs, signal);
		}
	}
};

const renew = async (options: WorkerLoopOptions, worker: WorkerState): Promise<boolean> => {
	const {state, client, clock, getFence, onFenceRefused, maxLeaseMs, note} = options;
	const {lease, report: {workerId}} = worker;
	const sentAtMs = clock.monotonicMs();
	const mayBeReplaced = worker.replacedBy !== undefined || !worker.isAnswering;
	const mayRenew = worker.replacedBy === undefined && !state.isLeaving && !state.mustLetLeasesExpire && worker.allLeasesExpiredAtMs === undefined;
	const leaseUntilMs = mayRenew && lease.leaseUntilMs > 0 ? lease.getRenewalUntilMs({isAnswering: worker.isAnswering, nowMs: sentAtMs, maxLeaseMs}) : undefined;
	if (leaseUntilMs !== undefined) {
		lease.recordSent(leaseUntilMs);
	}

	try {
		const reply = await client.renew(workerId, {
			// The numbers of ends start anew with each incarnation: a restarted worker would drop ends that were never read.
			fence: getFence(), forgetUpTo: mayBeReplaced ? 0 : worker.forgetUpTo, leaseUntilMs, waitMs: worker.runs.isListed && lease.leaseUntilMs > 0 ? listWaitMs : 0,
		});
		if (state.worker !== worker) {
			// The incarnation has left since the call was sent.
			return true;
		}

		if ('running' in reply) {
			if (reply.workerId !== undefined && reply.workerId !== workerId) {
				return handleRestart(options, worker, reply, sentAtMs);
			}

			applyListing(options, worker, reply, sentAtMs);
			return true;
		}

		if (reply.refusal === OrderRefusal.OtherWorkerIncarnation) {
			recordReplacement(options, worker);
			removeWorker(options, worker);
		} else if (reply.refusal === OrderRefusal.StaleFence) {
			onFenceRefused();
		} else {
			note('renewal refused', {workerId, refusal: reply.refusal});
			if (clock.monotonicMs() - (lease.sampleAtMs ?? worker.knownSinceMs) > maxRefusalMs) {
				recordNoAnswer(options, worker);
			}
		}
	} catch (error) {
		if (worker.hasLeft && isError(error, ErrorCode.PeerUnreached)) {
			note('worker ended', {workerId});
			removeWorker(options, worker);
			return true;
		}

		recordNoAnswer(options, worker);
		note('worker unanswered', {
			workerId, error: getMessage(error), leaseUntilMs, sentUntilMs: lease.sentUntilMs,
		});
	}

	checkLeaseExpiry(options, worker);
	return false;
};

/**
Handles the listing of an incarnation that has the id of the worker. It executes calls that were meant for its predecessor, and
such calls may still be on their way: a listing is complete only if it answers a call with a higher fencing token, which makes the
worker refuse them. Until then the predecessor's runs do not count as gone, or they would start elsewhere while they run here.
Returns whether the restarted worker has become current.
*/
const handleRestart = (options: WorkerLoopOptions, worker: WorkerState, listing: WorkerListing, sentAtMs: number): boolean => {
	const {
		state, clock, maxLeaseMs, raiseFence, note,
	} = options;
	const workerId = listing.workerId!;
	const isFenced = worker.replacedBy === workerId;
	if (!isFenced) {
		worker.replacedBy = workerId;
		raiseFence();
		recordNoAnswer(options, worker);
		// It may have taken the longest lease from a call that was meant for its predecessor.
		worker.lease.recordSent((worker.lease.estimateClockMs(clock.monotonicMs()) ?? 0) + maxLeaseMs);
		note('worker restarted', {workerId, before: worker.report.workerId});
	}

	// Its capacity is known once it has announced itself.
	if (!isFenced || !state.isSuccessor(workerId)) {
		return false;
	}

	worker.runs.removeListed(listing);
	recordReplacement(options, worker);
	state.removeWorker(worker.report.workerId, clock.monotonicMs(), true);
	// Leases that the worker may have taken from such calls expire as those of its predecessor would have.
	state.mustLetLeasesExpire ||= worker.allLeasesExpiredAtMs !== undefined;
	applyListing(options, state.worker!, listing, sentAtMs);
	return true;
};

/** Records that the worker does not list its runs: it gets no starts, and its lease is not extended, until it does again. */
const recordNoAnswer = ({state, clock}: WorkerLoopOptions, worker: WorkerState): void => {
	if (worker.isAnswering) {
		worker.isAnswering = false;
		worker.unresponsiveSinceMs = clock.monotonicMs();
		state.notifyChange();
	}
};

/** Records that another incarnation answers in place of a worker; one that had not announced its end has crashed. */
const recordReplacement = ({state, clock, note}: WorkerLoopOptions, worker: WorkerState): void => {
	const nowMs = clock.monotonicMs();
	note('worker replaced', describeReplaced(worker, nowMs));
	if (!worker.hasLeft) {
		state.recordCrash(worker, nowMs);
	}
};

/** Removes a worker that is gone. Its leases are over, so the agent waits for them no longer. */
const removeWorker = ({state, clock, onLeasesExpired}: WorkerLoopOptions, worker: WorkerState): void => {
	state.removeWorker(worker.report.workerId, clock.monotonicMs());
	if (worker.allLeasesExpiredAtMs !== undefined) {
		onLeasesExpired();
	}
};

/** Describes the runs at the time of the crash, newest first: a run that crashes its worker has usually not run for long. */
const describeReplaced = (worker: WorkerState, nowMs: number): Record<string, unknown> => {
	const {report, runs, unresponsiveSinceMs} = worker;
	const residentRuns = runs.getResidentRuns(estimateCrashedAtMs(worker, nowMs)).toSorted((a, b) => a.ageMs - b.ageMs);
	return {
		workerId: report.workerId,
		wasDraining: report.isDraining,
		silentMs: unresponsiveSinceMs === undefined ? undefined : Math.round(nowMs - unresponsiveSinceMs),
		runs: residentRuns.length,
		newest: residentRuns.slice(0, maxLoggedRuns).map(({taskId, run, ageMs}) => ({taskId, run, ageMs: Math.round(ageMs)})),
	};
};

const applyListing = (options: WorkerLoopOptions, worker: WorkerState, listing: WorkerListing, sentAtMs: number): void => {
	const {state, clock, onLeasesExpired} = options;
	const wasUnresponsive = !worker.isAnswering;
	worker.isAnswering = true;
	worker.unresponsiveSinceMs = undefined;
	worker.answeredAtMs = clock.monotonicMs();
	state.listedAtMs = worker.answeredAtMs;
	worker.lease.recordReading(listing.clockMs, clock.monotonicMs());
	const isChanged = worker.runs.applyListing(listing, sentAtMs);
	if (worker.areLeasesExpired || isChanged || wasUnresponsive) {
		worker.areLeasesExpired = false;
		state.notifyChange();
	} else if (listing.running.length > 0 && clock.monotonicMs() - state.lastReportedAtMs >= measurementIntervalMs) {
		state.wakeWatchers();
	}

	if (state.mustLetLeasesExpire) {
		// The previous agent process may have granted the longest lease just before it ended.
		worker.allLeasesExpiredAtMs = Math.max(worker.lease.sentUntilMs, listing.clockMs + options.maxLeaseMs);
		state.mustLetLeasesExpire = false;
	} else if (worker.allLeasesExpiredAtMs !== undefined && listing.clockMs > worker.allLeasesExpiredAtMs) {
		worker.allLeasesExpiredAtMs = undefined;
		onLeasesExpired();
	}
};

/** A worker that does not answer still stops its tasks when their leases expire; after that they may start elsewhere. */
const checkLeaseExpiry = (options: WorkerLoopOptions, worker: WorkerState): void => {
	const {state, clock, note} = options;
	if (!worker.areLeasesExpired && worker.lease.isExpired(clock.monotonicMs(), expirySlackMs)) {
		worker.areLeasesExpired = true;
		const {report: {workerId}, lease, knownSinceMs, answeredAtMs} = worker;
		const nowMs = clock.monotonicMs();
		note('leases over without an answer', {
			workerId, sentUntilMs: lease.sentUntilMs, earlierUntilMs: lease.earlierUntilMs, sampleClockMs: lease.sampleClockMs, answeredAgoMs: Math.round(nowMs - answeredAtMs), knownForMs: Math.round(nowMs - knownSinceMs), version: state.version,
		});
		state.notifyChange();
		if (worker.hasLeft) {
			removeWorker(options, worker);
		}
	}
};
