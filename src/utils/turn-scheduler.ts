/**
Turn scheduler: spreads work over turns of the event loop. If thirty responses arrive at once, the loop runs all work that
follows from them before it polls for other input. On a slow host this takes a third of a second, and the loop accepts only one
new connection in each turn: callers would wait for seconds for a connection to a process that answers within milliseconds.
*/
import process from 'node:process';

/**
Time for waiting work in each turn of the event loop; at least one piece of work runs. With only one piece in each turn, the fixed
cost of a turn would make responses of peers wait for seconds.
*/
const maxWorkMsPerTurn = 10;

/** Resumes waiting pieces of work in first-in-first-out order, for a short time in each turn of the event loop. */
export class TurnScheduler {
	readonly #waiting: Array<() => void> = [];
	#isScheduled = false;

	/** Resolves when the calling work may continue. */
	async waitForTurn(): Promise<void> {
		return new Promise(resolve => {
			this.#waiting.push(resolve);
			if (!this.#isScheduled) {
				this.#schedule();
			}
		});
	}

	#schedule(): void {
		this.#isScheduled = true;
		setImmediate(async () => {
			const endMs = performance.now() + maxWorkMsPerTurn;
			do {
				this.#waiting.shift()!();
				await afterMicrotasks();
			} while (this.#waiting.length > 0 && performance.now() < endMs);

			this.#isScheduled = false;
			if (this.#waiting.length > 0) {
				this.#schedule();
			}
		});
	}
}

/**
Calls back after the input that has arrived by now was read. The event loop runs timers before input, so when it is late, a time-out
would otherwise fire although the response has already arrived.
*/
export const afterPendingInput = (callback: () => void): void => {
	setImmediate(callback);
};

/** Resolves after the microtasks that are pending now, and those that they queue, have run. */
const afterMicrotasks = async (): Promise<void> => {
	// Wait for a microtask first: a `nextTick` callback that is queued outside of microtasks runs before them.
	await Promise.resolve();
	await new Promise(resolve => {
		process.nextTick(resolve);
	});
};
