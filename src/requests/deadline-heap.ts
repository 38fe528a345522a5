/**
Items by deadline, with one timer for all of them.
*/
import {type Clock, type Timer} from '../types/clock.ts';

type Entry<Item> = {
	item: Item;
	dueMs: number;
};

/** What happens to items. */
export type DeadlineOptions<Item> = {
	clock: Clock;
	/** Tells whether an item still waits; others are dropped unseen. */
	isWaiting(item: Item): boolean;
	onDue(item: Item): void;
};

const compactionFloor = 64;

/** A binary heap of waiting items that calls back for each as it falls due. */
export class DeadlineHeap<Item> {
	#heap: Array<Entry<Item>> = [];
	#timer: Timer | undefined;
	#timerDueMs = Number.POSITIVE_INFINITY;
	readonly #options: DeadlineOptions<Item>;

	constructor(options: DeadlineOptions<Item>) {
		this.#options = options;
	}

	/** Adds an item; `waitingCount` is the number that still wait, itself included. */
	add(item: Item, dueMs: number, waitingCount: number): void {
		// Served items stay in the heap until they fall due; without this a fast queue with long deadlines would grow.
		if (this.#heap.length > compactionFloor + (2 * waitingCount)) {
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
