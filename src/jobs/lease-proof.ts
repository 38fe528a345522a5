/**
Proof, by the workers, that no newer owner of a shard can have begun: what an owner goes by while the log is away.
*/
import {type Clock} from '../types/clock.ts';
import {type LeaseManager} from './lease-keeper.ts';

const proofValidityMs = 100;

/** Moment up to which more than half of the workers have not known a newer token, or undefined when they did not tell. */
export const getMajorityAcceptedMs = (acceptedAtMs: Array<number | undefined>): number | undefined => {
	const needed = Math.floor(acceptedAtMs.length / 2) + 1;
	const known = acceptedAtMs.filter(atMs => atMs !== undefined).toSorted((a, b) => b - a);
	return known[needed - 1];
};

/** Tells whether so many of the workers are more than half. */
export const isMajority = (count: number, total: number): boolean => count > total / 2;

/** What a proof needs. */
export type LeaseProofOptions = {
	clock: Clock;
	/** How long an answer of a worker counts; no longer than an entry's lease on its shards. */
	validMs: number;
	getLeaseManagers(): LeaseManager[];
	/** Until when this entry's lease by the log lasted. */
	getLeaseEndMs(): number;
};

/**
A new owner starts nothing that may run elsewhere before it has sealed more than half of the workers and waited. So while
more than half of them have not been sealed, within the last lease, no newer owner has begun its wait.
*/
export class LeaseProof {
	readonly #options: LeaseProofOptions;
	readonly #proofs = new Map<number, {atMs: number; endMs: number}>();

	constructor(options: LeaseProofOptions) {
		this.#options = options;
	}

	/** Forgets what was proved under an earlier token. */
	clear(shard: number): void {
		this.#proofs.delete(shard);
		for (const leaseManager of this.#options.getLeaseManagers()) {
			leaseManager.acceptedAtMs.delete(shard);
		}
	}

	/** Tells whether the proof holds for the shard now. */
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
		// A worker that restarted since has forgotten whom it was sealed for: its word proves nothing.
		return getMajorityAcceptedMs(this.#options.getLeaseManagers().map(leaseManager =>
			leaseManager.knownSinceMs <= leaseEndMs ? leaseManager.acceptedAtMs.get(shard) : undefined));
	}
}
