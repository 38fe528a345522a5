/**
Time as the program sees it: a monotonic reading for durations and leases, a wall reading for what is shared.
*/

/** A pending timer; cancelling it twice is harmless. */
export type Timer = {
	cancel(): void;
};

/** Source of time, passed in so that tests and measurements can run on manual time. */
export type Clock = {
	/** Milliseconds on a clock that never goes back; only differences have a meaning. */
	monotonicMs(): number;
	/** Wall time. May jump; never used for leases within one process. */
	now(): Date;
	/** Calls back once after the delay. */
	setTimer(callback: () => void, delayMs: number): Timer;
	/** Resolves after the delay, or at once when the signal aborts. */
	sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
};
