/**
Invariants of scheduling, checked from the events of the workers of a simulated site.
*/
import {type SiteWorker} from '../src/standin/site-worker.ts';
import {type WorkerEvent} from '../src/standin/worker-options.ts';
import {type GangMember} from '../src/standin/worker-gangs.ts';
import {
	parseTaskId, RunEnd, type WorkflowSpec, type WorkflowStep,
} from '../src/types/workflows.ts';

/** Checks of one site. */
export class SiteInvariants {
	readonly violations: string[] = [];
	/** Jobs as submitted, by id. */
	readonly specs = new Map<string, WorkflowSpec>();
	/** Services to which a configuration has sent the queue of a job, by job. */
	readonly jobServices = new Map<string, Set<string>>();
	readonly #getWorkers: () => Iterable<SiteWorker>;
	readonly #runs = new Map<string, {workerId: string; run: number}>();
	readonly #done = new Set<string>();
	readonly #forgottenDone = new Set<string>();

	constructor(getWorkers: () => Iterable<SiteWorker>) {
		this.#getWorkers = getWorkers;
	}

	/** A start has another checkpoint than the members of its gang that are there. */
	reportMismatch({taskId, run, checkpoint}: GangMember): void {
		this.violations.push(`${taskId} run ${run} is ordered with another checkpoint than the members of its gang that are there: ${checkpoint}`);
	}

	/** Checks an event at its moment. */
	checkEvent(event: WorkerEvent): void {
		const ref = parseTaskId(event.taskId)!;
		const step = this.specs.get(ref.workflowId)?.steps[ref.step];
		switch (event.type) {
			case 'started': {
				this.#checkStart(event, step);
				this.#runs.set(event.taskId, event);
				break;
			}

			case 'ended': {
				this.#runs.delete(event.taskId);
				if (event.end === RunEnd.Done) {
					this.#done.add(event.taskId);
				}

				break;
			}

			case 'forgotten': {
				if (event.end === RunEnd.Done) {
					this.#forgottenDone.add(event.taskId);
				}

				break;
			}
		}
	}

	#checkStart({taskId, run, workerId}: {taskId: string; run: number; workerId: string}, step: WorkflowStep | undefined): void {
		const {workflowId, occurrence} = parseTaskId(taskId)!;
		if (!step) {
			this.violations.push(`${taskId} is started without a submitted job`);
			return;
		}

		const other = this.#runs.get(taskId);
		if (other && !step.isSpeculative) {
			this.violations.push(`${taskId} run ${run} is started on ${workerId} while run ${other.run} is active on ${other.workerId}`);
		}

		if (this.#forgottenDone.has(taskId)) {
			this.violations.push(`${taskId} run ${run} is started after an owner has stored the task's success`);
		}

		for (const earlier of step.after) {
			const {count} = this.specs.get(workflowId)!.steps[earlier]!;
			for (let member = 0; member < count; member++) {
				if (!this.#done.has(`${workflowId}.${occurrence}.${earlier}.${member}`)) {
					this.violations.push(`${taskId} is started before ${workflowId}.${occurrence}.${earlier}.${member} has succeeded`);
				}
			}
		}

		const {service: workerService} = this.#getWorker(workerId);
		if (this.jobServices.get(workflowId)?.has(workerService) === false) {
			this.violations.push(`${taskId} run ${run} is started on ${workerId} of ${workerService}, to which no configuration sends its queue`);
		}

		this.#checkCapacity(workerId);
	}

	#getWorker(workerId: string): SiteWorker {
		return [...this.#getWorkers()].find(worker => worker.workerId === workerId)!;
	}

	#checkCapacity(workerId: string): void {
		const worker = this.#getWorker(workerId);
		let milliCpu = 0;
		for (const taskId of worker.running.keys()) {
			const ref = parseTaskId(taskId)!;
			const step = this.specs.get(ref.workflowId)!.steps[ref.step]!;
			milliCpu += step.isFilling ? 0 : step.milliCpu;
		}

		if (milliCpu > worker.announce().milliCpu) {
			this.violations.push(`${workerId} has runs for ${milliCpu} thousandths of a core`);
		}
	}
}
