/**
Handles worker crashes that agents report: decides which tasks each crash is attributed to, and stores the result.
*/
import {type Clock} from '../types/clock.ts';
import {type CrashedRun, type WatchReply} from '../types/fleet.ts';
import {parseTaskId, type TaskRef} from '../types/workflows.ts';
import {
	addCrash, chooseSuspects, isCrashLimitReached, type ResidentTask,
} from './crash-attribution.ts';
import {type FleetWorker} from './fleet-view.ts';
import {getUnit, type LiveTask} from './live-model.ts';
import {type AttributedCrash} from './records.ts';
import {describeState} from './run-evidence.ts';
import {LossReason, type LossFinding, type RunTracker} from './run-tracker.ts';

/** Options of the monitor. */
export type CrashMonitorOptions = {
	clock: Clock;
	tracker: RunTracker;
	/** Finds a task, also of a finished job. */
	getTask: (ref: TaskRef) => LiveTask | undefined;
	/** Appends crashes to the jobs stream; resolves to whether they are stored. */
	store: (crashes: AttributedCrash[]) => Promise<boolean>;
	/** The worker crashed, and the task is the most likely cause other than the worker itself. */
	onLikelyCause: (worker: FleetWorker, task: LiveTask) => void;
	/** The task has reached the limit of worker crashes. */
	onCrashLimit: (task: LiveTask) => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Runs that started together differ by less: none of them is the newest. */
const minAgeGapMs = 100;

type TaskOnWorker = ResidentTask & {task: LiveTask};

/** Handles the worker crashes of one owner. */
export class CrashMonitor {
	readonly #options: CrashMonitorOptions;
	/** Whether all crashes so far are stored. */
	#lastStored: Promise<boolean> = Promise.resolve(true);

	constructor(options: CrashMonitorOptions) {
		this.#options = options;
	}

	/** Handles the crashed runs in an agent's state. */
	handleReply(worker: FleetWorker, reply: WatchReply, nowMs: number): void {
		const {agentLife, crashed} = reply;
		const newRows = crashed.filter(({number}) => number > worker.processedCrash);
		if (newRows.length === 0) {
			return;
		}

		const attributed: AttributedCrash[] = [];
		for (const workerId of new Set(newRows.map(row => row.workerId))) {
			attributed.push(...this.#handleCrash(worker, newRows.filter(row => row.workerId === workerId), {nowMs, evidence: describeState(worker, reply, nowMs)}));
		}

		worker.processedCrash = newRows.at(-1)!.number;
		void this.#store(worker, agentLife, worker.processedCrash, attributed);
	}

	/** The agent may forget a crash only once the stream holds it and the ones before it, because a later owner needs them. */
	async #store(worker: FleetWorker, agentLife: string, upTo: number, crashes: AttributedCrash[]): Promise<void> {
		const writes = [this.#lastStored, this.#options.store(crashes)];
		this.#lastStored = (async () => {
			const stored = await Promise.all(writes);
			return stored.every(Boolean);
		})();
		const isStored = await this.#lastStored;
		if (isStored && worker.agentLife === agentLife) {
			worker.storedCrash = Math.max(worker.storedCrash, upTo);
		}
	}

	/** Handles the runs of one crash; returns the crashes to be stored for the tasks that it is attributed to. */
	#handleCrash(worker: FleetWorker, rows: CrashedRun[], finding: LossFinding): AttributedCrash[] {
		const resident = this.#findTasks(worker, rows);
		worker.hasSucceededSinceCrash = false;
		const {workerId} = rows[0]!;
		const suspects = chooseSuspects(resident.filter(({task}) => !task.isDone && !task.step.workflow.isFinished));
		this.#options.note('worker crashed', {
			host: worker.host, workerId, runs: rows.length, suspects: suspects.length,
		});
		for (const {task, crash} of resident) {
			task.lastRun = Math.max(task.lastRun, crash.run);
			const live = task.runs.find(known => known.run === crash.run && known.workerId === workerId);
			if (live) {
				this.#options.tracker.markLost(live, worker, LossReason.WorkerCrashed, finding);
			}
		}

		return suspects.flatMap(suspect => this.#attribute(worker, suspect));
	}

	#findTasks({host, hasSucceededSinceCrash}: FleetWorker, rows: CrashedRun[]): TaskOnWorker[] {
		const resident: TaskOnWorker[] = [];
		const atMs = this.#options.clock.now().getTime();
		for (const {taskId, run, ageMs} of rows) {
			const ref = parseTaskId(taskId);
			const task = ref && this.#options.getTask(ref);
			if (task) {
				// Members of a gang are one unit: none of them counts as newer than the others.
				const isNewest = rows.every(row => row.ageMs > ageMs + minAgeGapMs || getUnit(task).some(member => member.taskId === row.taskId));
				resident.push({
					task,
					crash: {
						run, ageMs: Math.round(ageMs), isNewest, host, isHostProven: hasSucceededSinceCrash, atMs,
					},
					earlier: task.crashes.filter(crash => crash.run < run),
				});
			}
		}

		return resident;
	}

	#attribute(worker: FleetWorker, {task, crash}: TaskOnWorker): AttributedCrash[] {
		if (task.crashes.some(({run}) => run === crash.run)) {
			return [];
		}

		const {taskId} = task;
		const {onLikelyCause, onCrashLimit, note} = this.#options;
		for (const member of getUnit(task)) {
			member.crashes = addCrash(member.crashes, crash);
		}

		note('crash counted', {
			taskId, ...crash, crashes: task.crashes.length,
		});
		if (crash.isNewest) {
			onLikelyCause(worker, task);
		}

		if (isCrashLimitReached(task.crashes)) {
			onCrashLimit(task);
		}

		return [{taskId, ...crash}];
	}
}
