/**
Where the time of a process goes: how long its steps keep the one thread. On a host with a small share of a processor a
step of a few milliseconds keeps everything else waiting for a tenth of a second.
*/
import {type Clock} from '../types/clock.ts';

/** Times of one kind of step since the last report. */
export type StepTimes = {
	count: number;
	totalMs: number;
	longestMs: number;
};

/** Adds up the times of steps by kind, and tells them once a second. */
export class WorkMeter {
	readonly #clock: Clock;
	readonly #onTimes: (times: Record<string, StepTimes>) => void;
	readonly #times = new Map<string, StepTimes>();
	#toldAtMs: number;

	constructor(clock: Clock, onTimes: (times: Record<string, StepTimes>) => void) {
		this.#clock = clock;
		this.#onTimes = onTimes;
		this.#toldAtMs = clock.monotonicMs();
	}

	/** Runs a step and adds the time that it took. */
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
		if (endedAtMs - this.#toldAtMs >= noteEveryMs) {
			this.#toldAtMs = endedAtMs;
			this.#tell();
		}
	}

	#tell(): void {
		this.#onTimes(Object.fromEntries([...this.#times].map(([kind, {count, totalMs, longestMs}]) =>
			[kind, {count, totalMs: Math.round(totalMs), longestMs: Math.round(longestMs)}])));
		this.#times.clear();
	}
}

/** Times are told this often. */
const noteEveryMs = 1000;
