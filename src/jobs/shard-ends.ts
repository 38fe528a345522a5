/**
Ends of tasks: frees their capacity, records their ends, and has workers forget ended attempts.
*/
import {TaskState} from '../types/platform.ts';
import {JobEntryType, type TaskEnd} from './job-records.ts';
import {type ShardContext, type ShardScope} from './shard-context.ts';
import {getTaskRef, TaskPhase, type LiveTask} from './shard-task.ts';

const retryMs = 500;

/** Ends the tasks of one shard. */
export class ShardEnds {
	readonly #options: ShardScope;
	readonly #context: ShardContext;

	constructor(options: ShardScope, context: ShardContext) {
		this.#options = options;
		this.#context = context;
	}

	/** Drops the task from this entry's state without a call to its worker: it keeps running under the next owner. */
	detach(task: LiveTask): void {
		const {engine, tasks, waiting} = this.#context;
		this.releaseWorker(task);
		engine.cancel(task.taskId);
		tasks.delete(task.taskId);
		waiting.delete(task);
		task.phase = TaskPhase.Closed;
	}

	/** Frees the capacity of a task that no longer runs. Without `isSuccess` the end does not count for or against its worker. */
	releaseWorker(task: LiveTask, isSuccess?: boolean): void {
		const {clock, engine, getLeaseManager} = this.#context;
		task.isUnresolved = false;
		if (task.workerId === undefined) {
			return;
		}

		getLeaseManager(task.workerId)?.tasks.delete(task);
		if (isSuccess === undefined) {
			engine.cancel(task.taskId);
		}

		engine.recordEnded(task.taskId, isSuccess ?? false, clock.monotonicMs());
	}

	/** Records the task's end; retries until the log has it or the shard is lost. */
	finish(task: LiveTask, end: Pick<TaskEnd, 'state' | 'result' | 'reason'>): void {
		this.releaseWorker(task, end.state === TaskState.Stopped ? undefined : end.state === TaskState.Succeeded);
		task.phase = TaskPhase.Ending;
		task.end = {
			index: task.index, attempt: Math.max(0, task.attempt), evictions: task.evictions, ...end,
		};
		void this.#record(task, task.end);
	}

	/** The log has the task's end. */
	closeRecorded(task: LiveTask): void {
		if (task.workerId !== undefined && task.phase === TaskPhase.Ending) {
			this.#context.getLeaseManager(task.workerId)?.forget(getTaskRef(task));
		}

		this.close(task);
	}

	/** Drops a task that this entry no longer schedules. */
	close(task: LiveTask): void {
		this.forgetRetained(task);
		task.phase = TaskPhase.Closed;
		this.#context.waiting.delete(task);
		this.#context.tasks.delete(task.taskId);
		this.#options.onClosed(task);
	}

	/** Has the worker forget the current attempt. */
	forget(task: LiveTask): void {
		if (task.workerId !== undefined) {
			this.#context.getLeaseManager(task.workerId)?.forget(getTaskRef(task));
		}
	}

	/** Has the worker forget the retained attempt. */
	forgetRetained(task: LiveTask): void {
		if (task.retainedAttempt) {
			this.#context.getLeaseManager(task.retainedAttempt.workerId)?.forget(task.retainedAttempt.ref);
			task.retainedAttempt = undefined;
		}
	}

	async #record(task: LiveTask, end: TaskEnd): Promise<void> {
		const {clock, writer} = this.#context;
		while (!this.#options.isClosed() && task.phase === TaskPhase.Ending) {
			const isWritten = await writer.write({
				type: JobEntryType.End, jobId: task.job.spec.jobId, fencingToken: this.#options.fencingToken, end,
			}, () => !this.#options.isClosed() && !task.job.ends.has(task.index));
			if (isWritten || task.job.ends.has(task.index)) {
				return;
			}

			// The queue is full. The worker keeps reporting the end until it is ordered to forget the attempt.
			await clock.sleep(retryMs);
		}
	}
}
