/**
Which hosts are alive, from what this entry hears itself and what other entries vouch for.

Each entry owns the set of hosts in its care, with versions. Entries pull each other's sets: a pull costs one small
message when nothing changed, and speaks for all hosts of the set at once. An entry passes on the sets of others too
when the asking one has not reached their owners of late, so a cut between two entries hides no host.
*/
import {HostState} from '../types/announcements.ts';
import {type Clock} from '../types/clock.ts';
import {AnnouncementBook, isNewer, Taken} from './announcement-book.ts';
import {type FlapDamper} from './flap-damper.ts';
import {
	type HostAnnouncement, type HostKind, type Pull, type PullAnswer,
} from './membership-messages.ts';
import {VersionedSet} from './membership-sets.ts';

/** Times of the membership. */
export type MembershipPolicy = {
	/** How long an owner's word counts after it was last known to be alive. */
	voucherLeaseMs: number;
	/** Longest further time for hosts of a silent owner to announce themselves elsewhere. */
	graceMs: number;
	forgetAfterMs: number;
	/** Spreads the grace of hosts, from 0 to 1. */
	getSpread(id: string): number;
};

type Owner = {
	set: VersionedSet<HostAnnouncement>;
	/** Last time at which the owner is known to have been alive. */
	aliveAtMs: number;
};

const cacheMs = 50;

/** Hosts as this entry knows them. */
export class MembershipState {
	readonly #book: AnnouncementBook<HostAnnouncement>;
	readonly #own = new VersionedSet<HostAnnouncement>();
	readonly #owners = new Map<string, Owner>();
	/** Hosts to be vouched for by another entry, by the owner's id, until its next pull. */
	readonly #refreshed = new Map<string, Map<string, {incarnation: number; leaseMs: number}>>();
	/** Hosts whose leases ended without a word; coming back is a flap. */
	readonly #lapsed = new Set<string>();
	readonly #clock: Clock;
	readonly #ownerId: string;
	readonly #policy: MembershipPolicy;
	readonly #damper: FlapDamper;
	#cached: HostAnnouncement[] = [];
	#cachedByKind = new Map<string, HostAnnouncement[]>();
	#cachedUntilMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, ownerId: string, policy: MembershipPolicy, damper: FlapDamper) {
		this.#clock = clock;
		this.#ownerId = ownerId;
		this.#policy = policy;
		this.#damper = damper;
		this.#book = new AnnouncementBook(clock);
	}

	/** How many hosts are in the care of this entry. */
	get careCount(): number {
		return this.#own.hosts.size;
	}

	/** Takes an announcement that reached this entry. With `isOurs`, this entry cares for the host whoever else does. */
	hear(id: string, announcement: HostAnnouncement, leaseMs: number, isOurs = false): Taken {
		this.#noteReturn(id, announcement);
		const taken = this.#book.take(id, announcement, leaseMs);
		if (taken === Taken.Stale) {
			return taken;
		}

		const isInCare = this.#own.hosts.has(id);
		if (taken === Taken.Changed || (isOurs && !isInCare)) {
			this.#care(id, announcement);
			return taken;
		}

		if (!isInCare) {
			const ownerId = this.#findOwner(id, announcement.incarnation);
			if (ownerId === undefined) {
				this.#care(id, announcement);
			} else {
				this.#queueRefresh(ownerId, id, {incarnation: announcement.incarnation, leaseMs});
			}
		}

		return taken;
	}

	get(id: string): HostAnnouncement | undefined {
		return this.#book.get(id);
	}

	/** Hosts that may get new work. */
	getAlive(kind: HostKind): HostAnnouncement[] {
		if (this.#clock.monotonicMs() >= this.#cachedUntilMs) {
			this.#refreshCache();
		}

		return this.#cachedByKind.get(kind) ?? [];
	}

	/** All hosts known. */
	list(kind: HostKind): HostAnnouncement[] {
		return this.#book.list().filter(([id]) => id.startsWith(`${kind}/`)).map(([, announcement]) => announcement);
	}

	/** Tells whether the host may get new work. */
	isAlive(id: string): boolean {
		const announcement = this.#book.get(id);
		return announcement?.state === HostState.Alive && !this.#damper.isHeldDown(id)
			&& (this.#book.isHeard(id) || this.#isVouched(id, announcement.incarnation));
	}

	/** Creates the request for news from the entry that owns the named set. */
	createPull(ownerId: string): Pull {
		const nowMs = this.#clock.monotonicMs();
		const refreshed = this.#refreshed.get(ownerId) ?? new Map<string, {incarnation: number; leaseMs: number}>();
		this.#refreshed.delete(ownerId);
		return {
			known: [
				// Without its own set here, every answer would bring that set back in full.
				{ownerId: this.#ownerId, version: this.#own.version, ageMs: 0},
				...[...this.#owners].map(([knownId, {set, aliveAtMs}]) => ({ownerId: knownId, version: set.version, ageMs: Math.max(0, nowMs - aliveAtMs)})),
			],
			refreshed: [...refreshed].map(([id, value]) => ({id, ...value})),
		};
	}

	/** Answers a request for news. */
	servePull({known, refreshed}: Pull): PullAnswer {
		for (const {id, incarnation, leaseMs} of refreshed) {
			if (this.#own.hosts.has(id)) {
				this.#book.refresh(id, incarnation, leaseMs);
			}
		}

		const nowMs = this.#clock.monotonicMs();
		const asked = new Map(known.map(item => [item.ownerId, item]));
		const own = {ownerId: this.#ownerId, ageMs: 0, ...this.#own.getDelta(asked.get(this.#ownerId)?.version ?? -1)};
		const owners: PullAnswer['owners'] = [own];
		for (const [ownerId, {set, aliveAtMs}] of this.#owners) {
			const ageMs = nowMs - aliveAtMs;
			const item = asked.get(ownerId);
			// Passed on only when it helps: in a healthy installation an answer speaks of its own set alone.
			const isHelpful = ageMs < this.#policy.voucherLeaseMs && (item?.ageMs ?? Number.POSITIVE_INFINITY) > Math.max(ageMs, this.#policy.voucherLeaseMs / 2);
			if (isHelpful) {
				owners.push({ownerId, ageMs, ...set.getDelta(item?.version ?? -1)});
			}
		}

		return {owners};
	}

	/** Takes the answer to a request sent at the time given. */
	takeAnswer({owners}: PullAnswer, sentAtMs: number): void {
		for (const {ownerId, ageMs, ...delta} of owners) {
			if (ownerId === this.#ownerId) {
				continue;
			}

			const owner = this.#getOwner(ownerId);
			// Counted from before the request was sent: however long the answer took, it speaks of no earlier time.
			owner.aliveAtMs = Math.max(owner.aliveAtMs, sentAtMs - ageMs);
			const changes = delta.version > owner.set.version ? delta.changes : [];
			const former = delta.isFull ? [...owner.set.hosts.keys()] : [];
			owner.set.apply(delta);
			for (const {id, announcement} of changes) {
				this.#takeChange(id, announcement);
			}

			for (const id of former) {
				if (!owner.set.hosts.has(id)) {
					this.#takeChange(id, undefined);
				}
			}
		}
	}

	/** After a request that got no answer: cares for the hosts that it spoke for. */
	takeFailure({refreshed}: Pull): void {
		for (const {id} of refreshed) {
			const announcement = this.#book.get(id);
			if (announcement && this.#book.isHeard(id)) {
				this.#care(id, announcement);
			}
		}
	}

	/** Drops what has lapsed. After a pause of this process, silence is not held against the hosts. */
	expire(wasPaused: boolean): void {
		for (const id of this.#own.hosts.keys()) {
			if (!this.#book.isHeard(id)) {
				this.#own.remove(id);
				this.#noteLapse(id, wasPaused);
			}
		}

		const nowMs = this.#clock.monotonicMs();
		for (const [ownerId, {set, aliveAtMs}] of this.#owners) {
			if (nowMs - aliveAtMs > this.#policy.forgetAfterMs) {
				this.#owners.delete(ownerId);
				this.#refreshed.delete(ownerId);
				continue;
			}

			if (nowMs - aliveAtMs <= this.#policy.voucherLeaseMs) {
				for (const id of set.hosts.keys()) {
					this.#book.noteNamed(id);
				}
			}
		}

		for (const id of this.#book.forgetOlderThan(this.#policy.forgetAfterMs)) {
			this.#lapsed.delete(id);
		}

		this.#cachedUntilMs = Number.NEGATIVE_INFINITY;
	}

	#takeChange(id: string, announcement: HostAnnouncement | undefined): void {
		if (!announcement) {
			this.#noteLapse(id, false);
			return;
		}

		this.#noteReturn(id, announcement);
		if (this.#book.merge(id, announcement) !== Taken.Stale) {
			// The host now announces itself to the other entry, which has the newer word.
			this.#own.remove(id);
		}

		this.#cachedUntilMs = Number.NEGATIVE_INFINITY;
	}

	#care(id: string, announcement: HostAnnouncement): void {
		this.#own.set(id, announcement);
		this.#cachedUntilMs = Number.NEGATIVE_INFINITY;
	}

	#queueRefresh(ownerId: string, id: string, value: {incarnation: number; leaseMs: number}): void {
		let queue = this.#refreshed.get(ownerId);
		if (!queue) {
			queue = new Map();
			this.#refreshed.set(ownerId, queue);
		}

		queue.set(id, value);
	}

	#findOwner(id: string, incarnation: number): string | undefined {
		const oldestMs = this.#clock.monotonicMs() - this.#policy.voucherLeaseMs;
		for (const [ownerId, {set, aliveAtMs}] of this.#owners) {
			if (aliveAtMs >= oldestMs && set.hosts.get(id)?.incarnation === incarnation) {
				return ownerId;
			}
		}

		return undefined;
	}

	#isVouched(id: string, incarnation: number): boolean {
		const {voucherLeaseMs, graceMs, getSpread} = this.#policy;
		const nowMs = this.#clock.monotonicMs();
		for (const {set, aliveAtMs} of this.#owners.values()) {
			if (set.hosts.get(id)?.incarnation !== incarnation) {
				continue;
			}

			const silentMs = nowMs - aliveAtMs - voucherLeaseMs;
			// The grace is spread: the hosts of a lost entry must not vanish, or come back, all at once.
			if (silentMs < 0 || silentMs < graceMs * (1 + getSpread(id)) / 2) {
				return true;
			}
		}

		return false;
	}

	#noteLapse(id: string, wasPaused: boolean): void {
		const announcement = this.#book.get(id);
		if (!wasPaused && announcement?.state === HostState.Alive && !this.#book.isHeard(id) && !this.#isVouched(id, announcement.incarnation)) {
			this.#lapsed.add(id);
		}

		this.#cachedUntilMs = Number.NEGATIVE_INFINITY;
	}

	#noteReturn(id: string, next: HostAnnouncement): void {
		const known = this.#book.get(id);
		if (!known || !isNewer(next, known)) {
			return;
		}

		// A restart that was announced by draining first is no flap.
		const isCrash = next.incarnation > known.incarnation && known.state === HostState.Alive;
		if ((this.#lapsed.delete(id) || isCrash) && next.state === HostState.Alive) {
			this.#damper.noteFlap(id);
		}
	}

	#getOwner(ownerId: string): Owner {
		let owner = this.#owners.get(ownerId);
		if (!owner) {
			owner = {set: new VersionedSet(), aliveAtMs: Number.NEGATIVE_INFINITY};
			owner.set.version = -1;
			this.#owners.set(ownerId, owner);
		}

		return owner;
	}

	#refreshCache(): void {
		this.#cached = this.#book.list().filter(([id]) => this.isAlive(id)).map(([, announcement]) => announcement);
		this.#cachedByKind = new Map();
		for (const announcement of this.#cached) {
			const kind = 'upstreamId' in announcement ? 'upstream' : 'worker';
			const list = this.#cachedByKind.get(kind) ?? [];
			list.push(announcement);
			this.#cachedByKind.set(kind, list);
		}

		this.#cachedUntilMs = this.#clock.monotonicMs() + cacheMs;
	}
}
