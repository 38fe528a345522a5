/**
Messages of entries to the sponsors of upstreams, and their answers: one message for each pair of entries and period.
*/
import {z} from 'zod';
import {createParser} from '../utils/parser.ts';

const count = z.number().int().nonnegative();
const upstreamId = z.string().min(1).max(128);

/** Checks a message to a sponsor. */
export const parseSlotMessage = createParser('read slot message', z.object({
	granteeId: z.string().max(128),
	/** The sponsor addressed: one incarnation of an entry. */
	sponsorId: z.string().max(128),
	seq: count,
	/** Last message that was answered; upstreams not listed have not changed since. */
	afterSeq: count,
	isFull: z.boolean(),
	/** The entry is shutting down: it takes no more slots and must not be granted any. */
	isLeaving: z.boolean(),
	items: z.array(z.object({
		upstreamId,
		incarnation: count,
		share: count,
		limit: count,
		wanted: count,
		/** From the former sponsor: its grant records. */
		grants: z.array(z.object({granteeId: z.string().max(128), limit: count})).optional(),
	})),
	gone: z.array(upstreamId),
}));

/** Checks the answer of a sponsor. */
export const parseSlotAnswer = createParser('read slot answer', z.object({
	/** The message was not applied; the next one must be full. */
	isResync: z.boolean(),
	/** Shares that differ from what was reported. */
	shares: z.array(z.object({upstreamId, incarnation: count, share: count})),
	/** Upstreams whose leases were not renewed, because this sponsor does not, or no longer, sponsor them. */
	lapsed: z.array(upstreamId),
}));

/** Message to a sponsor. */
export type SlotMessage = ReturnType<typeof parseSlotMessage>;
/** One upstream in a message to its sponsor. */
export type SlotItem = SlotMessage['items'][number];
/** Answer of a sponsor. */
export type SlotAnswer = ReturnType<typeof parseSlotAnswer>;
