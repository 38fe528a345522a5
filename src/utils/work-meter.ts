/**
Measures how long synchronous steps occupy the thread of a process. On a host with a small share of a processor, a step of a few
milliseconds of processor time delays all other work by a tenth of a second.
*/
import {type Clock} from '../types/clock.ts';

/** Count and durations of one kind of step since the last report. */
export type StepTimes = {
	count: number;
	totalMs: number;
	longestMs: number;
};

/** Sums the durations of steps by kind and reports them about once a second. */
export class WorkMeter {
	readonly #clock: Clock;
	readonly #onTimes: (times: Record<string, StepTimes>) => void;
	readonly #times = new Map<string, StepTimes>();
	#reportedAtMs: number;

	constructor(clock: Clock, onTimes: (times: Record<string, StepTimes>) => void) {
		this.#clock = clock;
		this.#onTimes = onTimes;
		this.#reportedAtMs = clock.monotonicMs();
	}

	/** Runs a step and records its duration. */
	measure<Result>(kind: string, step: () => Result): Result {
		const startedAtMs = this.#clock.monotonicMs();
		try {
			return step();
		} finally {
			this.#add(kind, startedAtMs, this.#clock.monotonicMs());
		}
	}

	#add(kind: string, startedAtMs: number, endedAtMs: number): void {
		const {count, totalMs, longestMs} = this.#times.get(kind) ?? {count: 0, totalMs: 0, longestMs: 0};
		const tookMs = endedAtMs - startedAtMs;
		this.#times.set(kind, {count: count + 1, totalMs: totalMs + tookMs, longestMs: Math.max(longestMs, tookMs)});
		if (endedAtMs - this.#reportedAtMs >= reportIntervalMs) {
			this.#reportedAtMs = endedAtMs;
			this.#report();
		}
	}

	#report(): void {
		this.#onTimes(Object.fromEntries([...this.#times].map(([kind, {count, totalMs, longestMs}]) =>
			[kind, {count, totalMs: Math.round(totalMs), longestMs: Math.round(longestMs)}])));
		this.#times.clear();
	}
}

const reportIntervalMs = 1000;
