/**
Small fake workers on manual time: tasks that slow each other down by a hidden law, and report it late and noisily.
*/
import {TaskClass} from '../types/jobs.ts';
import {type PlacementWorker} from '../types/placement.ts';
import {type TaskUsage} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {type TrueKind} from './jobs-users.ts';

/** A task as it really runs. */
export type TrueTask = {
	taskId: string;
	attempt: number;
	kind: TrueKind;
	kindIndex: number;
	workerId: string;
	isUrgent: boolean;
	/** Unhindered run time that is done. */
	doneMs: number;
	share: number;
	slowdown: number;
	/** When a stop that was asked for takes effect. */
	stopAtMs: number;
	reportAtMs: number;
};

type LateReport = {
	taskId: string;
	usage: TaskUsage;
	arrivesAtMs: number;
};

const reportEveryMs = 10_000;
const leastLateMs = 5000;
const mostLateMs = 30_000;
const reportNoise = 0.15;
const pairSpread = 0.9;
const loadPeriodMs = 900_000;

/** Draws from the normal distribution. */
export const drawNormal = (random: Random): number =>
	Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

/** Fake workers with their tasks. */
export class JobsWorld {
	readonly tasks = new Map<string, TrueTask>();
	readonly #workers = new Map<string, {spec: PlacementWorker; tasks: Set<TrueTask>}>();
	// Harm of each kind to each other on a full host.
	readonly #harm: number[][];
	readonly #random: Random;
	readonly #reports: LateReport[] = [];
	readonly #phases: number[];

	constructor(workers: PlacementWorker[], kinds: TrueKind[], random: Random) {
		this.#random = random;
		for (const spec of workers) {
			this.#workers.set(spec.workerId, {spec, tasks: new Set()});
		}

		this.#harm = kinds.map(victim => kinds.map(neighbour => {
			const sensitivity = victim.taskClass === TaskClass.LatencyCritical ? 1 : 0.5;
			return sensitivity * neighbour.noise * Math.exp(pairSpread * drawNormal(random));
		}));
		this.#phases = kinds.map(() => random.next());
	}

	start(task: TrueTask): void {
		this.tasks.set(task.taskId, task);
		this.#workers.get(task.workerId)!.tasks.add(task);
	}

	remove(task: TrueTask): void {
		this.tasks.delete(task.taskId);
		this.#workers.get(task.workerId)!.tasks.delete(task);
	}

	/** Lets the time pass on all workers. */
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
					task.reportAtMs = nowMs + reportEveryMs;
					this.#report(task, nowMs);
				}
			}
		}
	}

	/** Takes the reports that have arrived by now. */
	takeReports(nowMs: number): LateReport[] {
		const arrived: LateReport[] = [];
		let kept = 0;
		for (const report of this.#reports) {
			if (report.arrivesAtMs <= nowMs) {
				arrived.push(report);
			} else {
				this.#reports[kept++] = report;
			}
		}

		this.#reports.length = kept;
		return arrived;
	}

	/** Services follow their callers; batch tasks use what their share allows. */
	#getProcessors(task: TrueTask, nowMs: number): number {
		const {kind, kindIndex, share} = task;
		if (kind.taskClass === TaskClass.Batch) {
			return kind.processors * share;
		}

		const phase = (nowMs / loadPeriodMs) + this.#phases[kindIndex]!;
		return kind.processors * (0.6 + (0.4 * Math.sin(2 * Math.PI * phase)));
	}

	/** Harm grows faster than the load, and an overfull host harms all. */
	#getSlowdown(task: TrueTask, tasks: Set<TrueTask>, load: number): number {
		const row = this.#harm[task.kindIndex]!;
		let harm = 0;
		for (const other of tasks) {
			if (other !== task) {
				harm += row[other.kindIndex]! * other.share;
			}
		}

		return 1 + (harm * (0.2 + (0.8 * (Math.max(0, load) ** 2)))) + (2 * Math.max(0, load - 1));
	}

	#report(task: TrueTask, nowMs: number): void {
		const random = this.#random;
		const noise = Math.exp(reportNoise * drawNormal(random));
		this.#reports.push({
			taskId: task.taskId,
			arrivesAtMs: nowMs + leastLateMs + random.below(mostLateMs - leastLateMs),
			usage: {
				measuredAtMs: nowMs,
				processors: this.#getProcessors(task, nowMs) * (0.95 + (0.1 * random.next())),
				memoryMb: task.kind.memoryMb * (0.9 + (0.1 * random.next())),
				// A throttled batch task is measured against its share, so that its neighbours alone count.
				slowdown: task.slowdown * noise,
			},
		});
	}
}
