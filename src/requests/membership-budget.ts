/**
Sets when hosts announce next, so that an entry receives no more announcements than it can process.
*/
import {type Clock} from '../types/clock.ts';

const windowMs = 1000;

/** Rate limit for the announcements that one entry receives. */
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

	/** Counts an announcement and returns the time in ms until its host is to announce next. */
	recordAnnouncement(monitoredHosts: number): number {
		const nowMs = this.#clock.monotonicMs();
		if (nowMs - this.#windowStartMs >= windowMs) {
			this.#lastCount = nowMs - this.#windowStartMs >= 2 * windowMs ? 0 : this.#count;
			this.#windowStartMs = nowMs;
			this.#count = 0;
		}

		this.#count++;
		const regularMs = Math.max(this.#everyMs, monitoredHosts / this.#perSecond * 1000);
		// When another entry fails, its hosts announce here all at once: what exceeds the budget is spread over later periods.
		const excess = Math.max(this.#count, this.#lastCount) / this.#perSecond;
		return Math.round(excess > 1 ? regularMs * excess : regularMs);
	}
}
