/**
The tasks of one shard while this entry owns it, from acceptance to recorded end.
*/
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type TaskStatus} from '../types/jobs.ts';
import {Metric, type Metrics} from '../types/metrics.ts';
import {type PendingTask, type PlacementEngine} from '../types/placement.ts';
import {
	TaskState, WorkerRefusal, type StartOrder, type TaskReport, type WorkerReply,
} from '../types/platform.ts';
import {createLogger, Part} from '../utils/logger.ts';
import {type FoldedJob, type JobChange} from './job-fold.ts';
import {type JobLimiter} from './job-limiter.ts';
import {JobEntryType, type Dispatch, type TaskEnd} from './job-records.ts';
import {type JobWriter} from './job-writer.ts';
import {type LeaseKeeper, type LeaseTimes} from './lease-keeper.ts';
import {
	createLiveTask, getLiveStatus, getTaskRef, mayRun, TaskPhase, type LiveTask,
} from './shard-task.ts';

const log = createLogger(Part.Jobs);
const retryMs = 500;

/** Why an attempt was followed by another. One counter each. */
export enum AttemptEnd {
	Refused = 'refused',
	Lapsed = 'lapsed',
	WorkerForgot = 'worker-forgot',
	Failed = 'failed',
	Evicted = 'evicted',
	NotStarted = 'not-started',
	NotOwner = 'not-owner',
	LogAway = 'log-away',
}

const countsAgainstWorker: ReadonlySet<AttemptEnd> = new Set([AttemptEnd.Lapsed, AttemptEnd.WorkerForgot, AttemptEnd.Failed]);

/** What the owner of a shard works with, shared by all shards of the entry. */
export type ShardContext = {
	clock: Clock;
	metrics: Metrics;
	writer: JobWriter;
	engine: PlacementEngine;
	limiter: JobLimiter;
	/** All live tasks of the shards owned here. */
	tasks: Map<string, LiveTask>;
	/** Those that wait to be placed. */
	waiting: Set<LiveTask>;
	times: LeaseTimes;
	maxFailures: number;
	getKeeper(workerId: string): LeaseKeeper | undefined;
	/** Tells whether this entry may start tasks of the shard at this moment. */
	mayStart(shard: number): boolean;
	getRegion(service: string | undefined): string | undefined;
	/** A worker knows a newer owner of the shard. */
	onDeposed(shard: number, fencingToken: number): void;
};

/** Owner of one shard under one token. */
export class ShardOwner {
	readonly shard: number;
	readonly fencingToken: number;
	readonly #context: ShardContext;
	readonly #jobs = new Map<string, Map<number, LiveTask>>();
	#isClosed = false;

	constructor(shard: number, fencingToken: number, context: ShardContext) {
		this.shard = shard;
		this.fencingToken = fencingToken;
		this.#context = context;
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Tells whether some task of the job has not ended here. */
	hasTasks(jobId: string): boolean {
		return this.#jobs.has(jobId);
	}

	/** Status of a task, unless its end is recorded. */
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

	/** Takes a job's tasks that have not ended; held ones wait for what the workers tell. */
	takeJob(job: FoldedJob, isHeld: boolean): void {
		if (this.#isClosed || this.#jobs.has(job.spec.jobId) || (job.isCancelled && !isHeld)) {
			return;
		}

		const nowMs = this.#context.clock.monotonicMs();
		for (let index = 0; index < job.spec.taskCount; index++) {
			if (!job.ends.has(index)) {
				const task = createLiveTask(job, index, this.fencingToken, nowMs);
				task.isCancelled = job.isCancelled;
				this.#add(task);
				if (isHeld) {
					task.phase = TaskPhase.Held;
				} else {
					this.#enqueue(task);
				}
			}
		}
	}

	/** Follows a change of the log. */
	onChange({type, job, end}: JobChange): void {
		if (this.#isClosed || !job) {
			return;
		}

		switch (type) {
			case JobEntryType.Accept:
			case JobEntryType.Snapshot: {
				this.takeJob(job, false);
				break;
			}

			case JobEntryType.Cancel: {
				for (const task of this.#jobs.get(job.spec.jobId)?.values() ?? []) {
					this.#cancel(task);
				}

				break;
			}

			case JobEntryType.End: {
				const task = this.#jobs.get(job.spec.jobId)?.get(end!.index);
				if (task) {
					this.#closeRecorded(task);
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

	/** Puts the waiting tasks of a job before the engine once more. */
	enqueueAgain(jobId: string): void {
		for (const task of this.#jobs.get(jobId)?.values() ?? []) {
			if (task.phase === TaskPhase.Waiting) {
				this.#context.engine.enqueue(this.#getPending(task));
			}
		}
	}

	/** A held task is not running anywhere any more: it may be started. */
	release(task: LiveTask): void {
		if (task.phase !== TaskPhase.Held) {
			return;
		}

		const dispatch = task.job.dispatches.get(task.index);
		if (task.isCancelled) {
			this.#close(task);
		} else if (dispatch && !this.#isSettled(task, dispatch)) {
			// It was about to be started, and what became of it cannot be learned: to run it again might run it twice.
			this.#finish(task, {state: TaskState.Failed, reason: 'unknown: its end was lost with its worker or owner'});
		} else {
			this.#enqueue(task);
		}
	}

	/** Orders the start of a waiting task. */
	async start(task: LiveTask, workerId: string): Promise<void> {
		const {clock, engine, metrics} = this.#context;
		const keeper = this.#context.getKeeper(workerId);
		if (task.phase !== TaskPhase.Waiting || !keeper) {
			engine.noteEnded(task.taskId, false, clock.monotonicMs());
			return;
		}

		this.#context.waiting.delete(task);
		task.phase = TaskPhase.Starting;
		task.attempt++;
		task.workerId = workerId;
		const {attempt} = task;
		const hindrance = await this.#prepare(task, keeper);
		task.startedAtMs = clock.monotonicMs();
		// Asked right before the order: after a pause the lease may be over, and the shard somebody else's. A pause between
		// this line and the sending makes the order late, and the worker refuses it.
		if (hindrance ?? (this.#isClosed || !this.#context.mayStart(this.shard))) {
			this.#giveBack(task, attempt, hindrance ?? AttemptEnd.NotOwner);
			return;
		}

		task.runsUntilMs = keeper.getRunsUntilMs();
		keeper.add(task);
		try {
			const reply = await keeper.start(this.#createOrder(task), task.startedAtMs);
			if (task.attempt === attempt && task.phase === TaskPhase.Starting) {
				this.#takeStartReply(task, reply, keeper);
			}
		} catch (error) {
			// No answer: it may run there. It stays with that worker until the worker tells, or its lease is over.
			metrics.count(Metric.TaskRefusals, 'no-answer');
			task.isUnresolved = true;
			log('Start of %s unresolved: %s', task.taskId, getMessage(error));
			keeper.wantSnapshot();
		}
	}

	/** Stops a running task after a checkpoint, to resume it elsewhere once its end is confirmed. */
	async evict(task: LiveTask, reason: string): Promise<void> {
		if (task.phase !== TaskPhase.Running) {
			return;
		}

		this.#context.metrics.count(Metric.Evictions, reason);
		await this.#stop(task, true);
	}

	/** Takes a worker's answer for an attempt; answers for older attempts change nothing. */
	onReply(task: LiveTask, attempt: number, reply: WorkerReply, report?: TaskReport): void {
		if (this.#isClosed || task.attempt !== attempt || !mayRun(task)) {
			return;
		}

		if (!reply.isAccepted) {
			if (reply.refusal === WorkerRefusal.UnknownTask || reply.refusal === WorkerRefusal.StaleAttempt) {
				this.#onLost(task, AttemptEnd.WorkerForgot);
			}

			return;
		}

		if (reply.state === TaskState.Running) {
			if (task.phase === TaskPhase.Starting) {
				this.#takeRunning(task);
			}

			return;
		}

		this.#onEnded(task, reply.state ?? TaskState.Stopped, {checkpointId: reply.checkpointId ?? report?.checkpointId, result: report?.result});
	}

	/** Takes what a worker lists of an attempt of this shard. */
	onReport(keeper: LeaseKeeper, report: TaskReport): void {
		if (this.#isClosed) {
			return;
		}

		const task = this.#context.tasks.get(report.taskId);
		if (task?.job.shard !== this.shard) {
			this.#dropStray(keeper, report);
			return;
		}

		if (task.phase === TaskPhase.Held) {
			if (!keeper.acceptedAtMs.has(this.shard)) {
				return;
			}

			this.#learn(task, keeper, report);
			return;
		}

		if (task.workerId === keeper.workerId && task.attempt === report.attempt) {
			this.#takeReport(task, report);
			return;
		}

		if (task.kept?.workerId === keeper.workerId && task.kept.ref.attempt === report.attempt) {
			return;
		}

		if (report.attempt < task.attempt) {
			this.#dropStray(keeper, report);
		}
	}

	/** The worker's list, asked for at the time, does not have the task. */
	onAbsent(task: LiveTask, keeper: LeaseKeeper, askedAtMs: number): void {
		const {times: {callTimeoutMs, clockErrorMs}} = this.#context;
		if (this.#isClosed || !mayRun(task)) {
			return;
		}

		if (task.phase !== TaskPhase.Starting) {
			if (askedAtMs >= task.startedAtMs) {
				this.#onLost(task, AttemptEnd.WorkerForgot);
			}

			return;
		}

		// The order may still be on its way: only when it would be refused as late is it certain that it starts nothing.
		if (keeper.isExpiring && askedAtMs > task.startedAtMs + callTimeoutMs + clockErrorMs) {
			this.#requeue(task, AttemptEnd.NotStarted);
		}
	}

	/** No lease of the attempt can be running any more. */
	onLapsed(task: LiveTask): void {
		if (!this.#isClosed && mayRun(task)) {
			this.#onLost(task, AttemptEnd.Lapsed);
		}
	}

	/** Lets go of all tasks: they run on under the next owner. */
	close(): void {
		this.#isClosed = true;
		for (const task of this.list()) {
			this.#leaveWorker(task, true);
			this.#context.engine.cancel(task.taskId);
			this.#context.tasks.delete(task.taskId);
			this.#context.waiting.delete(task);
			task.phase = TaskPhase.Closed;
		}

		this.#jobs.clear();
	}

	/** Waits until no start is on its way, at most for the time of a call. */
	async settle(): Promise<void> {
		const {clock, times: {callTimeoutMs}} = this.#context;
		const endMs = clock.monotonicMs() + callTimeoutMs;
		while (clock.monotonicMs() < endMs && [...this.list()].some(({phase}) => phase === TaskPhase.Starting)) {
			await clock.sleep(callTimeoutMs / 20);
		}
	}

	/** Tells whether what was about to start is known to have stopped after a checkpoint, or never to have started. */
	#isSettled(task: LiveTask, {attempt, workerId, incarnation}: Dispatch): boolean {
		if ((task.kept?.ref.attempt ?? -1) >= attempt) {
			return true;
		}

		// The order never reached the worker when the same incarnation was sealed since and does not know it.
		const keeper = this.#context.getKeeper(workerId);
		return task.learnedAttempt < attempt && keeper?.incarnation === incarnation && keeper.acceptedAtMs.has(this.shard);
	}

	/** What a start needs first; gives what hinders it. */
	async #prepare(task: LiveTask, keeper: LeaseKeeper): Promise<AttemptEnd | undefined> {
		try {
			await keeper.prepare();
		} catch {
			return AttemptEnd.NotStarted;
		}

		if (task.isCancelled || this.#isClosed) {
			return AttemptEnd.NotStarted;
		}

		if (task.job.spec.isIdempotent) {
			return undefined;
		}

		const isWritten = await this.#context.writer.write({
			type: JobEntryType.Dispatch,
			jobId: task.job.spec.jobId,
			fencingToken: this.fencingToken,
			dispatch: {
				index: task.index, attempt: task.attempt, workerId: keeper.workerId, incarnation: keeper.incarnation!,
			},
		}, () => !this.#isClosed && !task.isCancelled);
		return isWritten && !task.isCancelled ? undefined : AttemptEnd.LogAway;
	}

	#createOrder(task: LiveTask): StartOrder {
		const {kind, taskClass, resources, input} = task.job.spec;
		return {
			...getTaskRef(task), kind, taskClass, resources, input, leaseMs: this.#context.times.leaseMs, checkpointId: task.checkpointId,
		};
	}

	#takeStartReply(task: LiveTask, reply: WorkerReply, keeper: LeaseKeeper): void {
		if (reply.isAccepted) {
			if (reply.state === undefined || reply.state === TaskState.Running) {
				this.#takeRunning(task);
			} else {
				keeper.wantSnapshot();
				keeper.wake();
			}

			return;
		}

		this.#context.metrics.count(Metric.TaskRefusals, reply.refusal);
		if (reply.refusal === WorkerRefusal.StaleToken) {
			this.#context.onDeposed(this.shard, this.fencingToken);
			return;
		}

		keeper.wantSnapshot();
		this.#giveBack(task, task.attempt, AttemptEnd.Refused);
	}

	#takeRunning(task: LiveTask): void {
		const {metrics, engine} = this.#context;
		task.phase = TaskPhase.Running;
		task.isUnresolved = false;
		metrics.count(Metric.TasksStarted);
		engine.noteRunning(this.#getPending(task), task.workerId!, task.startedAtMs);
		this.#forgetKept(task);
		if (task.isCancelled) {
			void this.#stop(task, false);
		}
	}

	#takeReport(task: LiveTask, report: TaskReport): void {
		if (!mayRun(task)) {
			return;
		}

		if (report.usage) {
			this.#context.engine.noteUsage(task.taskId, report.usage);
		}

		if (report.state !== TaskState.Running) {
			this.#onEnded(task, report.state, report);
		} else if (task.phase === TaskPhase.Starting) {
			this.#takeRunning(task);
		} else if (task.phase === TaskPhase.Stopping) {
			void this.#stop(task, !task.isCancelled);
		}
	}

	/** Adopts what an earlier owner left at a worker; the highest attempt stands for the task. */
	#learn(task: LiveTask, keeper: LeaseKeeper, report: TaskReport): void {
		const {clock, engine} = this.#context;
		const ref = {...getTaskRef(task), attempt: report.attempt};
		task.learnedAttempt = Math.max(task.learnedAttempt, report.attempt);
		if (report.state === TaskState.Running) {
			task.phase = TaskPhase.Running;
			task.attempt = report.attempt;
			task.workerId = keeper.workerId;
			task.startedAtMs = clock.monotonicMs();
			task.runsUntilMs = keeper.getRunsUntilMs();
			keeper.add(task);
			engine.noteRunning(this.#getPending(task), keeper.workerId, task.startedAtMs);
			keeper.wake();
			if (task.isCancelled) {
				void this.#stop(task, false);
			}

			return;
		}

		if (report.state === TaskState.Succeeded || (report.state === TaskState.Failed && !task.job.spec.isIdempotent)) {
			task.workerId = keeper.workerId;
			task.attempt = report.attempt;
			this.#finish(task, {state: report.state, result: report.result});
			return;
		}

		if (report.checkpointId !== undefined && report.attempt > (task.kept?.ref.attempt ?? -1)) {
			// Stopped for an eviction that the earlier owner did not finish: resumed once, when nothing newer can be running.
			this.#forgetKept(task);
			task.checkpointId = report.checkpointId;
			task.kept = {workerId: keeper.workerId, ref};
		}
	}

	async #stop(task: LiveTask, isCheckpoint: boolean): Promise<void> {
		const keeper = this.#context.getKeeper(task.workerId!);
		const {attempt} = task;
		task.phase = TaskPhase.Stopping;
		try {
			const reply = await this.#context.limiter.run(async () => keeper!.stop(task, isCheckpoint));
			this.onReply(task, attempt, reply);
			if (reply.isAccepted && reply.state === TaskState.Succeeded) {
				keeper!.wake();
			}
		} catch (error) {
			// No answer: it counts as running. The next round asks the worker, or its lease runs out unrenewed.
			task.isUnresolved = true;
			log('Stop of %s unresolved: %s', task.taskId, getMessage(error));
		}
	}

	#cancel(task: LiveTask): void {
		task.isCancelled = true;
		if (task.phase === TaskPhase.Waiting) {
			this.#context.engine.cancel(task.taskId);
			this.#close(task);
		} else if (task.phase === TaskPhase.Running) {
			void this.#stop(task, false);
		}
	}

	#onEnded(task: LiveTask, state: TaskState, {checkpointId, result}: {checkpointId?: string; result?: unknown}): void {
		const {metrics, maxFailures} = this.#context;
		metrics.count(Metric.TasksEnded, state);
		const {isIdempotent} = task.job.spec;
		if (task.isCancelled && state !== TaskState.Succeeded) {
			this.#finish(task, {state: TaskState.Stopped});
			return;
		}

		if (state === TaskState.Stopped) {
			this.#onStopped(task, checkpointId);
		} else if (state === TaskState.Lapsed) {
			this.#onLost(task, AttemptEnd.Lapsed);
		} else if (state === TaskState.Failed && isIdempotent && ++task.failures < maxFailures) {
			this.#keepNothing(task);
			this.#requeue(task, AttemptEnd.Failed);
		} else {
			this.#finish(task, {state, result});
		}
	}

	#onStopped(task: LiveTask, checkpointId: string | undefined): void {
		const {clock, metrics} = this.#context;
		task.evictions++;
		if (checkpointId === undefined) {
			metrics.count(Metric.EvictionWorkLostMs, undefined, Math.round(clock.monotonicMs() - task.startedAtMs));
			if (!task.job.spec.isIdempotent) {
				this.#finish(task, {state: TaskState.Failed, reason: 'stopped without a checkpoint'});
				return;
			}

			this.#keepNothing(task);
		} else {
			this.#forgetKept(task);
			task.checkpointId = checkpointId;
			task.kept = {workerId: task.workerId!, ref: getTaskRef(task)};
		}

		this.#requeue(task, AttemptEnd.Evicted);
	}

	/** The attempt is over for certain, and how it ended cannot be learned. */
	#onLost(task: LiveTask, reason: AttemptEnd): void {
		if (task.isCancelled) {
			this.#finish(task, {state: TaskState.Stopped});
		} else if (task.job.spec.isIdempotent) {
			this.#keepNothing(task);
			this.#requeue(task, reason);
		} else {
			this.#finish(task, {state: TaskState.Failed, reason: `unknown: ${reason}`});
		}
	}

	#giveBack(task: LiveTask, attempt: number, reason: AttemptEnd): void {
		if (task.attempt !== attempt || task.phase !== TaskPhase.Starting) {
			return;
		}

		this.#context.engine.noteStartRefused(task.taskId, task.workerId!);
		this.#requeue(task, reason);
	}

	#requeue(task: LiveTask, reason: AttemptEnd): void {
		this.#context.metrics.count(Metric.TaskRetries, reason);
		this.#leaveWorker(task, !countsAgainstWorker.has(reason));
		if (task.isCancelled) {
			this.#close(task);
		} else {
			this.#enqueue(task);
		}
	}

	#enqueue(task: LiveTask): void {
		task.phase = TaskPhase.Waiting;
		task.workerId = undefined;
		task.queuedAtMs = this.#context.clock.monotonicMs();
		this.#context.waiting.add(task);
		this.#context.engine.enqueue(this.#getPending(task));
	}

	#getPending(task: LiveTask): PendingTask {
		const {taskId, attempt, job: {spec}, queuedAtMs} = task;
		return {
			taskId, attempt, spec, queuedAtMs, region: this.#context.getRegion(spec.service),
		};
	}

	/** Frees the task's room; its present attempt is not running any more. */
	#leaveWorker(task: LiveTask, isSuccess: boolean): void {
		const {clock, engine, getKeeper} = this.#context;
		task.isUnresolved = false;
		if (task.workerId !== undefined) {
			getKeeper(task.workerId)?.tasks.delete(task);
			engine.noteEnded(task.taskId, isSuccess, clock.monotonicMs());
		}
	}

	/** Records the task's end; asked again until the log has it or the shard is lost. */
	#finish(task: LiveTask, end: Pick<TaskEnd, 'state' | 'result' | 'reason'>): void {
		this.#leaveWorker(task, end.state === TaskState.Succeeded);
		task.phase = TaskPhase.Ending;
		task.end = {
			index: task.index, attempt: Math.max(0, task.attempt), evictions: task.evictions, ...end,
		};
		void this.#record(task, task.end);
	}

	async #record(task: LiveTask, end: TaskEnd): Promise<void> {
		const {clock, writer} = this.#context;
		while (!this.#isClosed && task.phase === TaskPhase.Ending) {
			const isWritten = await writer.write({
				type: JobEntryType.End, jobId: task.job.spec.jobId, fencingToken: this.fencingToken, end,
			}, () => !this.#isClosed && !task.job.ends.has(task.index));
			if (isWritten || task.job.ends.has(task.index)) {
				return;
			}

			// The queue is full: the worker keeps the end until it is told to forget it.
			await clock.sleep(retryMs);
		}
	}

	#closeRecorded(task: LiveTask): void {
		if (task.workerId !== undefined && task.phase === TaskPhase.Ending) {
			this.#context.getKeeper(task.workerId)?.forget(getTaskRef(task));
		}

		this.#close(task);
	}

	#close(task: LiveTask): void {
		const {jobId} = task.job.spec;
		const tasks = this.#jobs.get(jobId);
		this.#forgetKept(task);
		task.phase = TaskPhase.Closed;
		this.#context.waiting.delete(task);
		this.#context.tasks.delete(task.taskId);
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

	#keepNothing(task: LiveTask): void {
		if (task.workerId !== undefined) {
			this.#context.getKeeper(task.workerId)?.forget(getTaskRef(task));
		}
	}

	#forgetKept(task: LiveTask): void {
		if (task.kept) {
			this.#context.getKeeper(task.kept.workerId)?.forget(task.kept.ref);
			task.kept = undefined;
		}
	}

	/** An attempt that nothing stands for: of an ended, cancelled or forgotten task, or overtaken by a newer attempt. */
	#dropStray(keeper: LeaseKeeper, report: TaskReport): void {
		const {taskId, attempt} = report;
		const ref = {
			taskId, attempt, shard: this.shard, fencingToken: this.fencingToken,
		};
		if (report.state !== TaskState.Running) {
			keeper.forget(ref);
			return;
		}

		void this.#context.limiter.run(async () => keeper.drop(ref)).catch((error: unknown) => {
			log('Stray %s not stopped: %s', taskId, getMessage(error));
			keeper.wantSnapshot();
		});
	}
}

