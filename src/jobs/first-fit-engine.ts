/**
Placement by first fit: the first schedulable worker with enough free capacity. Baseline for comparison with other engines.
*/
import {
	DecisionType, type Decision, type PendingTask, type PlacementEngine, type PlacementWorker,
} from '../types/placement.ts';
import {type Resources} from '../types/platform.ts';
import {getMissingResources, hasCapacity} from './job-status.ts';

type Worker = {
	spec: PlacementWorker;
	used: Resources;
};

/** Places each task on the first worker where it fits, and gangs completely or not at all; never evicts. */
export class FirstFitEngine implements PlacementEngine {
	readonly #workers = new Map<string, Worker>();
	readonly #waiting = new Map<string, PendingTask>();
	readonly #placed = new Map<string, {workerId: string; resources: Resources}>();
	readonly #reported = new Set<string>();
	/** Worker that last refused the task: the next attempt goes to another one if possible. */
	readonly #refusedBy = new Map<string, string>();

	setWorker(spec: PlacementWorker): void {
		const known = this.#workers.get(spec.workerId);
		this.#workers.set(spec.workerId, {spec, used: known?.used ?? this.#sumPlaced(spec.workerId)});
		this.#reported.clear();
	}

	removeWorker(workerId: string): void {
		this.#workers.delete(workerId);
	}

	setQuota(): void {
		// First fit ignores quotas.
	}

	enqueue(task: PendingTask): void {
		this.#waiting.set(task.taskId, task);
	}

	cancel(taskId: string): void {
		this.#waiting.delete(taskId);
		this.#refusedBy.delete(taskId);
	}

	recordRunning(task: PendingTask, workerId: string): void {
		this.#waiting.delete(task.taskId);
		if (this.#placed.get(task.taskId)?.workerId !== workerId) {
			this.#allocate(task, workerId);
		}
	}

	recordStartRefused(taskId: string, workerId: string): void {
		// The capacity stays allocated until the end of the attempt is recorded.
		this.#refusedBy.set(taskId, workerId);
	}

	recordEnded(taskId: string): void {
		const placed = this.#placed.get(taskId);
		if (!placed) {
			return;
		}

		this.#placed.delete(taskId);
		const worker = this.#workers.get(placed.workerId);
		if (worker) {
			worker.used = add(worker.used, placed.resources, -1);
		}
	}

	recordUsage(): void {
		// First fit ignores interference.
	}

	decide(_nowMs: number, maxDecisions: number): Decision[] {
		const decisions: Decision[] = [];
		const unfitShapes = new Set<string>();
		for (const task of this.#waiting.values()) {
			if (decisions.length >= maxDecisions) {
				break;
			}

			const {jobId, resources, isGang} = task.spec;
			// If no worker fits this shape in this cycle, the next task of the same shape fits nowhere either.
			const shape = `${resources.processors}/${resources.memoryMb}/${resources.accelerators}/${task.region ?? ''}`;
			if (unfitShapes.has(shape)) {
				continue;
			}

			const group = isGang ? [...this.#waiting.values()].filter(({spec}) => spec.jobId === jobId) : [task];
			const starts = this.#place(group);
			if (starts) {
				decisions.push(...starts);
			} else {
				unfitShapes.add(shape);
				this.#reportMissing(task, decisions);
			}
		}

		return decisions;
	}

	#place(group: PendingTask[]): Decision[] | undefined {
		const starts: Decision[] = [];
		for (const task of group) {
			const worker = this.#findWorker(task);
			if (!worker) {
				for (const start of starts as Array<Decision & {type: DecisionType.Start}>) {
					this.recordEnded(start.taskId);
				}

				return undefined;
			}

			this.#allocate(task, worker.spec.workerId);
			starts.push({
				type: DecisionType.Start, taskId: task.taskId, workerId: worker.spec.workerId, resources: task.spec.resources,
			});
		}

		for (const task of group) {
			this.#waiting.delete(task.taskId);
		}

		return starts;
	}

	#findWorker({taskId, spec, region}: PendingTask): Worker | undefined {
		let lastChoice: Worker | undefined;
		for (const worker of this.#workers.values()) {
			const {workerId, isSchedulable, capacity, usedByOthers, region: workerRegion} = worker.spec;
			if (isSchedulable && (region === undefined || region === workerRegion) && hasCapacity(add(usedByOthers ? add(capacity, usedByOthers, -1) : capacity, worker.used, -1), spec.resources)) {
				if (this.#refusedBy.get(taskId) !== workerId) {
					return worker;
				}

				lastChoice = worker;
			}
		}

		return lastChoice;
	}

	#allocate({taskId, spec: {resources}}: PendingTask, workerId: string): void {
		this.recordEnded(taskId);
		this.#placed.set(taskId, {workerId, resources});
		const worker = this.#workers.get(workerId);
		if (worker) {
			worker.used = add(worker.used, resources, 1);
		}
	}

	#reportMissing({spec: {jobId, resources}}: PendingTask, decisions: Decision[]): void {
		const missing = getMissingResources(resources, [...this.#workers.values()].map(({spec}) => spec.capacity));
		if (missing !== undefined && !this.#reported.has(jobId)) {
			this.#reported.add(jobId);
			decisions.push({
				type: DecisionType.Unplaceable, jobId, missing, isFinal: false,
			});
		}
	}

	#sumPlaced(workerId: string): Resources {
		let used: Resources = {processors: 0, memoryMb: 0, accelerators: 0};
		for (const placed of this.#placed.values()) {
			if (placed.workerId === workerId) {
				used = add(used, placed.resources, 1);
			}
		}

		return used;
	}
}

const add = (a: Resources, b: Resources, sign: 1 | -1): Resources => ({
	processors: a.processors + (sign * b.processors),
	memoryMb: a.memoryMb + (sign * b.memoryMb),
	accelerators: a.accelerators + (sign * b.accelerators),
});
