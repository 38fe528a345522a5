/**
Which hosts are alive, from the announcements that this entry receives and the attestations of other entries.

Each entry owns a versioned set of the hosts that it monitors. Entries pull each other's sets: a pull costs one small
message when nothing changed, and attests all hosts of the set at once. An entry also passes on the sets of others if
the requester has not reached their owners recently, so a broken link between two entries hides no host.
*/
import {HostState} from '../types/announcements.ts';
import {type Clock} from '../types/clock.ts';
import {AnnouncementRegistry, isNewer, AnnouncementOutcome} from './announcement-registry.ts';
import {type FlapDamper} from './flap-damper.ts';
import {
	type HostAnnouncement, type HostKind, type Pull, type PullAnswer,
} from './membership-messages.ts';
import {VersionedSet} from './membership-sets.ts';

/** Time limits of the membership. */
export type MembershipPolicy = {
	/** How long an owner's attestations are valid after it was last known to be alive. */
	voucherLeaseMs: number;
	/** Maximum additional time for the hosts of an unresponsive owner to announce themselves to another entry. */
	graceMs: number;
	forgetAfterMs: number;
	/** Returns a fixed number from 0 to 1 for each host, which spreads the ends of their grace times. */
	getSpread(id: string): number;
};

type Owner = {
	set: VersionedSet<HostAnnouncement>;
	/** Last time at which the owner is known to have been alive. */
	aliveAtMs: number;
};

const cacheMs = 50;

/** The hosts that this entry knows, and their states. */
export class MembershipState {
	readonly #registry: AnnouncementRegistry<HostAnnouncement>;
	readonly #monitored = new VersionedSet<HostAnnouncement>();
	readonly #owners = new Map<string, Owner>();
	/** Leases that the entries monitoring the hosts are to extend, by owner id of their set, until the next pull from there. */
	readonly #pendingRenewals = new Map<string, Map<string, {incarnation: number; leaseMs: number}>>();
	/** Hosts whose leases expired without an announced end; their return is a flap. */
	readonly #expired = new Set<string>();
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
		this.#registry = new AnnouncementRegistry(clock);
	}

	/** Number of hosts that this entry monitors. */
	get monitoredCount(): number {
		return this.#monitored.hosts.size;
	}

	/** Applies an announcement that this entry received. With `isMonitoredHere`, this entry monitors the host even if another does. */
	receiveAnnouncement(id: string, announcement: HostAnnouncement, leaseMs: number, isMonitoredHere = false): AnnouncementOutcome {
		this.#checkForFlap(id, announcement);
		const outcome = this.#registry.receive(id, announcement, leaseMs);
		if (outcome === AnnouncementOutcome.Stale) {
			return outcome;
		}

		const isAlreadyMonitored = this.#monitored.hosts.has(id);
		if (outcome === AnnouncementOutcome.Changed || (isMonitoredHere && !isAlreadyMonitored)) {
			this.#startMonitoring(id, announcement);
			return outcome;
		}

		if (!isAlreadyMonitored) {
			const ownerId = this.#findOwner(id, announcement.incarnation);
			if (ownerId === undefined) {
				this.#startMonitoring(id, announcement);
			} else {
				this.#queueRenewal(ownerId, id, {incarnation: announcement.incarnation, leaseMs});
			}
		}

		return outcome;
	}

	get(id: string): HostAnnouncement | undefined {
		return this.#registry.get(id);
	}

	/** Hosts that may get new work. */
	getAlive(kind: HostKind): HostAnnouncement[] {
		if (this.#clock.monotonicMs() >= this.#cachedUntilMs) {
			this.#refreshCache();
		}

		return this.#cachedByKind.get(kind) ?? [];
	}

	/** All known hosts of the kind. */
	list(kind: HostKind): HostAnnouncement[] {
		return this.#registry.list().filter(([id]) => id.startsWith(`${kind}/`)).map(([, announcement]) => announcement);
	}

	/** Tells whether the host may get new work. */
	isAlive(id: string): boolean {
		const announcement = this.#registry.get(id);
		return announcement?.state === HostState.Alive && !this.#damper.isHeldDown(id)
			&& (this.#registry.hasLease(id) || this.#isAttested(id, announcement.incarnation));
	}

	/** Creates the request for changes to the entry that owns the given set. */
	createPull(ownerId: string): Pull {
		const nowMs = this.#clock.monotonicMs();
		const refreshed = this.#pendingRenewals.get(ownerId) ?? new Map<string, {incarnation: number; leaseMs: number}>();
		this.#pendingRenewals.delete(ownerId);
		return {
			known: [
				// Without this entry's own set in the list, every answer would return that set in full.
				{ownerId: this.#ownerId, version: this.#monitored.version, ageMs: 0},
				...[...this.#owners].map(([knownId, {set, aliveAtMs}]) => ({ownerId: knownId, version: set.version, ageMs: Math.max(0, nowMs - aliveAtMs)})),
			],
			refreshed: [...refreshed].map(([id, value]) => ({id, ...value})),
		};
	}

	/** Answers a request for changes. */
	servePull({known, refreshed}: Pull): PullAnswer {
		for (const {id, incarnation, leaseMs} of refreshed) {
			if (this.#monitored.hosts.has(id)) {
				this.#registry.renewLease(id, incarnation, leaseMs);
			}
		}

		const nowMs = this.#clock.monotonicMs();
		const requesterSets = new Map(known.map(item => [item.ownerId, item]));
		const own = {ownerId: this.#ownerId, ageMs: 0, ...this.#monitored.getDelta(requesterSets.get(this.#ownerId)?.version ?? -1)};
		const owners: PullAnswer['owners'] = [own];
		for (const [ownerId, {set, aliveAtMs}] of this.#owners) {
			const ageMs = nowMs - aliveAtMs;
			const item = requesterSets.get(ownerId);
			// Passed on only if the requester knows less: in a healthy installation an answer contains this entry's own set alone.
			const isHelpful = ageMs < this.#policy.voucherLeaseMs && (item?.ageMs ?? Number.POSITIVE_INFINITY) > Math.max(ageMs, this.#policy.voucherLeaseMs / 2);
			if (isHelpful) {
				owners.push({ownerId, ageMs, ...set.getDelta(item?.version ?? -1)});
			}
		}

		return {owners};
	}

	/** Applies the answer to a request that was sent at `sentAtMs`. */
	applyAnswer({owners}: PullAnswer, sentAtMs: number): void {
		for (const {ownerId, ageMs, ...delta} of owners) {
			if (ownerId === this.#ownerId) {
				continue;
			}

			const owner = this.#getOwner(ownerId);
			// Counted from the sending of the request: however long the answer took, its ages refer to no earlier time.
			owner.aliveAtMs = Math.max(owner.aliveAtMs, sentAtMs - ageMs);
			const changes = delta.version > owner.set.version ? delta.changes : [];
			const former = delta.isFull ? [...owner.set.hosts.keys()] : [];
			owner.set.apply(delta);
			for (const {id, announcement} of changes) {
				this.#applyChange(id, announcement);
			}

			for (const id of former) {
				if (!owner.set.hosts.has(id)) {
					this.#applyChange(id, undefined);
				}
			}
		}
	}

	/** After a request without an answer: this entry monitors the hosts whose leases the request was to extend. */
	handleFailure({refreshed}: Pull): void {
		for (const {id} of refreshed) {
			const announcement = this.#registry.get(id);
			if (announcement && this.#registry.hasLease(id)) {
				this.#startMonitoring(id, announcement);
			}
		}
	}

	/** Removes what has expired. After a pause of this process, expired leases do not count as flaps of the hosts. */
	expire(wasPaused: boolean): void {
		for (const id of this.#monitored.hosts.keys()) {
			if (!this.#registry.hasLease(id)) {
				this.#monitored.remove(id);
				this.#recordExpiry(id, wasPaused);
			}
		}

		const nowMs = this.#clock.monotonicMs();
		for (const [ownerId, {set, aliveAtMs}] of this.#owners) {
			if (nowMs - aliveAtMs > this.#policy.forgetAfterMs) {
				this.#owners.delete(ownerId);
				this.#pendingRenewals.delete(ownerId);
				continue;
			}

			if (nowMs - aliveAtMs <= this.#policy.voucherLeaseMs) {
				for (const id of set.hosts.keys()) {
					this.#registry.markSeen(id);
				}
			}
		}

		for (const id of this.#registry.forgetOlderThan(this.#policy.forgetAfterMs)) {
			this.#expired.delete(id);
		}

		this.#cachedUntilMs = Number.NEGATIVE_INFINITY;
	}

	#applyChange(id: string, announcement: HostAnnouncement | undefined): void {
		if (!announcement) {
			this.#recordExpiry(id, false);
			return;
		}

		this.#checkForFlap(id, announcement);
		if (this.#registry.merge(id, announcement) !== AnnouncementOutcome.Stale) {
			// The host now announces itself to the other entry, which has the newer state.
			this.#monitored.remove(id);
		}

		this.#cachedUntilMs = Number.NEGATIVE_INFINITY;
	}

	#startMonitoring(id: string, announcement: HostAnnouncement): void {
		this.#monitored.set(id, announcement);
		this.#cachedUntilMs = Number.NEGATIVE_INFINITY;
	}

	#queueRenewal(ownerId: string, id: string, value: {incarnation: number; leaseMs: number}): void {
		let queue = this.#pendingRenewals.get(ownerId);
		if (!queue) {
			queue = new Map();
			this.#pendingRenewals.set(ownerId, queue);
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

	#isAttested(id: string, incarnation: number): boolean {
		const {voucherLeaseMs, graceMs, getSpread} = this.#policy;
		const nowMs = this.#clock.monotonicMs();
		for (const {set, aliveAtMs} of this.#owners.values()) {
			if (set.hosts.get(id)?.incarnation !== incarnation) {
				continue;
			}

			const unattestedMs = nowMs - aliveAtMs - voucherLeaseMs;
			// Grace times differ: the hosts of a lost entry must not become unavailable, or return, all at once.
			if (unattestedMs < 0 || unattestedMs < graceMs * (1 + getSpread(id)) / 2) {
				return true;
			}
		}

		return false;
	}

	#recordExpiry(id: string, wasPaused: boolean): void {
		const announcement = this.#registry.get(id);
		if (!wasPaused && announcement?.state === HostState.Alive && !this.#registry.hasLease(id) && !this.#isAttested(id, announcement.incarnation)) {
			this.#expired.add(id);
		}

		this.#cachedUntilMs = Number.NEGATIVE_INFINITY;
	}

	#checkForFlap(id: string, next: HostAnnouncement): void {
		const known = this.#registry.get(id);
		if (!known || !isNewer(next, known)) {
			return;
		}

		// A restart after an announced drain is no flap.
		const isCrash = next.incarnation > known.incarnation && known.state === HostState.Alive;
		if ((this.#expired.delete(id) || isCrash) && next.state === HostState.Alive) {
			this.#damper.recordFlap(id);
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
		this.#cached = this.#registry.list().filter(([id]) => this.isAlive(id)).map(([, announcement]) => announcement);
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
