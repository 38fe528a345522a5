/**
Stand-in for a worker of the platform: runs tasks as timers, under leases, within its capacity.
*/
import {type Clock, type Timer} from '../types/clock.ts';
import {
	TaskState, WorkerRefusal, type Resources, type StartOrder, type TaskRef, type TaskReport, type WorkerClient, type WorkerReply, type WorkerSnapshot,
} from '../types/platform.ts';

/** How a task behaves once started. */
export type TaskBehaviour = {
	runTimeMs: number;
	isFailing?: boolean;
	result?: unknown;
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
	/** Decides how long a task runs and how it ends. */
	getBehaviour(order: StartOrder): TaskBehaviour;
	/** Told of each task that begins and ends to run, for tests that watch where tasks run. */
	onRunning?(taskId: string, attempt: number, isRunning: boolean): void;
};

/** A worker in memory. */
export class MemoryWorker implements WorkerClient {
	readonly #tasks = new Map<string, RunningTask>();
	readonly #tokens = new Map<number, number>();
	readonly #attempts = new Map<string, number>();
	readonly #options: MemoryWorkerOptions;

	constructor(options: MemoryWorkerOptions) {
		this.#options = options;
	}

	async start(order: StartOrder): Promise<WorkerReply> {
		if (this.#isStale(order)) {
			return {isAccepted: false, refusal: WorkerRefusal.StaleToken};
		}

		const known = this.#tasks.get(order.taskId);
		if (known?.report.attempt === order.attempt) {
			// The answer to the first order was lost: the same order again starts nothing.
			return {isAccepted: true, state: known.report.state};
		}

		const isLate = order.attempt <= (this.#attempts.get(order.taskId) ?? -1);
		if (isLate || known?.report.state === TaskState.Running) {
			return {isAccepted: false, refusal: WorkerRefusal.StaleAttempt};
		}

		if (!this.#hasRoom(order.resources)) {
			return {isAccepted: false, refusal: WorkerRefusal.NoRoom};
		}

		this.#run(order);
		return {isAccepted: true, state: TaskState.Running};
	}

	async renew(refs: TaskRef[], leaseMs: number): Promise<WorkerReply[]> {
		return refs.map(ref => {
			const found = this.#find(ref);
			if ('refusal' in found) {
				return found;
			}

			if (found.task.report.state === TaskState.Running) {
				this.#setLease(found.task, leaseMs);
			}

			return {isAccepted: true, state: found.task.report.state, checkpointId: found.task.report.checkpointId};
		});
	}

	async stop(ref: TaskRef, options: {isCheckpoint: boolean}): Promise<WorkerReply> {
		const found = this.#find(ref);
		if ('refusal' in found) {
			return found;
		}

		const {task} = found;
		if (task.report.state === TaskState.Running) {
			this.#end(task, TaskState.Stopped);
			task.report.checkpointId = options.isCheckpoint ? `${ref.taskId}/${ref.attempt}` : undefined;
		}

		return {isAccepted: true, state: task.report.state, checkpointId: task.report.checkpointId};
	}

	async throttle(ref: TaskRef, _share: number): Promise<WorkerReply> {
		const found = this.#find(ref);
		return 'refusal' in found ? found : {isAccepted: true, state: found.task.report.state};
	}

	async forget(refs: TaskRef[]): Promise<void> {
		for (const ref of refs) {
			const found = this.#find(ref);
			if ('task' in found && found.task.report.state !== TaskState.Running) {
				this.#tasks.delete(ref.taskId);
			}
		}
	}

	async seal(shard: number, fencingToken: number): Promise<WorkerSnapshot> {
		this.#tokens.set(shard, Math.max(fencingToken, this.#tokens.get(shard) ?? -1));
		return this.list();
	}

	async list(): Promise<WorkerSnapshot> {
		const {workerId, incarnation, capacity, clock} = this.#options;
		const nowMs = clock.monotonicMs();
		const tasks = [...this.#tasks.values()].map(({report, leaseEndMs}) => ({...report, leaseRemainingMs: Math.max(0, leaseEndMs - nowMs)}));
		return {
			workerId, incarnation, capacity, tasks,
		};
	}

	#run(order: StartOrder): void {
		const {clock} = this.#options;
		const behaviour = this.#options.getBehaviour(order);
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
		this.#setLease(task, order.leaseMs);
		task.endTimer = clock.setTimer(() => {
			task.report.result = behaviour.result;
			this.#end(task, behaviour.isFailing ? TaskState.Failed : TaskState.Succeeded);
		}, behaviour.runTimeMs);
	}

	#end(task: RunningTask, state: TaskState): void {
		task.endTimer?.cancel();
		task.leaseTimer?.cancel();
		task.report.state = state;
	}

	#setLease(task: RunningTask, leaseMs: number): void {
		const {clock} = this.#options;
		task.leaseTimer?.cancel();
		task.leaseEndMs = clock.monotonicMs() + leaseMs;
		task.leaseTimer = clock.setTimer(() => {
			this.#end(task, TaskState.Lapsed);
		}, leaseMs);
	}

	#find(ref: TaskRef): {task: RunningTask} | (WorkerReply & {refusal: WorkerRefusal}) {
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

	#hasRoom(wanted: Resources): boolean {
		const {capacity} = this.#options;
		const used = {processors: 0, memoryMb: 0, accelerators: 0};
		for (const {report} of this.#tasks.values()) {
			if (report.state === TaskState.Running) {
				used.processors += report.resources.processors;
				used.memoryMb += report.resources.memoryMb;
				used.accelerators += report.resources.accelerators;
			}
		}

		return used.processors + wanted.processors <= capacity.processors
			&& used.memoryMb + wanted.memoryMb <= capacity.memoryMb
			&& used.accelerators + wanted.accelerators <= capacity.accelerators;
	}
}
