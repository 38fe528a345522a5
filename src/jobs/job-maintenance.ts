/**
Keeps the jobs stream complete within its retention: republishes live jobs before their records expire, and forgets finished ones.
*/
import {type FoldedJob, type JobFold} from './job-fold.ts';
import {JobEntryType} from './job-records.ts';
import {type JobWriter} from './job-writer.ts';
import {type ShardOwner} from './shard-owner.ts';

/** Options of `maintainJobs`. */
export type JobMaintenanceOptions = {
	fold: JobFold;
	writer: JobWriter;
	retentionMs: number;
	keepFinishedMs: number;
	/** Limit of entries written in one pass, so that a stream of many old jobs is not rewritten in one burst. */
	maxEntries: number;
};

/** Republishes and forgets jobs of one owned shard; returns how many entries it passed to the writer. */
export const maintainJobs = async (owner: ShardOwner, nowMs: number, options: JobMaintenanceOptions): Promise<number> => {
	const {fold, writer, retentionMs, keepFinishedMs, maxEntries} = options;
	const writes: Array<Promise<boolean>> = [];
	const isWanted = () => !owner.isClosed;
	for (const job of fold.getShardJobs(owner.shard).values()) {
		if (writes.length >= maxEntries) {
			break;
		}

		if (isForgettable(job, owner, nowMs - keepFinishedMs)) {
			writes.push(writer.write({type: JobEntryType.Forget, jobId: job.spec.jobId, fencingToken: owner.fencingToken}, isWanted));
		} else if (nowMs - job.publishedAtMs > retentionMs / 2) {
			// The other half of the retention is a margin for an outage of the log.
			writes.push(writer.write(createSnapshot(job, owner.fencingToken), isWanted));
		}
	}

	await Promise.all(writes);
	return writes.length;
};

const isForgettable = ({finishedAtMs, spec}: FoldedJob, owner: ShardOwner, beforeMs: number): boolean =>
	finishedAtMs !== undefined && finishedAtMs <= beforeMs && !owner.hasTasks(spec.jobId);

const createSnapshot = ({spec, shard, isCancelled, ends, dispatches}: FoldedJob, fencingToken: number) => ({
	type: JobEntryType.Snapshot as const, shard, fencingToken, spec, isCancelled, ends: [...ends.values()], dispatches: [...dispatches.values()],
});
