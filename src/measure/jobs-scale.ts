/**
Measures the rate of placement decisions on one core, and the memory for each worker, task and job, at several fleet sizes.
*/
import process from 'node:process';
import {createSettings} from '../core/settings.ts';
import {createPlacementEngine} from '../jobs/placement-engine.ts';
import {TaskClass, type JobSpec} from '../types/jobs.ts';
import {DecisionType, type PendingTask, type PlacementEngine} from '../types/placement.ts';
import {type Random} from '../types/random.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {getHeapBytes} from './process-cost.ts';

/** Result for one fleet size. */
export type ScaleResult = {
	workers: number;
	tasks: number;
	/** Start decisions a second of processor time, on a fleet that is nearly full. */
	decisionsPerSecond: number;
	/** Usage reports processed in a second of processor time. */
	reportsPerSecond: number;
	workerBytes: number;
	taskBytes: number;
	jobBytes: number;
};

const tasksPerWorker = 16;
const measuredStarts = 20_000;
const measuredReports = 20_000;
const waitingJobs = 2000;
const minWorkers = 400;
const batchSize = 100;
const teams = 80;
const kinds = 24;
const domains = 17;
const rackSize = 20;
const churnMs = 100;
const maxFillRounds = 600;
const collectionCount = 3;

/** Measures one fleet size. */
export const measureScale = (workerCount: number, seed: number): ScaleResult => {
	// The heap use of a small fleet is within the noise of the measurement, so several are held at once.
	const fleets = Array.from({length: Math.ceil(minWorkers / workerCount)}, (_, index) => new ScaleFleet(workerCount, createRandom(seed + index)));
	const [fleet] = fleets as [ScaleFleet];
	const steps = [() => undefined, ...getSteps(fleets)].map(step => {
		step();
		return getSettledHeapBytes();
	});
	const [empty, withWorkers, withTasks, withJobs] = steps as [number, number, number, number];
	fleet.cancelJobs();
	const tasks = fleet.running.length;
	const allTasks = fleets.reduce((sum, {running}) => sum + running.length, 0);
	return {
		workers: workerCount,
		tasks,
		reportsPerSecond: fleet.report(),
		decisionsPerSecond: fleet.churn(),
		workerBytes: (withWorkers - empty) / (workerCount * fleets.length),
		taskBytes: (withTasks - withWorkers) / allTasks,
		jobBytes: (withJobs - withTasks) / (waitingJobs * fleets.length),
	};
};

const getSteps = (fleets: ScaleFleet[]): Array<() => void> => [
	() => {
		for (const fleet of fleets) {
			fleet.addWorkers();
		}
	},
	() => {
		for (const fleet of fleets) {
			fleet.fill();
		}
	},
	() => {
		for (const fleet of fleets) {
			fleet.queueJobs();
		}
	},
];

class ScaleFleet {
	readonly running: PendingTask[] = [];
	readonly #engine: PlacementEngine;
	readonly #random: Random;
	readonly #workerCount: number;
	readonly #waiting = new Map<string, PendingTask>();
	#jobs = 0;
	#nowMs = 0;

	constructor(workerCount: number, random: Random) {
		this.#workerCount = workerCount;
		this.#random = random;
		this.#engine = createPlacementEngine({settings: createSettings().placement, random});
	}

	addWorkers(): void {
		for (let index = 0; index < this.#workerCount; index++) {
			const domain = index % domains;
			this.#engine.setWorker({
				workerId: `worker-${index}`,
				region: `region-${domain % 6}`,
				failureDomain: `domain-${domain}`,
				rack: `rack-${domain}-${Math.floor(index / domains / rackSize)}`,
				capacity: {processors: 16, memoryMb: 61_440, accelerators: index % 4 === 0 ? 4 : 0},
				isSchedulable: true,
			});
		}
	}

	/** Fills nine tenths of the fleet. */
	fill(): void {
		this.#submit(Math.floor(0.9 * tasksPerWorker * this.#workerCount));
		for (let round = 0; round < maxFillRounds && this.#waiting.size > 0; round++) {
			this.#decide();
			this.#nowMs += churnMs;
		}
	}

	/** Ends tasks and starts others in their place; returns starts a second. */
	churn(): number {
		let starts = 0;
		const size = Math.max(1, Math.min(batchSize, Math.floor(this.running.length / batchSize)));
		const startMs = getCpuMs();
		while (starts < measuredStarts) {
			this.#nowMs += churnMs;
			for (let count = 0; count < size && this.running.length > 1; count++) {
				this.#endOne();
			}

			this.#submit(size);
			starts += this.#decide();
		}

		return starts / ((getCpuMs() - startMs) / 1000);
	}

	/** Processes usage reports; returns reports a second. */
	report(): number {
		const startMs = getCpuMs();
		for (let count = 0; count < measuredReports; count++) {
			const {taskId, spec} = this.running[this.#random.below(this.running.length)]!;
			this.#engine.recordUsage(taskId, {
				measuredAtMs: this.#nowMs, processors: spec.resources.processors, memoryMb: 1024, slowdown: 1 + (0.2 * this.#random.next()),
			});
		}

		return measuredReports / ((getCpuMs() - startMs) / 1000);
	}

	/** Queues jobs of one task without deciding on them. */
	queueJobs(): void {
		for (let count = 0; count < waitingJobs; count++) {
			this.#engine.enqueue({
				taskId: `waiting-${count}/0`, attempt: 0, spec: this.#createSpec(`waiting-${count}`, 1), queuedAtMs: this.#nowMs,
			});
		}
	}

	/** Cancels the queued jobs. */
	cancelJobs(): void {
		for (let count = 0; count < waitingJobs; count++) {
			this.#engine.cancel(`waiting-${count}/0`);
		}
	}

	#submit(count: number): void {
		let left = count;
		while (left > 0) {
			const size = Math.min(left, 1 + this.#random.below(8));
			const spec = this.#createSpec(`job-${this.#jobs++}`, size);
			for (let index = 0; index < size; index++) {
				const task = {
					taskId: `${spec.jobId}/${index}`, attempt: 0, spec, queuedAtMs: this.#nowMs,
				};
				this.#waiting.set(task.taskId, task);
				this.#engine.enqueue(task);
			}

			left -= size;
		}
	}

	#createSpec(jobId: string, taskCount: number): JobSpec {
		const kind = this.#random.below(kinds);
		return {
			jobId,
			team: `team-${this.#random.below(teams)}`,
			kind: `kind-${kind}`,
			taskClass: kind % 5 === 0 ? TaskClass.LatencyCritical : TaskClass.Batch,
			priority: 100,
			taskCount,
			isGang: false,
			isIdempotent: true,
			resources: {processors: 1, memoryMb: 2048, accelerators: kind === 1 ? 1 : 0},
			declaredRunTimeMs: 60_000,
		};
	}

	#decide(): number {
		let starts = 0;
		for (const decision of this.#engine.decide(this.#nowMs, 1000)) {
			if (decision.type === DecisionType.Start) {
				starts++;
				this.running.push(this.#waiting.get(decision.taskId)!);
				this.#waiting.delete(decision.taskId);
			}
		}

		return starts;
	}

	#endOne(): void {
		const index = this.#random.below(this.running.length);
		const task = this.running[index]!;
		const last = this.running.pop()!;
		if (last !== task) {
			this.running[index] = last;
		}

		this.#engine.recordEnded(task.taskId, true, this.#nowMs);
	}
}

const getCpuMs = (): number => {
	const {user, system} = process.cpuUsage();
	return (user + system) / 1000;
};

/** Several collections are needed to free what earlier runs left. */
const getSettledHeapBytes = (): number => {
	let bytes = 0;
	for (let count = 0; count < collectionCount; count++) {
		bytes = getHeapBytes();
	}

	return bytes;
};
