/**
Slow start: a host that has just appeared gets a growing part of the load of its neighbours.
*/

/** Shape of slow start. */
export type SlowStartTuning = {
	durationMs: number;
	/** Part at the start. */
	minFactor: number;
};

/** Tuning used unless another is passed. */
export const defaultSlowStartTuning: SlowStartTuning = {durationMs: 10_000, minFactor: 0.1};

/** Gets the part of a full load that a host of this age may get, from the least part to 1. */
export const getSlowStartFactor = (ageMs: number, {durationMs, minFactor}: SlowStartTuning): number => {
	if (ageMs >= durationMs) {
		return 1;
	}

	return Math.max(minFactor, ageMs / durationMs);
};
