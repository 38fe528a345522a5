/**
Which partitions this entry owns: the store's group deals them, and a partition changes hands only when its owner has
given it up or has been silent. What the group says starts and stops owners; what keeps an owner that was replaced from
doing harm is its epoch, which the stream and the agents check.
*/
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type StoreClient} from '../types/store.ts';

/** An owner at work. */
export type RunningOwner = {
	run(): Promise<void>;
	stop(): void;
};

/** Options of the ownership. */
export type OwnershipOptions = {
	store: StoreClient;
	clock: Clock;
	group: string;
	topic: string;
	/** New with each start of the process. */
	member: string;
	minTtlMs: number;
	/** A host that is too slow for an owner's work: it owns only while no other host does. */
	isStandby: boolean;
	/** Whether the entry with this member's name answers: the group may list members that are dead. */
	isAlive: (member: string) => Promise<boolean>;
	/** Whether this entry knows what it would own. */
	isCaughtUp: () => boolean;
	/** Whether the partition carries anything. */
	isUsed: (partition: number) => boolean;
	createOwner: (partition: number, epoch: number, onDeposed: () => void) => RunningOwner;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** The group deals a silent member's partitions anew after this: the time that a dead owner's jobs wait. */
const ttlMs = 1200;
/** An owner of 72 workers used up to 0.28 of a core: with less, starts and takeovers wait for the processor. */
export const ownerProcessors = 0.25;
/** Members of hosts that stand by are known by their names. */
export const standbyPrefix = 'standby-';
const standbyEveryMs = 1000;
/** A dead owner's partitions are dealt anew within 1.2 s, and entries that start anew are there within 2 s. */
const standbyAfterMs = 3000;
/** Until the jobs are known. */
const catchUpEveryMs = 20;
/** Several calls may be lost or slow before the group takes the member for dead. */
const joinEveryMs = 250;

/** Ownership of one entry. */
export class Ownership {
	readonly owners = new Map<number, RunningOwner>();
	readonly #options: OwnershipOptions;
	#generation = 0;
	#isReached: boolean | undefined;
	#isLeaving = false;
	#hasSteppedIn = false;
	#lookedAtMs = Number.NEGATIVE_INFINITY;
	#ownedByOthersAtMs: number;

	constructor(options: OwnershipOptions) {
		this.#options = options;
		this.#ownedByOthersAtMs = options.clock.monotonicMs();
	}

	/**
	Keeps the membership until the signal aborts. A process that has not read what it would own stays out: dealt a
	partition, it would keep it from an entry that knows the jobs, for as long as its link takes.
	*/
	async run(signal: AbortSignal): Promise<void> {
		const {clock, store, group, member, topic, minTtlMs, isCaughtUp} = this.#options;
		while (!signal.aborted && !isCaughtUp()) {
			await clock.sleep(catchUpEveryMs, signal);
		}

		while (!signal.aborted && !this.#isLeaving) {
			try {
				if (!await this.#mayOwn()) {
					await clock.sleep(standbyEveryMs, signal);
					continue;
				}

				const share = await store.join({
					group, member, topics: [topic], ttlMs: Math.max(minTtlMs, ttlMs), generation: this.#generation,
				});
				if (signal.aborted || this.#isLeaving) {
					return;
				}

				this.#noteReached(true, '');
				this.#take(share.generation, new Set(share.partitions.map(({partition}) => partition)));
			} catch (error) {
				this.#noteReached(false, getMessage(error));
			}

			await clock.sleep(joinEveryMs, signal);
		}
	}

	/** Gives all partitions up for good, so that others need not wait. A join that came after would take them back. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		this.#stopOwners();

		const {store, group, member, note} = this.#options;
		try {
			await store.leave(group, member);
			note('left group', {member});
		} catch (error) {
			note('group not left', {member, error: getMessage(error)});
		}
	}

	/** A host that stands by looks now and then whether another host owns; then it gives up what it owns. */
	async #mayOwn(): Promise<boolean> {
		const {clock, store, group, member, isStandby, isAlive, note} = this.#options;
		const nowMs = clock.monotonicMs();
		if (!isStandby || nowMs - this.#lookedAtMs < standbyEveryMs) {
			return !isStandby || this.#hasSteppedIn;
		}

		this.#lookedAtMs = nowMs;
		const owners = await store.getOwners(group);
		const others = owners.filter(owner => !owner.startsWith(standbyPrefix));
		const alive = await Promise.all(others.map(async owner => isAlive(owner)));
		if (alive.some(Boolean)) {
			this.#ownedByOthersAtMs = nowMs;
		}

		const mustStepIn = nowMs - this.#ownedByOthersAtMs >= standbyAfterMs;
		if (mustStepIn !== this.#hasSteppedIn) {
			note(mustStepIn ? 'standby steps in' : 'standby steps back', {owners});
			this.#hasSteppedIn = mustStepIn;
			if (!mustStepIn) {
				this.#stopOwners();
				await store.leave(group, member);
			}
		}

		return mustStepIn;
	}

	#stopOwners(): void {
		for (const [partition, owner] of this.owners) {
			this.owners.delete(partition);
			owner.stop();
		}
	}

	#take(generation: number, partitions: Set<number>): void {
		const {isUsed, createOwner, note} = this.#options;
		for (const [partition, owner] of this.owners) {
			if (!partitions.has(partition)) {
				note('partition given up', {partition, generation});
				this.owners.delete(partition);
				owner.stop();
			}
		}

		this.#generation = generation;
		for (const partition of partitions) {
			if (!this.owners.has(partition) && isUsed(partition)) {
				note('partition dealt', {partition, generation});
				const owner = createOwner(partition, generation, () => {
					this.owners.delete(partition);
				});
				this.owners.set(partition, owner);
				void owner.run();
			}
		}
	}

	#noteReached(isReached: boolean, detail: string): void {
		if (isReached !== this.#isReached) {
			this.#isReached = isReached;
			this.#options.note(isReached ? 'group reached' : 'group not reached', {detail, owned: [...this.owners.keys()]});
		}
	}
}
