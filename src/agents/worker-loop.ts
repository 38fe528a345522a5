/**
The loop that renews the leases of this host's worker as far as they are proven, lets the worker drop the ends that are
stored in the log, and lists its runs.
*/
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {OrderRefusal, type WorkerClient, type WorkerListing} from '../types/fleet.ts';
import {type Wakeup} from '../utils/wakeup.ts';
import {getCrashedAtMs, type AgentState, type WorkerState} from './agent-state.ts';
import {type AgentNote} from './order-handler.ts';

/** Options of the loop. */
export type WorkerLoopOptions = {
	state: AgentState;
	client: WorkerClient;
	clock: Clock;
	wakeup: Wakeup;
	getFence: () => number;
	onFenceRefused: () => void;
	maxLeaseMs: number;
	/** The leases of an agent that was declared lost have expired: it may register again. */
	onLapsed: () => void;
	note: AgentNote;
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
	const {state, client, clock, getFence, onFenceRefused, note} = options;
	const {lease, report: {workerId}} = worker;
	const sentAtMs = clock.monotonicMs();
	const leaseUntilMs = !state.mustLapse && worker.lapseUntilMs === undefined && lease.leaseUntilMs > 0 ? lease.getNextUntilMs(worker.isAnswering) : undefined;
	if (leaseUntilMs !== undefined) {
		lease.noteSent(leaseUntilMs);
	}

	try {
		const reply = await client.renew(workerId, {
			fence: getFence(), forgetUpTo: worker.forgetUpTo, leaseUntilMs, waitMs: worker.runs.isListed && lease.leaseUntilMs > 0 ? listWaitMs : 0,
		});
		if ('running' in reply) {
			applyListing(options, worker, reply, sentAtMs);
			return true;
		}

		if (reply.refusal === OrderRefusal.OtherWorker) {
			note('worker replaced', describeReplaced(worker, clock.monotonicMs()));
			state.noteCrash(worker, clock.monotonicMs());
			state.drop(workerId, clock.monotonicMs());
		} else if (reply.refusal === OrderRefusal.Fence) {
			onFenceRefused();
		} else {
			note('renewal refused', {workerId, refusal: reply.refusal});
		}
	} catch (error) {
		if (worker.isAnswering) {
			worker.isAnswering = false;
			worker.silentSinceMs = clock.monotonicMs();
			state.bump();
		}

		note('worker unanswered', {workerId, error: getMessage(error), leaseUntilMs});
	}

	checkLeaseExpiry(options, worker);
	return false;
};

/** Describes the runs at the time of the crash, newest first: a run that crashes its worker has usually not run for long. */
const describeReplaced = (worker: WorkerState, nowMs: number): Record<string, unknown> => {
	const {report, runs, silentSinceMs} = worker;
	const residentRuns = runs.getAboard(getCrashedAtMs(worker, nowMs)).toSorted((a, b) => a.ageMs - b.ageMs);
	return {
		workerId: report.workerId,
		wasDraining: report.isDraining,
		silentMs: silentSinceMs === undefined ? undefined : Math.round(nowMs - silentSinceMs),
		runs: residentRuns.length,
		newest: residentRuns.slice(0, maxLoggedRuns).map(({taskId, run, ageMs}) => ({taskId, run, ageMs: Math.round(ageMs)})),
	};
};

const applyListing = (options: WorkerLoopOptions, worker: WorkerState, listing: WorkerListing, sentAtMs: number): void => {
	const {state, clock, onLapsed} = options;
	const wasUnresponsive = !worker.isAnswering;
	worker.isAnswering = true;
	worker.silentSinceMs = undefined;
	worker.answeredAtMs = clock.monotonicMs();
	worker.lease.note(listing.clockMs, clock.monotonicMs());
	const isChanged = worker.runs.take(listing, sentAtMs);
	if (worker.isOver || isChanged || wasUnresponsive) {
		worker.isOver = false;
		state.bump();
	} else if (listing.running.length > 0 && clock.monotonicMs() - state.toldAtMs >= measurementIntervalMs) {
		state.wake();
	}

	if (state.mustLapse) {
		// The previous agent process may have granted the longest lease just before it ended.
		worker.lapseUntilMs = Math.max(worker.lease.sentUntilMs, listing.clockMs + options.maxLeaseMs);
		state.mustLapse = false;
	} else if (worker.lapseUntilMs !== undefined && listing.clockMs > worker.lapseUntilMs) {
		worker.lapseUntilMs = undefined;
		onLapsed();
	}
};

/** A worker that does not answer still stops its tasks when their leases expire; after that they may start elsewhere. */
const checkLeaseExpiry = ({state, clock, note}: WorkerLoopOptions, worker: WorkerState): void => {
	if (!worker.isOver && worker.lease.isOver(clock.monotonicMs(), expirySlackMs)) {
		worker.isOver = true;
		note('leases over without an answer', {workerId: worker.report.workerId});
		state.bump();
	}
};
