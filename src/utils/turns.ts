/**
Divides work among turns of the event loop. A loop that finds thirty answers at once runs all that follows from them
before it looks at anything else. On a slow host that takes a third of a second, and platforms take one new connection a
turn: callers then wait for seconds in front of a process that would answer them within milliseconds.
*/
import process from 'node:process';

/**
Work goes on in a turn until this is used up; one piece at the least. One piece a turn alone would be too little: what else
belongs to a turn takes its time each time, and answers of peers would wait for seconds.
*/
const turnMs = 10;

/** Lets pieces of work go on, in the order of asking, for a short time in each turn. */
export class Turns {
	readonly #waiting: Array<() => void> = [];
	#isScheduled = false;

	/** Resolves when it is the caller's turn. */
	async next(): Promise<void> {
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
			const endMs = performance.now() + turnMs;
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
Calls back once the input that has arrived by now was read. A loop that is behind runs its timers first: an answer that came in
time would else be taken for none.
*/
export const afterPendingInput = (callback: () => void): void => {
	setImmediate(callback);
};

/** Resolves once all that follows at once from what was resolved before has run. */
const afterMicrotasks = async (): Promise<void> => {
	// From within a microtask: what is asked for before them would come first.
	await Promise.resolve();
	await new Promise(resolve => {
		process.nextTick(resolve);
	});
};
