/**
Clock that advances only on request, for tests and seeded simulations.
*/
import {type Clock, type Timer} from '../types/clock.ts';
import {sleepOn} from './system-clock.ts';

type Pending = {
	dueMs: number;
	order: number;
	callback: () => void;
	isCancelled: boolean;
};

const isBefore = (a: Pending, b: Pending): boolean => a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order);

/** Waits until pending microtasks and immediates have run. */
const settlePromises = async (): Promise<void> => {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
};

/** Clock that is advanced explicitly. Timers fire in order of due time, then of creation. */
export class ManualClock implements Clock {
	// Counted from 0: added to the large number of a wall time, small delays would be rounded and a timer could fire early.
	#nowMs = 0;
	#order = 0;
	readonly #startMs: number;
	// Binary heap ordered by due time, so that the cost of a timer grows only logarithmically with their number.
	readonly #heap: Pending[] = [];

	constructor(startMs = 1_800_000_000_000) {
		this.#startMs = startMs;
	}

	monotonicMs(): number {
		return this.#nowMs;
	}

	now(): Date {
		return new Date(this.#startMs + this.#nowMs);
	}

	setTimer(callback: () => void, delayMs: number): Timer {
		const pending = {
			dueMs: this.#nowMs + Math.max(0, delayMs), order: this.#order++, callback, isCancelled: false,
		};
		this.#push(pending);
		return {
			cancel() {
				pending.isCancelled = true;
			},
		};
	}

	async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
		await sleepOn((callback, ms) => this.setTimer(callback, ms), delayMs, signal);
	}

	/** Advances by the duration; promises settle after each timer. */
	async advance(durationMs: number): Promise<void> {
		const endMs = this.#nowMs + durationMs;
		await settlePromises();
		for (let next = this.#takeDue(endMs); next; next = this.#takeDue(endMs)) {
			this.#nowMs = Math.max(this.#nowMs, next.dueMs);
			next.callback();
			await settlePromises();
		}

		this.#nowMs = endMs;
	}

	/** Advances by the duration without waiting for promises; many times faster, for callbacks that are purely synchronous. */
	advanceSync(durationMs: number): void {
		const endMs = this.#nowMs + durationMs;
		for (let next = this.#takeDue(endMs); next; next = this.#takeDue(endMs)) {
			this.#nowMs = Math.max(this.#nowMs, next.dueMs);
			next.callback();
		}

		this.#nowMs = endMs;
	}

	#takeDue(endMs: number): Pending | undefined {
		while (this.#heap.length > 0 && this.#heap[0]!.dueMs <= endMs) {
			const next = this.#pop();
			if (!next.isCancelled) {
				return next;
			}
		}

		return undefined;
	}

	#push(pending: Pending): void {
		const heap = this.#heap;
		heap.push(pending);
		let index = heap.length - 1;
		while (index > 0) {
			const parent = (index - 1) >> 1;
			if (isBefore(heap[parent]!, heap[index]!)) {
				return;
			}

			[heap[parent], heap[index]] = [heap[index]!, heap[parent]!];
			index = parent;
		}
	}

	#pop(): Pending {
		const heap = this.#heap;
		const top = heap[0]!;
		const last = heap.pop()!;
		if (heap.length === 0) {
			return top;
		}

		heap[0] = last;
		let index = 0;
		for (;;) {
			const left = (2 * index) + 1;
			const right = left + 1;
			let first = index;
			if (left < heap.length && isBefore(heap[left]!, heap[first]!)) {
				first = left;
			}

			if (right < heap.length && isBefore(heap[right]!, heap[first]!)) {
				first = right;
			}

			if (first === index) {
				return top;
			}

			[heap[first], heap[index]] = [heap[index]!, heap[first]!];
			index = first;
		}
	}
}
