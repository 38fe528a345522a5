/**
Stand-in for a worker of the platform: simulates tasks with timers, under leases and within its capacity, with fault injection.
*/
import {createError, ErrorCode} from '../core/errors.ts';
import {type Clock, type Timer} from '../types/clock.ts';
import {type Random} from '../types/random.ts';
import {
	TaskState, WorkerRefusal, type Resources, type StartOrder, type AttemptRef, type TaskReport, type TaskUsage, type WorkerClient, type WorkerReply,
	type WorkerSnapshot,
} from '../types/platform.ts';

/** Simulated behaviour of a task. */
export type TaskBehaviour = {
	runTimeMs: number;
	isFailing?: boolean;
	result?: unknown;
};

/** Faults to inject. */
export type WorkerFaults = {
	/** No call reaches the worker; its tasks continue to run until their leases expire. */
	isUnreachable: boolean;
	/** Calls hang until the pause ends, and then take effect; leases expire as usual. */
	isPaused: boolean;
	/** Probability that a call takes effect but its response is lost. */
	loseAnswerChance: number;
	/** Every task fails as soon as it starts. */
	isFailingAll: boolean;
	/** Tasks are stopped without a checkpoint, even if one is requested. */
	isCheckpointFailing: boolean;
	/** Time between the measurement of usage and its report. */
	usageLagMs: number;
	/** Usage is not reported. */
	isUsageMissing: boolean;
	/** Network delay of a call in each direction. */
	delayMs: number;
	/** Greatest random delay in addition, in each direction; it reorders responses. */
	jitterMs: number;
};

type RunningTask = {
	order: StartOrder;
	report: TaskReport;
	startedAtMs: number;
	leaseEndMs: number;
	leaseTimer?: Timer;
	endTimer?: Timer;
};

type MemoryWorkerOptions = {
	workerId: string;
	incarnation: number;
	capacity: Resources;
	clock: Clock;
	/** Needed for the random faults. */
	random?: Random;
	/** Returns how long a task runs and how it ends. */
	getBehaviour(order: StartOrder): TaskBehaviour;
	/** Called when a task starts and when it ends, for tests that check where tasks run. */
	onRunning?(taskId: string, attempt: number, isRunning: boolean): void;
	/** Returns the measured usage of a running task. */
	getUsage?(order: StartOrder, measuredAtMs: number): TaskUsage;
};

/** No faults. */
export const noWorkerFaults: Readonly<WorkerFaults> = {
	isUnreachable: false, isPaused: false, loseAnswerChance: 0, isFailingAll: false, isCheckpointFailing: false, usageLagMs: 0, isUsageMissing: false, delayMs: 0, jitterMs: 0,
};

const pausePollMs = 20;

/** An in-memory worker. */
export class MemoryWorker implements WorkerClient {
	faults: WorkerFaults = {...noWorkerFaults};
	readonly #tasks = new Map<string, RunningTask>();
	readonly #tokens = new Map<number, number>();
	readonly #attempts = new Map<string, number>();
	readonly #options: MemoryWorkerOptions;
	#incarnation: number;

	constructor(options: MemoryWorkerOptions) {
		this.#options = options;
		this.#incarnation = options.incarnation;
	}

	/** Increases with each restart. */
	get incarnation(): number {
		return this.#incarnation;
	}

	/** Resources reserved by running tasks. */
	get used(): Resources {
		const used = {processors: 0, memoryMb: 0, accelerators: 0};
		for (const {report} of this.#tasks.values()) {
			if (report.state === TaskState.Running) {
				used.processors += report.resources.processors;
				used.memoryMb += report.resources.memoryMb;
				used.accelerators += report.resources.accelerators;
			}
		}

		return used;
	}

	/** Restarts under the same address and loses its tasks, fencing tokens and known attempts. */
	restart(): void {
		for (const task of this.#tasks.values()) {
			this.#end(task, TaskState.Stopped);
		}

		this.#tasks.clear();
		this.#tokens.clear();
		this.#attempts.clear();
		this.#incarnation++;
	}

	async start(order: StartOrder): Promise<WorkerReply> {
		return this.#handleCall(() => this.#start(order));
	}

	async renew(refs: AttemptRef[], leaseMs: number): Promise<WorkerReply[]> {
		return this.#handleCall(() => refs.map(ref => this.#renew(ref, leaseMs)));
	}

	async stop(ref: AttemptRef, options: {isCheckpoint: boolean}): Promise<WorkerReply> {
		return this.#handleCall(() => {
			const found = this.#find(ref);
			if ('refusal' in found) {
				return found;
			}

			const {task} = found;
			if (task.report.state === TaskState.Running) {
				this.#end(task, TaskState.Stopped);
				task.report.checkpointId = options.isCheckpoint && !this.faults.isCheckpointFailing ? `${ref.taskId}/${ref.attempt}` : undefined;
			}

			return {isAccepted: true, state: task.report.state, checkpointId: task.report.checkpointId};
		});
	}

	async throttle(ref: AttemptRef, _share: number): Promise<WorkerReply> {
		return this.#handleCall(() => {
			const found = this.#find(ref);
			return 'refusal' in found ? found : {isAccepted: true, state: found.task.report.state};
		});
	}

	async forget(refs: AttemptRef[]): Promise<void> {
		return this.#handleCall(() => {
			for (const ref of refs) {
				const found = this.#find(ref);
				if ('task' in found && found.task.report.state !== TaskState.Running) {
					this.#tasks.delete(ref.taskId);
				}
			}
		});
	}

	async seal(shard: number, fencingToken: number): Promise<WorkerSnapshot> {
		return this.#handleCall(() => {
			this.#tokens.set(shard, Math.max(fencingToken, this.#tokens.get(shard) ?? -1));
			return this.#list();
		});
	}

	async list(): Promise<WorkerSnapshot> {
		return this.#handleCall(() => this.#list());
	}

	/** Executes a call with the injected faults on the way to the worker and back. */
	async #handleCall<Reply>(handle: () => Reply): Promise<Reply> {
		const {clock, workerId, random} = this.#options;
		const simulateNetwork = async () => {
			const {delayMs, jitterMs} = this.faults;
			if (delayMs + jitterMs > 0) {
				await clock.sleep(delayMs + (jitterMs * (random?.next() ?? 0)));
			}
		};

		await simulateNetwork();

		while (this.faults.isPaused) {
			await clock.sleep(pausePollMs);
		}

		if (this.faults.isUnreachable) {
			throw createError(ErrorCode.PeerUnavailable, {step: 'call worker', peer: workerId});
		}

		const reply = handle();
		await simulateNetwork();
		if (this.faults.loseAnswerChance > 0 && (random?.next() ?? 0) < this.faults.loseAnswerChance) {
			throw createError(ErrorCode.PeerUnavailable, {step: 'call worker (response lost)', peer: workerId});
		}

		return reply;
	}

	#start(order: StartOrder): WorkerReply {
		if (this.#isStale(order)) {
			return {isAccepted: false, refusal: WorkerRefusal.StaleToken};
		}

		const known = this.#tasks.get(order.taskId);
		if (known?.report.attempt === order.attempt) {
			// The response to the first order was lost; a repeated order must not start the task again.
			return {isAccepted: true, state: known.report.state};
		}

		if (this.#isExpired(order)) {
			return {isAccepted: false, refusal: WorkerRefusal.Expired};
		}

		const isOldAttempt = order.attempt <= (this.#attempts.get(order.taskId) ?? -1);
		if (isOldAttempt || known?.report.state === TaskState.Running) {
			return {isAccepted: false, refusal: WorkerRefusal.StaleAttempt};
		}

		if (!this.#hasCapacity(order.resources)) {
			return {isAccepted: false, refusal: WorkerRefusal.NoRoom};
		}

		this.#run(order);
		return {isAccepted: true, state: TaskState.Running};
	}

	#renew(ref: AttemptRef, leaseMs: number): WorkerReply {
		const found = this.#find(ref);
		if ('refusal' in found && found.refusal === WorkerRefusal.StaleToken) {
			return found;
		}

		if (this.#isExpired(ref)) {
			return {isAccepted: false, refusal: WorkerRefusal.Expired};
		}

		if ('refusal' in found) {
			return found;
		}

		const {report} = found.task;
		if (report.state === TaskState.Running) {
			this.#setLease(found.task, leaseMs);
		}

		return {isAccepted: true, state: report.state, checkpointId: report.checkpointId};
	}

	#list(): WorkerSnapshot {
		const {workerId, capacity, clock} = this.#options;
		const nowMs = clock.monotonicMs();
		const tasks = [...this.#tasks.values()].map(task => ({
			...task.report, leaseRemainingMs: Math.max(0, task.leaseEndMs - nowMs), usage: this.#getUsage(task),
		}));
		return {
			workerId, incarnation: this.#incarnation, capacity, tasks, clockMs: nowMs,
		};
	}

	#getUsage(task: RunningTask): TaskUsage | undefined {
		const {clock, getUsage} = this.#options;
		const measuredAtMs = clock.monotonicMs() - this.faults.usageLagMs;
		if (this.faults.isUsageMissing || measuredAtMs < task.startedAtMs) {
			return undefined;
		}

		return getUsage?.(task.order, measuredAtMs);
	}

	#run(order: StartOrder): void {
		const {clock} = this.#options;
		const behaviour = this.faults.isFailingAll ? {runTimeMs: 0, isFailing: true} : this.#options.getBehaviour(order);
		const {taskId, attempt, shard, kind, resources} = order;
		const task: RunningTask = {
			order,
			report: {
				taskId, attempt, shard, kind, resources, state: TaskState.Running, leaseRemainingMs: order.leaseMs,
			},
			startedAtMs: clock.monotonicMs(),
			leaseEndMs: 0,
		};
		this.#tasks.set(taskId, task);
		this.#attempts.set(taskId, attempt);
		this.#options.onRunning?.(taskId, attempt, true);
		this.#setLease(task, order.leaseMs);
		task.endTimer = clock.setTimer(() => {
			task.report.result = behaviour.result;
			this.#end(task, behaviour.isFailing ? TaskState.Failed : TaskState.Succeeded);
		}, behaviour.runTimeMs);
	}

	#end(task: RunningTask, state: TaskState): void {
		task.endTimer?.cancel();
		task.leaseTimer?.cancel();
		if (task.report.state === TaskState.Running) {
			task.report.state = state;
			this.#options.onRunning?.(task.report.taskId, task.report.attempt, false);
		}
	}

	#setLease(task: RunningTask, leaseMs: number): void {
		const {clock} = this.#options;
		task.leaseTimer?.cancel();
		task.leaseEndMs = clock.monotonicMs() + leaseMs;
		task.leaseTimer = clock.setTimer(() => {
			this.#end(task, TaskState.LeaseExpired);
		}, leaseMs);
	}

	#find(ref: AttemptRef): {task: RunningTask} | (WorkerReply & {refusal: WorkerRefusal}) {
		if (this.#isStale(ref)) {
			return {isAccepted: false, refusal: WorkerRefusal.StaleToken};
		}

		const task = this.#tasks.get(ref.taskId);
		if (!task) {
			return {isAccepted: false, refusal: WorkerRefusal.UnknownTask};
		}

		return task.report.attempt === ref.attempt ? {task} : {isAccepted: false, refusal: WorkerRefusal.StaleAttempt};
	}

	#isStale({shard, fencingToken}: {shard: number; fencingToken: number}): boolean {
		const known = this.#tokens.get(shard) ?? -1;
		if (fencingToken < known) {
			return true;
		}

		this.#tokens.set(shard, fencingToken);
		return false;
	}

	/** An order that was buffered while the worker was paused must not start a task that runs elsewhere by now. */
	#isExpired({notAfterMs = Number.POSITIVE_INFINITY, workerIncarnation = this.#incarnation}: Pick<StartOrder, 'notAfterMs' | 'workerIncarnation'>): boolean {
		return this.#options.clock.monotonicMs() > notAfterMs || workerIncarnation !== this.#incarnation;
	}

	#hasCapacity(wanted: Resources): boolean {
		const {capacity} = this.#options;
		const {used} = this;
		return used.processors + wanted.processors <= capacity.processors
			&& used.memoryMb + wanted.memoryMb <= capacity.memoryMb
			&& used.accelerators + wanted.accelerators <= capacity.accelerators;
	}
}
