/**
How far a process is behind: its timers fire late when it has no processor, or when its steps take all of it.
*/
import {type Clock} from '../types/clock.ts';

/** A timer is looked at this often. */
const lookEveryMs = 50;
/** Told at most once in so long, with the latest of that time. */
const noteEveryMs = 1000;
/** Later than this a heartbeat that is due every quarter of a second is one behind. */
const lateFromMs = 250;
/** Weight of the newest look in the average. */
const newestWeight = 0.2;
/**
Later than this on average, what a caller asks takes a second: its connection, its request and the store's answer each wait
for the thread. An owner on 0.069 of a core was 100 to 400 ms late, entries beside it 5.
*/
const overloadedFromMs = 80;
/** One long stall, as after a freeze, is over when it is seen. */
const overloadedForMs = 1000;
/** On time again for so long, it takes callers again. */
const keepsUpMs = 30;
const keepsUpForMs = 3000;

/** Load of this process. */
export class ProcessLoad {
	readonly #clock: Clock;
	readonly #note: (event: string, fields: Record<string, unknown>) => void;
	#lateMs = 0;
	#isOverloaded = false;
	#lateAtMs = Number.NEGATIVE_INFINITY;
	#lateSinceMs: number | undefined;
	#latestMs = 0;
	#notedAtMs: number;

	constructor(clock: Clock, note: (event: string, fields: Record<string, unknown>) => void) {
		this.#clock = clock;
		this.#note = note;
		this.#notedAtMs = clock.monotonicMs();
	}

	/** Whether others, if there are any, do better for callers. */
	get isOverloaded(): boolean {
		return this.#isOverloaded;
	}

	/** Looks at timers until the signal aborts. */
	async watch(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const startedAtMs = this.#clock.monotonicMs();
			await this.#clock.sleep(lookEveryMs, signal);
			this.#take(this.#clock.monotonicMs() - startedAtMs - lookEveryMs);
		}
	}

	#take(lateMs: number): void {
		this.#lateMs += newestWeight * (Math.max(0, lateMs) - this.#lateMs);
		this.#latestMs = Math.max(this.#latestMs, lateMs);
		const nowMs = this.#clock.monotonicMs();
		this.#judge(nowMs);
		if (this.#latestMs >= lateFromMs && nowMs - this.#notedAtMs >= noteEveryMs) {
			this.#note('timers late', {latestMs: Math.round(this.#latestMs), lateMs: Math.round(this.#lateMs)});
			this.#notedAtMs = nowMs;
			this.#latestMs = 0;
		}
	}

	#judge(nowMs: number): void {
		if (this.#lateMs > keepsUpMs) {
			this.#lateAtMs = nowMs;
		}

		this.#lateSinceMs = this.#lateMs > overloadedFromMs ? this.#lateSinceMs ?? nowMs : undefined;
		const isOverloaded = this.#isOverloaded
			? nowMs - this.#lateAtMs < keepsUpForMs
			: this.#lateSinceMs !== undefined && nowMs - this.#lateSinceMs >= overloadedForMs;
		if (isOverloaded !== this.#isOverloaded) {
			this.#isOverloaded = isOverloaded;
			this.#note(isOverloaded ? 'overloaded' : 'keeps up', {lateMs: Math.round(this.#lateMs)});
		}
	}
}
