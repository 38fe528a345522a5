/**
Concurrency limits that adapt to measured latency: an upstream that slows down under load gets fewer requests at a time.
*/
import {type RequestClass} from '../types/requests.ts';

/** How limits follow latency. */
export type LimitTuning = {
	minLimit: number;
	/** The limit falls when the recent latency exceeds this many times the long-run latency. */
	tolerance: number;
	/** Weight of one sample in the recent latency. */
	recentGain: number;
	/** Weight of one sample in the long-run latency. */
	longRunGain: number;
	/** Share of the difference to the newly computed limit that one sample applies. */
	smoothing: number;
	/** Factor by which a failure reduces the limit. */
	failureFactor: number;
};

/** Tuning used unless another is passed. */
export const defaultLimitTuning: LimitTuning = {
	minLimit: 1, tolerance: 1.5, recentGain: 0.1, longRunGain: 0.005, smoothing: 0.2, failureFactor: 0.9,
};

type ClassLatency = {
	recentMs: number;
	longRunMs: number;
};

/** Limit of one upstream, between `minLimit` and its slots. */
export class ConcurrencyLimit {
	readonly #slots: number;
	readonly #tuning: LimitTuning;
	readonly #latencies: Partial<Record<RequestClass, ClassLatency>> = {};
	#limit: number;

	constructor(slots: number, tuning: LimitTuning = defaultLimitTuning) {
		this.#slots = slots;
		this.#tuning = tuning;
		this.#limit = slots;
	}

	/** Requests that may be in flight at once. */
	getLimit(): number {
		return Math.max(this.#tuning.minLimit, Math.floor(this.#limit));
	}

	/** Records the time until an answer was complete, and how many requests were in flight. */
	recordSuccess(requestClass: RequestClass, latencyMs: number, inFlight: number): void {
		const {tolerance, recentGain, longRunGain, smoothing, minLimit} = this.#tuning;
		const latency = this.#latencies[requestClass] ?? {recentMs: latencyMs, longRunMs: latencyMs};
		this.#latencies[requestClass] = latency;
		latency.recentMs += recentGain * (latencyMs - latency.recentMs);
		latency.longRunMs += longRunGain * (latencyMs - latency.longRunMs);
		// Bounded, so that a burst of slow answers at the start does not stay the baseline.
		latency.longRunMs = Math.min(latency.longRunMs, 2 * latency.recentMs);
		// With less than half of the limit in flight, latency does not show whether the limit is too high.
		if (inFlight * 2 < this.#limit) {
			return;
		}

		const gradient = Math.max(0.5, Math.min(1, tolerance * latency.longRunMs / latency.recentMs));
		const target = (this.#limit * gradient) + Math.sqrt(this.#limit);
		this.#limit = Math.max(minLimit, Math.min(this.#slots, this.#limit + (smoothing * (target - this.#limit))));
	}

	/** Records a failure or timeout. */
	recordFailure(): void {
		this.#limit = Math.max(this.#tuning.minLimit, this.#limit * this.#tuning.failureFactor);
	}
}

/** Limits of all upstreams. */
export class ConcurrencyLimitRegistry {
	readonly #tuning: LimitTuning;
	readonly #limits = new Map<string, ConcurrencyLimit>();

	constructor(tuning: LimitTuning = defaultLimitTuning) {
		this.#tuning = tuning;
	}

	/** Limit of the upstream; its slots if nothing was recorded. */
	getLimit(upstreamId: string, slots: number): number {
		return this.#limits.get(upstreamId)?.getLimit() ?? slots;
	}

	/** Returns the limit to which results of the upstream are recorded; creates it if there is none. */
	getOrCreate(upstreamId: string, slots: number): ConcurrencyLimit {
		let limit = this.#limits.get(upstreamId);
		if (!limit) {
			limit = new ConcurrencyLimit(slots, this.#tuning);
			this.#limits.set(upstreamId, limit);
		}

		return limit;
	}

	/** Deletes the limit of an upstream. */
	forget(upstreamId: string): void {
		this.#limits.delete(upstreamId);
	}
}
