/**
Sum of numbers.
*/

/** Sums the values. */
export const sum = (values: number[]): number => {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
};
