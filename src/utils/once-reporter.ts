/**
Reports each invalid input once: senders repeat themselves, and readers read the same records again.
*/

/** Bound on the inputs that are told apart. */
const maxReported = 100;
/** Bound on the reason that is reported: it may quote the input. */
const maxReasonChars = 300;

/** Reports of one kind. */
export class OnceReporter {
	readonly #reported = new Set<string>();
	readonly #onFirst: (source: string, reason: string) => void;

	constructor(onFirst: (source: string, reason: string) => void) {
		this.#onFirst = onFirst;
	}

	/** Reports the source, unless it was reported under this key before or too many others were. */
	reportOnce(source: string, reason: string, key = source): void {
		if (!this.#reported.has(key) && this.#reported.size < maxReported) {
			this.#reported.add(key);
			this.#onFirst(source, reason.slice(0, maxReasonChars));
		}
	}
}
