/**
Fold of the jobs stream. Every reader derives the same jobs, even if records were appended twice, late, or by a paused owner.
*/
import {Cancellations} from '../core/cancellations.ts';
import {type JobSpec} from '../types/jobs.ts';
import {
	JobEntryType, type Dispatch, type JobEntry, type JobRecord, type TaskEnd,
} from './job-records.ts';

/** A job as derived from the log. */
export type FoldedJob = {
	readonly spec: JobSpec;
	readonly shard: number;
	/** Offset of the record that added the job. */
	readonly offset: number;
	/** Wall time of its newest acceptance or snapshot, by the clock of the writer. */
	publishedAtMs: number;
	isCancelled: boolean;
	/** Ends by task index; the first one in the log is final. */
	readonly ends: Map<number, TaskEnd>;
	/** Newest dispatch of each non-idempotent task, by task index. */
	readonly dispatches: Map<number, Dispatch>;
	/** Wall time of the record that ended the last task, or cancelled the job. */
	finishedAtMs?: number;
};

/** A change that one entry of a record made to the fold. */
export type JobChange = {
	type: JobEntryType;
	shard: number;
	job?: FoldedJob;
	end?: TaskEnd;
};

/** An entry that is cut off from the log for an hour appends what it has accepted afterwards. */
const cancellationKeepMs = 3_600_000;
const maxCancelledIds = 100_000;

/** Jobs derived from the jobs stream. */
export class JobFold {
	readonly jobs = new Map<string, FoldedJob>();
	/** Cancelled ids without a job. */
	readonly cancellations = new Cancellations({keepMs: cancellationKeepMs, maxIds: maxCancelledIds});
	/** Called when the cancellation of an id without a job was read. */
	onUnknownCancelled: ((jobId: string) => void) | undefined;
	/** Offset of the last record applied. */
	offset = -1;
	readonly #byShard = new Map<number, Map<string, FoldedJob>>();
	readonly #tokens = new Map<number, number>();
	readonly #previousTokens = new Map<number, number>();

	/** Jobs of one shard. */
	getShardJobs(shard: number): ReadonlyMap<string, FoldedJob> {
		return this.#byShard.get(shard) ?? new Map<string, FoldedJob>();
	}

	/** Shards that have jobs. */
	getShards(): number[] {
		return [...this.#byShard.keys()];
	}

	/** Fencing token of the owner whose entries have effect, or -1. */
	getToken(shard: number): number {
		return this.#tokens.get(shard) ?? -1;
	}

	/** Fencing token that the last seal of the shard replaced, or -1 if the shard had no owner before. */
	getPreviousToken(shard: number): number {
		return this.#previousTokens.get(shard) ?? -1;
	}

	/** Drops all jobs and tokens: after a gap, the records that remain in the log republish what is still live. */
	clear(): void {
		this.jobs.clear();
		this.#byShard.clear();
		this.#tokens.clear();
	}

	/** Applies one record; returns what it changed. */
	apply(record: JobRecord, offset: number): JobChange[] {
		this.offset = offset;
		const changes: JobChange[] = [];
		for (const entry of record.entries) {
			const change = this.#applyEntry(entry, record.writtenAtMs, offset);
			if (change) {
				changes.push(change);
			}
		}

		return changes;
	}

	#applyEntry(entry: JobEntry, writtenAtMs: number, offset: number): JobChange | undefined {
		switch (entry.type) {
			case JobEntryType.Accept: {
				return this.#accept(entry, writtenAtMs, offset);
			}

			case JobEntryType.Cancel: {
				const job = this.jobs.get(entry.jobId);
				if (!job) {
					this.cancellations.add([entry.jobId, writtenAtMs]);
					this.onUnknownCancelled?.(entry.jobId);
				}

				if (!job || job.isCancelled) {
					return undefined;
				}

				job.isCancelled = true;
				job.finishedAtMs ??= writtenAtMs;
				return {type: entry.type, shard: job.shard, job};
			}

			case JobEntryType.Seal: {
				const known = this.getToken(entry.shard);
				if (entry.fencingToken <= known) {
					return undefined;
				}

				this.#previousTokens.set(entry.shard, known);
				this.#tokens.set(entry.shard, entry.fencingToken);
				return {type: entry.type, shard: entry.shard};
			}

			case JobEntryType.Snapshot: {
				return this.#applySnapshot(entry, writtenAtMs, offset);
			}

			case JobEntryType.End:
			case JobEntryType.Dispatch:
			case JobEntryType.Forget: {
				return this.#applyOwnerEntry(entry, writtenAtMs);
			}
		}
	}

	#accept({spec, shard}: JobEntry & {type: JobEntryType.Accept}, writtenAtMs: number, offset: number): JobChange | undefined {
		// A submission that was appended again after a lost answer, or sent twice by its caller: the first one counts.
		if (this.jobs.has(spec.jobId)) {
			return undefined;
		}

		const job = this.#addJob(spec, shard, writtenAtMs, offset);
		return {type: JobEntryType.Accept, shard, job};
	}

	#applyOwnerEntry(entry: JobEntry & {type: JobEntryType.End | JobEntryType.Dispatch | JobEntryType.Forget}, writtenAtMs: number): JobChange | undefined {
		const job = this.jobs.get(entry.jobId);
		if (!job || this.#isStale(job.shard, entry.fencingToken)) {
			return undefined;
		}

		const {shard} = job;
		if (entry.type === JobEntryType.Forget) {
			this.jobs.delete(entry.jobId);
			this.#byShard.get(shard)?.delete(entry.jobId);
			return {type: entry.type, shard, job};
		}

		if (entry.type === JobEntryType.Dispatch) {
			job.dispatches.set(entry.dispatch.index, entry.dispatch);
			return {type: entry.type, shard, job};
		}

		if (job.ends.has(entry.end.index) || entry.end.index >= job.spec.taskCount) {
			return undefined;
		}

		this.#recordEnd(job, entry.end, writtenAtMs);
		return {
			type: entry.type, shard, job, end: entry.end,
		};
	}

	#applySnapshot(entry: JobEntry & {type: JobEntryType.Snapshot}, writtenAtMs: number, offset: number): JobChange | undefined {
		if (this.#isStale(entry.shard, entry.fencingToken)) {
			return undefined;
		}

		// The seal itself may have expired from the log before this reader started.
		this.#tokens.set(entry.shard, entry.fencingToken);
		const known = this.jobs.get(entry.spec.jobId);
		const job = known ?? this.#addJob(entry.spec, entry.shard, writtenAtMs, offset);
		job.publishedAtMs = Math.max(job.publishedAtMs, writtenAtMs);
		// Merged, never replaced: a snapshot must not undo an end or a cancellation recorded after it was taken.
		for (const end of entry.ends) {
			if (!job.ends.has(end.index)) {
				this.#recordEnd(job, end, writtenAtMs);
			}
		}

		for (const dispatch of entry.dispatches) {
			if ((job.dispatches.get(dispatch.index)?.attempt ?? -1) < dispatch.attempt) {
				job.dispatches.set(dispatch.index, dispatch);
			}
		}

		if (entry.isCancelled && !job.isCancelled) {
			job.isCancelled = true;
			job.finishedAtMs ??= writtenAtMs;
		}

		return known ? undefined : {type: entry.type, shard: job.shard, job};
	}

	/**
	A paused owner that wakes up may append ends, dispatches or snapshots decided before its pause. They come after the seal
	of its successor in this stream, so every reader drops them.
	*/
	#isStale(shard: number, fencingToken: number): boolean {
		return fencingToken < this.getToken(shard);
	}

	#recordEnd(job: FoldedJob, end: TaskEnd, writtenAtMs: number): void {
		job.ends.set(end.index, end);
		job.dispatches.delete(end.index);
		if (job.ends.size === job.spec.taskCount) {
			job.finishedAtMs ??= writtenAtMs;
		}
	}

	#addJob(spec: JobSpec, shard: number, publishedAtMs: number, offset: number): FoldedJob {
		const job: FoldedJob = {
			spec, shard, offset, publishedAtMs, isCancelled: false, ends: new Map(), dispatches: new Map(),
		};
		if (this.cancellations.includes(spec.jobId, publishedAtMs)) {
			job.isCancelled = true;
			job.finishedAtMs = publishedAtMs;
		}

		this.jobs.set(spec.jobId, job);
		let jobs = this.#byShard.get(shard);
		if (!jobs) {
			jobs = new Map();
			this.#byShard.set(shard, jobs);
		}

		jobs.set(spec.jobId, job);
		return job;
	}
}
