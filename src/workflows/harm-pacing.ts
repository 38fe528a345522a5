/**
How fast tasks that fill may work beside tasks that serve. Harm shows only as the tail latency of the serving tasks, half
a second late, and differs from pair to pair and by the second; so the pace follows what is measured.
*/

/** What a step of the control is decided on. */
export type PaceInput = {
	/** Present share of their speed, 0 to 100. */
	percent: number;
	/** Largest tail latency over its target among the serving tasks of the worker. */
	worstRatio: number;
	/** Time since the last change. */
	sinceChangeMs: number;
};

/** Above this share of the target the pace goes down: a wave of load takes a few hundred ms to cross the rest. */
const lowerAboveRatio = 0.9;
/** Below this share there is room for more. Between the two it stays. */
const raiseBelowRatio = 0.7;
/** Far above the target nothing but a stop brings the tail down within the time allowed. */
const stopAboveRatio = 1.6;
const lowerFactor = 0.5;
const raiseByPercent = 15;
/** A pace shows in the tail after the worker took it up (0.1 s) and half a second was measured. */
const settleMs = 600;
const minPercent = 5;

/** Decides the next pace. */
export const decidePace = ({percent, worstRatio, sinceChangeMs}: PaceInput): number => {
	if (worstRatio > stopAboveRatio) {
		return sinceChangeMs >= settleMs || percent === 100 ? 0 : percent;
	}

	if (worstRatio > lowerAboveRatio && sinceChangeMs >= settleMs) {
		const lower = Math.floor(percent * lowerFactor);
		return lower < minPercent ? 0 : lower;
	}

	if (worstRatio < raiseBelowRatio && percent < 100 && sinceChangeMs >= settleMs) {
		return Math.min(100, percent + raiseByPercent);
	}

	return percent;
};
