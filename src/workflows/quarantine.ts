/**
Quarantines tasks under which workers have crashed: they run apart from each other and from tasks that start at the same
time. A further crash then identifies its culprit and ends few other runs, and suspects never hold more than a share of the
workers.
*/
import {getQuarantineMs, isSuspect} from './crash-attribution.ts';
import {
	getFreeCapacity, isFitting, isSuited, type FleetWorker,
} from './fleet-view.ts';
import {
	getUnit, RunPhase, type LiveRun, type LiveTask,
} from './live-model.ts';
import {type Start} from './placement.ts';

/** Options of the quarantine. */
export type QuarantineOptions = {
	/** All workers by host, also those that are not schedulable. */
	workers: ReadonlyMap<string, FleetWorker>;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Input of a scheduling cycle. */
export type QuarantineCycle = {
	waiting: LiveTask[];
	/** Workers that may get new tasks. */
	schedulable: FleetWorker[];
	nowMs: number;
	/** Places the tasks of one unit on the workers, all or none. */
	place: (tasks: LiveTask[], workers: FleetWorker[]) => Start[];
};

/** Starts of suspects, and the tasks and workers that remain for ordinary placement. */
export type QuarantineResult = {
	starts: Start[];
	waiting: LiveTask[];
	schedulable: FleetWorker[];
};

/** Share of the workers that may be held by suspects or unresponsive at the same time. */
const maxHeldShare = 0.1;
/** No suspect starts beside a run younger than this: after a crash, both would be suspects. */
const minNeighbourAgeMs = 500;
/** Added to the quarantine of a run: the agent reports an unresponsive worker within this time. */
const unresponsiveReportMs = 150;
/** A suspect with several crashes waits this long for a worker that has not crashed while running it. */
const otherHostWaitMs = 10_000;
/** Number of least loaded workers that are tried individually for a suspect, before all are tried together. */
const maxSingleTries = 4;

/** Whether the next run of the task must be quarantined. */
export const isQuarantined = ({crashes, clearedRun}: LiveTask): boolean => crashes.some(({run}) => run > clearedRun) && isSuspect(crashes);

/** The quarantine of one owner. */
export class Quarantine {
	readonly #options: QuarantineOptions;
	/** Suspects that are not cleared yet: tasks, or the first task of a gang. */
	readonly #suspects = new Set<LiveTask>();
	/** Workers reserved for a suspect until all runs on them are old enough. */
	readonly #reserved = new Map<LiveTask, FleetWorker[]>();
	/** Hosts of workers that accept no other tasks. */
	#closed = new Set<string>();

	constructor(options: QuarantineOptions) {
		this.#options = options;
	}

	/** Whether only a suspect may start on the worker. */
	isClosed({host}: FleetWorker): boolean {
		return this.#closed.has(host);
	}

	/** Starts suspects, and returns what remains for ordinary placement. */
	arrange(cycle: QuarantineCycle): QuarantineResult {
		for (const task of cycle.waiting) {
			if (isQuarantined(task)) {
				this.#suspects.add(getUnit(task)[0]!);
			}
		}

		if (this.#suspects.size === 0) {
			return {starts: [], waiting: cycle.waiting, schedulable: cycle.schedulable};
		}

		this.#removeCleared(cycle);
		this.#updateClosed();
		const starts = this.#startSuspects(cycle);
		return {
			starts,
			waiting: cycle.waiting.filter(task => !isQuarantined(task)),
			schedulable: cycle.schedulable.filter(worker => !this.isClosed(worker)),
		};
	}

	/** Removes suspects that have finished, or whose run has survived its quarantine. */
	#removeCleared({waiting, schedulable, nowMs}: QuarantineCycle): void {
		const waitingTasks = new Set(waiting);
		for (const suspect of this.#suspects) {
			if (suspect.runs.length > 0 && suspect.runs.every(run => this.#hasSurvived(run, nowMs))) {
				this.#options.note('task cleared', {taskId: suspect.taskId, run: suspect.lastRun, crashes: suspect.crashes.length});
				for (const member of getUnit(suspect)) {
					member.clearedRun = suspect.lastRun;
				}
			}

			if (suspect.isDone || suspect.step.workflow.isFinished || !isQuarantined(suspect)) {
				this.#suspects.delete(suspect);
			}
		}

		for (const [suspect, workers] of this.#reserved) {
			if (!this.#suspects.has(suspect) || !waitingTasks.has(suspect) || workers.some(worker => !schedulable.includes(worker))) {
				this.#reserved.delete(suspect);
			}
		}
	}

	#hasSurvived({phase, host, orderedAtMs, task}: LiveRun, nowMs: number): boolean {
		const worker = this.#options.workers.get(host);
		return phase !== RunPhase.Starting && worker !== undefined && worker.isAnswering && worker.unresponsiveSinceMs === undefined
			&& nowMs - orderedAtMs >= getQuarantineMs(task.crashes) + unresponsiveReportMs;
	}

	#updateClosed(): void {
		this.#closed = new Set([...this.#reserved.values()].flat().map(({host}) => host));
		for (const suspect of this.#suspects) {
			for (const {runs} of getUnit(suspect)) {
				for (const {host} of runs) {
					this.#closed.add(host);
				}
			}
		}
	}

	/** Number of workers that suspects may still take. */
	#countFree(): number {
		const {workers} = this.#options;
		let held = this.#closed.size;
		for (const worker of workers.values()) {
			if (!worker.isAnswering && !this.isClosed(worker)) {
				held++;
			}
		}

		const free = Math.ceil(maxHeldShare * workers.size) - held;
		return this.#closed.size === 0 ? Math.max(1, free) : free;
	}

	#startSuspects(cycle: QuarantineCycle): Start[] {
		const {schedulable, nowMs, place} = cycle;
		const starts: Start[] = [];
		for (const suspect of this.#getWaitingSuspects(cycle)) {
			const free = this.#countFree();
			if (free <= 0) {
				break;
			}

			const workers = this.#chooseWorkers(suspect, this.#getCandidates(suspect, schedulable, nowMs), {maxWorkers: free, place});
			if (workers.length > 0) {
				this.#reserve(suspect, workers);
			}
		}

		for (const [suspect, workers] of this.#reserved) {
			if (workers.every(worker => hasOnlyOldRuns(worker, nowMs))) {
				starts.push(...place(getUnit(suspect), workers));
				this.#reserved.delete(suspect);
			}
		}

		return starts;
	}

	/** Waiting suspects, those most likely innocent first: with few crashes, then with many tasks of the same step done. */
	#getWaitingSuspects({waiting}: QuarantineCycle): LiveTask[] {
		const waitingTasks = new Set(waiting);
		return [...this.#suspects]
			.filter(suspect => waitingTasks.has(suspect) && !this.#reserved.has(suspect))
			.toSorted((a, b) => a.crashes.length - b.crashes.length || getRemainingShare(a) - getRemainingShare(b));
	}

	#reserve(suspect: LiveTask, workers: FleetWorker[]): void {
		this.#reserved.set(suspect, workers);
		for (const {host} of workers) {
			this.#closed.add(host);
		}
	}

	/**
	Workers with free capacity for the suspect: first those that have not crashed while running it, then by least load, which
	a crash would end.
	*/
	#getCandidates({step: {spec}, crashes, waitingSinceMs}: LiveTask, schedulable: FleetWorker[], nowMs: number): FleetWorker[] {
		const hasCrashed = ({host}: FleetWorker): boolean => crashes.some(crash => crash.host === host);
		const mustUseOtherHost = crashes.length > 1 && nowMs - waitingSinceMs < otherHostWaitMs
			&& [...this.#options.workers.values()].some(worker => worker.report && isSuited(spec, worker.report) && !hasCrashed(worker));
		return schedulable
			.filter(worker => !this.isClosed(worker) && isSuited(spec, worker.report!) && isFitting(spec, getFreeCapacity(worker)) && !(mustUseOtherHost && hasCrashed(worker)))
			.map(worker => ({worker, hasCrashedThere: hasCrashed(worker), load: getLoad(worker)}))
			.toSorted((a, b) => Number(a.hasCrashedThere) - Number(b.hasCrashedThere) || a.load - b.load)
			.map(({worker}) => worker);
	}

	/** Chooses workers among the candidates on which the unit can be placed now. */
	#chooseWorkers(suspect: LiveTask, candidates: FleetWorker[], {maxWorkers, place}: {maxWorkers: number; place: QuarantineCycle['place']}): FleetWorker[] {
		const unit = getUnit(suspect);
		if (unit.length === 1) {
			const chosen = candidates.slice(0, maxSingleTries).find(worker => place(unit, [worker]).length > 0) ?? place(unit, candidates)[0]?.worker;
			return chosen ? [chosen] : [];
		}

		for (let count = 1; count < 2 * candidates.length; count *= 2) {
			const workers = [...new Set(place(unit, candidates.slice(0, count)).map(({worker}) => worker))];
			if (workers.length > 0) {
				// A gang that needs more workers than the limit gets them when no other suspect holds any.
				return workers.length <= maxWorkers || this.#closed.size === 0 ? workers : [];
			}
		}

		return [];
	}
}

const getRemainingShare = ({step: {remaining, spec}}: LiveTask): number => remaining / spec.count;

/** CPU requested by the active runs, which a crash would end. */
const getLoad = ({runs}: FleetWorker): number => {
	let milliCpu = 0;
	for (const {task: {step: {spec}}} of runs) {
		milliCpu += spec.milliCpu;
	}

	return milliCpu;
};

const hasOnlyOldRuns = ({runs}: FleetWorker, nowMs: number): boolean =>
	[...runs].every(({phase, orderedAtMs}) => phase !== RunPhase.Starting && nowMs - orderedAtMs >= minNeighbourAgeMs);
