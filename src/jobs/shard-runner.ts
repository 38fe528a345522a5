/**
Carries the tasks of one shard through their attempts: start, stop, and what the workers answer.
*/
import {getMessage} from '../core/errors.ts';
import {Metric} from '../types/metrics.ts';
import {
	TaskState, WorkerRefusal, type Resources, type StartOrder, type TaskReport, type WorkerReply,
} from '../types/platform.ts';
import {createLogger, Part} from '../utils/logger.ts';
import {JobEntryType} from './job-records.ts';
import {type LeaseManager} from './lease-keeper.ts';
import {AttemptEndReason, type ShardContext, type ShardScope} from './shard-context.ts';
import {ShardEnds} from './shard-ends.ts';
import {ShardQueue} from './shard-queue.ts';
import {
	getTaskRef, mayBeRunning, TaskPhase, type LiveTask,
} from './shard-task.ts';

const log = createLogger(Part.Jobs);
/** A worker that is restarted later than this after a start was not taken down by it. */
const crashWindowMs = 5000;
/** A task that took so many workers down in a row is a query of death, as long as they are not all one. */
const maxCrashes = 3;
/** The same on one worker, which may crash by itself. */
const maxCrashesOnOneWorker = 10;
const workerFaultReasons: ReadonlySet<AttemptEndReason> = new Set([AttemptEndReason.LeaseExpired, AttemptEndReason.UnknownToWorker, AttemptEndReason.Failed]);

const isCrashLimitReached = ({crashedWorkers}: LiveTask): boolean =>
	crashedWorkers.length >= (new Set(crashedWorkers).size > 1 ? maxCrashes : maxCrashesOnOneWorker);

/** Runs tasks of a shard under one token. */
export class ShardRunner {
	/** Where tasks wait. */
	readonly queue: ShardQueue;
	/** How tasks end. */
	readonly ends: ShardEnds;
	readonly #options: ShardScope;
	readonly #context: ShardContext;

	constructor(options: ShardScope, context: ShardContext) {
		this.#options = options;
		this.#context = context;
		this.ends = new ShardEnds(options, context);
		this.queue = new ShardQueue(context, options.getSiblings);
	}

	/** Orders the start of a waiting task. */
	async start(task: LiveTask, workerId: string, reserved: Resources): Promise<void> {
		const {clock, engine, metrics} = this.#context;
		const leaseManager = this.#context.getLeaseManager(workerId);
		if (task.phase !== TaskPhase.Waiting || !leaseManager) {
			engine.noteEnded(task.taskId, false, clock.monotonicMs());
			return;
		}

		this.#context.waiting.delete(task);
		task.phase = TaskPhase.Starting;
		task.attempt++;
		task.workerId = workerId;
		task.reserved = reserved;
		const {attempt} = task;
		const abortReason = await this.#prepareStart(task, leaseManager);
		task.startedAtMs = clock.monotonicMs();
		// Asked right before the order: after a pause the lease may be over, and the shard somebody else's. A pause between
		// this line and the sending makes the order late, and the worker refuses it.
		if (abortReason ?? (this.#options.isClosed() || !this.#context.mayStart(this.#options.shard))) {
			this.#returnToQueue(task, attempt, abortReason ?? AttemptEndReason.NotOwner);
			return;
		}

		task.latestLeaseEndMs = leaseManager.getLatestLeaseEndMs();
		task.incarnation = leaseManager.incarnation;
		leaseManager.add(task);
		try {
			const reply = await leaseManager.start(this.#createOrder(task), task.startedAtMs);
			if (task.attempt === attempt && task.phase === TaskPhase.Starting) {
				this.#handleStartReply(task, reply, leaseManager);
			}
		} catch (error) {
			// No answer: it may run there. It stays with that worker until the worker tells, or its lease is over.
			metrics.count(Metric.TaskRefusals, 'no-answer');
			task.isUnresolved = true;
			log('Start of %s unresolved: %s', task.taskId, getMessage(error));
			leaseManager.requestSnapshot();
		}
	}

	/** Stops a running task after a checkpoint, to resume it elsewhere once its end is confirmed. */
	async evict(task: LiveTask, reason: string): Promise<void> {
		if (task.phase === TaskPhase.Starting) {
			task.evictionReason = reason;
		}

		if (task.phase !== TaskPhase.Running) {
			return;
		}

		this.#context.metrics.count(Metric.Evictions, reason);
		await this.stop(task, true);
	}

	/** Takes a worker's answer for an attempt; answers for older attempts change nothing. */
	onReply(task: LiveTask, attempt: number, reply: WorkerReply, report?: TaskReport): void {
		if (this.#options.isClosed() || task.attempt !== attempt || !mayBeRunning(task)) {
			return;
		}

		if (!reply.isAccepted) {
			if (reply.refusal === WorkerRefusal.StaleToken) {
				this.#context.onSuperseded(this.#options.shard, this.#options.fencingToken);
			} else if (reply.refusal === WorkerRefusal.UnknownTask || reply.refusal === WorkerRefusal.StaleAttempt) {
				this.#onLost(task, AttemptEndReason.UnknownToWorker);
			}

			return;
		}

		if (reply.state === TaskState.Running) {
			if (task.phase === TaskPhase.Starting) {
				this.#markRunning(task);
			}

			return;
		}

		this.#onEnded(task, reply.state ?? TaskState.Stopped, {checkpointId: reply.checkpointId ?? report?.checkpointId, result: report?.result});
	}

	/** The worker's list, asked for at the time, does not have the task. */
	onAbsent(task: LiveTask, leaseManager: LeaseManager, askedAtMs: number): void {
		const {times: {callTimeoutMs, clockErrorMs}} = this.#context;
		if (this.#options.isClosed() || !mayBeRunning(task)) {
			return;
		}

		if (task.phase !== TaskPhase.Starting) {
			// A list that was on its way while the start was answered may be older than the start.
			if (askedAtMs >= task.confirmedAtMs) {
				this.#onLost(task, AttemptEndReason.UnknownToWorker);
			}

			return;
		}

		// The order may still be on its way: only when it would be refused as late is it certain that it starts nothing.
		if (leaseManager.isDeadlineEnforced && askedAtMs > task.startedAtMs + callTimeoutMs + clockErrorMs) {
			this.#requeue(task, AttemptEndReason.NotStarted);
		}
	}

	/** No lease of the attempt can be running any more. */
	onLeaseExpired(task: LiveTask): void {
		if (!this.#options.isClosed() && mayBeRunning(task)) {
			this.#onLost(task, AttemptEndReason.LeaseExpired);
		}
	}

	/** Takes what a worker lists of the present attempt. */
	handleReport(task: LiveTask, report: TaskReport): void {
		if (!mayBeRunning(task)) {
			return;
		}

		if (report.usage) {
			this.#context.engine.noteUsage(task.taskId, report.usage);
		}

		if (report.state !== TaskState.Running) {
			this.#onEnded(task, report.state, report);
		} else if (task.phase === TaskPhase.Starting) {
			this.#markRunning(task);
		} else if (task.phase === TaskPhase.Stopping) {
			void this.stop(task, !task.isCancelled);
		}
	}

	/** Orders a stop; an answer that does not come leaves the task as one that may run. */
	async stop(task: LiveTask, isCheckpoint: boolean): Promise<void> {
		const leaseManager = this.#context.getLeaseManager(task.workerId!);
		const {attempt} = task;
		task.phase = TaskPhase.Stopping;
		try {
			const reply = await this.#context.limiter.run(async () => leaseManager!.stop(task, isCheckpoint));
			if (task.attempt === attempt && reply.isAccepted && (reply.state === TaskState.Succeeded || reply.state === TaskState.Failed)) {
				// It ended before the stop came; its result is in the worker's list only.
				task.isUnresolved = true;
				leaseManager!.wake();
				return;
			}

			this.onReply(task, attempt, reply);
		} catch (error) {
			// No answer: it counts as running. The next round asks the worker, or its lease runs out unrenewed.
			task.isUnresolved = true;
			log('Stop of %s unresolved: %s', task.taskId, getMessage(error));
		}
	}

	/** Ends a task whose job is cancelled, wherever it is. */
	cancel(task: LiveTask): void {
		task.isCancelled = true;
		if (task.phase === TaskPhase.Waiting) {
			this.#context.engine.cancel(task.taskId);
			this.ends.close(task);
		} else if (task.phase === TaskPhase.Running) {
			void this.stop(task, false);
		}
	}

	/** A gang that lacks one of its tasks holds room for nothing: the others stop at a checkpoint, and all start again together. */
	restartGang(task: LiveTask): void {
		for (const sibling of this.#options.getSiblings(task)) {
			if (sibling.phase === TaskPhase.Running) {
				void this.evict(sibling, 'gang');
			} else if (sibling.phase === TaskPhase.Waiting) {
				this.#context.engine.cancel(sibling.taskId);
			}
		}

		this.queue.offer(task);
	}

	/** What a start needs first; gives what hinders it. */
	async #prepareStart(task: LiveTask, leaseManager: LeaseManager): Promise<AttemptEndReason | undefined> {
		try {
			await leaseManager.ensureCalibrated();
		} catch {
			return AttemptEndReason.NotStarted;
		}

		if (task.isCancelled || this.#options.isClosed()) {
			return AttemptEndReason.NotStarted;
		}

		if (task.job.spec.isIdempotent) {
			return undefined;
		}

		const isWritten = await this.#context.writer.write({
			type: JobEntryType.Dispatch,
			jobId: task.job.spec.jobId,
			fencingToken: this.#options.fencingToken,
			dispatch: {
				index: task.index, attempt: task.attempt, workerId: leaseManager.workerId, incarnation: leaseManager.incarnation!,
			},
		}, () => !this.#options.isClosed() && !task.isCancelled);
		return isWritten && !task.isCancelled ? undefined : AttemptEndReason.LogUnavailable;
	}

	#createOrder(task: LiveTask): StartOrder {
		const {kind, taskClass, resources, input} = task.job.spec;
		return {
			...getTaskRef(task), kind, taskClass, resources: task.reserved ?? resources, input, leaseMs: this.#context.times.leaseMs, checkpointId: task.checkpointId,
		};
	}

	#handleStartReply(task: LiveTask, reply: WorkerReply, leaseManager: LeaseManager): void {
		if (reply.isAccepted) {
			if (reply.state === undefined || reply.state === TaskState.Running) {
				this.#markRunning(task);
			} else {
				leaseManager.requestSnapshot();
				leaseManager.wake();
			}

			return;
		}

		this.#context.metrics.count(Metric.TaskRefusals, reply.refusal);
		if (reply.refusal === WorkerRefusal.StaleToken) {
			this.#context.onSuperseded(this.#options.shard, this.#options.fencingToken);
			return;
		}

		leaseManager.requestSnapshot();
		this.#returnToQueue(task, task.attempt, AttemptEndReason.Refused);
	}

	#markRunning(task: LiveTask): void {
		const {metrics, engine} = this.#context;
		task.phase = TaskPhase.Running;
		task.isUnresolved = false;
		task.confirmedAtMs = this.#context.clock.monotonicMs();
		metrics.count(Metric.TasksStarted);
		engine.noteRunning(this.queue.getPending(task), task.workerId!, task.startedAtMs);
		this.ends.forgetRetained(task);
		if (task.isCancelled) {
			void this.stop(task, false);
		} else if (task.evictionReason !== undefined) {
			void this.evict(task, task.evictionReason);
		}
	}

	#onEnded(task: LiveTask, state: TaskState, {checkpointId, result}: {checkpointId?: string; result?: unknown}): void {
		const {metrics, maxFailures} = this.#context;
		metrics.count(Metric.TasksEnded, state);
		const {isIdempotent} = task.job.spec;
		if (task.isCancelled && state !== TaskState.Succeeded) {
			this.ends.finish(task, {state: TaskState.Stopped});
			return;
		}

		if (state === TaskState.Stopped) {
			this.#onStopped(task, checkpointId);
		} else if (state === TaskState.Lapsed) {
			this.#onLost(task, AttemptEndReason.LeaseExpired);
		} else if (state === TaskState.Failed && isIdempotent && ++task.failures < maxFailures) {
			this.ends.forget(task);
			this.#requeue(task, AttemptEndReason.Failed);
		} else {
			this.ends.finish(task, {state, result});
		}
	}

	#onStopped(task: LiveTask, checkpointId: string | undefined): void {
		if (checkpointId === undefined) {
			this.#countLostWork(task);
			if (!task.job.spec.isIdempotent) {
				this.ends.finish(task, {state: TaskState.Failed, reason: 'stopped without a checkpoint'});
				return;
			}

			this.ends.forget(task);
		} else {
			task.evictions++;
			this.ends.forgetRetained(task);
			task.checkpointId = checkpointId;
			task.retainedAttempt = {workerId: task.workerId!, ref: getTaskRef(task)};
		}

		this.#requeue(task, AttemptEndReason.Evicted);
	}

	#countLostWork(task: LiveTask): void {
		const {clock, metrics} = this.#context;
		task.evictions++;
		metrics.count(Metric.EvictionWorkLostMs, undefined, Math.round(clock.monotonicMs() - task.startedAtMs));
	}

	/** The attempt is over for certain, and how it ended cannot be learned. */
	#onLost(task: LiveTask, reason: AttemptEndReason): void {
		if (task.phase === TaskPhase.Stopping && !task.isCancelled) {
			this.#countLostWork(task);
		}

		if (this.#isCrash(task)) {
			task.crashedWorkers = [...task.crashedWorkers, task.workerId!];
			// The next start elsewhere tells the task's crashes from the worker's own.
			this.#context.engine.noteStartRefused(task.taskId, task.workerId!);
		} else {
			task.crashedWorkers = [];
		}

		if (task.isCancelled) {
			this.ends.finish(task, {state: TaskState.Stopped});
		} else if (isCrashLimitReached(task)) {
			this.ends.finish(task, {state: TaskState.Failed, reason: `${task.crashedWorkers.length} times a worker was restarted soon after its start`});
		} else if (task.job.spec.isIdempotent) {
			this.ends.forget(task);
			this.#requeue(task, reason);
		} else {
			this.ends.finish(task, {state: TaskState.Failed, reason: `unknown: ${reason}`});
		}
	}

	/** Whether the worker was restarted soon after the start, with nothing started there since: what was there before is innocent. */
	#isCrash({workerId, incarnation, startedAtMs}: LiveTask): boolean {
		const {clock, getLeaseManager} = this.#context;
		const leaseManager = getLeaseManager(workerId!);
		return leaseManager?.incarnation !== undefined && leaseManager.incarnation !== incarnation
			&& clock.monotonicMs() - startedAtMs <= crashWindowMs
			&& [...leaseManager.tasks].every(other => other.startedAtMs <= startedAtMs);
	}

	#returnToQueue(task: LiveTask, attempt: number, reason: AttemptEndReason): void {
		if (task.attempt !== attempt || task.phase !== TaskPhase.Starting) {
			return;
		}

		if (reason === AttemptEndReason.Refused) {
			this.#context.engine.noteStartRefused(task.taskId, task.workerId!);
		}

		this.#requeue(task, reason);
	}

	#requeue(task: LiveTask, reason: AttemptEndReason): void {
		this.#context.metrics.count(Metric.TaskRetries, reason);
		this.ends.releaseWorker(task, workerFaultReasons.has(reason) ? false : undefined);
		if (task.isCancelled) {
			this.ends.close(task);
			return;
		}

		this.queue.enqueue(task);
		if (task.job.spec.isGang) {
			this.restartGang(task);
		}
	}
}
