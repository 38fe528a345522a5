/**
Records of the claims stream: claims, releases and ends of non-idempotent requests, written by the entries.
*/
import {z} from 'zod';
import {ClaimState} from '../types/services.ts';
import {createParser} from '../utils/parser.ts';

/** Kinds of items. */
export enum ClaimItemType {
	Claim = 'claim',
	Release = 'release',
	End = 'end',
}

const idSchema = z.string().min(1).max(128);

const itemSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal(ClaimItemType.Claim), requestId: idSchema, claimId: idSchema, service: z.string().max(64),
	}),
	z.object({type: z.literal(ClaimItemType.Release), requestId: idSchema, claimId: idSchema}),
	z.object({
		type: z.literal(ClaimItemType.End),
		requestId: idSchema,
		claimId: idSchema,
		state: z.enum([ClaimState.Done, ClaimState.Unknown]),
		status: z.number().int().optional(),
		body: z.string().optional(),
		contentType: z.string().max(256).optional(),
	}),
]);

const recordSchema = z.object({
	id: idSchema,
	entryId: z.string().max(128),
	writtenAtMs: z.number(),
	items: z.array(itemSchema),
});

/** One item. Claim ids are unique, so a repeated item changes nothing. */
export type ClaimItem = z.infer<typeof itemSchema>;
/** The end of a claimed request. */
export type EndItem = Extract<ClaimItem, {type: ClaimItemType.End}>;
/** A batch of items of one entry. */
export type ClaimRecord = z.infer<typeof recordSchema>;

/** Checks a record that was read from the log. */
export const parseClaimRecord = createParser('read claim record', recordSchema);
