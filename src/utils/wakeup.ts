/**
A wait that other code can end early.
*/
import {type Clock} from '../types/clock.ts';

/** Lets one loop wait until a time-out or a call of `wake`. A call while nobody waits ends the next wait at once. */
export class Wakeup {
	#isCalled = false;
	#aborter: AbortController | undefined;

	/** Ends the current wait, or the next one if there is none. */
	wake(): void {
		this.#isCalled = true;
		this.#aborter?.abort();
	}

	/** Waits for `wake`, the time-out or the signal. */
	async wait(clock: Clock, timeoutMs: number, signal?: AbortSignal): Promise<void> {
		if (!this.#isCalled && !signal?.aborted) {
			this.#aborter = new AbortController();
			const aborter = this.#aborter;
			const onAbort = () => {
				aborter.abort();
			};

			signal?.addEventListener('abort', onAbort, {once: true});
			await clock.sleep(timeoutMs, aborter.signal);
			signal?.removeEventListener('abort', onAbort);
			this.#aborter = undefined;
		}

		this.#isCalled = false;
	}
}
