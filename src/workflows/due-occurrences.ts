/**
Occurrences of jobs that are repeated at given times: opens each when it is due.
*/
import {type Clock} from '../types/clock.ts';
import {type LiveModel, type LiveWorkflow} from './live-model.ts';

/** The occurrences that are still to come. */
export class DueOccurrences {
	readonly #model: LiveModel;
	readonly #clock: Clock;
	#scheduled: Array<{dueAtMs: number; workflow: LiveWorkflow}> = [];

	constructor(model: LiveModel, clock: Clock) {
		this.#model = model;
		this.#clock = clock;
	}

	/** Opens what is due of the job, and keeps the time of what comes next. */
	schedule(workflow: LiveWorkflow): void {
		const dueAtMs = this.#model.openDue(workflow, this.#clock.now().getTime(), this.#clock.monotonicMs());
		if (dueAtMs !== undefined) {
			this.#scheduled.push({dueAtMs, workflow});
		}
	}

	/** Opens what has come due since; to be called every now and then. */
	open(): void {
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
