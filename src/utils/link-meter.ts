/**
Measures how much of a link the calls of this process use: moving averages of the bytes sent and received, against the link's limit.
*/
import {type Clock} from '../types/clock.ts';

/** Time constant of the averages. */
const averagingTimeMs = 2000;
/** Bytes per ms of one Mbit/s. */
const bytesPerMsOfMbps = 125;

/** Meter of one link. */
export class LinkMeter {
	readonly #clock: Clock;
	readonly #limitMbps: number | undefined;
	#sentBytesPerMs = 0;
	#receivedBytesPerMs = 0;
	#updatedAtMs: number;

	constructor(clock: Clock, limitMbps: number | undefined) {
		this.#clock = clock;
		this.#limitMbps = limitMbps;
		this.#updatedAtMs = clock.monotonicMs();
	}

	/** Share of the limit in the busier direction; undefined: the limit is not known. */
	get share(): number | undefined {
		if (this.#limitMbps === undefined) {
			return undefined;
		}

		this.#decay();
		return Math.max(this.#sentBytesPerMs, this.#receivedBytesPerMs) / (this.#limitMbps * bytesPerMsOfMbps);
	}

	/** Counts the bytes of a call. */
	count(sentBytes: number, receivedBytes: number): void {
		if (this.#limitMbps === undefined) {
			return;
		}

		this.#decay();
		this.#sentBytesPerMs += sentBytes / averagingTimeMs;
		this.#receivedBytesPerMs += receivedBytes / averagingTimeMs;
	}

	#decay(): void {
		const nowMs = this.#clock.monotonicMs();
		const factor = Math.exp((this.#updatedAtMs - nowMs) / averagingTimeMs);
		this.#sentBytesPerMs *= factor;
		this.#receivedBytesPerMs *= factor;
		this.#updatedAtMs = nowMs;
	}
}
