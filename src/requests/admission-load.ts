/**
What admission learns of a service: how long requests hold a slot, and how many slots checks keep busy.
*/
import {RequestClass} from '../types/requests.ts';

const sampleCount = 32;
const windowMs = 5000;

/** Mean time that requests of a class hold a slot: plain at first, then with the old ones fading. */
export class HoldTime {
	#count = 0;
	#meanMs = 0;

	/** Mean so far; 0 when nothing was measured. */
	get meanMs(): number {
		return this.#meanMs;
	}

	add(heldMs: number): void {
		this.#count = Math.min(sampleCount, this.#count + 1);
		this.#meanMs += (heldMs - this.#meanMs) / this.#count;
	}
}

/** Mean over time of a number that changes in steps, with the past fading. */
export class LevelMean {
	#mean = 0;
	#level = 0;
	#sinceMs: number;

	constructor(nowMs: number) {
		this.#sinceMs = nowMs;
	}

	set(level: number, nowMs: number): void {
		this.#advance(nowMs);
		this.#level = level;
	}

	getMean(nowMs: number): number {
		this.#advance(nowMs);
		return this.#mean;
	}

	#advance(nowMs: number): void {
		if (nowMs <= this.#sinceMs) {
			return;
		}

		this.#mean += (this.#level - this.#mean) * -Math.expm1((this.#sinceMs - nowMs) / windowMs);
		this.#sinceMs = nowMs;
	}
}

/** A number for each class. */
export type ClassCounts = Record<RequestClass, number>;

/** Creates counts of none. */
export const createClassCounts = (): ClassCounts => ({[RequestClass.Check]: 0, [RequestClass.Long]: 0});
