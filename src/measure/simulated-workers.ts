/**
Simulated workers on manual time: tasks slow each other down by factors that placement does not know, and report their usage with delay and noise.
*/
import {TaskClass} from '../types/jobs.ts';
import {type PlacementWorker} from '../types/placement.ts';
import {type TaskUsage} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {type SimulatedTaskKind} from './jobs-users.ts';

/** A task on a simulated worker. */
export type SimulatedPlacedTask = {
	taskId: string;
	attempt: number;
	kind: SimulatedTaskKind;
	kindIndex: number;
	workerId: string;
	isUrgent: boolean;
	/** Work done, as run time without interference. */
	doneMs: number;
	share: number;
	slowdown: number;
	/** When a requested stop takes effect. */
	stopAtMs: number;
	reportAtMs: number;
};

type LateReport = {
	taskId: string;
	usage: TaskUsage;
	arrivesAtMs: number;
};

const reportIntervalMs = 10_000;
const minReportDelayMs = 5000;
const maxReportDelayMs = 30_000;
const reportNoise = 0.15;
const pairSigma = 0.9;
const loadPeriodMs = 900_000;

/** Draws from the normal distribution. */
export const drawNormal = (random: Random): number =>
	Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

/** Simulated workers with their tasks. */
export class SimulatedWorkers {
	readonly tasks = new Map<string, SimulatedPlacedTask>();
	readonly #workers = new Map<string, {spec: PlacementWorker; tasks: Set<SimulatedPlacedTask>}>();
	// Slowdown of each kind (first index) by each kind (second index) on a full host.
	readonly #interference: number[][];
	readonly #random: Random;
	readonly #reports: LateReport[] = [];
	readonly #phases: number[];

	constructor(workers: PlacementWorker[], kinds: SimulatedTaskKind[], random: Random) {
		this.#random = random;
		for (const spec of workers) {
			this.#workers.set(spec.workerId, {spec, tasks: new Set()});
		}

		this.#interference = kinds.map(victim => kinds.map(neighbour => {
			const sensitivity = victim.taskClass === TaskClass.LatencyCritical ? 1 : 0.5;
			return sensitivity * neighbour.interference * Math.exp(pairSigma * drawNormal(random));
		}));
		this.#phases = kinds.map(() => random.next());
	}

	start(task: SimulatedPlacedTask): void {
		this.tasks.set(task.taskId, task);
		this.#workers.get(task.workerId)!.tasks.add(task);
	}

	remove(task: SimulatedPlacedTask): void {
		this.tasks.delete(task.taskId);
		this.#workers.get(task.workerId)!.tasks.delete(task);
	}

	/** Advances all workers by one step. */
	step(nowMs: number, stepMs: number): void {
		for (const {spec, tasks} of this.#workers.values()) {
			let used = 0;
			for (const task of tasks) {
				used += this.#getProcessors(task, nowMs);
			}

			const load = used / spec.capacity.processors;
			for (const task of tasks) {
				task.slowdown = this.#getSlowdown(task, tasks, load);
				task.doneMs += stepMs * task.share / task.slowdown;
				if (nowMs >= task.reportAtMs) {
					task.reportAtMs = nowMs + reportIntervalMs;
					this.#report(task, nowMs);
				}
			}
		}
	}

	/** Removes and returns the reports that have arrived by now. */
	drainReports(nowMs: number): LateReport[] {
		const arrived: LateReport[] = [];
		let remaining = 0;
		for (const report of this.#reports) {
			if (report.arrivesAtMs <= nowMs) {
				arrived.push(report);
			} else {
				this.#reports[remaining++] = report;
			}
		}

		this.#reports.length = remaining;
		return arrived;
	}

	/** Services use processors as their load varies; batch tasks use what their share allows. */
	#getProcessors(task: SimulatedPlacedTask, nowMs: number): number {
		const {kind, kindIndex, share} = task;
		if (kind.taskClass === TaskClass.Batch) {
			return kind.processors * share;
		}

		const phase = (nowMs / loadPeriodMs) + this.#phases[kindIndex]!;
		return kind.processors * (0.6 + (0.4 * Math.sin(2 * Math.PI * phase)));
	}

	/** Interference grows faster than the load, and an overloaded host slows down all tasks. */
	#getSlowdown(task: SimulatedPlacedTask, tasks: Set<SimulatedPlacedTask>, load: number): number {
		const row = this.#interference[task.kindIndex]!;
		let interference = 0;
		for (const other of tasks) {
			if (other !== task) {
				interference += row[other.kindIndex]! * other.share;
			}
		}

		return 1 + (interference * (0.2 + (0.8 * (Math.max(0, load) ** 2)))) + (2 * Math.max(0, load - 1));
	}

	#report(task: SimulatedPlacedTask, nowMs: number): void {
		const random = this.#random;
		const noise = Math.exp(reportNoise * drawNormal(random));
		this.#reports.push({
			taskId: task.taskId,
			arrivesAtMs: nowMs + minReportDelayMs + random.below(maxReportDelayMs - minReportDelayMs),
			usage: {
				measuredAtMs: nowMs,
				processors: this.#getProcessors(task, nowMs) * (0.95 + (0.1 * random.next())),
				memoryMb: task.kind.memoryMb * (0.9 + (0.1 * random.next())),
				// The slowdown of a throttled batch task is relative to its share, so that only interference counts.
				slowdown: task.slowdown * noise,
			},
		});
	}
}
