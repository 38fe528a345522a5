/**
Detects an overloaded process by the lateness of its timers: they fire late when the process gets too little processor time, or when
its own work uses all of it.
*/
import {type Clock} from '../types/clock.ts';

/** Interval of the timer whose lateness is measured. */
const timerIntervalMs = 50;
/** Minimum time between two log lines on late timers; each reports the highest lateness since the last one. */
const reportIntervalMs = 1000;
/** Lateness that is logged: with it, a heartbeat that is due every quarter of a second misses a beat. */
const reportedLatenessMs = 250;
/** Time constant of the moving average of the share of time spent waiting. */
const averagingTimeMs = 2000;
/** The same for what routing follows: queues in front of a thread build up within a second. */
const recentTimeMs = 500;
/** Longest stall that is counted. A longer one, as after a freeze of the host, has ended when it is detected. */
const maxStallMs = 500;
/**
Share of time spent waiting for the processor above which the process is overloaded. A caller's request then takes about a second,
because its connection, its request and the store's response each wait for the thread.
*/
const overloadedShare = 0.4;
/** Share at or below which an overloaded process accepts callers again. */
const recoveredShare = 0.25;

/** Tracks whether this process is overloaded. */
export class ProcessLoad {
	readonly #clock: Clock;
	readonly #note: (event: string, fields: Record<string, unknown>) => void;
	/** Moving average of the share of time that the process spent waiting. */
	#lateShare = 0;
	/** The same over a shorter time. */
	#recentLateShare = 0;
	#isOverloaded = false;
	#maxLateMs = 0;
	#reportedAtMs: number;

	constructor(clock: Clock, note: (event: string, fields: Record<string, unknown>) => void) {
		this.#clock = clock;
		this.#note = note;
		this.#reportedAtMs = clock.monotonicMs();
	}

	/** Whether callers should use other entries, if there are any. */
	get isOverloaded(): boolean {
		return this.#isOverloaded;
	}

	/** Share of the last half second that the process spent waiting for its processor. */
	get recentLateShare(): number {
		return this.#recentLateShare;
	}

	/** Measures the lateness of a timer until the signal aborts. */
	async watch(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const startedAtMs = this.#clock.monotonicMs();
			await this.#clock.sleep(timerIntervalMs, signal);
			const lateMs = Math.max(0, this.#clock.monotonicMs() - startedAtMs - timerIntervalMs);
			this.#updateOverload(Math.min(maxStallMs, lateMs));
			this.#reportLateness(lateMs);
		}
	}

	#updateOverload(lateMs: number): void {
		const spentMs = lateMs + timerIntervalMs;
		const recentWeight = 1 - Math.exp(-spentMs / recentTimeMs);
		this.#recentLateShare += recentWeight * ((lateMs / spentMs) - this.#recentLateShare);
		const weight = 1 - Math.exp(-spentMs / averagingTimeMs);
		this.#lateShare += weight * ((lateMs / spentMs) - this.#lateShare);
		const isOverloaded = this.#lateShare > (this.#isOverloaded ? recoveredShare : overloadedShare);
		if (isOverloaded !== this.#isOverloaded) {
			this.#isOverloaded = isOverloaded;
			this.#note(isOverloaded ? 'overloaded' : 'keeps up', {lateShare: Number(this.#lateShare.toFixed(2))});
		}
	}

	#reportLateness(lateMs: number): void {
		this.#maxLateMs = Math.max(this.#maxLateMs, lateMs);
		const nowMs = this.#clock.monotonicMs();
		if (this.#maxLateMs >= reportedLatenessMs && nowMs - this.#reportedAtMs >= reportIntervalMs) {
			this.#note('timers late', {latestMs: Math.round(this.#maxLateMs), lateShare: Number(this.#lateShare.toFixed(2))});
			this.#reportedAtMs = nowMs;
			this.#maxLateMs = 0;
		}
	}
}
