/**
Dispatches the requests of one service: admits them, sends each to a chosen upstream with a free slot, and retries when that is safe.
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
import {AnswerCollector, type CompleteAnswer} from './answer.ts';
import {type DeadlineHeap} from './deadline-heap.ts';
import {Attempt, type AttemptEnd} from './dispatch-attempt.ts';
import {type Call} from './dispatch-call.ts';
import {type UpstreamPools} from './dispatch-pools.ts';
import {AttemptFailure, getRetryReason, RetryBudget} from './retry.ts';

/** Dependencies and settings of a lane. */
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
	/** Attempts in progress; each is aborted when it falls due. */
	attemptDeadlines: DeadlineHeap<Attempt>;
	/** Claimed requests in progress, by their deadline: their callers are answered then, while requests that were sent continue to run. */
	claimedRunDeadlines: DeadlineHeap<ClaimedRun>;
	getCandidates(): readonly UpstreamAnnouncement[];
};

/** A claimed request and its attempt in progress. */
export type ClaimedRun = {
	call: Call;
	attempt: Attempt;
};

/** How a call ended: with an answer, or with a refusal. */
export type CallEnd = {
	answer?: CompleteAnswer;
	refusal?: Refusal & {outcome: Outcome};
	/** Whether a byte of the request may have reached an upstream. */
	isWritten: boolean;
};

type SlotGrant = {
	upstream: UpstreamAnnouncement;
	hold: SlotHold;
	takenAtMs: number;
	holdMs: number;
};

/** An attempt falls due this long before the end of its hold, on which the sponsor of the slots relies. */
const holdMarginMs = 50;
const failedRetryAfterMs = 500;
/** A timeout counts against the upstream only after this share of the request's total time. */
const minTimeoutShare = 0.5;

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
			onWaitingChange(waiting) {
				slots.setDemand(serviceName, waiting);
			},
		});
	}

	/** Number of attempts in progress. */
	get runningAttempts(): number {
		return this.#running;
	}

	/** Returns why the call would be refused now, or undefined. */
	findRefusal({facts, arrivedAtMs, deadlineAtMs}: Call): Refusal | undefined {
		return this.admission.findRefusal({
			requestClass: facts.requestClass, callerId: facts.callerId, arrivedAtMs, deadlineAtMs,
		});
	}

	/** Runs the call, with retries, until it is answered or refused. */
	async run(call: Call): Promise<CallEnd> {
		this.#budget.recordFirstAttempt();
		for (let attempt = 1; ; attempt++) {
			const grant = await this.#waitForSlot(call, attempt);
			if ('reason' in grant) {
				return {refusal: {...grant, outcome: Outcome.NotRun}, isWritten: false};
			}

			call.triedUpstreamIds.add(grant.upstream.upstreamId);
			const end = await this.#attempt(call, grant, attempt);
			if (end.failure === undefined || !this.#shouldRetry(call, end, attempt)) {
				return this.#createCallEnd(end);
			}
		}
	}

	/** Waits until admission starts the call with a slot, or refuses it. */
	async #waitForSlot(call: Call, attempt: number): Promise<SlotGrant | Refusal> {
		return new Promise(resolve => {
			const {requestClass, callerId} = call.facts;
			const ticket: Ticket = {
				requestClass,
				callerId,
				arrivedAtMs: call.arrivedAtMs,
				deadlineAtMs: call.deadlineAtMs,
				tryStart: () => {
					const grant = this.#tryTakeSlot(call);
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
				this.admission.cancel(ticket);
				resolve({reason: RefusalReason.CallerGone, retryAfterMs: 0});
			});
			if (attempt === 1) {
				this.admission.submit(ticket);
			} else {
				this.admission.resubmit(ticket);
			}
		});
	}

	#tryTakeSlot(call: Call): SlotGrant | undefined {
		const {serviceName, chooser, slots, clock} = this.#options;
		const candidates = this.#options.getCandidates();
		const {requestClass} = call.facts;
		const isAnyUntried = call.triedUpstreamIds.size === 0 || candidates.some(({upstreamId}) => !call.triedUpstreamIds.has(upstreamId));
		const upstream = chooser.choose(serviceName, candidates, {
			requestClass,
			excluded: isAnyUntried ? call.triedUpstreamIds : new Set(),
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

	/** A claimed request may run past its caller's deadline, so that its result can be recorded. */
	#getHoldMs(call: Call, nowMs: number): number {
		const {maxHoldMs} = this.#options;
		return call.facts.isIdempotent ? Math.min(maxHoldMs, call.deadlineAtMs - nowMs + holdMarginMs) : maxHoldMs;
	}

	async #attempt(call: Call, grant: SlotGrant, number: number): Promise<AttemptEnd> {
		const {clock, pools, attemptDeadlines, claimedRunDeadlines} = this.#options;
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
				// The times are checked because the process may have been paused between taking the slot and getting the connection.
				mayWrite: () => clock.monotonicMs() < Math.min(dueMs, call.deadlineAtMs) && !call.isClosed && call.mayWrite(),
				onEnd: resolve,
			});
			call.setOnClose(() => {
				// A non-idempotent request that may be running is not aborted: its result is to be recorded.
				if (facts.isIdempotent || !attempt.isWritten) {
					attempt.abort(AttemptFailure.TimedOut);
				}
			});
			if (call.isClosed) {
				attempt.abort(AttemptFailure.TimedOut);
				return;
			}

			attemptDeadlines.add(attempt, dueMs, this.#running);
			if (!facts.isIdempotent) {
				claimedRunDeadlines.add({call, attempt}, call.deadlineAtMs, this.#running);
			}

			attempt.start();
		});
		this.#running--;
		this.#releaseSlot(call, grant, end);
		return end;
	}

	#releaseSlot(call: Call, {upstream, hold, takenAtMs}: SlotGrant, end: AttemptEnd): void {
		const {clock, chooser} = this.#options;
		const {requestClass, deadlineMs} = call.facts;
		const latencyMs = clock.monotonicMs() - takenAtMs;
		call.setOnClose(undefined);
		hold.release();
		chooser.recordEnd(upstream.upstreamId, {
			requestClass,
			latencyMs,
			isSuccess: end.failure === undefined && (end.answer?.status ?? 0) < 500,
			isAbandoned: end.failure === AttemptFailure.TimedOut && latencyMs < minTimeoutShare * deadlineMs,
		});
		this.admission.recordEnd(requestClass, latencyMs);
	}

	#shouldRetry(call: Call, end: AttemptEnd, attempt: number): boolean {
		const {maxAttempts, metrics, clock} = this.#options;
		const {isIdempotent, isNoRetry} = call.facts;
		const reason = getRetryReason(end.failure!, isIdempotent);
		const isStillWanted = !call.isClosed && clock.monotonicMs() < call.deadlineAtMs && !call.target.response.headersSent;
		if (!reason || !isStillWanted || isNoRetry || attempt >= maxAttempts) {
			return false;
		}

		if (!this.#budget.tryTake()) {
			metrics.count(Metric.RetriesDenied, reason);
			return false;
		}

		metrics.count(Metric.Retries, reason);
		return true;
	}

	#createCallEnd({answer, failure, isWritten, reason, error}: AttemptEnd): CallEnd {
		if (answer) {
			return {answer, isWritten};
		}

		const localReason = failure === AttemptFailure.TimedOut ? RefusalReason.UpstreamTimeout : getBrokenReason(error);
		return {
			refusal: {reason: reason ?? localReason, outcome: isWritten ? Outcome.Unknown : Outcome.NotRun, retryAfterMs: failedRetryAfterMs},
			isWritten,
		};
	}

	#getHeaders(call: Call, attempt: number): string[] {
		const remainingMs = Math.max(1, Math.floor(call.deadlineAtMs - this.#options.clock.monotonicMs()));
		// The upstream must not retry as well: retries of two layers multiply.
		return [...call.headers, Header.DeadlineMs, String(remainingMs), Header.Attempt, String(attempt), Header.NoRetry, '1'];
	}
}

const truncationCodes = new Set(['UND_ERR_RES_CONTENT_LENGTH_MISMATCH', 'HPE_INVALID_EOF_STATE', 'UND_ERR_SOCKET']);

const getBrokenReason = (error: Error | undefined): RefusalReason => {
	const {code} = (error ?? {}) as {code?: string};
	return code !== undefined && truncationCodes.has(code) ? RefusalReason.AnswerTruncated : RefusalReason.UpstreamFailed;
};
