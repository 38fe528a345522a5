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
/** Time over which the share of waiting is averaged. */
const averageMs = 2000;
/** A longer stall, as after a freeze, is over when it is seen: it counts as so much. */
const maxStallMs = 500;
/**
More of its time than this spent waiting for the processor, what a caller asks takes a second: its connection, its request and
the store's answer each wait for the thread.
*/
const overloadedShare = 0.4;
/** Below this it takes callers again. */
const keepsUpShare = 0.25;

/** Load of this process. */
export class ProcessLoad {
	readonly #clock: Clock;
	readonly #note: (event: string, fields: Record<string, unknown>) => void;
	/** Share of its time that the process waited, of late. */
	#lateShare = 0;
	#isOverloaded = false;
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
			const lateMs = Math.max(0, this.#clock.monotonicMs() - startedAtMs - lookEveryMs);
			this.#judge(Math.min(maxStallMs, lateMs));
			this.#tellLate(lateMs);
		}
	}

	#judge(lateMs: number): void {
		const spentMs = lateMs + lookEveryMs;
		const weight = 1 - Math.exp(-spentMs / averageMs);
		this.#lateShare += weight * ((lateMs / spentMs) - this.#lateShare);
		const isOverloaded = this.#lateShare > (this.#isOverloaded ? keepsUpShare : overloadedShare);
		if (isOverloaded !== this.#isOverloaded) {
			this.#isOverloaded = isOverloaded;
			this.#note(isOverloaded ? 'overloaded' : 'keeps up', {lateShare: Number(this.#lateShare.toFixed(2))});
		}
	}

	#tellLate(lateMs: number): void {
		this.#latestMs = Math.max(this.#latestMs, lateMs);
		const nowMs = this.#clock.monotonicMs();
		if (this.#latestMs >= lateFromMs && nowMs - this.#notedAtMs >= noteEveryMs) {
			this.#note('timers late', {latestMs: Math.round(this.#latestMs), lateShare: Number(this.#lateShare.toFixed(2))});
			this.#notedAtMs = nowMs;
			this.#latestMs = 0;
		}
	}
}
