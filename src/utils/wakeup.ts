/**
A wait that others can cut short.
*/
import {type Clock} from '../types/clock.ts';

/** Lets one loop wait for a time or for a call, whichever comes first; a call while nobody waits is kept. */
export class Wakeup {
	#isCalled = false;
	#aborter: AbortController | undefined;

	/** Ends the present wait, or the next one at once. */
	wake(): void {
		this.#isCalled = true;
		this.#aborter?.abort();
	}

	/** Waits at most so long. */
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
