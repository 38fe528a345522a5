/**
Admission control for one upstream: limits concurrent requests and queues a bounded number for a bounded time.
*/
import {type Clock} from '../types/clock.ts';

/** Limits of the admission. */
export type AdmissionBounds = {
	slots: number;
	queueLimit: number;
	queueMs: number;
};

type Waiter = (isAdmitted: boolean) => void;

/** Counts the requests in progress and admits waiting ones in order of arrival. */
export class GuardAdmission {
	inProgress = 0;
	readonly #queue: Waiter[] = [];
	readonly #idleWaiters: Array<() => void> = [];
	readonly #clock: Clock;
	readonly #bounds: AdmissionBounds;

	constructor(clock: Clock, bounds: AdmissionBounds) {
		this.#clock = clock;
		this.#bounds = bounds;
	}

	/** Resolves to true once admitted, or to false if the queue is full or `queueMs` passes. Release each admission once. */
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

	/** Ends one admission and passes its slot to the request that has waited longest. */
	release(): void {
		const next = this.#queue.shift();
		if (next) {
			next(true);
			return;
		}

		this.inProgress--;
		if (this.inProgress === 0) {
			for (const resolve of this.#idleWaiters.splice(0)) {
				resolve();
			}
		}
	}

	/** Resolves when no request is in progress. */
	async waitUntilIdle(): Promise<void> {
		if (this.inProgress === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#idleWaiters.push(resolve);
		});
	}
}
