/**
A queue with weighted round robin between callers; items of one caller are served in order of arrival.
*/

/** An item that can be queued. */
export type QueueItem = {
	callerId: string;
};

type CallerQueue<Item> = {
	items: Set<Item>;
	/** Items that the caller may still have served in this round. */
	credit: number;
};

/** Returns the number of items of a caller that are served in each round. */
export type GetWeight = (callerId: string) => number;

const getEqualWeight: GetWeight = () => 1;

/** Weighted round robin over the callers with queued items; keeps no state of other callers. */
export class FairQueue<Item extends QueueItem> {
	// Both collections keep insertion order and delete in constant time, also from the middle.
	readonly #callers = new Map<string, CallerQueue<Item>>();
	readonly #getWeight: GetWeight;
	#size = 0;

	constructor(getWeight = getEqualWeight) {
		this.#getWeight = getWeight;
	}

	get size(): number {
		return this.#size;
	}

	/**
	Whether the caller may queue one more item within the limit.
	A caller may hold as many places as are free, so that a flood from one takes half of the queue and leaves places to others.
	*/
	mayPush(callerId: string, limit: number): boolean {
		const queuedCount = this.#callers.get(callerId)?.items.size ?? 0;
		return this.#size < limit && queuedCount < Math.max(1, limit - this.#size);
	}

	/** Estimates how many items are served before another item of the caller. */
	countAhead(callerId: string): number {
		const queuedCount = this.#callers.get(callerId)?.items.size ?? 0;
		return Math.min(this.#size, ((queuedCount + 1) * this.#callers.size));
	}

	push(item: Item): void {
		let caller = this.#callers.get(item.callerId);
		if (!caller) {
			caller = {items: new Set(), credit: this.#getWeight(item.callerId)};
			this.#callers.set(item.callerId, caller);
		}

		caller.items.add(item);
		this.#size++;
	}

	/** Returns the next item without removing it. */
	peek(): Item | undefined {
		const caller = this.#callers.values().next().value;
		return caller?.items.values().next().value;
	}

	/** Removes the item; false when it was not queued. With `isServed` it counts against its caller's credit. */
	remove(item: Item, isServed = false): boolean {
		const caller = this.#callers.get(item.callerId);
		if (!caller?.items.delete(item)) {
			return false;
		}

		this.#size--;
		if (caller.items.size === 0) {
			this.#callers.delete(item.callerId);
		} else if (isServed && --caller.credit <= 0) {
			caller.credit = this.#getWeight(item.callerId);
			this.#callers.delete(item.callerId);
			this.#callers.set(item.callerId, caller);
		}

		return true;
	}

	/** Removes and returns all items. */
	clear(): Item[] {
		const items = [...this.#callers.values()].flatMap(caller => [...caller.items]);
		this.#callers.clear();
		this.#size = 0;
		return items;
	}
}
