/**
Records of the ownership stream: which entry owns which shards. One record covers all shards of an entry.
*/
import {z} from 'zod';

/** Types of records in the ownership stream. */
export enum OwnershipRecordType {
	/** Claims shards; valid for each shard whose token is still the one named. The record's offset becomes the shard's new token. */
	Claim = 'claim',
	/** The entry is alive and owns these shards. */
	Renew = 'renew',
	/** Releases shards. */
	Release = 'release',
}

/** Shape of a record of the ownership stream. */
export const ownershipRecordSchema = z.object({
	type: z.enum(OwnershipRecordType),
	processId: z.string().min(1),
	incarnation: z.number(),
	/** Grows with each record of one incarnation; the writer uses it to look up when it sent the record. */
	sequence: z.number().int().nonnegative(),
	/** Fencing token: of a claim, the one that it replaces; of a renewal or release, the current one. -1: none. */
	shards: z.array(z.object({shard: z.number().int().nonnegative(), fencingToken: z.number().int().min(-1)})),
});

/** A record of the ownership stream. */
export type OwnershipRecord = z.infer<typeof ownershipRecordSchema>;
