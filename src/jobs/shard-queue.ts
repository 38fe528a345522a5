/**
Offers the waiting tasks of a shard to the placement engine.
*/
import {type PendingTask} from '../types/placement.ts';
import {type ShardContext} from './shard-context.ts';
import {mayBeRunning, TaskPhase, type LiveTask} from './shard-task.ts';

/** Waiting tasks of one shard. */
export class ShardQueue {
	readonly #context: ShardContext;
	readonly #getSiblings: (task: LiveTask) => Iterable<LiveTask>;

	constructor(context: ShardContext, getSiblings: (task: LiveTask) => Iterable<LiveTask>) {
		this.#context = context;
		this.#getSiblings = getSiblings;
	}

	/** Queues a task that is not running on any worker. */
	enqueue(task: LiveTask): void {
		task.phase = TaskPhase.Waiting;
		task.workerId = undefined;
		task.reserved = undefined;
		task.evictionReason = undefined;
		task.queuedAtMs = this.#context.clock.monotonicMs();
		this.#context.waiting.add(task);
		this.offer(task);
	}

	/** Offers a waiting task to the engine. A gang is offered as a whole, once none of its tasks may be running. */
	offer(task: LiveTask): void {
		if (!task.job.spec.isGang) {
			this.#context.engine.enqueue(this.getPending(task));
			return;
		}

		const siblings = [...this.#getSiblings(task)];
		if (siblings.some(sibling => mayBeRunning(sibling) || sibling.phase === TaskPhase.Held)) {
			return;
		}

		for (const sibling of siblings) {
			if (sibling.phase === TaskPhase.Waiting) {
				this.#context.engine.enqueue(this.getPending(sibling));
			}
		}
	}

	/** Describes the task to the engine. */
	getPending(task: LiveTask): PendingTask {
		const {taskId, attempt, job: {spec}, queuedAtMs, reserved} = task;
		return {
			taskId, attempt, spec, queuedAtMs, reserved, region: this.#context.getRegion(spec.service),
		};
	}
}
