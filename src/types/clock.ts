/**
Clock interface: monotonic time for durations and leases, wall time for values shared with other processes.
*/

/** A pending timer; cancelling it again has no effect. */
export type Timer = {
	cancel(): void;
};

/** Source of time, passed in so that tests and measurements can run on manual time. */
export type Clock = {
	/** Milliseconds on a clock that never goes back; only differences are meaningful. */
	monotonicMs(): number;
	/** Wall time. May jump, so it is never used for leases within one process. */
	now(): Date;
	/** Calls back once after the delay. */
	setTimer(callback: () => void, delayMs: number): Timer;
	/** Resolves after the delay, or at once when the signal aborts. */
	sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
};
