/**
Opens the occurrences of repeated jobs when they are due.
*/
import {type Clock} from '../types/clock.ts';
import {type LiveModel, type LiveWorkflow} from './live-model.ts';

/** Schedule of future occurrences. */
export class DueOccurrences {
	readonly #model: LiveModel;
	readonly #clock: Clock;
	#scheduled: Array<{dueAtMs: number; workflow: LiveWorkflow}> = [];

	constructor(model: LiveModel, clock: Clock) {
		this.#model = model;
		this.#clock = clock;
	}

	/** Opens the job's due occurrences, and schedules the next one. */
	schedule(workflow: LiveWorkflow): void {
		const dueAtMs = this.#model.openDueOccurrences(workflow, this.#clock.now().getTime(), this.#clock.monotonicMs());
		if (dueAtMs !== undefined) {
			this.#scheduled.push({dueAtMs, workflow});
		}
	}

	/** Opens occurrences that have become due; to be called periodically. */
	openDueOccurrences(): void {
		const wallMs = this.#clock.now().getTime();
		const due = this.#scheduled.filter(({dueAtMs}) => dueAtMs <= wallMs);
		if (due.length > 0) {
			this.#scheduled = this.#scheduled.filter(({dueAtMs}) => dueAtMs > wallMs);
			for (const {workflow} of due) {
				this.schedule(workflow);
			}
		}
	}
}
