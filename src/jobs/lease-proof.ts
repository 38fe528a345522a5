/**
Proof, by the workers, that no newer owner of a shard can have begun: what an owner goes by while the log is away.
*/

/** Moment up to which more than half of the workers have not known a newer token, or undefined when they did not tell. */
export const getMajorityMs = (acceptedAtMs: Array<number | undefined>): number | undefined => {
	const needed = Math.floor(acceptedAtMs.length / 2) + 1;
	const known = acceptedAtMs.filter(atMs => atMs !== undefined).toSorted((a, b) => b - a);
	return known[needed - 1];
};

/** Tells whether so many of the workers are more than half. */
export const isMajority = (count: number, total: number): boolean => count > total / 2;
