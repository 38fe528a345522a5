/**
Keeps repeated work to a share of the thread's time.
*/
import {type Clock} from '../types/clock.ts';

/** After each run the work rests for a multiple of the time that it took. */
export class DutyCycle {
	readonly #clock: Clock;
	readonly #restFactor: number;
	#restUntilMs = Number.NEGATIVE_INFINITY;

	/** With a factor of 3, the work takes a quarter of the time at most. */
	constructor(clock: Clock, restFactor: number) {
		this.#clock = clock;
		this.#restFactor = restFactor;
	}

	/** How long the work still rests, in ms; 0 when it may run. */
	get restMs(): number {
		return Math.max(0, this.#restUntilMs - this.#clock.monotonicMs());
	}

	/** Runs the work, and lets it rest. */
	run(work: () => void): void {
		const startedAtMs = this.#clock.monotonicMs();
		work();
		const endedAtMs = this.#clock.monotonicMs();
		this.#restUntilMs = endedAtMs + (this.#restFactor * (endedAtMs - startedAtMs));
	}

	/** Runs the work unless it rests. */
	tryRun(work: () => void): void {
		if (this.restMs === 0) {
			this.run(work);
		}
	}
}
