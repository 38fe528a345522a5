/**
Tasks of one shard while this entry owns it: created from the log, matched with reports of the workers, and closed when their ends
are recorded.
*/
import {getMessage} from '../core/errors.ts';
import {type TaskStatus} from '../types/jobs.ts';
import {TaskState, type TaskReport} from '../types/platform.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';
import {type FoldedJob, type JobChange} from './job-fold.ts';
import {JobEntryType, type Dispatch} from './job-records.ts';
import {type LeaseManager} from './lease-manager.ts';
import {type ShardContext} from './shard-context.ts';
import {ShardRunner} from './shard-runner.ts';
import {
	createLiveTask, getLiveStatus, getTaskRef, TaskPhase, type LiveTask,
} from './shard-task.ts';

const log = createLogger(LogNamespace.Jobs);

/** Owner of one shard under one fencing token. */
export class ShardOwner {
	readonly shard: number;
	readonly fencingToken: number;
	/** Starts and stops the tasks' attempts. */
	readonly runner: ShardRunner;
	readonly #context: ShardContext;
	/** Incarnations of the workers that were sealed under this token, and so have reported their tasks. */
	readonly #sealedIncarnations = new Map<string, number>();
	readonly #jobs = new Map<string, Map<number, LiveTask>>();
	#isClosed = false;

	constructor(shard: number, fencingToken: number, context: ShardContext) {
		this.shard = shard;
		this.fencingToken = fencingToken;
		this.#context = context;
		this.runner = new ShardRunner({
			shard,
			fencingToken,
			isClosed: () => this.#isClosed,
			getSiblings: task => this.#jobs.get(task.job.spec.jobId)?.values() ?? [],
			onClosed: task => {
				this.#remove(task);
			},
		}, context);
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Tells whether the job has tasks whose end is not recorded. */
	hasTasks(jobId: string): boolean {
		return this.#jobs.has(jobId);
	}

	/** Status of a task; undefined if its end is recorded. */
	getTaskStatus(jobId: string, index: number): TaskStatus | undefined {
		const task = this.#jobs.get(jobId)?.get(index);
		return task && getLiveStatus(task);
	}

	/** Live tasks of the shard. */
	* list(): Iterable<LiveTask> {
		for (const tasks of this.#jobs.values()) {
			yield * tasks.values();
		}
	}

	/** Adds the tasks of a job that have no recorded end. Held tasks are not queued until recovery releases them. */
	addJob(job: FoldedJob, isHeld: boolean): void {
		if (this.#isClosed || this.#jobs.has(job.spec.jobId) || (job.isCancelled && !isHeld)) {
			return;
		}

		const nowMs = this.#context.clock.monotonicMs();
		const tasks: LiveTask[] = [];
		for (let index = 0; index < job.spec.taskCount; index++) {
			if (!job.ends.has(index)) {
				const task = createLiveTask(job, index, this.fencingToken, nowMs);
				task.isCancelled = job.isCancelled;
				tasks.push(task);
				this.#add(task);
			}
		}

		if (isHeld) {
			return;
		}

		for (const task of tasks) {
			this.runner.queue.enqueue(task);
		}
	}

	/** Handles a change that was read from the log. */
	onChange({type, job, end}: JobChange): void {
		if (this.#isClosed || !job) {
			return;
		}

		switch (type) {
			case JobEntryType.Accept:
			case JobEntryType.Snapshot: {
				this.addJob(job, false);
				break;
			}

			case JobEntryType.Cancel: {
				for (const task of this.#jobs.get(job.spec.jobId)?.values() ?? []) {
					this.runner.cancel(task);
				}

				break;
			}

			case JobEntryType.End: {
				const task = this.#jobs.get(job.spec.jobId)?.get(end!.index);
				if (task) {
					this.runner.ends.closeRecorded(task);
				}

				break;
			}

			case JobEntryType.Dispatch:
			case JobEntryType.Forget:
			case JobEntryType.Seal: {
				break;
			}
		}
	}

	/** Offers the waiting tasks of a job to the engine again. */
	offerAgain(jobId: string): void {
		for (const task of this.#jobs.get(jobId)?.values() ?? []) {
			if (task.phase === TaskPhase.Waiting) {
				this.runner.queue.offer(task);
			}
		}
	}

	/** Fails the waiting tasks of a job that cannot run on any worker. */
	fail(jobId: string, reason: string): void {
		for (const task of this.#jobs.get(jobId)?.values() ?? []) {
			if (task.phase === TaskPhase.Waiting) {
				this.#context.engine.cancel(task.taskId);
				this.#context.waiting.delete(task);
				this.runner.ends.finish(task, {state: TaskState.Failed, reason});
			}
		}
	}

	/** Releases a held task, which no longer runs on any worker, so that it may be started. */
	release(task: LiveTask): void {
		if (task.phase !== TaskPhase.Held) {
			return;
		}

		const dispatch = task.job.dispatches.get(task.index);
		if (task.isCancelled) {
			this.runner.ends.close(task);
		} else if (dispatch && !this.#isDispatchResolved(task, dispatch)) {
			// A start was recorded and its outcome cannot be learned: another start might run the task twice.
			this.runner.ends.finish(task, {state: TaskState.Failed, reason: 'unknown: its end was lost with its worker or owner'});
		} else {
			this.runner.queue.enqueue(task);
			if (task.job.spec.isGang) {
				this.runner.restartGang(task);
			}
		}
	}

	/** The worker now refuses orders of earlier owners and has listed its tasks. */
	onSealed(workerId: string, incarnation: number): void {
		this.#sealedIncarnations.set(workerId, incarnation);
	}

	/** Handles a worker's report of an attempt of this shard; `isSeal`: the report answers this owner's seal. */
	onReport(leaseManager: LeaseManager, report: TaskReport, isSeal: boolean): void {
		if (this.#isClosed) {
			return;
		}

		const task = this.#context.tasks.get(report.taskId);
		if (task?.job.shard !== this.shard) {
			this.#dropOrphan(leaseManager, report);
			return;
		}

		if (task.phase === TaskPhase.Held) {
			// Any other listing may have been made while the earlier owner could still start or stop tasks.
			if (isSeal) {
				this.#adopt(task, leaseManager, report);
			}

			return;
		}

		if (task.workerId === leaseManager.workerId && task.attempt === report.attempt) {
			this.runner.handleReport(task, report);
			return;
		}

		if (task.retainedAttempt?.workerId === leaseManager.workerId && task.retainedAttempt.ref.attempt === report.attempt) {
			return;
		}

		if (report.attempt < task.attempt) {
			this.#dropOrphan(leaseManager, report);
		}
	}

	/** Drops all tasks without stopping them: they keep running under the next owner. */
	close(): void {
		this.#isClosed = true;
		for (const task of this.list()) {
			this.runner.ends.detach(task);
		}

		this.#jobs.clear();
	}

	/** Waits until every ordered start is answered, at most for the timeout of a call. */
	async waitForStarts(): Promise<void> {
		const {clock, times: {callTimeoutMs}} = this.#context;
		const endMs = clock.monotonicMs() + callTimeoutMs;
		while (clock.monotonicMs() < endMs && [...this.list()].some(({phase}) => phase === TaskPhase.Starting)) {
			await clock.sleep(callTimeoutMs / 20);
		}
	}

	/** Tells whether the dispatched attempt is known to have stopped with a checkpoint, or never to have started. */
	#isDispatchResolved(task: LiveTask, {attempt, workerId, incarnation}: Dispatch): boolean {
		if ((task.retainedAttempt?.ref.attempt ?? -1) >= attempt) {
			return true;
		}

		// The worker never received the order if the same incarnation was sealed later and did not report the attempt.
		return task.highestReportedAttempt < attempt && this.#sealedIncarnations.get(workerId) === incarnation;
	}

	/** Adopts an attempt of an earlier owner that a worker listed in reply to the seal; of several checkpoints, that of the highest attempt. */
	#adopt(task: LiveTask, leaseManager: LeaseManager, report: TaskReport): void {
		const {clock, engine} = this.#context;
		const ref = {...getTaskRef(task), attempt: report.attempt};
		task.highestReportedAttempt = Math.max(task.highestReportedAttempt, report.attempt);
		if (report.state === TaskState.Running) {
			task.phase = TaskPhase.Running;
			task.attempt = report.attempt;
			task.workerId = leaseManager.workerId;
			task.reserved = report.resources;
			task.startedAtMs = clock.monotonicMs();
			task.confirmedAtMs = task.startedAtMs;
			task.latestLeaseEndMs = leaseManager.getLatestLeaseEndMs();
			leaseManager.add(task);
			engine.recordRunning(this.runner.queue.getPending(task), leaseManager.workerId, task.startedAtMs);
			leaseManager.wake();
			if (task.isCancelled) {
				void this.runner.stop(task, false);
			}

			return;
		}

		if (report.state === TaskState.Succeeded || (report.state === TaskState.Failed && !task.job.spec.isIdempotent)) {
			task.workerId = leaseManager.workerId;
			task.attempt = report.attempt;
			this.runner.ends.finish(task, {state: report.state, result: report.result});
			return;
		}

		if (report.checkpointId !== undefined && report.attempt > (task.retainedAttempt?.ref.attempt ?? -1)) {
			// Stopped by an eviction that the earlier owner did not complete. Resumed once, when no newer attempt can be running.
			this.runner.ends.forgetRetained(task);
			task.checkpointId = report.checkpointId;
			task.retainedAttempt = {workerId: leaseManager.workerId, ref};
		} else if (task.job.spec.isIdempotent) {
			leaseManager.forget(ref);
		}
	}

	#remove(task: LiveTask): void {
		const {jobId} = task.job.spec;
		const tasks = this.#jobs.get(jobId);
		tasks?.delete(task.index);
		if (tasks?.size === 0) {
			this.#jobs.delete(jobId);
		}
	}

	#add(task: LiveTask): void {
		const {jobId} = task.job.spec;
		let tasks = this.#jobs.get(jobId);
		if (!tasks) {
			tasks = new Map();
			this.#jobs.set(jobId, tasks);
		}

		tasks.set(task.index, task);
		this.#context.tasks.set(task.taskId, task);
	}

	/** Removes an orphaned attempt from its worker: its task ended, was cancelled or forgotten, or has a newer attempt. */
	#dropOrphan(leaseManager: LeaseManager, report: TaskReport): void {
		const {taskId, attempt} = report;
		const ref = {
			taskId, attempt, shard: this.shard, fencingToken: this.fencingToken,
		};
		if (report.state !== TaskState.Running) {
			leaseManager.forget(ref);
			return;
		}

		void this.#context.limiter.run(async () => leaseManager.stopAndForget(ref)).catch((error: unknown) => {
			log('Cannot stop orphaned attempt of %s: %s', taskId, getMessage(error));
			leaseManager.requestSnapshot();
		});
	}
}

