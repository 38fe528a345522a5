/**
Quarantines tasks under which workers have crashed: they run apart from each other and from tasks that start at the same
time. A further crash then identifies its culprit and ends few other runs, and suspects never hold more than a share of the
workers. A suspect waits for its quarantine for a bounded time.
*/
import {getNewestCrashKey, getQuarantineMs, isSuspect} from './crash-attribution.ts';
import {
	getFreeCapacity, isFitting, isSuited, type FleetWorker,
} from './fleet-view.ts';
import {
	getUnit, RunPhase, type LiveRun, type LiveTask,
} from './live-model.ts';
import {type Start} from './placement.ts';
import {
	countFreeCrashes, countFreeWorkers, CrashCauses, type SuspectLoad,
} from './quarantine-limits.ts';

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
	wallMs: number;
	/** Places the tasks of one unit on the workers, all or none. */
	place: (tasks: LiveTask[], workers: FleetWorker[]) => Start[];
};

/** Starts of suspects, and the tasks and workers that remain for ordinary placement. */
export type QuarantineResult = {
	starts: Start[];
	waiting: LiveTask[];
	schedulable: FleetWorker[];
};

/**
Bound on the wait of a suspect. Callers count a task as lost that has nothing running for 3 s once 4 s have passed since the last disruption; the rest
is left for the report of the crash and the start.
*/
const maxWaitMs = 4500;
/** A site without a further crash for this long is calm again. */
const calmMs = 4000;
/** No suspect starts beside a run younger than this: after a crash, both would be suspects. */
const minNeighbourAgeMs = 500;
/** Added to the quarantine of a run: the agent reports an unresponsive worker within this time. */
const unresponsiveReportMs = 150;
/** Number of least loaded workers that are tried individually for a suspect, before all are tried together. */
const maxSingleTries = 4;

/** Whether the next run of the task must be quarantined. */
export const isQuarantined = ({crashes, clearedRun}: LiveTask): boolean => crashes.some(({run}) => run > clearedRun) && isSuspect(crashes);

/** The quarantine of one owner. */
export class Quarantine {
	readonly #options: QuarantineOptions;
	/** Suspects that are not cleared yet, and since when they wait: tasks, or the first task of a gang. */
	readonly #suspects = new Map<LiveTask, number>();
	readonly #causes = new CrashCauses();
	/** When the last crash was counted, or a worker became unresponsive. */
	#lastCrashAtMs = Number.NEGATIVE_INFINITY;
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
				this.#addSuspect(getUnit(task)[0]!, cycle);
			}
		}

		if (this.#suspects.size === 0) {
			this.#causes.clear();
			return {starts: [], waiting: cycle.waiting, schedulable: cycle.schedulable};
		}

		for (const {unresponsiveSinceMs = Number.NEGATIVE_INFINITY} of this.#options.workers.values()) {
			this.#lastCrashAtMs = Math.max(this.#lastCrashAtMs, unresponsiveSinceMs);
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

	#addSuspect(suspect: LiveTask, {nowMs, wallMs}: QuarantineCycle): void {
		if (!this.#suspects.has(suspect)) {
			// An earlier owner may have counted the crash: the wait goes on from there.
			const sinceCrashMs = Math.max(0, Math.min(maxWaitMs, wallMs - suspect.crashes.at(-1)!.atMs));
			this.#suspects.set(suspect, Math.min(suspect.waitingSinceMs, nowMs - sinceCrashMs));
			this.#lastCrashAtMs = Math.max(this.#lastCrashAtMs, nowMs - sinceCrashMs);
		}

		this.#causes.record(suspect);
	}

	/** Removes suspects that have finished, or whose run has survived its quarantine. */
	#removeCleared({waiting, schedulable, nowMs}: QuarantineCycle): void {
		const waitingTasks = new Set(waiting);
		for (const suspect of this.#suspects.keys()) {
			if (suspect.runs.length > 0 && suspect.runs.every(run => this.#hasSurvived(run, nowMs))) {
				this.#options.note('task cleared', {taskId: suspect.taskId, run: suspect.lastRun, crashes: suspect.crashes.length});
				for (const member of getUnit(suspect)) {
					member.clearedRun = suspect.lastRun;
				}
			}

			if (getUnit(suspect).some(({runs}) => runs.length > 0)) {
				this.#suspects.set(suspect, nowMs);
			}

			if (suspect.isDone || suspect.step.workflow.isFinished || !isQuarantined(suspect)) {
				this.#suspects.delete(suspect);
			}
		}

		for (const [suspect, workers] of this.#reserved) {
			if (!this.#suspects.has(suspect) || !waitingTasks.has(suspect) || this.#isOverdue(suspect, nowMs) || workers.some(worker => !schedulable.includes(worker))) {
				this.#reserved.delete(suspect);
			}
		}
	}

	/** Whether the suspect may wait no longer for a quarantine of its own. One of several crashes goes on waiting, and all do while workers go on crashing. */
	#isOverdue(suspect: LiveTask, nowMs: number): boolean {
		return suspect.crashes.length === 1 && this.#getWaitedMs(suspect, nowMs) >= maxWaitMs && nowMs - this.#lastCrashAtMs >= calmMs;
	}

	#getWaitedMs(suspect: LiveTask, nowMs: number): number {
		return nowMs - (this.#suspects.get(suspect) ?? nowMs);
	}

	#hasSurvived({phase, host, orderedAtMs, task}: LiveRun, nowMs: number): boolean {
		const worker = this.#options.workers.get(host);
		return phase !== RunPhase.Starting && worker !== undefined && worker.isAnswering && worker.unresponsiveSinceMs === undefined
			&& nowMs - orderedAtMs >= getQuarantineMs(task.crashes) + unresponsiveReportMs;
	}

	#updateClosed(): void {
		this.#closed = new Set([...this.#reserved.values()].flat().map(({host}) => host));
		for (const suspect of this.#suspects.keys()) {
			for (const {runs} of getUnit(suspect)) {
				for (const {host} of runs) {
					this.#closed.add(host);
				}
			}
		}
	}

	/** What the waiting suspects need, and what is held for others. */
	#getLoad(waiting: LiveTask[], nowMs: number): Omit<SuspectLoad, 'closed'> {
		const {workers} = this.#options;
		let quarantineMs = 0;
		let longestMs = 0;
		let waitedMs = 0;
		for (const suspect of waiting) {
			const ownMs = getQuarantineMs(suspect.crashes) + unresponsiveReportMs;
			quarantineMs += ownMs;
			longestMs = Math.max(longestMs, ownMs);
			waitedMs = Math.max(waitedMs, this.#getWaitedMs(suspect, nowMs));
		}

		const away = [...workers.values()].filter(({isAnswering, unresponsiveSinceMs}) => !isAnswering || unresponsiveSinceMs !== undefined);
		return {
			workers: workers.size,
			unresponsive: away.filter(worker => !worker.isAnswering && !this.isClosed(worker)).length,
			away: away.length,
			quarantineMs,
			leftMs: Math.max(longestMs, maxWaitMs - waitedMs),
		};
	}

	#startSuspects(cycle: QuarantineCycle): Start[] {
		const {schedulable, nowMs, place} = cycle;
		const waiting = this.#getWaitingSuspects(cycle);
		const load = this.#getLoad(waiting, nowMs);
		const starts = this.#startTogether(waiting.filter(suspect => this.#isOverdue(suspect, nowMs)), load, cycle);
		const {crashes, jobs} = this.#getTried();
		for (const suspect of waiting) {
			const crash = getNewestCrashKey(suspect.crashes);
			const {workflowId} = suspect.ref;
			const isUrgent = !jobs.has(workflowId) && !this.#causes.areMany;
			const maxWorkers = countFreeWorkers({...load, closed: this.#closed.size}, isUrgent);
			if (maxWorkers <= 0 || this.#isOverdue(suspect, nowMs) || (!crashes.has(crash) && crashes.size >= countFreeCrashes(load))) {
				continue;
			}

			const workers = this.#chooseWorkers(suspect, this.#getCandidates(suspect, schedulable, nowMs), {maxWorkers, place});
			if (workers.length > 0) {
				crashes.add(crash);
				jobs.add(workflowId);
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

	/** Starts suspects that have waited for too long beside each other, on the workers that suspects may hold. */
	#startTogether(overdue: LiveTask[], load: Omit<SuspectLoad, 'closed'>, {schedulable, nowMs, place}: QuarantineCycle): Start[] {
		const maxWorkers = countFreeWorkers({...load, closed: this.#closed.size}, !this.#causes.areMany);
		if (overdue.length === 0 || maxWorkers <= 0) {
			return [];
		}

		const workers = this.#chooseShared(overdue.map(suspect => this.#getCandidates(suspect, schedulable, nowMs)), maxWorkers);
		const starts = place(overdue.flatMap(suspect => getUnit(suspect)), workers);
		for (const {task: {taskId}, worker: {host}} of starts) {
			this.#closed.add(host);
			this.#options.note('suspect waits no longer', {taskId, host, suspects: overdue.length});
		}

		return starts;
	}

	/** Chooses workers for suspects that start beside each other: some for each, then further ones. */
	#chooseShared(candidates: FleetWorker[][], maxWorkers: number): FleetWorker[] {
		const chosen = new Set<FleetWorker>();
		for (const workers of candidates) {
			if (chosen.size < maxWorkers && workers.length > 0 && !workers.some(worker => chosen.has(worker))) {
				chosen.add(workers[0]!);
			}
		}

		return [...new Set([...chosen, ...candidates.flat()])].slice(0, maxWorkers);
	}

	/** Crashes whose suspects are in quarantine now, and their jobs. */
	#getTried(): {crashes: Set<string>; jobs: Set<string>} {
		const tried = [...this.#suspects.keys()].filter(suspect => this.#reserved.has(suspect) || getUnit(suspect).some(({runs}) => runs.length > 0));
		return {
			crashes: new Set(tried.map(suspect => getNewestCrashKey(suspect.crashes))),
			jobs: new Set(tried.map(({ref}) => ref.workflowId)),
		};
	}

	/** Waiting suspects: those that have waited for too long, then those most likely innocent: with few crashes, then with many tasks of the same step done. */
	#getWaitingSuspects({waiting, nowMs}: QuarantineCycle): LiveTask[] {
		const waitingTasks = new Set(waiting);
		const hasWaited = (suspect: LiveTask) => Number(this.#getWaitedMs(suspect, nowMs) >= maxWaitMs);
		return [...this.#suspects.keys()]
			.filter(suspect => waitingTasks.has(suspect) && !this.#reserved.has(suspect))
			.toSorted((a, b) => hasWaited(b) - hasWaited(a) || a.crashes.length - b.crashes.length || getRemainingShare(a) - getRemainingShare(b));
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
	#getCandidates(suspect: LiveTask, schedulable: FleetWorker[], nowMs: number): FleetWorker[] {
		const {step: {spec}, crashes} = suspect;
		const hasCrashed = ({host}: FleetWorker): boolean => crashes.some(crash => crash.host === host);
		const mustUseOtherHost = crashes.length > 1 && this.#getWaitedMs(suspect, nowMs) < maxWaitMs
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
