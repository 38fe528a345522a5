/**
Runs the attempts of one shard's tasks: starts and stops them, and handles the workers' replies.
*/
import {getMessage} from '../core/errors.ts';
import {Metric} from '../types/metrics.ts';
import {
	TaskState, WorkerRefusal, type Resources, type StartOrder, type TaskReport, type WorkerReply,
} from '../types/platform.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';
import {JobEntryType} from './job-records.ts';
import {type LeaseManager} from './lease-manager.ts';
import {AttemptEndReason, type ShardContext, type ShardScope} from './shard-context.ts';
import {ShardEnds} from './shard-ends.ts';
import {ShardQueue} from './shard-queue.ts';
import {
	getTaskRef, mayBeRunning, TaskPhase, type LiveTask,
} from './shard-task.ts';

const log = createLogger(LogNamespace.Jobs);
/** A restart of a worker counts as a crash caused by a task only within this time of the task's start. */
const crashWindowMs = 5000;
/** A task fails after this many crashes in a row on at least two different workers: it would crash every worker (a "query of death"). */
const maxCrashes = 3;
/** The same limit if all crashes were on one worker, which may crash for reasons of its own. */
const maxCrashesOnOneWorker = 10;
const workerFaultReasons: ReadonlySet<AttemptEndReason> = new Set([AttemptEndReason.LeaseExpired, AttemptEndReason.UnknownToWorker, AttemptEndReason.Failed]);

const isCrashLimitReached = ({crashedWorkers}: LiveTask): boolean =>
	crashedWorkers.length >= (new Set(crashedWorkers).size > 1 ? maxCrashes : maxCrashesOnOneWorker);

/** Runs the tasks of one shard under one fencing token. */
export class ShardRunner {
	/** Queue of waiting tasks. */
	readonly queue: ShardQueue;
	/** Handles ends of tasks. */
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
			engine.recordEnded(task.taskId, false, clock.monotonicMs());
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
		// Checked right before the order: after a pause of this process the lease may have expired and the shard may have another
		// owner. If the pause falls between this check and the call, the order misses its deadline and the worker refuses it.
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
			// No answer: the task may be running there. It stays assigned to that worker until the worker lists its tasks or the lease expires.
			metrics.count(Metric.TaskRefusals, 'no-answer');
			task.isUnresolved = true;
			log('No answer to the start of %s: %s', task.taskId, getMessage(error));
			leaseManager.requestSnapshot();
		}
	}

	/** Stops a running task with a checkpoint; it is queued again once its end is confirmed. */
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

	/** Handles a worker's reply for an attempt; replies for older attempts are ignored. */
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

	/** The task is missing from the worker's listing that was requested at `requestedAtMs`. */
	onAbsent(task: LiveTask, leaseManager: LeaseManager, requestedAtMs: number): void {
		const {times: {callTimeoutMs, clockErrorMs}} = this.#context;
		if (this.#options.isClosed() || !mayBeRunning(task)) {
			return;
		}

		if (task.phase !== TaskPhase.Starting) {
			// A listing requested before the start was confirmed may be older than the start.
			if (requestedAtMs >= task.confirmedAtMs) {
				this.#onLost(task, AttemptEndReason.UnknownToWorker);
			}

			return;
		}

		// The order may still arrive. Only after its deadline, when the worker refuses it, is it certain that it starts nothing.
		if (leaseManager.isDeadlineEnforced && requestedAtMs > task.startedAtMs + callTimeoutMs + clockErrorMs) {
			this.#requeue(task, AttemptEndReason.NotStarted);
		}
	}

	/** Every lease of the attempt has expired. */
	onLeaseExpired(task: LiveTask): void {
		if (!this.#options.isClosed() && mayBeRunning(task)) {
			this.#onLost(task, AttemptEndReason.LeaseExpired);
		}
	}

	/** Handles a worker's report of the current attempt. */
	handleReport(task: LiveTask, report: TaskReport): void {
		if (!mayBeRunning(task)) {
			return;
		}

		if (report.usage) {
			this.#context.engine.recordUsage(task.taskId, report.usage);
		}

		if (report.state !== TaskState.Running) {
			this.#onEnded(task, report.state, report);
		} else if (task.phase === TaskPhase.Starting) {
			this.#markRunning(task);
		} else if (task.phase === TaskPhase.Stopping) {
			void this.stop(task, !task.isCancelled);
		}
	}

	/** Orders a stop; without an answer the task still counts as one that may be running. */
	async stop(task: LiveTask, isCheckpoint: boolean): Promise<void> {
		const leaseManager = this.#context.getLeaseManager(task.workerId!);
		const {attempt} = task;
		task.phase = TaskPhase.Stopping;
		try {
			const reply = await this.#context.limiter.run(async () => leaseManager!.stop(task, isCheckpoint));
			if (task.attempt === attempt && reply.isAccepted && (reply.state === TaskState.Succeeded || reply.state === TaskState.Failed)) {
				// The task ended before the stop arrived; only the worker's listing has its result.
				task.isUnresolved = true;
				leaseManager!.wake();
				return;
			}

			this.onReply(task, attempt, reply);
		} catch (error) {
			// No answer: the task counts as running until the next cycle lists the worker, or its lease expires without renewal.
			task.isUnresolved = true;
			log('No answer to the stop of %s: %s', task.taskId, getMessage(error));
		}
	}

	/** Cancels a task: drops it if it waits, stops it if it runs. In other phases `isCancelled` takes effect when the phase ends. */
	cancel(task: LiveTask): void {
		task.isCancelled = true;
		if (task.phase === TaskPhase.Waiting) {
			this.#context.engine.cancel(task.taskId);
			this.ends.close(task);
		} else if (task.phase === TaskPhase.Running) {
			void this.stop(task, false);
		}
	}

	/** Restarts a gang that lost a task: its other tasks can make no progress, so they stop with a checkpoint and all start together. */
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

	/** Prepares a start; returns the reason if it cannot go ahead. */
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
		engine.recordRunning(this.queue.getPending(task), task.workerId!, task.startedAtMs);
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
		} else if (state === TaskState.LeaseExpired) {
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

	/** The attempt has certainly ended, and how it ended cannot be learned. */
	#onLost(task: LiveTask, reason: AttemptEndReason): void {
		if (task.phase === TaskPhase.Stopping && !task.isCancelled) {
			this.#countLostWork(task);
		}

		if (this.#isCrash(task)) {
			task.crashedWorkers = [...task.crashedWorkers, task.workerId!];
			// The engine avoids this worker for a while: the next start elsewhere shows whether the task or the worker causes the crashes.
			this.#context.engine.recordStartRefused(task.taskId, task.workerId!);
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

	/** Tells whether the task counts as cause of a crash: its worker restarted soon after its start, and got no later task. */
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
			this.#context.engine.recordStartRefused(task.taskId, task.workerId!);
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
