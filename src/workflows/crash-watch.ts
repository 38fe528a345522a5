/**
Workers that crash under their tasks: takes what agents tell of them, decides which tasks each crash counts for, and stores it.
*/
import {type Clock} from '../types/clock.ts';
import {type CrashedRun, type WatchReply} from '../types/fleet.ts';
import {parseTaskId, type TaskRef} from '../types/workflows.ts';
import {
	addCrash, chooseSuspects, isGivenUp, type AboardTask,
} from './crash-blame.ts';
import {type FleetWorker} from './fleet-view.ts';
import {getUnit, type LiveTask} from './live-model.ts';
import {type CrashedTask} from './records.ts';
import {LossReason, type RunTracker} from './run-tracker.ts';

/** Options of the watch. */
export type CrashWatchOptions = {
	clock: Clock;
	tracker: RunTracker;
	/** Finds a task, also of a job that is over. */
	getTask: (ref: TaskRef) => LiveTask | undefined;
	/** Writes crashes to the log; resolves to whether they are stored. */
	store: (crashes: CrashedTask[]) => Promise<boolean>;
	/** The worker crashed, and the task is the likeliest cause, if it is not the worker itself. */
	onCulprit: (worker: FleetWorker, task: LiveTask) => void;
	/** Workers have crashed under the task as often as they may. */
	onGivenUp: (task: LiveTask) => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

type Aboard = AboardTask & {task: LiveTask};

/** The watch. */
export class CrashWatch {
	readonly #options: CrashWatchOptions;

	constructor(options: CrashWatchOptions) {
		this.#options = options;
	}

	/** Takes crashed runs from an agent's state. */
	take(worker: FleetWorker, {agentLife, crashed}: WatchReply, nowMs: number): void {
		const fresh = crashed.filter(({number}) => number > worker.takenCrash);
		if (fresh.length === 0) {
			return;
		}

		const counted: CrashedTask[] = [];
		for (const workerId of new Set(fresh.map(row => row.workerId))) {
			counted.push(...this.#judge(worker, fresh.filter(row => row.workerId === workerId), nowMs));
		}

		worker.takenCrash = fresh.at(-1)!.number;
		void this.#store(worker, agentLife, worker.takenCrash, counted);
	}

	/** Only crashes that are in the log may be forgotten by the agent: a later owner has to learn of them. */
	async #store(worker: FleetWorker, agentLife: string, upTo: number, crashes: CrashedTask[]): Promise<void> {
		const isStored = await this.#options.store(crashes);
		if (isStored && worker.agentLife === agentLife) {
			worker.storedCrash = Math.max(worker.storedCrash, upTo);
		}
	}

	/** Takes the runs of one crash; gives the tasks that it counts for. */
	#judge(worker: FleetWorker, rows: CrashedRun[], nowMs: number): CrashedTask[] {
		const aboard = this.#findTasks(worker, rows);
		worker.isProven = false;
		const {workerId} = rows[0]!;
		const suspects = chooseSuspects(aboard.filter(({task}) => !task.isDone && !task.step.workflow.isOver));
		this.#options.note('worker crashed', {
			host: worker.host, workerId, runs: rows.length, suspects: suspects.length,
		});
		for (const {task, crash} of aboard) {
			task.lastRun = Math.max(task.lastRun, crash.run);
			const live = task.runs.find(known => known.run === crash.run && known.workerId === workerId);
			if (live) {
				this.#options.tracker.lose(live, worker, LossReason.WorkerCrashed, nowMs);
			}
		}

		return suspects.flatMap(suspect => this.#count(worker, suspect));
	}

	#findTasks({host, isProven}: FleetWorker, rows: CrashedRun[]): Aboard[] {
		const aboard: Aboard[] = [];
		for (const {taskId, run, ageMs} of rows) {
			const ref = parseTaskId(taskId);
			const task = ref && this.#options.getTask(ref);
			if (task) {
				// Members of a gang are one unit: none of them is newer than the others.
				const isNewest = rows.every(row => row.ageMs > ageMs || getUnit(task).some(member => member.taskId === row.taskId));
				aboard.push({
					task,
					crash: {
						run, ageMs: Math.round(ageMs), isNewest, host, isHostProven: isProven, atMs: this.#options.clock.now().getTime(),
					},
					earlier: task.crashes.filter(crash => crash.run < run),
				});
			}
		}

		return aboard;
	}

	#count(worker: FleetWorker, {task, crash}: Aboard): CrashedTask[] {
		if (task.crashes.some(({run}) => run === crash.run)) {
			return [];
		}

		const {taskId} = task;
		const {onCulprit, onGivenUp, note} = this.#options;
		for (const member of getUnit(task)) {
			member.crashes = addCrash(member.crashes, crash);
		}

		note('crash counted', {
			taskId, ...crash, crashes: task.crashes.length,
		});
		if (crash.isNewest) {
			onCulprit(worker, task);
		}

		if (isGivenUp(task.crashes)) {
			onGivenUp(task);
		}

		return [{taskId, ...crash}];
	}
}
