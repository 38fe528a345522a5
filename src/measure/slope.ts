/**
Fits straight lines to measured points: the slope is the cost of one more unit.
*/

/** One measured point. */
export type Sample = {
	size: number;
	value: number;
};

/** A line through samples. */
export type Slope = {
	/** What was measured, with its unit. */
	name: string;
	/** What the size counts. */
	per: string;
	perUnit: number;
	base: number;
	samples: Sample[];
	/** Largest distance of a sample from the line, as a share of the sample. */
	error: number;
};

/** Fits a line by least squares; with one sample the line is level. */
export const fitSlope = (name: string, per: string, samples: Sample[]): Slope => {
	const count = samples.length;
	const meanSize = samples.reduce((sum, {size}) => sum + size, 0) / count;
	const meanValue = samples.reduce((sum, {value}) => sum + value, 0) / count;
	let covariance = 0;
	let variance = 0;
	for (const {size, value} of samples) {
		covariance += (size - meanSize) * (value - meanValue);
		variance += (size - meanSize) ** 2;
	}

	const perUnit = variance === 0 ? 0 : covariance / variance;
	const base = meanValue - (perUnit * meanSize);
	const error = Math.max(...samples.map(({size, value}) => Math.abs(base + (perUnit * size) - value) / Math.max(Math.abs(value), Number.EPSILON)));
	return {
		name, per, perUnit, base, samples, error,
	};
};

/** Gets the value of the line at a size. */
export const getAt = ({perUnit, base}: Slope, size: number): number => base + (perUnit * size);
