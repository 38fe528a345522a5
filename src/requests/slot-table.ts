/**
The sponsor's records of who may be using the slots of one upstream.

Each entry is counted with the maximum that it may be using: the larger of the limit that it last reported and the share
that it was sent since. The sum never exceeds the capacity. So a share grows only by slots that were reported as released,
or whose lease expired and whose last request must have ended. A sponsor that succeeds another starts with a capacity of
0: it adds the slots that entries report, and the rest once no entry can be using it any more.
*/
import {type Clock} from '../types/clock.ts';
import {type DivideSlots} from './slot-policy.ts';

/** What an entry reports about its share of one upstream. */
export type SlotReport = {
	share: number;
	/** Maximum number of slots that it may be using: its share while the lease is valid, or the slots held if they are more. */
	limit: number;
	wanted: number;
	/** The entry takes no more slots. */
	isLeaving?: boolean;
};

/** Slots that one entry may be using. */
export type SlotGrant = {
	granteeId: string;
	limit: number;
};

/** Options of a slot table. */
export type SlotTableOptions = {
	clock: Clock;
	slots: number;
	leaseMs: number;
	maxHoldMs: number;
	/** No entry can hold a slot yet, so all slots may be granted. */
	isAllFree: boolean;
	divide: DivideSlots;
	offset: number;
};

type Grantee = SlotReport & {
	leaseEndMs: number;
};

/** Grants of one upstream under one sponsorship. */
export class SlotTable {
	#capacity: number;
	readonly #fullCapacityAtMs: number;
	readonly #grantees = new Map<string, Grantee>();
	readonly #options: SlotTableOptions;

	constructor(options: SlotTableOptions) {
		this.#options = options;
		const {clock, slots, leaseMs, maxHoldMs, isAllFree} = options;
		this.#capacity = isAllFree ? slots : 0;
		this.#fullCapacityAtMs = clock.monotonicMs() + leaseMs + maxHoldMs;
	}

	/** Slots withheld, since a former sponsor may have granted them. */
	get heldBack(): number {
		return this.#options.slots - this.#capacity;
	}

	/** Sum of the slots that all entries may be using. */
	get granted(): number {
		let sum = 0;
		for (const {limit} of this.#grantees.values()) {
			sum += limit;
		}

		return sum;
	}

	/** Applies a report, which replaces all that was assumed about that entry. */
	report(granteeId: string, report: SlotReport): void {
		const known = this.#grantees.get(granteeId);
		if (known) {
			known.share = report.share;
			known.limit = report.limit;
			known.wanted = report.wanted;
			known.isLeaving = report.isLeaving;
			return;
		}

		// The entry has a grant of a former sponsor: the withheld slots that it covers are now accounted for.
		this.#capacity = Math.min(this.#options.slots, this.#capacity + report.limit);
		this.#grantees.set(granteeId, {...report, leaseEndMs: Number.NEGATIVE_INFINITY});
	}

	/** Renews the entry's lease and returns its new share. */
	grant(granteeId: string): number {
		const {clock, leaseMs} = this.#options;
		this.expire();
		const grantee = this.#grantees.get(granteeId);
		if (!grantee) {
			return 0;
		}

		grantee.leaseEndMs = clock.monotonicMs() + leaseMs;
		const free = Math.max(0, this.#capacity - this.granted);
		const share = Math.min(this.#getTarget(granteeId), grantee.limit + free);
		// Counted as soon as it is sent, whether the answer arrives or not.
		grantee.limit = Math.max(grantee.limit, share);
		return share;
	}

	/** Adopts the grant records of the former sponsor; no slot is withheld from then on. */
	adoptGrants(grants: SlotGrant[]): void {
		const {clock, slots, leaseMs} = this.#options;
		for (const {granteeId, limit} of grants) {
			if (!this.#grantees.has(granteeId)) {
				this.#grantees.set(granteeId, {
					share: limit, limit, wanted: 0, leaseEndMs: clock.monotonicMs() + leaseMs,
				});
			}
		}

		this.#capacity = slots;
	}

	/** Gets the grant records for the next sponsor; undefined while this one withholds slots. */
	getGrants(): SlotGrant[] | undefined {
		this.expire();
		return this.heldBack > 0 ? undefined : [...this.#grantees].map(([granteeId, {limit}]) => ({granteeId, limit}));
	}

	/** Frees the slots that no entry can be using any more. */
	expire(): void {
		const {clock, slots, maxHoldMs} = this.#options;
		const nowMs = clock.monotonicMs();
		if (nowMs >= this.#fullCapacityAtMs) {
			this.#capacity = slots;
		}

		for (const [granteeId, {leaseEndMs}] of this.#grantees) {
			// The lease of an unresponsive entry has expired by that entry's clock too, and its last request has passed its time limit.
			if (nowMs >= leaseEndMs + maxHoldMs && leaseEndMs !== Number.NEGATIVE_INFINITY) {
				this.#grantees.delete(granteeId);
			}
		}
	}

	#getTarget(granteeId: string): number {
		const {clock, slots, divide, offset} = this.#options;
		const nowMs = clock.monotonicMs();
		// Sorted by id: every report must lead to the same division, or shares would move needlessly.
		const live = [...this.#grantees].filter(([, {leaseEndMs, isLeaving}]) => leaseEndMs > nowMs && !isLeaving).toSorted(([a], [b]) => a < b ? -1 : 1);
		const unavailable = [...this.#grantees.values()].reduce((sum, {leaseEndMs, limit, isLeaving}) => leaseEndMs > nowMs && !isLeaving ? sum : sum + limit, 0);
		const shares = divide(Math.max(0, slots - unavailable), live.map(([, grantee]) => grantee), offset);
		return shares[live.findIndex(([id]) => id === granteeId)] ?? 0;
	}
}
