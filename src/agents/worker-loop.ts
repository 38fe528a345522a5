/**
The one task that keeps in touch with the worker of this host: it prolongs leases as far as they are proven, drops ends
that are in the log, and lists what runs.
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
	/** The leases of a lost agent are over: it may register anew. */
	onLapsed: () => void;
	note: AgentNote;
};

/** A listing without a new end comes after this; figures of serving tasks are that old at most. */
const listWaitMs = 500;
/** Figures are of the last half second: told sooner than this they tell little that is new. */
const figuresEveryMs = 400;
/** Ends that are not in the log yet would be listed again and again. */
const unforgottenPauseMs = 100;
const retryMs = 100;
const idleMs = 250;
/** Added to the computed end of a lease before its tasks count as killed: a kill takes the worker some ms. */
const overSlackMs = 300;
/** Runs that a line of log names. */
const maxNamedRuns = 3;

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
			await wakeup.wait(clock, unforgottenPauseMs, signal);
		}
	}
};

const renew = async (options: WorkerLoopOptions, worker: WorkerState): Promise<boolean> => {
	const {state, client, clock, getFence, onFenceRefused, note} = options;
	const {lease, report: {workerId}} = worker;
	const askedAtMs = clock.monotonicMs();
	const leaseUntilMs = !state.mustLapse && worker.lapseUntilMs === undefined && lease.leaseUntilMs > 0 ? lease.getNextUntilMs(worker.isAnswering) : undefined;
	if (leaseUntilMs !== undefined) {
		lease.noteSent(leaseUntilMs);
	}

	try {
		const reply = await client.renew(workerId, {
			fence: getFence(), forgetUpTo: worker.forgetUpTo, leaseUntilMs, waitMs: worker.runs.isListed && lease.leaseUntilMs > 0 ? listWaitMs : 0,
		});
		if ('running' in reply) {
			takeListing(options, worker, reply, askedAtMs);
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

	checkOver(options, worker);
	return false;
};

/** What ran as the worker fell silent: the newest runs first, as a run that takes its worker down has not been there for long. */
const describeReplaced = (worker: WorkerState, nowMs: number): Record<string, unknown> => {
	const {report, runs, silentSinceMs} = worker;
	const aboard = runs.getAboard(getCrashedAtMs(worker, nowMs)).toSorted((a, b) => a.ageMs - b.ageMs);
	return {
		workerId: report.workerId,
		wasDraining: report.isDraining,
		silentMs: silentSinceMs === undefined ? undefined : Math.round(nowMs - silentSinceMs),
		runs: aboard.length,
		newest: aboard.slice(0, maxNamedRuns).map(({taskId, run, ageMs}) => ({taskId, run, ageMs: Math.round(ageMs)})),
	};
};

const takeListing = (options: WorkerLoopOptions, worker: WorkerState, listing: WorkerListing, askedAtMs: number): void => {
	const {state, clock, onLapsed} = options;
	const wasSilent = !worker.isAnswering;
	worker.isAnswering = true;
	worker.silentSinceMs = undefined;
	worker.answeredAtMs = clock.monotonicMs();
	worker.lease.note(listing.clockMs, clock.monotonicMs());
	const isChanged = worker.runs.take(listing, askedAtMs);
	if (worker.isOver || isChanged || wasSilent) {
		worker.isOver = false;
		state.bump();
	} else if (listing.running.length > 0 && clock.monotonicMs() - state.toldAtMs >= figuresEveryMs) {
		state.wake();
	}

	if (state.mustLapse) {
		// An earlier life may have prolonged by the longest lease just before it ended.
		worker.lapseUntilMs = Math.max(worker.lease.sentUntilMs, listing.clockMs + options.maxLeaseMs);
		state.mustLapse = false;
	} else if (worker.lapseUntilMs !== undefined && listing.clockMs > worker.lapseUntilMs) {
		worker.lapseUntilMs = undefined;
		onLapsed();
	}
};

/** A worker that gives no answer keeps nothing alive beyond its leases: then its tasks may start elsewhere. */
const checkOver = ({state, clock, note}: WorkerLoopOptions, worker: WorkerState): void => {
	if (!worker.isOver && worker.lease.isOver(clock.monotonicMs(), overSlackMs)) {
		worker.isOver = true;
		note('leases over without an answer', {workerId: worker.report.workerId});
		state.bump();
	}
};
