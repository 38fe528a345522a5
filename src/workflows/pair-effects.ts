/**
Effects of best-effort images on latency-critical images, learned per pair by a Kalman filter with a diagonal covariance. An
effect is the load that a best-effort image would add if it used all of a worker's CPU.
*/

/** Estimated effect of a pair, with its standard deviation. */
export type Effect = {mean: number; deviation: number};

/** Share of a worker's CPU that one image used. */
export type UsedShare = {image: string; share: number};

type Pair = {mean: number; variance: number; isMeasured: boolean};

const priorMean = 0.2;
const priorVariance = 2 ** 2;
/** Interference changes within seconds, so that the certainty of what was learned decays. */
const halfLifeMs = 60_000;
const decayIntervalMs = 3000;
/** Rate at which an image's mean effect over all latency-critical images follows its pairs. */
const meanEffectRate = 0.05;
/** Limits how far one outlier moves an effect, in standard deviations. */
const clipDeviations = 3;

/** Learned effects. */
export class PairEffects {
	readonly #pairs = new Map<string, Map<string, Pair>>();
	/** Mean effect of an image over all latency-critical images, the prior of unknown pairs. */
	readonly #meanEffects = new Map<string, number>();
	#decayedAtMs: number | undefined;

	/** Gets the effect of a pair; of an unknown pair, the image's mean effect on others. */
	get(latencyCriticalImage: string, bestEffortImage: string): Effect {
		const pair = this.#pairs.get(latencyCriticalImage)?.get(bestEffortImage);
		return pair
			? {mean: pair.mean, deviation: Math.sqrt(pair.variance)}
			: {mean: this.#meanEffects.get(bestEffortImage) ?? priorMean, deviation: Math.sqrt(priorVariance)};
	}

	/** Whether the pair was observed. */
	isObserved(latencyCriticalImage: string, bestEffortImage: string): boolean {
		return this.#pairs.get(latencyCriticalImage)?.has(bestEffortImage) ?? false;
	}

	/** Whether the pair was observed by this process, not only by another. */
	isMeasured(latencyCriticalImage: string, bestEffortImage: string): boolean {
		return this.#pairs.get(latencyCriticalImage)?.get(bestEffortImage)?.isMeasured ?? false;
	}

	/** Sets an effect that another process learned. */
	set(latencyCriticalImage: string, bestEffortImage: string, {mean, deviation}: Effect): void {
		this.#getOrCreatePairs(latencyCriticalImage).set(bestEffortImage, {mean, variance: Math.min(priorVariance, deviation ** 2), isMeasured: false});
	}

	/**
	Learns from the load that all best-effort tasks on a worker together added to a latency-critical task. `otherVariance` is the
	variance of `added` from other sources: the task's own load and the noise of the report.
	*/
	learn(latencyCriticalImage: string, used: UsedShare[], added: number, otherVariance: number): void {
		const pairs = this.#getOrCreatePairs(latencyCriticalImage);
		let innovation = added;
		let variance = otherVariance;
		for (const {image, share} of used) {
			if (!pairs.has(image)) {
				pairs.set(image, {mean: this.get(latencyCriticalImage, image).mean, variance: priorVariance, isMeasured: true});
			}

			const pair = pairs.get(image)!;
			innovation -= share * pair.mean;
			variance += (share ** 2) * pair.variance;
		}

		const bound = clipDeviations * Math.sqrt(variance);
		const clippedInnovation = Math.max(-bound, Math.min(bound, innovation));
		for (const {image, share} of used) {
			const pair = pairs.get(image)!;
			const gain = share * pair.variance / variance;
			pair.mean += gain * clippedInnovation;
			pair.variance *= 1 - (gain * share);
			pair.isMeasured = true;
			const meanEffect = this.#meanEffects.get(image) ?? priorMean;
			this.#meanEffects.set(image, meanEffect + (meanEffectRate * (pair.mean - meanEffect)));
		}
	}

	/** Moves variances towards the prior, by the time since the last call. */
	decay(nowMs: number): void {
		this.#decayedAtMs ??= nowMs;
		const passedMs = nowMs - this.#decayedAtMs;
		if (passedMs < decayIntervalMs) {
			return;
		}

		this.#decayedAtMs = nowMs;
		const remainingShare = 2 ** (-passedMs / halfLifeMs);
		for (const pairs of this.#pairs.values()) {
			for (const pair of pairs.values()) {
				pair.variance = priorVariance + ((pair.variance - priorVariance) * remainingShare);
			}
		}
	}

	/** Removes a best-effort image. */
	removeBestEffortImage(bestEffortImage: string): void {
		this.#meanEffects.delete(bestEffortImage);
		for (const pairs of this.#pairs.values()) {
			pairs.delete(bestEffortImage);
		}
	}

	/** Removes a latency-critical image. */
	removeLatencyCriticalImage(latencyCriticalImage: string): void {
		this.#pairs.delete(latencyCriticalImage);
	}

	#getOrCreatePairs(latencyCriticalImage: string): Map<string, Pair> {
		let pairs = this.#pairs.get(latencyCriticalImage);
		if (!pairs) {
			pairs = new Map();
			this.#pairs.set(latencyCriticalImage, pairs);
		}

		return pairs;
	}
}
