/**
Latency estimates for each upstream and class: they rise fast, fall slowly, and move back to the service's mean while
nothing is measured.
*/
import {type Clock} from '../types/clock.ts';
import {type RequestClass} from '../types/requests.ts';

/** How estimates follow their samples. */
export type LatencyTuning = {
	/** Share of the difference taken over from a sample above the estimate. */
	riseGain: number;
	/** Share of the difference taken over from a sample below the estimate. */
	fallGain: number;
	/** Time in which an unmeasured estimate loses two thirds of its distance from the mean. */
	decayMs: number;
	/** Share of the difference by which one sample moves the service's mean. */
	meanGain: number;
	/** A failure counts as at least this many times the mean. */
	failureRatio: number;
	/** Estimates within this ratio of the mean count as the mean: so small a difference is noise, and must not order idle hosts. */
	noiseRatio: number;
};

/** Tuning that the measurements chose. */
export const defaultLatencyTuning: LatencyTuning = {
	riseGain: 0.3, fallGain: 0.1, decayMs: 8000, meanGain: 0.02, failureRatio: 5, noiseRatio: 1.25,
};

type Estimate = {
	valueMs: number;
	atMs: number;
};

type ClassEstimates = Partial<Record<RequestClass, Estimate>>;

/** Latency of upstreams, relative to each other within a service. */
export class LatencyBook {
	readonly #clock: Clock;
	readonly #tuning: LatencyTuning;
	readonly #byUpstream = new Map<string, ClassEstimates>();
	readonly #meanMs = new Map<string, Partial<Record<RequestClass, number>>>();

	constructor(clock: Clock, tuning: LatencyTuning = defaultLatencyTuning) {
		this.#clock = clock;
		this.#tuning = tuning;
	}

	/** Mean of the service's samples, or undefined before the first. */
	getMeanMs(serviceName: string, requestClass: RequestClass): number | undefined {
		return this.#meanMs.get(serviceName)?.[requestClass];
	}

	/** Estimate as a multiple of the service's mean; 1 for an upstream never measured. */
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

	/** Takes the latency of one whole answer. */
	recordSuccess(serviceName: string, upstreamId: string, requestClass: RequestClass, latencyMs: number): void {
		const means = this.#meanMs.get(serviceName) ?? {};
		this.#meanMs.set(serviceName, means);
		const meanMs = means[requestClass] ?? latencyMs;
		means[requestClass] = meanMs + (this.#tuning.meanGain * (latencyMs - meanMs));
		this.#follow(upstreamId, requestClass, latencyMs, meanMs);
	}

	/** Takes a failure, which counts as slow: an upstream that fails at once must not look fast. */
	recordFailure(serviceName: string, upstreamId: string, requestClass: RequestClass, latencyMs: number): void {
		const meanMs = this.getMeanMs(serviceName, requestClass);
		if (meanMs !== undefined) {
			this.#follow(upstreamId, requestClass, Math.max(latencyMs, this.#tuning.failureRatio * meanMs), meanMs);
		}
	}

	/** Takes a request that was given up before its end: it would have taken at least so long. */
	recordAtLeast(serviceName: string, upstreamId: string, requestClass: RequestClass, latencyMs: number): void {
		const meanMs = this.getMeanMs(serviceName, requestClass);
		if (meanMs !== undefined && latencyMs > meanMs * this.getRatio(serviceName, upstreamId, requestClass)) {
			this.#follow(upstreamId, requestClass, latencyMs, meanMs);
		}
	}

	/** Forgets an upstream. */
	forget(upstreamId: string): void {
		this.#byUpstream.delete(upstreamId);
	}

	/** Forgets a service's mean. */
	forgetService(serviceName: string): void {
		this.#meanMs.delete(serviceName);
	}

	#getCurrentMs({valueMs, atMs}: Estimate, meanMs: number): number {
		const ageMs = this.#clock.monotonicMs() - atMs;
		return meanMs + ((valueMs - meanMs) * Math.exp(-ageMs / this.#tuning.decayMs));
	}

	#follow(upstreamId: string, requestClass: RequestClass, sampleMs: number, meanMs: number): void {
		const estimates = this.#byUpstream.get(upstreamId) ?? {};
		this.#byUpstream.set(upstreamId, estimates);
		const known = estimates[requestClass];
		const currentMs = known ? this.#getCurrentMs(known, meanMs) : meanMs;
		const gain = sampleMs > currentMs ? this.#tuning.riseGain : this.#tuning.fallGain;
		estimates[requestClass] = {valueMs: currentMs + (gain * (sampleMs - currentMs)), atMs: this.#clock.monotonicMs()};
	}
}
