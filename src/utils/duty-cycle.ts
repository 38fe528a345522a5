/**
Limits repeated work to a share of the thread's time.
*/
import {type Clock} from '../types/clock.ts';

/** After each run, the work is paused for a multiple of the run's duration. */
export class DutyCycle {
	readonly #clock: Clock;
	readonly #restFactor: number;
	#restUntilMs = Number.NEGATIVE_INFINITY;

	/** With a factor of 3, the work takes at most a quarter of the time. */
	constructor(clock: Clock, restFactor: number) {
		this.#clock = clock;
		this.#restFactor = restFactor;
	}

	/** Remaining pause in ms; 0 if the work may run. */
	get restMs(): number {
		return Math.max(0, this.#restUntilMs - this.#clock.monotonicMs());
	}

	/** Runs the work and starts the pause. */
	run(work: () => void): void {
		const startedAtMs = this.#clock.monotonicMs();
		work();
		const endedAtMs = this.#clock.monotonicMs();
		this.#restUntilMs = endedAtMs + (this.#restFactor * (endedAtMs - startedAtMs));
	}

	/** Runs the work unless it is paused. */
	tryRun(work: () => void): void {
		if (this.restMs === 0) {
			this.run(work);
		}
	}
}
