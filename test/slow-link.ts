/**
Link of an entry that carries one message after the other, on manual time.
*/
import {type Clock} from '../src/types/clock.ts';

/** A link with a limited rate. */
export class SlowLink {
	sentBytes = 0;
	readonly #clock: Clock;
	readonly #bytesPerMs: number;
	#busyUntilMs = 0;

	constructor(clock: Clock, bytesPerMs: number) {
		this.#clock = clock;
		this.#bytesPerMs = bytesPerMs;
	}

	/** Queues a message; returns the time until it has passed. */
	send(bytes: number): number {
		const nowMs = this.#clock.monotonicMs();
		this.sentBytes += bytes;
		this.#busyUntilMs = Math.max(nowMs, this.#busyUntilMs) + (bytes / this.#bytesPerMs);
		return this.#busyUntilMs - nowMs;
	}
}
