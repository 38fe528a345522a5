/**
Rate of placement decisions on one core, and state held for each worker, task and job, at several fleet sizes.
*/
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import process from 'node:process';
import {createSettings} from '../core/settings.ts';
import {createPlacementEngine} from '../jobs/placement-engine.ts';
import {TaskClass, type JobSpec} from '../types/jobs.ts';
import {DecisionType, type PendingTask, type PlacementEngine} from '../types/placement.ts';
import {type Random} from '../types/random.ts';
import {createRandom} from '../utils/seeded-random.ts';

/** What one fleet size gave. */
export type ScaleResult = {
	workers: number;
	tasks: number;
	/** Start decisions a second of processor time, on a fleet that is nearly full. */
	decisionsPerSecond: number;
	/** Usage reports taken in a second of processor time. */
	reportsPerSecond: number;
	workerBytes: number;
	taskBytes: number;
	jobBytes: number;
};

/** Reads processor time in milliseconds; passed in so that tests need no real one. */
export type GetProcessorMs = () => number;

const tasksPerWorker = 16;
const measuredStarts = 20_000;
const measuredReports = 20_000;
const waitingJobs = 20_000;
const batchSize = 100;
const teams = 80;
const kinds = 24;
const domains = 17;
const rackSize = 20;
const churnMs = 100;
const fillRounds = 300;

/** Measures one fleet size. */
export const measureScale = (workerCount: number, seed: number, getProcessorMs: GetProcessorMs): ScaleResult => {
	const fleet = new ScaleFleet(workerCount, createRandom(seed));
	const empty = getHeapBytes();
	fleet.addWorkers();
	const withWorkers = getHeapBytes();
	fleet.fill();
	const withTasks = getHeapBytes();
	const tasks = fleet.running.length;
	const reportsPerSecond = fleet.report(getProcessorMs);
	const decisionsPerSecond = fleet.churn(getProcessorMs);
	const beforeJobs = getHeapBytes();
	fleet.queueJobs();
	const withJobs = getHeapBytes();
	return {
		workers: workerCount,
		tasks,
		decisionsPerSecond,
		reportsPerSecond,
		workerBytes: (withWorkers - empty) / workerCount,
		taskBytes: (withTasks - withWorkers) / tasks,
		jobBytes: (withJobs - beforeJobs) / waitingJobs,
	};
};

/** Reads the processor time of this process. */
export const getProcessorMs: GetProcessorMs = () => {
	const {user, system} = process.cpuUsage();
	return (user + system) / 1000;
};

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
				isOpen: true,
			});
		}
	}

	/** Fills nine tenths of the fleet. */
	fill(): void {
		this.#submit(Math.floor(0.9 * tasksPerWorker * this.#workerCount));
		for (let round = 0; round < fillRounds && this.#waiting.size > 0; round++) {
			this.#decide();
			this.#nowMs += churnMs;
		}
	}

	/** Tasks end and others start in their place; gives starts a second. */
	churn(getMs: GetProcessorMs): number {
		let starts = 0;
		const startMs = getMs();
		while (starts < measuredStarts) {
			this.#nowMs += churnMs;
			for (let count = 0; count < batchSize; count++) {
				this.#endOne();
			}

			this.#submit(batchSize);
			starts += this.#decide();
		}

		return starts / ((getMs() - startMs) / 1000);
	}

	/** Takes in usage reports; gives reports a second. */
	report(getMs: GetProcessorMs): number {
		const startMs = getMs();
		for (let count = 0; count < measuredReports; count++) {
			const {taskId, spec} = this.running[this.#random.below(this.running.length)]!;
			this.#engine.noteUsage(taskId, {
				measuredAtMs: this.#nowMs, processors: spec.resources.processors, memoryMb: 1024, slowdown: 1 + (0.2 * this.#random.next()),
			});
		}

		return measuredReports / ((getMs() - startMs) / 1000);
	}

	/** Queues jobs of one task that cannot start: nothing is as large as they ask for. */
	queueJobs(): void {
		for (let count = 0; count < waitingJobs; count++) {
			this.#engine.enqueue({
				taskId: `waiting-${count}/0`, attempt: 0, spec: this.#createSpec(`waiting-${count}`, 1), queuedAtMs: this.#nowMs,
			});
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

		this.#engine.noteEnded(task.taskId, true, this.#nowMs);
	}
}

/** Bytes in use on the heap after a full collection. */
const getHeapBytes = (): number => {
	collectGarbage();
	return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
};

const collectGarbage = (): void => {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	collect();
	collect();
};
