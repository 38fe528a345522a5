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
	/** Processors that this process may use. */
	processors: number;
	/** Workers that register with the site. */
	countWorkers: () => Promise<number>;
	/** Whether the entry at the address answers. */
	isAlive: (address: string) => Promise<boolean>;
	/** Start of the last read that showed the end of what this entry would own; negative infinity: it knows nothing yet. */
	getProvenAtMs: () => number;
	/** Whether the partition carries anything. */
	isUsed: (partition: number) => boolean;
	/** An owner is told when the newest heartbeat that the store has answered was sent, and tells when a newer one is known. */
	createOwner: (partition: number, epoch: number, terms: {onDeposed: () => void; getReachedAtMs: () => number}) => RunningOwner;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** The group deals a silent member's partitions anew after this: the time that a dead owner's jobs wait. */
const ttlMs = 1200;
/** A host that is short of processors is late without being dead: its timers fire late and its calls take long. */
const busyTtlMs = 4000;
/** The group waits for so many of the longest gaps between heartbeats seen of late. */
const gapsAllowed = 3;
/** A long gap is forgotten within a minute. */
const gapDecay = 0.99;
/** What an owner uses grows with the workers that it keeps in touch with. */
const processorsForWorker = 0.01;
/** A host that lacks what the work needs gives way to one with so many times its processors; a smaller gain is not worth a change. */
const muchMore = 1.5;
/** How often a host looks whether it is needed, and whether it is still large enough. */
const standbyEveryMs = 1000;
const lookEveryMs = 2000;
/** Services grow slowly; each count reads all registrations. */
const countEveryMs = 10_000;
/** Longer than it takes until a dead owner's partitions are dealt anew, and until entries that start anew are there. */
const standbyAfterMs = 3000;

/** Names a member by where its process answers, its processors and its life. */
export const formatMember = (address: string, processors: number, life: string): string => `${address}/${processors}/${life}`;

const parseMember = (member: string): {address: string; processors: number} => {
	const [address = '', processors] = member.split('/');
	return {address, processors: Number(processors ?? 0)};
};

/**
An owner that has seen nothing new for so long while its heartbeats came through leaves the jobs to an entry that reads. Its
starts are held long before; a read that is tried again in smaller pieces takes several time-outs.
*/
const giveUpAfterMs = 6000;
/** An entry that joins has read to the end not longer ago than this: longer than a read without news may take. */
const freshViewMs = 2500;
/** Until the jobs are known. */
const catchUpEveryMs = 20;
/** Several calls may be lost or slow before the group takes the member for dead. */
const joinEveryMs = 250;
/** Half of the time after which the group takes the member for dead. */
const lateJoinMs = ttlMs / 2;

/** Ownership of one entry. */
export class Ownership {
	readonly owners = new Map<number, RunningOwner>();
	readonly #options: OwnershipOptions;
	#generation = 0;
	#isReached: boolean | undefined;
	#isLeaving = false;
	#isStandby = false;
	/** So few processors that it is late whenever it owns. */
	#isLate = false;
	/** A join was sent, and no leave was answered since. */
	#isMember = false;
	#joining: Promise<void> = Promise.resolve();
	#longestGapMs = 0;
	#reachedAtMs = Number.NEGATIVE_INFINITY;
	#ownedByOthersAtMs = Number.NEGATIVE_INFINITY;
	#workers = 0;
	#countedAtMs = Number.NEGATIVE_INFINITY;
	#joinedAtMs = Number.POSITIVE_INFINITY;

	constructor(options: OwnershipOptions) {
		this.#options = options;
	}

	/** Keeps the membership until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await this.#waitForView(signal);
		await this.#tryLook();
		await Promise.all([this.#keepMembership(signal), this.#keepLooking(signal)]);
	}

	/** Gives all partitions up for good, so that others need not wait. A join that came after would take them back. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		this.#stopOwners();

		const {member, note} = this.#options;
		try {
			// On another connection the leave might come before it.
			await Promise.allSettled([this.#joining]);
			await this.#leaveGroup();
			note('left group', {member});
		} catch (error) {
			note('group not left', {member, error: getMessage(error)});
		}
	}

	/**
	Heartbeats wait for nothing else: on a host that is short of processors each call takes hundreds of milliseconds, and a
	member that looked around before each heartbeat was silent for longer than the group waits. Its jobs then went round
	between such hosts, each takeover making the next owner late in turn.
	*/
	async #keepMembership(signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted && !this.#isLeaving) {
			try {
				if (this.#isStandby) {
					await this.#withdraw();
				} else if (this.#isMember && this.#getUnseenMs() > giveUpAfterMs) {
					this.#options.note('jobs given up', {unseenMs: Math.round(this.#getUnseenMs())});
					await this.#withdraw();
					await this.#waitForView(signal);
				} else {
					this.#joining = this.#join(signal);
					await this.#joining;
				}
			} catch (error) {
				this.#noteReached(false, getMessage(error));
				// A store that is away says nothing about how late this host is.
				this.#joinedAtMs = Number.POSITIVE_INFINITY;
			}

			await clock.sleep(joinEveryMs, signal);
		}
	}

	async #join(signal: AbortSignal): Promise<void> {
		const {clock, store, group, member, topic} = this.#options;
		const sentAtMs = clock.monotonicMs();
		this.#isMember = true;
		const share = await store.join({
			group, member, topics: [topic], ttlMs: this.#getTtlMs(), generation: this.#generation,
		});
		this.#reachedAtMs = sentAtMs;
		this.#noteReached(true, '');
		this.#noteGap(sentAtMs);
		if (!signal.aborted && !this.#isLeaving) {
			this.#take(share.generation, new Set(share.partitions.map(({partition}) => partition)));
		}
	}

	/** A process that has not read what it would own stays out: it would keep the jobs from an entry that knows them. */
	async #waitForView(signal: AbortSignal): Promise<void> {
		const {clock, getProvenAtMs} = this.#options;
		while (!signal.aborted && !this.#isLeaving && clock.monotonicMs() - getProvenAtMs() > freshViewMs) {
			await clock.sleep(catchUpEveryMs, signal);
		}
	}

	/** How long the store has answered heartbeats beyond the last read that showed the end. */
	#getUnseenMs(): number {
		return this.#reachedAtMs - this.#options.getProvenAtMs();
	}

	async #withdraw(): Promise<void> {
		if (this.#isMember) {
			this.#stopOwners();
			await this.#leaveGroup();
		}
	}

	async #leaveGroup(): Promise<void> {
		const {store, group, member} = this.#options;
		await store.leave(group, member);
		this.#isMember = false;
	}

	#getTtlMs(): number {
		const {minTtlMs} = this.#options;
		return this.#isLate ? Math.max(minTtlMs, busyTtlMs) : Math.max(minTtlMs, ttlMs, gapsAllowed * this.#longestGapMs);
	}

	/** Takes the time since the heartbeat before was sent, and tells a long one. */
	#noteGap(sentAtMs: number): void {
		const {clock, note} = this.#options;
		const nowMs = clock.monotonicMs();
		const gapMs = nowMs - Math.min(sentAtMs, this.#joinedAtMs);
		if (gapMs > lateJoinMs) {
			note('join late', {gapMs: Math.round(gapMs), callMs: Math.round(nowMs - sentAtMs), owned: [...this.owners.keys()]});
		}

		this.#longestGapMs = Math.max(Math.min(gapMs, busyTtlMs / gapsAllowed), gapDecay * this.#longestGapMs);
		this.#joinedAtMs = sentAtMs;
	}

	async #keepLooking(signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted && !this.#isLeaving) {
			await clock.sleep(this.#isStandby ? standbyEveryMs : lookEveryMs, signal);
			await this.#tryLook();
		}
	}

	/** What is not known changes nothing. */
	async #tryLook(): Promise<void> {
		try {
			await this.#look();
		} catch (error) {
			this.#options.note('owners not known', {error: getMessage(error)});
		}
	}

	/**
	A host that is too slow for the work stays out while a better one owns, and looks now and then whether one does: on a
	large service there may be none that is fast enough, and the best there is serves callers best. It joins as it starts, if
	there is none yet: after a loss of all entries nobody waits.
	*/
	async #look(): Promise<void> {
		const {clock, store, group, processors, note} = this.#options;
		const needed = processorsForWorker * await this.#countWorkers();
		const isSmall = processors < needed;
		this.#isLate = processors * muchMore < needed;
		const isOthers = isSmall && await this.#isOwnedByBetter(await store.getOwners(group), needed);
		const nowMs = clock.monotonicMs();
		if (isOthers) {
			this.#ownedByOthersAtMs = nowMs;
		}

		const mustStandBy = isSmall && (isOthers || (this.#isStandby && nowMs - this.#ownedByOthersAtMs < standbyAfterMs));
		if (mustStandBy !== this.#isStandby) {
			note(mustStandBy ? 'standby' : 'standby steps in', {processors, needed});
			this.#isStandby = mustStandBy;
		}
	}

	async #countWorkers(): Promise<number> {
		const nowMs = this.#options.clock.monotonicMs();
		if (this.#workers === 0 || nowMs - this.#countedAtMs >= countEveryMs) {
			this.#workers = await this.#options.countWorkers();
			this.#countedAtMs = nowMs;
		}

		return this.#workers;
	}

	/** Whether an entry that does better owns, and lives: the group may list members that are dead. */
	async #isOwnedByBetter(owners: string[], needed: number): Promise<boolean> {
		const {member, processors, isAlive} = this.#options;
		const enough = Math.min(needed, processors * muchMore);
		const better = owners.filter(owner => owner !== member && parseMember(owner).processors >= enough);
		const alive = await Promise.all(better.map(async owner => isAlive(parseMember(owner).address)));
		return alive.some(Boolean);
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
				const owner = createOwner(partition, generation, {
					onDeposed: () => {
						this.owners.delete(partition);
					},
					getReachedAtMs: () => this.#reachedAtMs,
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
