/**
What a new owner does before it starts anything: seals the workers, learns what runs, waits out what it cannot reach.
*/
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {Metric, type Metrics} from '../types/metrics.ts';
import {type Random} from '../types/random.ts';
import {createLogger, Part} from '../utils/logger.ts';
import {type JobFold} from './job-fold.ts';
import {type CallLimiter} from './job-limiter.ts';
import {JobEntryType} from './job-records.ts';
import {type JobWriter} from './job-writer.ts';
import {type LeaseManager} from './lease-keeper.ts';
import {isMajority} from './lease-proof.ts';
import {type ShardOwner} from './shard-owner.ts';
import {TaskPhase} from './shard-task.ts';

const log = createLogger(Part.Ownership);

/** What a recovery needs. */
export type RecoveryOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	limiter: CallLimiter;
	/** Longest time for which an earlier owner may keep tasks running at workers that this owner has not reached. */
	waitMs: number;
	retryMs: number;
	/** Workers of the fleet as known now. */
	getLeaseManagers(): LeaseManager[];
	/** Tells whether this process has known the fleet for so long that no worker with a running lease can be unknown to it. */
	isFleetKnown(): boolean;
};

/** What sealing the stream needs. */
export type StreamSealOptions = {
	clock: Clock;
	fold: JobFold;
	writer: JobWriter;
	pollMs: number;
};

/** Has the jobs stream refuse earlier owners, and reads up to that place; false when a newer owner came first. */
export const sealStream = async (owner: ShardOwner, {clock, fold, writer, pollMs}: StreamSealOptions): Promise<boolean> => {
	const {shard, fencingToken} = owner;
	await writer.write({type: JobEntryType.Seal, shard, fencingToken}, () => !owner.isClosed);
	while (!owner.isClosed && fold.getToken(shard) < fencingToken) {
		await clock.sleep(pollMs);
	}

	return !owner.isClosed && fold.getToken(shard) === fencingToken;
};

/** Recovers a shard; resolves once every worker of the fleet has been sealed, or the owner is closed. */
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
		if (isMajority(reached, leaseManagers.length)) {
			quorumAtMs ??= clock.monotonicMs();
		}

		const isAllReached = reached === leaseManagers.length;
		// Counted from the majority: from then on an owner without the log can prove itself to no majority and renews nothing.
		const isWaitedOut = quorumAtMs !== undefined && clock.monotonicMs() - quorumAtMs >= waitMs;
		if (!isReleased && ((isAllReached && options.isFleetKnown()) || isWaitedOut)) {
			isReleased = true;
			releaseHeld(owner);
			metrics.timing(Metric.RecoveryMs, clock.monotonicMs() - startedAtMs);
			log('Shard %d recovered from %d of %d workers.', owner.shard, reached, leaseManagers.length);
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
			// Limited: a fleet is not sealed in one instant, and several shards taken over at once share the limit.
			await options.limiter.run(async () => owner.isClosed ? undefined : leaseManager.seal(owner.shard, owner.fencingToken));
			if (!owner.isClosed) {
				owner.onSealed(leaseManager.workerId, leaseManager.incarnation!);
				sealed.add(leaseManager);
			}
		} catch (error) {
			log('Worker %s not sealed for shard %d: %s', leaseManager.workerId, owner.shard, getMessage(error));
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
