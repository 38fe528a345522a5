/**
Proof, from replies of the workers, that no newer owner of a shard can have started tasks. An owner relies on it while the log is
unavailable.
*/
import {type Clock} from '../types/clock.ts';
import {type LeaseManager} from './lease-manager.ts';

const proofValidityMs = 100;

/** Latest moment at which more than half of the workers knew of no newer token; undefined if fewer have replied. */
export const getMajorityAcceptedMs = (acceptedAtMs: Array<number | undefined>): number | undefined => {
	const needed = Math.floor(acceptedAtMs.length / 2) + 1;
	const known = acceptedAtMs.filter(atMs => atMs !== undefined).toSorted((a, b) => b - a);
	return known[needed - 1];
};

/** Tells whether the count is more than half of the total. */
export const isMajority = (count: number, total: number): boolean => count > total / 2;

/** Options of `LeaseProof`. */
export type LeaseProofOptions = {
	clock: Clock;
	/** How long a reply of a worker counts; at most the lease of an entry on its shards. */
	validMs: number;
	getLeaseManagers(): LeaseManager[];
	/** End of this entry's newest lease in the ownership stream. */
	getLeaseEndMs(): number;
};

/**
A new owner starts no task that may be running elsewhere before it has sealed more than half of the workers and then waited
(see recovery.ts). So if more than half of them replied within the last lease and were not sealed by a newer owner, no newer
owner had started its wait by then.
*/
export class LeaseProof {
	readonly #options: LeaseProofOptions;
	readonly #proofs = new Map<number, {atMs: number; endMs: number}>();

	constructor(options: LeaseProofOptions) {
		this.#options = options;
	}

	/** Drops replies to an earlier token. */
	clear(shard: number): void {
		this.#proofs.delete(shard);
		for (const leaseManager of this.#options.getLeaseManagers()) {
			leaseManager.acceptedAtMs.delete(shard);
		}
	}

	/** Tells whether there is a valid proof for the shard now. */
	has(shard: number): boolean {
		const {clock, validMs} = this.#options;
		const nowMs = clock.monotonicMs();
		let proof = this.#proofs.get(shard);
		if (!proof || nowMs - proof.atMs >= proofValidityMs) {
			proof = {atMs: nowMs, endMs: (this.#getMajorityAcceptedMs(shard) ?? Number.NEGATIVE_INFINITY) + validMs};
			this.#proofs.set(shard, proof);
		}

		return nowMs < proof.endMs;
	}

	#getMajorityAcceptedMs(shard: number): number | undefined {
		const leaseEndMs = this.#options.getLeaseEndMs();
		// A worker that restarted after the lease ended has lost the seals of newer owners, so its replies prove nothing.
		return getMajorityAcceptedMs(this.#options.getLeaseManagers().map(leaseManager =>
			leaseManager.knownSinceMs <= leaseEndMs ? leaseManager.acceptedAtMs.get(shard) : undefined));
	}
}
