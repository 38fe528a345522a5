/**
Admits requests of one upstream: at most so many at once, with a short bounded queue.
*/
import {type Clock} from '../types/clock.ts';

/** Bounds of an admission. */
export type AdmissionBounds = {
	slots: number;
	queueLimit: number;
	queueMs: number;
};

type Waiter = (isAdmitted: boolean) => void;

/** Counts what is in progress; first come, first served. */
export class GuardAdmission {
	inProgress = 0;
	readonly #queue: Waiter[] = [];
	readonly #idle: Array<() => void> = [];
	readonly #clock: Clock;
	readonly #bounds: AdmissionBounds;

	constructor(clock: Clock, bounds: AdmissionBounds) {
		this.#clock = clock;
		this.#bounds = bounds;
	}

	/** Resolves to true once admitted; each admission is released once. */
	async admit(): Promise<boolean> {
		if (this.inProgress < this.#bounds.slots) {
			this.inProgress++;
			return true;
		}

		if (this.#queue.length >= this.#bounds.queueLimit) {
			return false;
		}

		return new Promise<boolean>(resolve => {
			const waiter: Waiter = isAdmitted => {
				timer.cancel();
				resolve(isAdmitted);
			};

			const timer = this.#clock.setTimer(() => {
				this.#queue.splice(this.#queue.indexOf(waiter), 1);
				resolve(false);
			}, this.#bounds.queueMs);
			this.#queue.push(waiter);
		});
	}

	/** Ends one admission; the slot goes to the one that waited longest. */
	release(): void {
		const next = this.#queue.shift();
		if (next) {
			next(true);
			return;
		}

		this.inProgress--;
		if (this.inProgress === 0) {
			for (const resolve of this.#idle.splice(0)) {
				resolve();
			}
		}
	}

	/** Resolves when nothing is in progress. */
	async becomeIdle(): Promise<void> {
		if (this.inProgress === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#idle.push(resolve);
		});
	}
}
