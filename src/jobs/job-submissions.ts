/**
Writes submissions and cancellations to the log; an answer to a caller states only what has been read back from the log.
*/
import {createError, ErrorCode} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type JobSpec} from '../types/jobs.ts';
import {Metric, type Metrics} from '../types/metrics.ts';
import {type FoldedJob, type JobFold} from './job-fold.ts';
import {JobEntryType, type JobEntry} from './job-records.ts';
import {isSameSpec} from './job-status.ts';
import {type JobWriter} from './job-writer.ts';
import {getShard} from './shard-hash.ts';

/** Options of `JobSubmissions`. */
export type JobSubmissionsOptions = {
	clock: Clock;
	metrics: Metrics;
	fold: JobFold;
	writer: JobWriter;
	shards: number;
	submitTimeoutMs: number;
};

/** Handles the submissions and cancellations that one entry receives. */
export class JobSubmissions {
	readonly #options: JobSubmissionsOptions;
	readonly #waiting = new Map<string, Set<() => void>>();

	constructor(options: JobSubmissionsOptions) {
		this.#options = options;
		options.fold.onUnknownCancelled = jobId => {
			this.onChange(jobId);
		};
	}

	/** Resolves once the job is in the log. Submitting the same job again has no effect; a different job under the same id is refused. */
	async submit(spec: JobSpec): Promise<FoldedJob> {
		const {fold, metrics, shards} = this.#options;
		if (!fold.jobs.has(spec.jobId)) {
			const entry: JobEntry = {type: JobEntryType.Accept, shard: getShard(spec.jobId, shards), spec};
			await this.#write(entry, spec.jobId, () => fold.jobs.has(spec.jobId));
		}

		const job = fold.jobs.get(spec.jobId)!;
		if (!isSameSpec(job.spec, spec)) {
			metrics.count(Metric.JobsRefused, 'conflict');
			throw createError(ErrorCode.Conflict, {step: 'submit job', peer: spec.jobId, detail: 'another job has this id'});
		}

		metrics.count(Metric.JobsAccepted);
		return job;
	}

	/** Resolves once the cancellation is in the log. Throws `not-found` if there is no such job; attempts to submit it that are on their way never run. */
	async cancel(jobId: string): Promise<FoldedJob> {
		const job = this.#options.fold.jobs.get(jobId) ?? await this.#cancelUnknown(jobId);

		if (!job.isCancelled && job.finishedAtMs === undefined) {
			await this.#write({type: JobEntryType.Cancel, jobId}, jobId, () => job.isCancelled || job.finishedAtMs !== undefined);
		}

		return job;
	}

	/** Handles a change of the job that was read from the log. */
	onChange(jobId: string): void {
		for (const wake of this.#waiting.get(jobId) ?? []) {
			wake();
		}
	}

	/** Cancels an id without a job; resolves to its job if that was in the log all the same. */
	async #cancelUnknown(jobId: string): Promise<FoldedJob> {
		const {clock, fold, metrics} = this.#options;
		const isCancelled = () => fold.cancellations.isRecent(jobId, clock.now().getTime());
		if (!isCancelled()) {
			if (!fold.cancellations.hasRoom(clock.now().getTime())) {
				metrics.count(Metric.JobsRefused, 'too-many-cancelled');
				throw createError(ErrorCode.Refused, {step: 'cancel job', peer: jobId, detail: 'too many ids without a job were cancelled'});
			}

			await this.#write({type: JobEntryType.Cancel, jobId}, jobId, () => fold.jobs.has(jobId) || isCancelled());
		}

		const job = fold.jobs.get(jobId);
		if (!job) {
			throw createError(ErrorCode.NotFound, {step: 'cancel job', peer: jobId});
		}

		return job;
	}

	/** Writes an entry and waits until it is read back: only then its place in the log, before or after others, is certain. */
	async #write(entry: JobEntry, jobId: string, isDone: () => boolean): Promise<void> {
		const {clock, metrics, writer, submitTimeoutMs} = this.#options;
		const aborter = new AbortController();
		const wake = () => {
			if (isDone()) {
				aborter.abort();
			}
		};

		const waiting = this.#waiting.get(jobId) ?? new Set();
		this.#waiting.set(jobId, waiting.add(wake));
		const write = async () => {
			if (!await writer.write(entry, () => !isDone())) {
				aborter.abort();
			}
		};

		void write();
		await clock.sleep(submitTimeoutMs, aborter.signal);
		waiting.delete(wake);
		if (waiting.size === 0) {
			this.#waiting.delete(jobId);
		}

		if (!isDone()) {
			metrics.count(Metric.JobsRefused, 'log-unavailable');
			throw createError(ErrorCode.LogUnavailable, {
				step: `write ${entry.type}`, peer: jobId, detail: 'it is not known whether the log has it; send it again under the same id',
			});
		}
	}
}
