/**
Distribution of what steps of a queue take in relation to the prediction, as a histogram of logarithms: it shows a tail of a few
jobs that take several times as long, which no variance does. It answers how long a run is expected to take that has already
worked for a time.
*/

/** Buckets of a quarter each from a tenth to 25 times the prediction; the outermost ones hold everything beyond. */
const bucketWidth = 0.25;
const bucketCount = 24;
const firstCentre = -2.375;
/** The prior counts as this many steps. */
const priorSteps = 6;
/** Standard deviation of the prior. */
const priorDeviation = 0.5;
/** A run that has worked longer than all of the distribution is expected to take this much longer still. */
const beyondFactor = 1.25;

const centres = Array.from({length: bucketCount}, (_, index) => firstCentre + (index * bucketWidth));
const ratios = centres.map(centre => Math.exp(centre));

const createPrior = (): Float64Array => {
	const weights = Float64Array.from(centres, centre => Math.exp(-((centre / priorDeviation) ** 2) / 2));
	let total = 0;
	for (const weight of weights) {
		total += weight;
	}

	return weights.map(weight => weight * priorSteps / total);
};

const prior = createPrior();

/** Distribution of the ratio of measured to predicted time. */
export class RunTimeDistribution {
	readonly #weights = Float64Array.from(prior);

	/** Adds a step that took `Math.exp(logRatio)` times its prediction. */
	add(logRatio: number): void {
		const index = Math.round((logRatio - firstCentre) / bucketWidth);
		this.#weights[Math.min(bucketCount - 1, Math.max(0, index))]! += 1;
	}

	/** Expected time, given the prediction and that it takes longer than `workedMs`; never less than `workedMs`, and never falls as that grows. */
	getExpectedMs(predictedMs: number, workedMs: number): number {
		let weight = 0;
		let sumMs = 0;
		for (let index = 0; index < bucketCount; index++) {
			const ms = predictedMs * ratios[index]!;
			if (ms > workedMs) {
				weight += this.#weights[index]!;
				sumMs += this.#weights[index]! * ms;
			}
		}

		// Weights far out are so small that their quotient is only rounding error.
		return weight > Number.EPSILON ? Math.max(workedMs, sumMs / weight) : Math.max(workedMs * beyondFactor, predictedMs * ratios.at(-1)!);
	}
}

/** Expected maximum of so many draws of the standard normal distribution, by Blom's approximation. */
export const getExpectedMaximum = (count: number): number => count <= 1 ? 0 : getNormalQuantile((count - 0.375) / (count + 0.25));

/** Quantile of the standard normal distribution for a probability of at least 0.5; off by at most 0.005. */
const getNormalQuantile = (probability: number): number => {
	const t = Math.sqrt(-2 * Math.log(1 - probability));
	return t - ((2.307_53 + (0.270_61 * t)) / (1 + (0.992_29 * t) + (0.044_81 * t * t)));
};
