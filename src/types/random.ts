/**
Source of randomness, passed in so that a run can be repeated with the same seed.
*/

/** Source of random numbers. */
export type Random = {
	/** A number in [0, 1). */
	next(): number;
	/** An integer in [0, limit). */
	below(limit: number): number;
	/** An identifier of 16 hexadecimal digits. */
	id(): string;
};
