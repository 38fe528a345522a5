/**
Load statistics of a service: how long requests hold a slot, and how many slots checks occupy.
*/
import {RequestClass} from '../types/requests.ts';

const maxSampleCount = 32;
const decayMs = 5000;

/** Mean time that requests of a class hold a slot: arithmetic over the first samples, then exponentially weighted. */
export class MeanHoldTime {
	#count = 0;
	#meanMs = 0;

	/** Mean so far; 0 before the first sample. */
	get meanMs(): number {
		return this.#meanMs;
	}

	add(heldMs: number): void {
		this.#count = Math.min(maxSampleCount, this.#count + 1);
		this.#meanMs += (heldMs - this.#meanMs) / this.#count;
	}
}

/** Time-weighted mean of a number that changes in steps, with exponential decay. */
export class TimeWeightedMean {
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

		this.#mean += (this.#level - this.#mean) * -Math.expm1((this.#sinceMs - nowMs) / decayMs);
		this.#sinceMs = nowMs;
	}
}

/** A number for each class. */
export type ClassCounts = Record<RequestClass, number>;

/** Creates counts of 0. */
export const createClassCounts = (): ClassCounts => ({[RequestClass.Check]: 0, [RequestClass.Long]: 0});
