/**
Latency estimates by upstream and class: they rise fast, fall slowly, and return to the service's mean while there are no
samples.
*/
import {type Clock} from '../types/clock.ts';
import {type RequestClass} from '../types/requests.ts';

/** How estimates follow their samples. */
export type LatencyTuning = {
	/** Weight of a sample above the estimate. */
	riseGain: number;
	/** Weight of a sample below the estimate. */
	fallGain: number;
	/** Time constant with which an estimate without samples returns to the mean: after it, about two thirds of the distance are gone. */
	decayMs: number;
	/** Weight of one sample in the service's mean. */
	meanGain: number;
	/** A failure counts as at least this many times the mean. */
	failureRatio: number;
	/** Estimates within this ratio of the mean count as the mean: such a difference is noise, and idle hosts must not be ranked by it. */
	noiseRatio: number;
};

/** Tuning used unless another is passed. */
export const defaultLatencyTuning: LatencyTuning = {
	riseGain: 0.3, fallGain: 0.1, decayMs: 8000, meanGain: 0.02, failureRatio: 5, noiseRatio: 1.25,
};

type Estimate = {
	valueMs: number;
	updatedAtMs: number;
};

type ClassEstimates = Partial<Record<RequestClass, Estimate>>;

/** Estimates the latency of upstreams, relative to their service's mean. */
export class LatencyEstimator {
	readonly #clock: Clock;
	readonly #tuning: LatencyTuning;
	readonly #byUpstream = new Map<string, ClassEstimates>();
	readonly #meanMs = new Map<string, Partial<Record<RequestClass, number>>>();

	constructor(clock: Clock, tuning: LatencyTuning = defaultLatencyTuning) {
		this.#clock = clock;
		this.#tuning = tuning;
	}

	/** Weighted mean of the service's samples, or undefined before the first. */
	getMeanMs(serviceName: string, requestClass: RequestClass): number | undefined {
		return this.#meanMs.get(serviceName)?.[requestClass];
	}

	/** Estimate as a multiple of the service's mean; 1 for an upstream without samples. */
	getRatio(serviceName: string, upstreamId: string, requestClass: RequestClass): number {
		const meanMs = this.getMeanMs(serviceName, requestClass);
		const estimate = this.#byUpstream.get(upstreamId)?.[requestClass];
		if (!meanMs || !estimate) {
			return 1;
		}

		const ratio = this.#getCurrentMs(estimate, meanMs) / meanMs;
		const {noiseRatio} = this.#tuning;
		return ratio < noiseRatio && ratio * noiseRatio > 1 ? 1 : ratio;
	}

	/** Records the time until an answer was complete. */
	recordSuccess(serviceName: string, upstreamId: string, requestClass: RequestClass, latencyMs: number): void {
		const means = this.#meanMs.get(serviceName) ?? {};
		this.#meanMs.set(serviceName, means);
		const meanMs = means[requestClass] ?? latencyMs;
		means[requestClass] = meanMs + (this.#tuning.meanGain * (latencyMs - meanMs));
		this.#updateEstimate(upstreamId, requestClass, latencyMs, meanMs);
	}

	/** Records a failure, which counts as slow: an upstream that fails immediately must not look fast. */
	recordFailure(serviceName: string, upstreamId: string, requestClass: RequestClass, latencyMs: number): void {
		const meanMs = this.getMeanMs(serviceName, requestClass);
		if (meanMs !== undefined) {
			this.#updateEstimate(upstreamId, requestClass, Math.max(latencyMs, this.#tuning.failureRatio * meanMs), meanMs);
		}
	}

	/** Records that a request was abandoned after `latencyMs`, a lower bound of its latency. */
	recordLowerBound(serviceName: string, upstreamId: string, requestClass: RequestClass, latencyMs: number): void {
		const meanMs = this.getMeanMs(serviceName, requestClass);
		if (meanMs !== undefined && latencyMs > meanMs * this.getRatio(serviceName, upstreamId, requestClass)) {
			this.#updateEstimate(upstreamId, requestClass, latencyMs, meanMs);
		}
	}

	/** Deletes the estimates of an upstream. */
	forget(upstreamId: string): void {
		this.#byUpstream.delete(upstreamId);
	}

	/** Deletes a service's means. */
	forgetService(serviceName: string): void {
		this.#meanMs.delete(serviceName);
	}

	#getCurrentMs({valueMs, updatedAtMs}: Estimate, meanMs: number): number {
		const ageMs = this.#clock.monotonicMs() - updatedAtMs;
		return meanMs + ((valueMs - meanMs) * Math.exp(-ageMs / this.#tuning.decayMs));
	}

	#updateEstimate(upstreamId: string, requestClass: RequestClass, sampleMs: number, meanMs: number): void {
		const estimates = this.#byUpstream.get(upstreamId) ?? {};
		this.#byUpstream.set(upstreamId, estimates);
		const known = estimates[requestClass];
		const currentMs = known ? this.#getCurrentMs(known, meanMs) : meanMs;
		const gain = sampleMs > currentMs ? this.#tuning.riseGain : this.#tuning.fallGain;
		estimates[requestClass] = {valueMs: currentMs + (gain * (sampleMs - currentMs)), updatedAtMs: this.#clock.monotonicMs()};
	}
}
