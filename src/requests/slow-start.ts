/**
Slow start: a host that has just appeared gets an increasing share of the load of an established one.
*/

/** Shape of slow start. */
export type SlowStartTuning = {
	durationMs: number;
	/** Share of the full load at the start. */
	minFactor: number;
};

/** Tuning used unless another is passed. */
export const defaultSlowStartTuning: SlowStartTuning = {durationMs: 10_000, minFactor: 0.1};

/** Returns the share of the full load for a host of this age, from `minFactor` to 1. */
export const getSlowStartFactor = (ageMs: number, {durationMs, minFactor}: SlowStartTuning): number => {
	if (ageMs >= durationMs) {
		return 1;
	}

	return Math.max(minFactor, ageMs / durationMs);
};
