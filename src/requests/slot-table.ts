/**
The slots of one upstream as its sponsor accounts for them.

Each entry counts with the most that it may be using: the larger of what it last reported and what it was sent since.
The sum never exceeds the capacity. A share thus grows only from slots that were reported as given back, or whose
lease lapsed and whose last request must have ended. A sponsor that follows another knows at first of no slot: it
takes over what entries report that they hold, and gets the rest when nobody can be using it any more.
*/
import {type Clock} from '../types/clock.ts';
import {type DivideSlots} from './slot-policy.ts';

/** What an entry reports of its share of one upstream. */
export type SlotReport = {
	share: number;
	/** The most that it may be using: its share while that may be used, or what it holds when that is more. */
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

/** How a table is set up. */
export type SlotTableOptions = {
	clock: Clock;
	slots: number;
	leaseMs: number;
	maxHoldMs: number;
	/** No entry can hold a slot yet. */
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
	readonly #fullAtMs: number;
	readonly #grantees = new Map<string, Grantee>();
	readonly #options: SlotTableOptions;

	constructor(options: SlotTableOptions) {
		this.#options = options;
		const {clock, slots, leaseMs, maxHoldMs, isAllFree} = options;
		this.#capacity = isAllFree ? slots : 0;
		this.#fullAtMs = clock.monotonicMs() + leaseMs + maxHoldMs;
	}

	/** Slots not yet known to be free of a former sponsor's grants. */
	get heldBack(): number {
		return this.#options.slots - this.#capacity;
	}

	/** Sum of what all entries may be using. */
	get granted(): number {
		let sum = 0;
		for (const {limit} of this.#grantees.values()) {
			sum += limit;
		}

		return sum;
	}

	/** Takes a report; it replaces all that was assumed of that entry. */
	report(granteeId: string, report: SlotReport): void {
		const known = this.#grantees.get(granteeId);
		if (known) {
			known.share = report.share;
			known.limit = report.limit;
			known.wanted = report.wanted;
			known.isLeaving = report.isLeaving;
			return;
		}

		// A former sponsor's grant comes to light: as much of the capacity was in use there.
		this.#capacity = Math.min(this.#options.slots, this.#capacity + report.limit);
		this.#grantees.set(granteeId, {...report, leaseEndMs: Number.NEGATIVE_INFINITY});
	}

	/** Renews the entry's lease and tells its new share. */
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
		// Counted from the moment it is sent, whether the answer arrives or not.
		grantee.limit = Math.max(grantee.limit, share);
		return share;
	}

	/** Takes over the accounts of the sponsor before: then nothing is unknown. */
	takeOver(grants: SlotGrant[]): void {
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

	/** The accounts, for the next sponsor. Undefined while some slots are unknown to this one. */
	getGrants(): SlotGrant[] | undefined {
		this.expire();
		return this.heldBack > 0 ? undefined : [...this.#grantees].map(([granteeId, {limit}]) => ({granteeId, limit}));
	}

	/** Frees what nobody can be using any more. */
	expire(): void {
		const {clock, slots, maxHoldMs} = this.#options;
		const nowMs = clock.monotonicMs();
		if (nowMs >= this.#fullAtMs) {
			this.#capacity = slots;
		}

		for (const [granteeId, {leaseEndMs}] of this.#grantees) {
			// The lease of a silent entry has ended by its own clock too, and with it, the bound on its last request.
			if (nowMs >= leaseEndMs + maxHoldMs && leaseEndMs !== Number.NEGATIVE_INFINITY) {
				this.#grantees.delete(granteeId);
			}
		}
	}

	#getTarget(granteeId: string): number {
		const {clock, slots, divide, offset} = this.#options;
		const nowMs = clock.monotonicMs();
		// In the order of names: every report must lead to the same division, or shares would move for nothing.
		const live = [...this.#grantees].filter(([, {leaseEndMs, isLeaving}]) => leaseEndMs > nowMs && !isLeaving).toSorted(([a], [b]) => a < b ? -1 : 1);
		const lost = [...this.#grantees.values()].reduce((sum, {leaseEndMs, limit, isLeaving}) => leaseEndMs > nowMs && !isLeaving ? sum : sum + limit, 0);
		const shares = divide(Math.max(0, slots - lost), live.map(([, grantee]) => grantee), offset);
		return shares[live.findIndex(([id]) => id === granteeId)] ?? 0;
	}
}
