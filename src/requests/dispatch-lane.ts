/**
Requests of one service: admitted, sent to a chosen upstream within its slots, and tried again when that is safe.
*/
import {type UpstreamAnnouncement} from '../types/announcements.ts';
import {type Chooser} from '../types/choice.ts';
import {type Clock} from '../types/clock.ts';
import {Metric, type Metrics} from '../types/metrics.ts';
import {type Random} from '../types/random.ts';
import {Header, Outcome, RefusalReason} from '../types/requests.ts';
import {type SlotHold, type SlotsService} from '../types/services.ts';
import {
	Admission, type AdmissionLimits, type Refusal, type Ticket,
} from './admission.ts';
import {AnswerCollector, type WholeAnswer} from './answer.ts';
import {type DeadlineHeap} from './deadline-heap.ts';
import {Attempt, type AttemptEnd} from './dispatch-attempt.ts';
import {type Call} from './dispatch-call.ts';
import {type UpstreamPools} from './dispatch-pools.ts';
import {AttemptFailure, getRetryReason, RetryBudget} from './retry.ts';

/** What a lane works with. */
export type LaneOptions = {
	serviceName: string;
	clock: Clock;
	random: Random;
	metrics: Metrics;
	limits: AdmissionLimits;
	budgetShare: number;
	budgetBurst: number;
	maxAttempts: number;
	maxHoldMs: number;
	chooser: Chooser;
	slots: Pick<SlotsService, 'tryTake' | 'getFree' | 'setDemand'>;
	pools: Pick<UpstreamPools, 'get'>;
	/** Tries in progress, to be ended when they fall due. */
	dueAttempts: DeadlineHeap<Attempt>;
	/** Claimed requests in progress: they run on past the deadline at which their callers are told. */
	dueRuns: DeadlineHeap<ClaimedRun>;
	getCandidates(): readonly UpstreamAnnouncement[];
};

/** A claimed request at an upstream. */
export type ClaimedRun = {
	call: Call;
	attempt: Attempt;
};

/** How a call ended: with an answer, or with a refusal. */
export type CallEnd = {
	answer?: WholeAnswer;
	refusal?: Refusal & {outcome: Outcome};
	/** A byte of it may have reached an upstream. */
	isWritten: boolean;
};

type Grant = {
	upstream: UpstreamAnnouncement;
	hold: SlotHold;
	takenAtMs: number;
	holdMs: number;
};

/** The hold ends before the bound on which the slots' sponsor counts. */
const holdMarginMs = 50;
const failedRetryAfterMs = 500;
/** A deadline that comes earlier in a run says nothing of the upstream. */
const youngShare = 0.5;

/** Runs the calls of one service. */
export class Lane {
	readonly admission: Admission;
	readonly #options: LaneOptions;
	readonly #budget: RetryBudget;
	#running = 0;

	constructor(options: LaneOptions) {
		const {clock, random, limits, slots, serviceName} = options;
		this.#options = options;
		this.#budget = new RetryBudget(options.budgetShare, options.budgetBurst);
		this.admission = new Admission({
			clock,
			random,
			limits,
			getFreeSlots: () => options.getCandidates().reduce((sum, {upstreamId}) => sum + slots.getFree(upstreamId), 0),
			onWaiting(waiting) {
				slots.setDemand(serviceName, waiting);
			},
		});
	}

	/** Tries in progress. */
	get running(): number {
		return this.#running;
	}

	/** Tells why the call would be refused now, or undefined. */
	findRefusal({facts, arrivedAtMs, deadlineAtMs}: Call): Refusal | undefined {
		return this.admission.findRefusal({
			requestClass: facts.requestClass, callerId: facts.callerId, arrivedAtMs, deadlineAtMs,
		});
	}

	/** Runs the call to its end. */
	async run(call: Call): Promise<CallEnd> {
		this.#budget.noteFirstTry();
		for (let attempt = 1; ; attempt++) {
			const grant = await this.#enter(call, attempt);
			if ('reason' in grant) {
				return {refusal: {...grant, outcome: Outcome.NotRun}, isWritten: false};
			}

			call.tried.add(grant.upstream.upstreamId);
			const end = await this.#attempt(call, grant, attempt);
			if (end.failure === undefined || !this.#isRetried(call, end, attempt)) {
				return this.#conclude(end);
			}
		}
	}

	/** Waits for a slot. */
	async #enter(call: Call, attempt: number): Promise<Grant | Refusal> {
		return new Promise(resolve => {
			const {requestClass, callerId} = call.facts;
			const ticket: Ticket = {
				requestClass,
				callerId,
				arrivedAtMs: call.arrivedAtMs,
				deadlineAtMs: call.deadlineAtMs,
				tryStart: () => {
					const grant = this.#take(call);
					if (grant) {
						call.setOnClose(undefined);
						resolve(grant);
					}

					return grant !== undefined;
				},
				refuse(refusal) {
					call.setOnClose(undefined);
					resolve(refusal);
				},
			};
			call.setOnClose(() => {
				this.admission.leave(ticket);
				resolve({reason: RefusalReason.CallerGone, retryAfterMs: 0});
			});
			if (attempt === 1) {
				this.admission.submit(ticket);
			} else {
				this.admission.resubmit(ticket);
			}
		});
	}

	#take(call: Call): Grant | undefined {
		const {serviceName, chooser, slots, clock} = this.#options;
		const candidates = this.#options.getCandidates();
		const {requestClass} = call.facts;
		const isAnyUntried = call.tried.size === 0 || candidates.some(({upstreamId}) => !call.tried.has(upstreamId));
		const upstream = chooser.choose(serviceName, candidates, {
			requestClass,
			excluded: isAnyUntried ? call.tried : new Set(),
			hasSlot: upstreamId => slots.getFree(upstreamId) > 0,
		});
		if (!upstream) {
			return undefined;
		}

		const takenAtMs = clock.monotonicMs();
		const holdMs = this.#getHoldMs(call, takenAtMs);
		const hold = slots.tryTake(upstream.upstreamId, holdMs);
		if (!hold) {
			return undefined;
		}

		chooser.recordStart(upstream.upstreamId, requestClass);
		return {
			upstream, hold, takenAtMs, holdMs,
		};
	}

	/** A claimed request runs on past its caller's deadline, so that its end becomes known. */
	#getHoldMs(call: Call, nowMs: number): number {
		const {maxHoldMs} = this.#options;
		return call.facts.isIdempotent ? Math.min(maxHoldMs, call.deadlineAtMs - nowMs + holdMarginMs) : maxHoldMs;
	}

	async #attempt(call: Call, grant: Grant, number: number): Promise<AttemptEnd> {
		const {clock, pools, dueAttempts, dueRuns} = this.#options;
		const {facts, target} = call;
		const {upstream, takenAtMs, holdMs} = grant;
		const dueMs = takenAtMs + holdMs - holdMarginMs;
		this.#running++;
		const end = await new Promise<AttemptEnd>(resolve => {
			const attempt = new Attempt({
				dispatcher: pools.get(upstream),
				upstreamId: upstream.upstreamId,
				request: {
					method: facts.method, path: facts.path, headers: this.#getHeaders(call, number), body: call.body,
				},
				collector: new AnswerCollector(target),
				// Also when this process was paused between taking the slot and getting the connection.
				mayWrite: () => clock.monotonicMs() < Math.min(dueMs, call.deadlineAtMs) && !call.isClosed && call.mayWrite(),
				onEnd: resolve,
			});
			call.setOnClose(() => {
				// A non-idempotent request that may be running runs on: its end is to be recorded.
				if (facts.isIdempotent || !attempt.isWritten) {
					attempt.abort(AttemptFailure.TimedOut);
				}
			});
			if (call.isClosed) {
				attempt.abort(AttemptFailure.TimedOut);
				return;
			}

			dueAttempts.add(attempt, dueMs, this.#running);
			if (!facts.isIdempotent) {
				dueRuns.add({call, attempt}, call.deadlineAtMs, this.#running);
			}

			attempt.start();
		});
		this.#running--;
		this.#leave(call, grant, end);
		return end;
	}

	#leave(call: Call, {upstream, hold, takenAtMs}: Grant, end: AttemptEnd): void {
		const {clock, chooser} = this.#options;
		const {requestClass, deadlineMs} = call.facts;
		const latencyMs = clock.monotonicMs() - takenAtMs;
		call.setOnClose(undefined);
		hold.release();
		chooser.recordEnd(upstream.upstreamId, {
			requestClass,
			latencyMs,
			isSuccess: end.failure === undefined && (end.answer?.status ?? 0) < 500,
			isAbandoned: end.failure === AttemptFailure.TimedOut && latencyMs < youngShare * deadlineMs,
		});
		this.admission.noteEnd(requestClass, latencyMs);
	}

	#isRetried(call: Call, end: AttemptEnd, attempt: number): boolean {
		const {maxAttempts, metrics, clock} = this.#options;
		const {isIdempotent, isNoRetry} = call.facts;
		const reason = getRetryReason(end.failure!, isIdempotent);
		const isUseful = !call.isClosed && clock.monotonicMs() < call.deadlineAtMs && !call.target.response.headersSent;
		if (!reason || !isUseful || isNoRetry || attempt >= maxAttempts) {
			return false;
		}

		if (!this.#budget.tryTake()) {
			metrics.count(Metric.RetriesDenied, reason);
			return false;
		}

		metrics.count(Metric.Retries, reason);
		return true;
	}

	#conclude({answer, failure, isWritten, reason, error}: AttemptEnd): CallEnd {
		if (answer) {
			return {answer, isWritten};
		}

		const ownReason = failure === AttemptFailure.TimedOut ? RefusalReason.UpstreamTimeout : getBrokenReason(error);
		return {
			refusal: {reason: reason ?? ownReason, outcome: isWritten ? Outcome.Unknown : Outcome.NotRun, retryAfterMs: failedRetryAfterMs},
			isWritten,
		};
	}

	#getHeaders(call: Call, attempt: number): string[] {
		const remainingMs = Math.max(1, Math.floor(call.deadlineAtMs - this.#options.clock.monotonicMs()));
		// Whoever stands behind must not try again as well: retries of two layers multiply.
		return [...call.headers, Header.DeadlineMs, String(remainingMs), Header.Attempt, String(attempt), Header.NoRetry, '1'];
	}
}

const truncationCodes = new Set(['UND_ERR_RES_CONTENT_LENGTH_MISMATCH', 'HPE_INVALID_EOF_STATE', 'UND_ERR_SOCKET']);

const getBrokenReason = (error: Error | undefined): RefusalReason => {
	const {code} = (error ?? {}) as {code?: string};
	return code !== undefined && truncationCodes.has(code) ? RefusalReason.AnswerTruncated : RefusalReason.UpstreamFailed;
};
