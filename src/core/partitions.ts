/**
Which partition of a topic carries what.
*/

const offsetBasis = 2_166_136_261;
const prime = 16_777_619;

/** Partition of a service: all of its jobs and its ownership are in one, so that one owner decides for all its workers. */
export const getPartition = (service: string, partitions: number): number => {
	let hash = offsetBasis;
	for (const char of service) {
		hash = Math.imul(hash ^ char.codePointAt(0)!, prime);
	}

	return (hash >>> 0) % partitions;
};
