/**
Assignment of jobs to shards, and the order in which entries are preferred as owners of a shard.
*/

const offsetBasis = 0x81_1C_9D_C5;
const prime = 0x01_00_01_93;

/** FNV-1a hash of a text, with a final mix so that names that differ in one digit get unrelated values. */
export const hash = (text: string): number => {
	let value = offsetBasis;
	for (let index = 0; index < text.length; index++) {
		value = Math.imul(value ^ text.codePointAt(index)!, prime);
	}

	value = Math.imul(value ^ (value >>> 16), 0x85_EB_CA_6B);
	value = Math.imul(value ^ (value >>> 13), 0xC2_B2_AE_35);
	return (value ^ (value >>> 16)) >>> 0;
};

/** Gets the shard of a job. */
export const getShard = (jobId: string, shardCount: number): number => hash(jobId) % shardCount;

/** Ranks entries by rendezvous hashing: the first should own the shard. Adding or removing an entry moves only that entry's shards. */
export const rankOwners = (shard: number, processIds: Iterable<string>): string[] =>
	[...processIds]
		.map(processId => ({processId, weight: hash(`${processId}/${shard}`)}))
		.toSorted((a, b) => b.weight - a.weight || (a.processId < b.processId ? -1 : 1))
		.map(({processId}) => processId);
