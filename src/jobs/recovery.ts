/**
Recovery by a new owner before it starts tasks: it seals the workers, reads what they run, and waits until leases on unreachable
workers have expired.
*/
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {Metric, type Metrics} from '../types/metrics.ts';
import {type Random} from '../types/random.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';
import {type JobFold} from './job-fold.ts';
import {type CallLimiter} from './call-limiter.ts';
import {JobEntryType} from './job-records.ts';
import {type JobWriter} from './job-writer.ts';
import {type LeaseManager} from './lease-manager.ts';
import {isMajority} from './lease-proof.ts';
import {type ShardOwner} from './shard-owner.ts';
import {TaskPhase} from './shard-task.ts';

const log = createLogger(LogNamespace.Ownership);

/** Options of `recoverShard`. */
export type RecoveryOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	limiter: CallLimiter;
	/** Longest time for which an earlier owner may keep tasks running on workers that this owner has not reached. */
	waitMs: number;
	retryMs: number;
	/** Lease managers of the workers known now. */
	getLeaseManagers(): LeaseManager[];
	/** Tells whether this process has run long enough that every worker with an unexpired lease is known to it. */
	isFleetKnown(): boolean;
};

/** Options of `sealStream`. */
export type StreamSealOptions = {
	clock: Clock;
	fold: JobFold;
	writer: JobWriter;
	pollMs: number;
};

/** Fences earlier owners in the jobs stream and reads up to the seal; false if a newer owner came first or this one was closed. */
export const sealStream = async (owner: ShardOwner, {clock, fold, writer, pollMs}: StreamSealOptions): Promise<boolean> => {
	const {shard, fencingToken} = owner;
	await writer.write({type: JobEntryType.Seal, shard, fencingToken}, () => !owner.isClosed);
	while (!owner.isClosed && fold.getToken(shard) < fencingToken) {
		await clock.sleep(pollMs);
	}

	return !owner.isClosed && fold.getToken(shard) === fencingToken;
};

/** Recovers a shard; resolves once held tasks are released and every known worker has been sealed, or the owner is closed. */
export const recoverShard = async (owner: ShardOwner, options: RecoveryOptions): Promise<void> => {
	const {clock, random, metrics, retryMs, waitMs} = options;
	const startedAtMs = clock.monotonicMs();
	const sealed = new Set<LeaseManager>();
	let quorumAtMs: number | undefined;
	let isReleased = false;
	while (!owner.isClosed) {
		const leaseManagers = options.getLeaseManagers();
		await sealAll(owner, leaseManagers.filter(leaseManager => !sealed.has(leaseManager)), sealed, options);
		const reached = leaseManagers.filter(leaseManager => sealed.has(leaseManager)).length;
		// Reset when more workers become known: the earlier owner may reach a majority of all of them.
		quorumAtMs = isMajority(reached, leaseManagers.length) ? quorumAtMs ?? clock.monotonicMs() : undefined;

		const isAllReached = reached === leaseManagers.length;
		// Counted from the majority: from then on an earlier owner without the log can obtain no proof from a majority, and renews no leases.
		const hasWaitElapsed = quorumAtMs !== undefined && clock.monotonicMs() - quorumAtMs >= waitMs;
		if (!isReleased && ((isAllReached && options.isFleetKnown()) || hasWaitElapsed)) {
			isReleased = true;
			releaseHeld(owner);
			metrics.timing(Metric.RecoveryMs, clock.monotonicMs() - startedAtMs);
			log('Shard %d recovered with %d of %d workers sealed.', owner.shard, reached, leaseManagers.length);
		}

		if (isReleased && isAllReached) {
			return;
		}

		await clock.sleep(retryMs * (0.75 + (random.next() / 2)));
	}
};

const sealAll = async (owner: ShardOwner, leaseManagers: LeaseManager[], sealed: Set<LeaseManager>, options: RecoveryOptions): Promise<void> => {
	await Promise.all(leaseManagers.map(async leaseManager => {
		try {
			// The limiter keeps the fleet from being sealed all at once; shards acquired at the same time share its limit.
			const snapshot = await options.limiter.run(async () => owner.isClosed ? undefined : leaseManager.seal(owner.shard, owner.fencingToken));
			if (snapshot && !owner.isClosed) {
				owner.onSealed(leaseManager.workerId, snapshot.incarnation);
				sealed.add(leaseManager);
			}
		} catch (error) {
			log('Cannot seal worker %s for shard %d: %s', leaseManager.workerId, owner.shard, getMessage(error));
		}
	}));
};

const releaseHeld = (owner: ShardOwner): void => {
	for (const task of owner.list()) {
		if (task.phase === TaskPhase.Held) {
			owner.release(task);
		}
	}
};
