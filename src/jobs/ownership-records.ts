/**
Records of the ownership stream: which entry owns which shards, all shards of an entry in one record.
*/
import {z} from 'zod';

/** Types of records in the ownership stream. */
export enum OwnershipRecordType {
	/** Takes shards; valid for each whose token is still the one named. The offset becomes its new token. */
	Claim = 'claim',
	/** The entry is there and holds these shards. */
	Renew = 'renew',
	/** Gives shards back. */
	Release = 'release',
}

/** Shape of a record of the ownership stream. */
export const ownershipRecordSchema = z.object({
	type: z.enum(OwnershipRecordType),
	processId: z.string().min(1),
	incarnation: z.number(),
	/** Grows with each record of one incarnation, by which the writer finds when it sent it. */
	sequence: z.number().int().nonnegative(),
	/** Token before a claim; token held, of a renewal or release. -1: none. */
	shards: z.array(z.object({shard: z.number().int().nonnegative(), fencingToken: z.number().int().min(-1)})),
});

/** A record of the ownership stream. */
export type OwnershipRecord = z.infer<typeof ownershipRecordSchema>;
