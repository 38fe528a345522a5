/**
Tells hosts when to announce next, so that an entry gets no more announcements than it can take.
*/
import {type Clock} from '../types/clock.ts';

const windowMs = 1000;

/** Budget of announcements of one entry. */
export class AnnouncementBudget {
	#windowStartMs = Number.NEGATIVE_INFINITY;
	#count = 0;
	#lastCount = 0;
	readonly #clock: Clock;
	readonly #everyMs: number;
	readonly #perSecond: number;

	constructor(clock: Clock, everyMs: number, perSecond: number) {
		this.#clock = clock;
		this.#everyMs = everyMs;
		this.#perSecond = perSecond;
	}

	/** Counts an announcement and tells when that host is to announce next. */
	note(hostsInCare: number): number {
		const nowMs = this.#clock.monotonicMs();
		if (nowMs - this.#windowStartMs >= windowMs) {
			this.#lastCount = nowMs - this.#windowStartMs >= 2 * windowMs ? 0 : this.#count;
			this.#windowStartMs = nowMs;
			this.#count = 0;
		}

		this.#count++;
		const steadyMs = Math.max(this.#everyMs, hostsInCare / this.#perSecond * 1000);
		// After the loss of an entry its hosts come here at once: what exceeds the budget is spread over later periods.
		const excess = Math.max(this.#count, this.#lastCount) / this.#perSecond;
		return Math.round(excess > 1 ? steadyMs * excess : steadyMs);
	}
}
