/**
How tasks leave a worker and end: their room is freed, their ends recorded, and the worker told what it may forget.
*/
import {TaskState} from '../types/platform.ts';
import {JobEntryType, type TaskEnd} from './job-records.ts';
import {type ShardContext, type ShardScope} from './shard-context.ts';
import {getTaskRef, TaskPhase, type LiveTask} from './shard-task.ts';

const retryMs = 500;

/** Ends of the tasks of one shard. */
export class ShardEnds {
	readonly #options: ShardScope;
	readonly #context: ShardContext;

	constructor(options: ShardScope, context: ShardContext) {
		this.#options = options;
		this.#context = context;
	}

	/** Frees what the task holds here, without a word to its worker: it runs on under the next owner. */
	detach(task: LiveTask): void {
		const {engine, tasks, waiting} = this.#context;
		this.releaseWorker(task);
		engine.cancel(task.taskId);
		tasks.delete(task.taskId);
		waiting.delete(task);
		task.phase = TaskPhase.Closed;
	}

	/** Frees the task's room; its present attempt is not running any more. Without `isSuccess` its end tells nothing of its worker. */
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

		engine.noteEnded(task.taskId, isSuccess ?? false, clock.monotonicMs());
	}

	/** Records the task's end; asked again until the log has it or the shard is lost. */
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

	/** Drops a task that is no longer ours. */
	close(task: LiveTask): void {
		this.forgetRetained(task);
		task.phase = TaskPhase.Closed;
		this.#context.waiting.delete(task);
		this.#context.tasks.delete(task.taskId);
		this.#options.onClosed(task);
	}

	/** Has the present attempt dropped at its worker. */
	forget(task: LiveTask): void {
		if (task.workerId !== undefined) {
			this.#context.getLeaseManager(task.workerId)?.forget(getTaskRef(task));
		}
	}

	/** Has the kept attempt dropped at its worker. */
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

			// The queue is full: the worker keeps the end until it is told to forget it.
			await clock.sleep(retryMs);
		}
	}
}
