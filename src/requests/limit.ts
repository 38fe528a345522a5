/**
Concurrency limits that adapt to measured latency: an upstream that slows down under its load gets fewer at a time.
*/
import {type RequestClass} from '../types/requests.ts';

/** How limits follow latency. */
export type LimitTuning = {
	minLimit: number;
	/** Latency may be this many times the long-run latency before the limit falls. */
	tolerance: number;
	/** Share of the difference by which one sample moves the recent latency. */
	recentGain: number;
	/** Share by which one sample moves the long-run latency. */
	longRunGain: number;
	/** Share of the way to the newly computed limit taken by one sample. */
	smoothing: number;
	/** Factor on a failure. */
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

/** Limit of one upstream, between the least limit and its slots. */
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

	/** Takes the latency of a whole answer, and how many were in flight with it. */
	recordSuccess(requestClass: RequestClass, latencyMs: number, inFlight: number): void {
		const {tolerance, recentGain, longRunGain, smoothing, minLimit} = this.#tuning;
		const latency = this.#latencies[requestClass] ?? {recentMs: latencyMs, longRunMs: latencyMs};
		this.#latencies[requestClass] = latency;
		latency.recentMs += recentGain * (latencyMs - latency.recentMs);
		latency.longRunMs += longRunGain * (latencyMs - latency.longRunMs);
		// A burst at the start must not stand as the long-run latency: coming down is quick.
		latency.longRunMs = Math.min(latency.longRunMs, 2 * latency.recentMs);
		// Few in flight say nothing of what more would do.
		if (inFlight * 2 < this.#limit) {
			return;
		}

		const gradient = Math.max(0.5, Math.min(1, tolerance * latency.longRunMs / latency.recentMs));
		const target = (this.#limit * gradient) + Math.sqrt(this.#limit);
		this.#limit = Math.max(minLimit, Math.min(this.#slots, this.#limit + (smoothing * (target - this.#limit))));
	}

	/** Takes a failure or timeout. */
	recordFailure(): void {
		this.#limit = Math.max(this.#tuning.minLimit, this.#limit * this.#tuning.failureFactor);
	}
}

/** Limits of all upstreams. */
export class LimitBook {
	readonly #tuning: LimitTuning;
	readonly #limits = new Map<string, ConcurrencyLimit>();

	constructor(tuning: LimitTuning = defaultLimitTuning) {
		this.#tuning = tuning;
	}

	/** Limit of the upstream; its slots while nothing is known. */
	getLimit(upstreamId: string, slots: number): number {
		return this.#limits.get(upstreamId)?.getLimit() ?? slots;
	}

	/** Gets the limit that learns for the upstream. */
	getOrCreate(upstreamId: string, slots: number): ConcurrencyLimit {
		let limit = this.#limits.get(upstreamId);
		if (!limit) {
			limit = new ConcurrencyLimit(slots, this.#tuning);
			this.#limits.set(upstreamId, limit);
		}

		return limit;
	}

	/** Forgets an upstream that is gone. */
	forget(upstreamId: string): void {
		this.#limits.delete(upstreamId);
	}
}
