/**
Limits concurrent calls, so that a burst does not overload the workers.
*/

/** Runs actions in order of arrival, with limited concurrency. */
export class CallLimiter {
	readonly #maxConcurrent: number;
	readonly #waiting: Array<() => void> = [];
	#running = 0;

	constructor(max: number) {
		this.#maxConcurrent = max;
	}

	/** Runs the action once fewer than the maximum are running. */
	async run<Result>(action: () => Promise<Result>): Promise<Result> {
		if (this.#running >= this.#maxConcurrent) {
			// The action that ends passes its slot on, so the count does not change.
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
		} else {
			this.#running++;
		}

		try {
			return await action();
		} finally {
			const next = this.#waiting.shift();
			if (next) {
				next();
			} else {
				this.#running--;
			}
		}
	}
}
