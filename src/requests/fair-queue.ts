/**
A queue that serves callers in turn: each in order of arrival, and none faster than its weight allows.
*/

/** What can be queued. */
export type Queued = {
	callerId: string;
};

type CallerQueue<Item> = {
	items: Set<Item>;
	/** Turns left in this round. */
	credit: number;
};

/** Turns that a caller gets in each round. */
export type GetWeight = (callerId: string) => number;

const getEqualWeight: GetWeight = () => 1;

/** Weighted round robin over the callers that have something queued; no others are remembered. */
export class FairQueue<Item extends Queued> {
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
	Tells whether the caller may queue one more within the limit.
	A caller may hold as much as is left free, so one that floods takes half and the next always finds room.
	*/
	hasRoom(callerId: string, limit: number): boolean {
		const held = this.#callers.get(callerId)?.items.size ?? 0;
		return this.#size < limit && held < Math.max(1, limit - this.#size);
	}

	/** Estimates how many are served before one more of the caller. */
	getAhead(callerId: string): number {
		const held = this.#callers.get(callerId)?.items.size ?? 0;
		return Math.min(this.#size, ((held + 1) * this.#callers.size));
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

	/** The item whose turn it is, left in the queue. */
	peek(): Item | undefined {
		const caller = this.#callers.values().next().value;
		return caller?.items.values().next().value;
	}

	/** Removes the item; false when it was not queued. With `isServed` it uses up one of its caller's turns. */
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

	/** Removes and gives all items. */
	clear(): Item[] {
		const items = [...this.#callers.values()].flatMap(caller => [...caller.items]);
		this.#callers.clear();
		this.#size = 0;
		return items;
	}
}
