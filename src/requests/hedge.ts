/**
Hedging: decides when to start a second attempt of an idempotent check while the first is still running.
*/
import {RequestClass} from '../types/requests.ts';

/** When to hedge. */
export type HedgeTuning = {
	/** Share of the checks that end before a hedge would start. */
	quantile: number;
	/** Number of recent latencies kept. */
	sampleCount: number;
	/** No hedging before this many latencies were recorded. */
	minSamples: number;
	/** Minimum share of this process's slots that must be free, so that a hedge does not take a slot that other requests need. */
	minFreeShare: number;
};

/** Tuning used unless another is passed. */
export const defaultHedgeTuning: HedgeTuning = {
	quantile: 0.95, sampleCount: 512, minSamples: 100, minFreeShare: 0.2,
};

/** Attributes of a request that decide whether it is hedged. */
export type HedgeCandidate = {
	requestClass: RequestClass;
	isIdempotent: boolean;
	deadlineAtMs: number;
	nowMs: number;
	hasOtherSlot: boolean;
	/** Free slots as a share of all slots that this process may use. */
	freeShare: number;
};

/** The delay is computed again after this many samples. */
const refreshSampleCount = 32;

/** Decides when and whether to hedge, from recent latencies. */
export class HedgePolicy {
	readonly #tuning: HedgeTuning;
	readonly #samplesMs: number[] = [];
	#next = 0;
	#newSampleCount = 0;
	#delayMs: number | undefined;

	constructor(tuning: HedgeTuning = defaultHedgeTuning) {
		this.#tuning = tuning;
	}

	/** Records the time that a check took until its answer was complete. */
	recordCheck(latencyMs: number): void {
		const {sampleCount, minSamples, quantile} = this.#tuning;
		this.#samplesMs[this.#next] = latencyMs;
		this.#next = (this.#next + 1) % sampleCount;
		this.#newSampleCount++;
		if (this.#samplesMs.length >= minSamples && (this.#delayMs === undefined || this.#newSampleCount >= refreshSampleCount)) {
			this.#newSampleCount = 0;
			const sorted = this.#samplesMs.toSorted((a, b) => a - b);
			this.#delayMs = sorted[Math.floor(quantile * (sorted.length - 1))];
		}
	}

	/** How long after its dispatch a check may be hedged; undefined while there are too few samples. */
	getDelayMs(): number | undefined {
		return this.#delayMs;
	}

	/** Whether to start a second attempt now, called once the delay has passed. Takes from the budget last, only for a hedge that starts. */
	mayHedge(candidate: HedgeCandidate, tryTakeBudget: () => boolean): boolean {
		const {requestClass, isIdempotent, deadlineAtMs, nowMs, hasOtherSlot, freeShare} = candidate;
		const isSafe = requestClass === RequestClass.Check && isIdempotent;
		const hasSpareSlots = hasOtherSlot && freeShare >= this.#tuning.minFreeShare;
		return isSafe && hasSpareSlots && nowMs < deadlineAtMs && tryTakeBudget();
	}
}
