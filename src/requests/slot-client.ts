/**
Client side of the slot protocol towards one sponsor: composes messages with the changes, and applies the answers.
*/
import {type SlotAnswer, type SlotItem, type SlotMessage} from './slot-messages.ts';
import {type SlotShare} from './slot-share.ts';
import {type SlotGrant} from './slot-table.ts';

/** A share, and how many slots this entry wants of its upstream. */
export type RequestedShare = {
	upstreamId: string;
	share: SlotShare;
	wanted: number;
	/** Grant records of this entry as the former sponsor, for the new one. */
	grants?: SlotGrant[];
};

/** A message, with the state that is needed to apply its answer. */
export type ComposedSlotMessage = {
	message: SlotMessage;
	sentAtMs: number;
	generations: Map<string, {share: SlotShare; generation: number}>;
};

/** What an answer changed. */
export type SlotAnswerEffect = {
	/** Slots have become free. */
	hasGrown: boolean;
	/** A share became smaller; to be reported at once, since other entries wait for the released slots. */
	hasShrunk: boolean;
};

/** Messages of one entry to one sponsor, one at a time. */
export class SlotClient {
	#seq = 0;
	#afterSeq = 0;
	#isFull = true;
	#reported = new Map<string, SlotItem>();
	readonly #granteeId: string;
	readonly #sponsorId: string;

	constructor(granteeId: string, sponsorId: string) {
		this.#granteeId = granteeId;
		this.#sponsorId = sponsorId;
	}

	/** Composes the next message; undefined if there is nothing to request from this sponsor or to report to it. */
	compose(requested: RequestedShare[], nowMs: number, isLeaving = false): ComposedSlotMessage | undefined {
		if (requested.length === 0 && this.#reported.size === 0) {
			return undefined;
		}

		const current = new Map<string, SlotItem>();
		const generations: ComposedSlotMessage['generations'] = new Map();
		const items: SlotItem[] = [];
		for (const {upstreamId, share, wanted, grants} of requested) {
			const item = {
				upstreamId, incarnation: share.incarnation, share: share.share, limit: share.getLimit(), wanted, grants,
			};
			current.set(upstreamId, item);
			generations.set(upstreamId, {share, generation: share.generation});
			if (this.#isFull || !isSame(item, this.#reported.get(upstreamId))) {
				items.push(item);
			}
		}

		const gone = this.#isFull ? [] : [...this.#reported.keys()].filter(upstreamId => !current.has(upstreamId));
		const message = {
			granteeId: this.#granteeId, sponsorId: this.#sponsorId, seq: ++this.#seq, afterSeq: this.#afterSeq, isFull: this.#isFull, isLeaving, items, gone,
		};
		this.#reported = current;
		// Until an answer arrives, it is unknown whether the sponsor received the message, so the next one is full.
		this.#isFull = true;
		return {message, sentAtMs: nowMs, generations};
	}

	/** Applies an answer. */
	apply({message, sentAtMs, generations}: ComposedSlotMessage, answer: SlotAnswer, leaseMs: number): SlotAnswerEffect {
		if (answer.isResync) {
			return {hasGrown: false, hasShrunk: false};
		}

		this.#isFull = false;
		this.#afterSeq = message.seq;
		const expired = new Set(answer.lapsed);
		const shares = new Map(answer.shares.map(item => [item.upstreamId, item]));
		let hasGrown = false;
		let hasShrunk = false;
		for (const [upstreamId, {share, generation}] of generations) {
			// The share has been reported to another sponsor since: the answer of the former one would add slots to it.
			if (expired.has(upstreamId) || share.generation !== generation) {
				continue;
			}

			const wasFree = share.free;
			const formerShare = share.share;
			share.share = shares.get(upstreamId)?.share ?? share.share;
			// Counted from the sending of the message; the sponsor counts from its answer, so the lease ends here first.
			share.leaseEndMs = Math.max(share.leaseEndMs, sentAtMs + leaseMs);
			hasGrown ||= share.free > wasFree;
			hasShrunk ||= share.share < formerShare;
		}

		return {hasGrown, hasShrunk};
	}
}

const isSame = (a: SlotItem, b: SlotItem | undefined): boolean => a.incarnation === b?.incarnation
	&& a.share === b.share && a.limit === b.limit && a.wanted === b.wanted && (a.grants === undefined) === (b.grants === undefined);
