/**
Hedging: when a second try of an idempotent check is worth starting while the first still runs.
*/
import {RequestClass} from '../types/requests.ts';

/** When to hedge. */
export type HedgeTuning = {
	/** Part of the checks that end before a hedge would start. */
	quantile: number;
	/** Recent latencies that are kept. */
	sampleCount: number;
	/** No hedging before so many were seen. */
	minSamples: number;
	/** Least share of this process's slots that must be free: a hedge must not take a slot for which others will wait. */
	minFreeShare: number;
};

/** Tuning used unless another is passed. */
export const defaultHedgeTuning: HedgeTuning = {
	quantile: 0.95, sampleCount: 512, minSamples: 100, minFreeShare: 0.2,
};

/** What is known of a request that might be hedged. */
export type HedgeCandidate = {
	requestClass: RequestClass;
	isIdempotent: boolean;
	deadlineAtMs: number;
	nowMs: number;
	hasOtherSlot: boolean;
	/** Free slots as a share of all that this process may use. */
	freeShare: number;
};

/** Latencies are sorted anew after so many samples. */
const refreshEvery = 32;

/** Tells when and whether to hedge, from recent latencies. */
export class HedgePolicy {
	readonly #tuning: HedgeTuning;
	readonly #samplesMs: number[] = [];
	#next = 0;
	#unsorted = 0;
	#delayMs: number | undefined;

	constructor(tuning: HedgeTuning = defaultHedgeTuning) {
		this.#tuning = tuning;
	}

	/** Takes the latency of a check's whole answer. */
	recordCheck(latencyMs: number): void {
		const {sampleCount, minSamples, quantile} = this.#tuning;
		this.#samplesMs[this.#next] = latencyMs;
		this.#next = (this.#next + 1) % sampleCount;
		this.#unsorted++;
		if (this.#samplesMs.length >= minSamples && (this.#delayMs === undefined || this.#unsorted >= refreshEvery)) {
			this.#unsorted = 0;
			const sorted = this.#samplesMs.toSorted((a, b) => a - b);
			this.#delayMs = sorted[Math.floor(quantile * (sorted.length - 1))];
		}
	}

	/** How long after its dispatch a check may be hedged; undefined: not yet known. */
	getDelayMs(): number | undefined {
		return this.#delayMs;
	}

	/** Whether to start a second try now; asked once the delay has passed. The budget is taken last, only for a hedge that starts. */
	mayHedge(candidate: HedgeCandidate, tryTakeBudget: () => boolean): boolean {
		const {requestClass, isIdempotent, deadlineAtMs, nowMs, hasOtherSlot, freeShare} = candidate;
		const isSafe = requestClass === RequestClass.Check && isIdempotent;
		const isSpare = hasOtherSlot && freeShare >= this.#tuning.minFreeShare;
		return isSafe && isSpare && nowMs < deadlineAtMs && tryTakeBudget();
	}
}
