/**
Bounds how many calls are made at a time, so that a wave does not flood the workers.
*/

/** Runs actions, at most so many at a time, in order of arrival. */
export class CallLimiter {
	readonly #maxConcurrent: number;
	readonly #waiting: Array<() => void> = [];
	#running = 0;

	constructor(max: number) {
		this.#maxConcurrent = max;
	}

	/** Runs the action once its turn has come. */
	async run<Result>(action: () => Promise<Result>): Promise<Result> {
		if (this.#running >= this.#maxConcurrent) {
			// The place is handed over by who leaves, so the count stays.
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
