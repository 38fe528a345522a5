/**
Assignment of services to partitions of a topic.
*/

// Parameters of the 32-bit FNV-1a hash.
const offsetBasis = 2_166_136_261;
const prime = 16_777_619;

/** Gets the partition of a service. All jobs of a service and its ownership are in one partition, so that a single owner schedules all its workers. */
export const getPartition = (service: string, partitions: number): number => {
	let hash = offsetBasis;
	for (const char of service) {
		hash = Math.imul(hash ^ char.codePointAt(0)!, prime);
	}

	return (hash >>> 0) % partitions;
};
