/**
Decides which partitions this entry owns. The entries are members of a group in the store, which assigns the partitions. A
partition is reassigned only after its owner has released it or has missed its heartbeats. Assignments start and stop
owners; a replaced owner that continues is fenced off by its epoch, which the stream and the agents check.
*/
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type StoreClient} from '../types/store.ts';

/** A started owner of a partition. */
export type RunningOwner = {
	run(): Promise<void>;
	stop(): void;
};

/** What an owner gets from the ownership. */
export type OwnerTerms = {
	/** Called by the owner when it learns of a newer one. */
	onSuperseded: () => void;
	/** Called by the owner when the store has dropped records that it has not read. */
	onGap: () => void;
	/** Returns when the last answered heartbeat was sent. */
	getHeartbeatAtMs: () => number;
};

/** Options of the ownership. */
export type OwnershipOptions = {
	store: StoreClient;
	clock: Clock;
	group: string;
	topic: string;
	/** Member name, see `formatMember`; differs for each start of the process. */
	member: string;
	minTtlMs: number;
	/** Processors that this process may use. */
	processors: number;
	/** Counts the workers that are registered with the site. */
	countWorkers: () => Promise<number>;
	/** Whether the entry at the address answers and is still in that incarnation. */
	isAlive: (address: string, incarnation: string) => Promise<boolean>;
	/** Start of the last read that reached the end of the jobs stream; negative infinity: none did yet. */
	getCaughtUpAtMs: () => number;
	/** Whether the partition has a service. */
	hasService: (partition: number) => boolean;
	createOwner: (partition: number, epoch: number, terms: OwnerTerms) => RunningOwner;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** The group reassigns the partitions of a member without heartbeats after this; jobs of a dead owner wait that long. */
const ttlMs = 1200;
/** The same for an entry that is short of processors: its timers fire late and its calls take long, so late heartbeats do not mean that it is dead. */
const slowEntryTtlMs = 4000;
/** The time to live is at least this multiple of the longest recent gap between heartbeats. */
const ttlGapFactor = 3;
/** Decay of the longest gap per heartbeat: a long gap is forgotten within a minute. */
const gapDecay = 0.99;
/** Processors that an owner needs for each worker of the service. */
const processorsPerWorker = 0.01;
/** An entry with too few processors yields to one with at least this many times as many; a smaller gain does not justify a change of owner. */
const yieldFactor = 1.5;
/** How often an entry checks whether it is needed while on standby, and whether it is still large enough otherwise. */
const standbyCheckIntervalMs = 1000;
const checkIntervalMs = 2000;
/** Interval of counting workers: each count reads all registrations, and services grow slowly. */
const countIntervalMs = 10_000;
/** A standby joins after this time without a better owner: longer than the reassignment of a dead owner's partitions and the restart of entries take. */
const standbyAfterMs = 3000;

/** Formats a member name from the address of the process, its processors and its incarnation. */
export const formatMember = (address: string, processors: number, incarnation: string): string => `${address}/${processors}/${incarnation}`;

const parseMember = (member: string): {address: string; processors: number; incarnation: string} => {
	const [address = '', processors, incarnation = ''] = member.split('/');
	return {address, processors: Number(processors ?? 0), incarnation};
};

/**
An owner whose heartbeats are answered but whose reads have not reached the end of the stream for this long releases its
jobs to another entry. It pauses scheduling long before. A read that is retried in smaller pieces takes several time-outs.
*/
const releaseAfterMs = 6000;
/** An entry joins only if it has read to the end of the stream within this time: longer than a read without new records takes. */
const maxJoinStalenessMs = 2500;
/** Interval of checking whether the stream has been read to its end. */
const catchUpCheckIntervalMs = 20;
/** Interval of heartbeats: several may be lost or slow before the group considers the member dead. */
const heartbeatIntervalMs = 250;
/** A longer gap between heartbeats is logged: half of the time after which the group considers the member dead. */
const lateHeartbeatMs = ttlMs / 2;

/** Membership of this entry, as the group may see it. */
enum Membership {
	/** No join was sent, or a leave was answered since. */
	None,
	/** A join was sent. */
	Joined,
	/** The owners are stopped and the leave is not answered: the group may still assign the partitions under the epoch of these owners. */
	Leaving,
}

/** Membership of one entry in the group, and the owners of the partitions assigned to it. */
export class Ownership {
	readonly owners = new Map<number, RunningOwner>();
	readonly #options: OwnershipOptions;
	#generation = 0;
	#isReached: boolean | undefined;
	#isLeaving = false;
	/** Whether an owner has to read its jobs anew, under a new epoch: its orders may still be under way. */
	#mustRejoin = false;
	#isStandby = false;
	/** Whether the entry has so few processors that its heartbeats are late whenever it owns jobs. */
	#isSlow = false;
	#membership = Membership.None;
	#joining: Promise<void> = Promise.resolve();
	#longestGapMs = 0;
	#lastHeartbeatAtMs = Number.NEGATIVE_INFINITY;
	#betterOwnerSeenAtMs = Number.NEGATIVE_INFINITY;
	#workers = 0;
	#countedAtMs = Number.NEGATIVE_INFINITY;
	#heartbeatSentAtMs = Number.POSITIVE_INFINITY;

	constructor(options: OwnershipOptions) {
		this.#options = options;
	}

	/** Keeps the membership until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await this.#waitForCatchUp(signal);
		await this.#tryUpdateStandby();
		await Promise.all([this.#keepMembership(signal), this.#keepUpdatingStandby(signal)]);
	}

	/** Releases all partitions for good, so that other entries get them at once. Waits for a pending join, which would acquire them again. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		this.#stopOwners();

		const {member, note} = this.#options;
		try {
			// On another connection the leave might overtake the join.
			await Promise.allSettled([this.#joining]);
			await this.#leaveGroup();
			note('left group', {member});
		} catch (error) {
			note('group not left', {member, error: getMessage(error)});
		}
	}

	/**
	Sends heartbeats, independently of the checks for a better owner. On a host that is short of processors each call takes
	hundreds of milliseconds. With the checks before each heartbeat, gaps exceeded the group's time to live, and the jobs
	moved from one such host to the next because each takeover delayed the heartbeats of the new owner as well.
	*/
	async #keepMembership(signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted && !this.#isLeaving) {
			try {
				if (this.#isStandby) {
					await this.#withdraw();
				} else if (this.#mustLeave()) {
					this.#noteRelease();
					await this.#withdraw();
					await this.#waitForCatchUp(signal);
				} else {
					this.#joining = this.#join(signal);
					await this.#joining;
				}
			} catch (error) {
				this.#noteReached(false, getMessage(error));
				// A gap during an outage of the store does not show that this host is late.
				this.#heartbeatSentAtMs = Number.POSITIVE_INFINITY;
			}

			await clock.sleep(heartbeatIntervalMs, signal);
		}
	}

	async #join(signal: AbortSignal): Promise<void> {
		const {clock, store, group, member, topic} = this.#options;
		const sentAtMs = clock.monotonicMs();
		this.#membership = Membership.Joined;
		const assignment = await store.join({
			group, member, topics: [topic], ttlMs: this.#getTtlMs(), generation: this.#generation,
		});
		this.#lastHeartbeatAtMs = sentAtMs;
		this.#noteReached(true, '');
		this.#noteGap(sentAtMs);
		if (!signal.aborted && !this.#isLeaving && !this.#mustRejoin) {
			this.#applyAssignment(assignment.generation, new Set(assignment.partitions.map(({partition}) => partition)));
		}
	}

	/** Waits until the stream has been read to its end: an owner that is behind would keep the jobs from an entry that is not. */
	async #waitForCatchUp(signal: AbortSignal): Promise<void> {
		const {clock, getCaughtUpAtMs} = this.#options;
		while (!signal.aborted && !this.#isLeaving && clock.monotonicMs() - getCaughtUpAtMs() > maxJoinStalenessMs) {
			await clock.sleep(catchUpCheckIntervalMs, signal);
		}
	}

	#mustLeave(): boolean {
		return this.#membership === Membership.Leaving
			|| (this.#membership === Membership.Joined && (this.#mustRejoin || this.#getStalenessMs() > releaseAfterMs));
	}

	/** Time from the last read that reached the end of the stream to the last answered heartbeat. */
	#getStalenessMs(): number {
		return this.#lastHeartbeatAtMs - this.#options.getCaughtUpAtMs();
	}

	#noteRelease(): void {
		if (this.#membership === Membership.Leaving) {
			return;
		}

		const stalenessMs = this.#getStalenessMs();
		const hasMissedRecords = this.#mustRejoin || stalenessMs === Number.POSITIVE_INFINITY;
		this.#options.note('jobs given up', hasMissedRecords ? {reason: 'records missed'} : {reason: 'view too old', unseenMs: Math.round(stalenessMs)});
	}

	async #withdraw(): Promise<void> {
		if (this.#membership !== Membership.None) {
			this.#membership = Membership.Leaving;
			this.#stopOwners();
			await this.#leaveGroup();
		}

		this.#mustRejoin = false;
	}

	async #leaveGroup(): Promise<void> {
		const {store, group, member} = this.#options;
		await store.leave(group, member);
		this.#membership = Membership.None;
	}

	#getTtlMs(): number {
		const {minTtlMs} = this.#options;
		return this.#isSlow ? Math.max(minTtlMs, slowEntryTtlMs) : Math.max(minTtlMs, ttlMs, ttlGapFactor * this.#longestGapMs);
	}

	/** Records the gap since the previous heartbeat was sent, and logs a long one. */
	#noteGap(sentAtMs: number): void {
		const {clock, note} = this.#options;
		const nowMs = clock.monotonicMs();
		const gapMs = nowMs - Math.min(sentAtMs, this.#heartbeatSentAtMs);
		if (gapMs > lateHeartbeatMs) {
			note('join late', {gapMs: Math.round(gapMs), callMs: Math.round(nowMs - sentAtMs), owned: [...this.owners.keys()]});
		}

		this.#longestGapMs = Math.max(Math.min(gapMs, slowEntryTtlMs / ttlGapFactor), gapDecay * this.#longestGapMs);
		this.#heartbeatSentAtMs = sentAtMs;
	}

	async #keepUpdatingStandby(signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted && !this.#isLeaving) {
			await clock.sleep(this.#isStandby ? standbyCheckIntervalMs : checkIntervalMs, signal);
			await this.#tryUpdateStandby();
		}
	}

	/** Runs the check; a failed one changes nothing. */
	async #tryUpdateStandby(): Promise<void> {
		try {
			await this.#updateStandby();
		} catch (error) {
			this.#options.note('owners not known', {error: getMessage(error)});
		}
	}

	/**
	Decides whether this entry stands by. An entry with too few processors for the service does so while a better one owns the
	jobs, and checks regularly whether that is still the case: in a large service no entry may have enough, and then the best
	one should own. If there is no better owner at its start it joins at once, so that jobs do not wait after a loss of all entries.
	*/
	async #updateStandby(): Promise<void> {
		const {clock, store, group, processors, note} = this.#options;
		const needed = processorsPerWorker * await this.#countWorkers();
		const isSmall = processors < needed;
		this.#isSlow = processors * yieldFactor < needed;
		const hasBetterOwner = isSmall && await this.#isOwnedByLargerEntry(await store.getPartitionHolders(group), needed);
		const nowMs = clock.monotonicMs();
		if (hasBetterOwner) {
			this.#betterOwnerSeenAtMs = nowMs;
		}

		const mustStandBy = isSmall && (hasBetterOwner || (this.#isStandby && nowMs - this.#betterOwnerSeenAtMs < standbyAfterMs));
		if (mustStandBy !== this.#isStandby) {
			note(mustStandBy ? 'standby' : 'standby steps in', {processors, needed});
			this.#isStandby = mustStandBy;
		}
	}

	async #countWorkers(): Promise<number> {
		const nowMs = this.#options.clock.monotonicMs();
		if (this.#workers === 0 || nowMs - this.#countedAtMs >= countIntervalMs) {
			this.#workers = await this.#options.countWorkers();
			this.#countedAtMs = nowMs;
		}

		return this.#workers;
	}

	/**
	Whether an entry with more processors owns the jobs and is alive. The group may list dead members, also of hosts that are back:
	their new incarnations own nothing until they have read the stream and joined.
	*/
	async #isOwnedByLargerEntry(owners: string[], needed: number): Promise<boolean> {
		const {member, processors, isAlive} = this.#options;
		const enough = Math.min(needed, processors * yieldFactor);
		const better = owners.filter(owner => owner !== member).map(owner => parseMember(owner)).filter(owner => owner.processors >= enough);
		const alive = await Promise.all(better.map(async ({address, incarnation}) => isAlive(address, incarnation)));
		return alive.some(Boolean);
	}

	#stopOwners(): void {
		for (const [partition, owner] of this.owners) {
			this.owners.delete(partition);
			owner.stop();
		}
	}

	#applyAssignment(generation: number, partitions: Set<number>): void {
		const {hasService, createOwner, note} = this.#options;
		for (const [partition, owner] of this.owners) {
			if (!partitions.has(partition)) {
				note('partition given up', {partition, generation});
				this.owners.delete(partition);
				owner.stop();
			}
		}

		this.#generation = generation;
		for (const partition of partitions) {
			if (!this.owners.has(partition) && hasService(partition)) {
				note('partition dealt', {partition, generation});
				const owner = createOwner(partition, generation, {
					onSuperseded: () => {
						this.owners.delete(partition);
					},
					onGap: () => {
						this.#mustRejoin = true;
					},
					getHeartbeatAtMs: () => this.#lastHeartbeatAtMs,
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
