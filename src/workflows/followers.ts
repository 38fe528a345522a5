/**
Followers of the jobs streams that an entry reads, created as partitions are needed.
*/
import {type WorkflowFollower} from './follower.ts';

/** Followers by partition. */
export class Followers {
	readonly #create: (partition: number) => WorkflowFollower;
	readonly #followers = new Map<number, WorkflowFollower>();
	/** Partitions whose end was reached once, after all of the first ones were read. */
	readonly #established = new Set<number>();

	constructor(create: (partition: number) => WorkflowFollower) {
		this.#create = create;
	}

	/** Gets the follower of a partition. */
	get(partition: number): WorkflowFollower {
		let follower = this.#followers.get(partition);
		if (!follower) {
			follower = this.#create(partition);
			this.#followers.set(partition, follower);
		}

		return follower;
	}

	/** Whether the partition is followed. */
	has(partition: number): boolean {
		return this.#followers.has(partition);
	}

	/** Start of the oldest of the last reads that reached the end of a partition, on the monotonic clock; `-Infinity`: one has not been read to its end. */
	get caughtUpAtMs(): number {
		return Math.min(...this.#getCounted().map(({caughtUpAtMs}) => caughtUpAtMs));
	}

	/** Whether all partitions have been read to their ends. */
	get areCaughtUp(): boolean {
		return this.#getCounted().every(({isCaughtUp}) => isCaughtUp);
	}

	/**
	The followers whose views count. A partition that is followed later does not count before it was read: the entry would appear to have missed records
	of the others, and release their jobs.
	*/
	#getCounted(): WorkflowFollower[] {
		const isComplete = [...this.#followers.values()].every(({isCaughtUp}) => isCaughtUp);
		if (isComplete) {
			for (const partition of this.#followers.keys()) {
				this.#established.add(partition);
			}
		}

		return this.#established.size === 0
			? [...this.#followers.values()]
			: [...this.#established].map(partition => this.#followers.get(partition)!);
	}
}
