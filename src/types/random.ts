/**
Randomness as the program sees it, passed in so that a seed repeats a run.
*/

/** Source of random numbers. */
export type Random = {
	/** A number in [0, 1). */
	next(): number;
	/** A whole number in [0, limit). */
	below(limit: number): number;
	/** An identifier of 16 hexadecimal digits. */
	id(): string;
};
