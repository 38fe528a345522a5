/**
The sponsor's side of slots: tables of the upstreams that this entry sponsors, and answers to the other entries.
*/
import {type Clock} from '../types/clock.ts';
import {type SlotAnswer, type SlotItem, type SlotMessage} from './slot-messages.ts';
import {type DivideSlots} from './slot-policy.ts';
import {SlotTable, type SlotGrant, type SlotReport} from './slot-table.ts';
import {type Sponsorship} from './sponsor-book.ts';

/** How a sponsor works. */
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
	/** Last report of each upstream. */
	items: Map<string, SlotItem>;
	heardAtMs: number;
};

type Sponsored = {
	incarnation: number;
	epoch: number;
	/** Sponsor whose accounts are still to be taken over. */
	formerSponsorId?: string;
	table: SlotTable;
};

/** Tables of the upstreams that one entry sponsors. */
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
			// A message that was overtaken must not take back what a later one reported.
			return {isResync: true, shares: [], lapsed: []};
		}

		const grantee = known ?? {lastSeq: 0, items: new Map<string, SlotItem>(), heardAtMs: 0};
		this.#grantees.set(granteeId, grantee);
		grantee.lastSeq = seq;
		grantee.heardAtMs = this.#options.clock.monotonicMs();
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

	/** Grants this entry its own share; undefined while it does not sponsor the upstream. */
	grantOwn(upstreamId: string, incarnation: number, report: SlotReport): number | undefined {
		const table = this.#getTable(upstreamId, incarnation);
		if (!table) {
			return undefined;
		}

		table.report(this.#options.ownId, report);
		return table.grant(this.#options.ownId);
	}

	/** The accounts of an upstream that another entry sponsors now, this one having been the sponsor before. */
	getGrants(upstreamId: string, incarnation: number): SlotGrant[] | undefined {
		const sponsored = this.#sponsored.get(upstreamId);
		return sponsored?.incarnation === incarnation ? sponsored.table.getGrants() : undefined;
	}

	/** Upstreams sponsored now, and slots that wait for a former sponsor's grants to end. */
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

	/** Forgets entries and upstreams that are gone. */
	forget(isKnown: (upstreamId: string) => boolean, ageMs: number): void {
		const oldestMs = this.#options.clock.monotonicMs() - ageMs;
		for (const upstreamId of this.#sponsored.keys()) {
			if (!isKnown(upstreamId)) {
				this.#sponsored.delete(upstreamId);
			}
		}

		for (const [granteeId, {heardAtMs}] of this.#grantees) {
			if (heardAtMs < oldestMs) {
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
				table.takeOver(item.grants);
				// Once: later, these accounts are out of date, and what was given back would be counted again.
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
		// The same sponsor again, with no other in between: its own accounts still hold.
		const isOwnAgain = formerSponsorId === ownId && known?.incarnation === incarnation;
		const table = isOwnAgain
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
