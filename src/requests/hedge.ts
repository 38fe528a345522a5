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
};

/** Tuning used unless another is passed. */
export const defaultHedgeTuning: HedgeTuning = {quantile: 0.95, sampleCount: 512, minSamples: 100};

/** What is known of a request that might be hedged. */
export type HedgeCandidate = {
	requestClass: RequestClass;
	isIdempotent: boolean;
	deadlineAtMs: number;
	nowMs: number;
	hasOtherSlot: boolean;
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
	mayHedge({requestClass, isIdempotent, deadlineAtMs, nowMs, hasOtherSlot}: HedgeCandidate, tryTakeBudget: () => boolean): boolean {
		return requestClass === RequestClass.Check && isIdempotent && hasOtherSlot && nowMs < deadlineAtMs && tryTakeBudget();
	}
}
