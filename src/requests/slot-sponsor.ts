/**
Sponsor side of the slot protocol: tables of the upstreams that this entry sponsors, and answers to the other entries.
*/
import {type Clock} from '../types/clock.ts';
import {type SlotAnswer, type SlotItem, type SlotMessage} from './slot-messages.ts';
import {type DivideSlots} from './slot-policy.ts';
import {SlotTable, type SlotGrant, type SlotReport} from './slot-table.ts';
import {type Sponsorship} from './sponsor-registry.ts';

/** Options of a slot sponsor. */
export type SlotSponsorOptions = {
	clock: Clock;
	ownId: string;
	leaseMs: number;
	maxHoldMs: number;
	divide: DivideSlots;
	getSponsorship(upstreamId: string): Sponsorship | undefined;
};

type Grantee = {
	lastSeq: number;
	/** Last report for each upstream. */
	items: Map<string, SlotItem>;
	lastMessageAtMs: number;
};

type Sponsored = {
	incarnation: number;
	epoch: number;
	/** Former sponsor whose grant records have not been adopted yet. */
	formerSponsorId?: string;
	table: SlotTable;
};

/** Slot tables of the upstreams that one entry sponsors. */
export class SlotSponsor {
	readonly #grantees = new Map<string, Grantee>();
	readonly #sponsored = new Map<string, Sponsored>();
	readonly #options: SlotSponsorOptions;

	constructor(options: SlotSponsorOptions) {
		this.#options = options;
	}

	/** Answers the message of another entry. */
	answer(message: SlotMessage): SlotAnswer {
		const {granteeId, seq, afterSeq, isFull, items, gone} = message;
		const known = this.#grantees.get(granteeId);
		const isForOther = message.sponsorId !== this.#options.ownId;
		const isLate = known !== undefined && seq <= known.lastSeq;
		const isGap = !isFull && known?.lastSeq !== afterSeq;
		if (isForOther || isLate || isGap) {
			// A message that arrives out of order must not undo what a later one reported.
			return {isResync: true, shares: [], lapsed: []};
		}

		const grantee = known ?? {lastSeq: 0, items: new Map<string, SlotItem>(), lastMessageAtMs: 0};
		this.#grantees.set(granteeId, grantee);
		grantee.lastSeq = seq;
		grantee.lastMessageAtMs = this.#options.clock.monotonicMs();
		if (isFull) {
			grantee.items.clear();
		}

		for (const item of items) {
			grantee.items.set(item.upstreamId, item);
		}

		for (const upstreamId of gone) {
			grantee.items.delete(upstreamId);
		}

		return this.#grant(granteeId, grantee, message.isLeaving);
	}

	/** Grants this entry a share of its own upstream; undefined while it does not sponsor the upstream. */
	grantOwn(upstreamId: string, incarnation: number, report: SlotReport): number | undefined {
		const table = this.#getTable(upstreamId, incarnation);
		if (!table) {
			return undefined;
		}

		table.report(this.#options.ownId, report);
		return table.grant(this.#options.ownId);
	}

	/** Gets the grant records of an upstream that another entry sponsors now and this entry sponsored before. */
	getGrants(upstreamId: string, incarnation: number): SlotGrant[] | undefined {
		const sponsored = this.#sponsored.get(upstreamId);
		return sponsored?.incarnation === incarnation ? sponsored.table.getGrants() : undefined;
	}

	/** Counts the upstreams sponsored now, and the slots withheld until a former sponsor's grants have ended. */
	getTotals(): {sponsored: number; heldBack: number} {
		let sponsored = 0;
		let heldBack = 0;
		for (const [upstreamId, {incarnation}] of this.#sponsored) {
			const table = this.#getTable(upstreamId, incarnation);
			sponsored += table ? 1 : 0;
			heldBack += table?.heldBack ?? 0;
		}

		return {sponsored, heldBack};
	}

	/** Forgets unknown upstreams, and entries that sent no message for `ageMs`. */
	forget(isKnown: (upstreamId: string) => boolean, ageMs: number): void {
		const oldestMs = this.#options.clock.monotonicMs() - ageMs;
		for (const upstreamId of this.#sponsored.keys()) {
			if (!isKnown(upstreamId)) {
				this.#sponsored.delete(upstreamId);
			}
		}

		for (const [granteeId, {lastMessageAtMs}] of this.#grantees) {
			if (lastMessageAtMs < oldestMs) {
				this.#grantees.delete(granteeId);
			}
		}
	}

	#grant(granteeId: string, grantee: Grantee, isLeaving: boolean): SlotAnswer {
		const answer: SlotAnswer = {isResync: false, shares: [], lapsed: []};
		for (const [upstreamId, item] of grantee.items) {
			const table = this.#getTable(upstreamId, item.incarnation);
			if (!table) {
				answer.lapsed.push(upstreamId);
				continue;
			}

			const sponsored = this.#sponsored.get(upstreamId)!;
			if (item.grants && sponsored.formerSponsorId === granteeId) {
				table.adoptGrants(item.grants);
				// Adopted only once: later these records are out of date, and slots released since would be counted again.
				sponsored.formerSponsorId = undefined;
			}

			table.report(granteeId, {...item, isLeaving});
			const share = table.grant(granteeId);
			if (share !== item.share) {
				answer.shares.push({upstreamId, incarnation: item.incarnation, share});
			}
		}

		return answer;
	}

	#getTable(upstreamId: string, incarnation: number): SlotTable | undefined {
		const sponsorship = this.#options.getSponsorship(upstreamId);
		if (sponsorship?.incarnation !== incarnation) {
			return undefined;
		}

		const known = this.#sponsored.get(upstreamId);
		if (known?.epoch === sponsorship.epoch) {
			return known.table;
		}

		const sponsored = this.#createSponsored(upstreamId, sponsorship, known);
		this.#sponsored.set(upstreamId, sponsored);
		return sponsored.table;
	}

	#createSponsored(upstreamId: string, sponsorship: Sponsorship, known?: Sponsored): Sponsored {
		const {clock, ownId, leaseMs, maxHoldMs, divide} = this.#options;
		const {incarnation, epoch, formerSponsorId, isFirst} = sponsorship;
		// This entry was also the last sponsor, with no other in between: its own grant records are still valid.
		const isSameSponsor = formerSponsorId === ownId && known?.incarnation === incarnation;
		const table = isSameSponsor
			? known.table
			: new SlotTable({
				clock, leaseMs, maxHoldMs, divide, isAllFree: isFirst, slots: sponsorship.slots, offset: getOffset(upstreamId),
			});
		return {
			incarnation, epoch, formerSponsorId, table,
		};
	}
}

const getOffset = (upstreamId: string): number => {
	let sum = 0;
	for (let index = 0; index < upstreamId.length; index++) {
		sum = ((sum * 31) + upstreamId.codePointAt(index)!) % 9973;
	}

	return sum;
};
