/**
Times without a run of long-running tasks, and since when nothing has happened to the processes that could explain them.
*/

/** A task that has waited for longer than is promised. */
export type LateTask = {taskId: string; text: string};

/** A task runs again within this time of the end of its last run. */
const resumeBoundMs = 6000;
/** The bound above applies once no fault and no departure has been in play for this time. */
export const calmBoundMs = 7000;

type Interruption = {startedAtMs: number; fate: string; isReported: boolean};

/** Measures interruptions, and reports each that breaks the bound. */
export class Interruptions {
	/** Longest times without a run: in all, and as far as no fault was in play. */
	readonly counts = {interruptions: 0, longestGapMs: 0, longestCalmGapMs: 0};
	readonly #open = new Map<string, Interruption>();
	readonly #nowMs: () => number;
	readonly #onLate: (late: LateTask) => void;
	#faults = 0;
	#calmSinceMs: number;

	constructor(nowMs: () => number, onLate: (late: LateTask) => void) {
		this.#nowMs = nowMs;
		this.#onLate = onLate;
		this.#calmSinceMs = nowMs();
	}

	/** Whether the whole calm has passed and no task has a bound that is still to come. */
	get isCalmOver(): boolean {
		this.check();
		return this.#faults === 0 && this.#nowMs() - this.#calmSinceMs > calmBoundMs && [...this.#open.values()].every(({isReported}) => isReported);
	}

	/** Plays a fault or a departure; time counts as calm only while none is in play. */
	async play(fault: () => Promise<void>): Promise<void> {
		this.check();
		this.#faults++;
		try {
			await fault();
		} finally {
			this.#faults--;
			this.#calmSinceMs = this.#nowMs();
		}
	}

	/** Records that a task has no run any more. `fate` says what became of its last one. */
	recordEnd(taskId: string, fate: string): void {
		this.#open.set(taskId, {startedAtMs: this.#nowMs(), fate, isReported: false});
	}

	recordStart(taskId: string): void {
		const interruption = this.#open.get(taskId);
		if (!interruption) {
			return;
		}

		this.#check(taskId, interruption);
		const {counts} = this;
		const nowMs = this.#nowMs();
		counts.interruptions++;
		counts.longestGapMs = Math.max(counts.longestGapMs, Math.round(nowMs - interruption.startedAtMs));
		this.#open.delete(taskId);
	}

	/** Measures the open interruptions, and reports the tasks that wait for longer than the bound, each once. */
	check(): void {
		for (const [taskId, interruption] of this.#open) {
			this.#check(taskId, interruption);
		}
	}

	#check(taskId: string, interruption: Interruption): void {
		const {startedAtMs, fate, isReported} = interruption;
		if (this.#faults > 0) {
			return;
		}

		const nowMs = this.#nowMs();
		this.counts.longestCalmGapMs = Math.max(this.counts.longestCalmGapMs, Math.round(nowMs - Math.max(startedAtMs, this.#calmSinceMs)));
		const dueAtMs = Math.max(startedAtMs + resumeBoundMs, this.#calmSinceMs + calmBoundMs);
		if (!isReported && nowMs > dueAtMs) {
			interruption.isReported = true;
			this.#onLate({taskId, text: `no run for ${Math.round(nowMs - startedAtMs)} ms, ${Math.round(nowMs - this.#calmSinceMs)} ms after the last fault; its last run is ${fate}`});
		}
	}
}
