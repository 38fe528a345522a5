/**
Items by deadline, with one timer for all of them.
*/
import {type Clock, type Timer} from '../types/clock.ts';

type Entry<Item> = {
	item: Item;
	dueMs: number;
};

/** Callbacks of a deadline heap. */
export type DeadlineHeapOptions<Item> = {
	clock: Clock;
	/** Whether an item is still waiting; others are removed without a call of `onDue`. */
	isWaiting(item: Item): boolean;
	onDue(item: Item): void;
};

const minCompactionSize = 64;

/** Binary heap of waiting items that calls `onDue` for each at its deadline. */
export class DeadlineHeap<Item> {
	#heap: Array<Entry<Item>> = [];
	#timer: Timer | undefined;
	#timerDueMs = Number.POSITIVE_INFINITY;
	readonly #options: DeadlineHeapOptions<Item>;

	constructor(options: DeadlineHeapOptions<Item>) {
		this.#options = options;
	}

	/** Adds an item; `waitingCount` is the number of items that are still waiting, including this one. */
	add(item: Item, dueMs: number, waitingCount: number): void {
		// Items that no longer wait stay in the heap until they fall due; without compaction it would grow when the queue is fast and deadlines are long.
		if (this.#heap.length > minCompactionSize + (2 * waitingCount)) {
			this.#compact();
		}

		this.#push({item, dueMs});
		this.#arm();
	}

	stop(): void {
		this.#timer?.cancel();
		this.#heap = [];
	}

	#arm(): void {
		const dueMs = this.#heap[0]?.dueMs ?? Number.POSITIVE_INFINITY;
		if (dueMs >= this.#timerDueMs) {
			return;
		}

		this.#timer?.cancel();
		this.#timerDueMs = dueMs;
		this.#timer = this.#options.clock.setTimer(() => {
			this.#timerDueMs = Number.POSITIVE_INFINITY;
			this.#fire();
		}, dueMs - this.#options.clock.monotonicMs());
	}

	#fire(): void {
		const nowMs = this.#options.clock.monotonicMs();
		while (this.#heap.length > 0) {
			const {item, dueMs} = this.#heap[0]!;
			const isWaiting = this.#options.isWaiting(item);
			if (isWaiting && dueMs > nowMs) {
				break;
			}

			this.#pop();
			if (isWaiting) {
				this.#options.onDue(item);
			}
		}

		this.#arm();
	}

	#compact(): void {
		const entries = this.#heap.filter(({item}) => this.#options.isWaiting(item));
		// An array sorted by due time is a heap.
		this.#heap = entries.toSorted((a, b) => a.dueMs - b.dueMs);
	}

	#push(entry: Entry<Item>): void {
		const heap = this.#heap;
		heap.push(entry);
		let index = heap.length - 1;
		while (index > 0) {
			const parent = (index - 1) >> 1;
			if (heap[parent]!.dueMs <= heap[index]!.dueMs) {
				return;
			}

			[heap[parent], heap[index]] = [heap[index]!, heap[parent]!];
			index = parent;
		}
	}

	#pop(): void {
		const heap = this.#heap;
		const last = heap.pop()!;
		if (heap.length === 0) {
			return;
		}

		heap[0] = last;
		let index = 0;
		for (;;) {
			const left = (2 * index) + 1;
			const right = left + 1;
			let first = index;
			if (left < heap.length && heap[left]!.dueMs < heap[first]!.dueMs) {
				first = left;
			}

			if (right < heap.length && heap[right]!.dueMs < heap[first]!.dueMs) {
				first = right;
			}

			if (first === index) {
				return;
			}

			[heap[first], heap[index]] = [heap[index]!, heap[first]!];
			index = first;
		}
	}
}
