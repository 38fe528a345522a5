/**
The owner's in-memory view of its jobs (workflows): which steps are ready, which tasks wait, and which runs are active on workers.
*/
import {
	formatTaskId, type TaskCrash, type TaskRef, type Workflow, type WorkflowStep,
} from '../types/workflows.ts';
import {sum} from '../utils/sum.ts';
import {type WorkflowFold} from './fold.ts';
import {
	countOccurrences, getUnitId, isFinal, type FoldedWorkflow,
} from './folded-workflow.ts';
import {type RunCheckpoint, type TaskLedger} from './records.ts';

/** Phases of a run. */
export enum RunPhase {
	/** The start is ordered but not confirmed. */
	Starting = 'starting',
	Running = 'running',
	/** The stop is ordered; the worker has not listed the end yet. */
	Stopping = 'stopping',
}

/** One run of a task on a worker. */
export type LiveRun = {
	task: LiveTask;
	run: number;
	host: string;
	workerId: string;
	/** Incarnation of the agent that the order was sent to. */
	agentLife: string;
	phase: RunPhase;
	/** When the start was ordered. */
	orderedAtMs: number;
	/** The agent has not answered the order yet. */
	isOrderPending: boolean;
	/** Time on the agent's clock after which the agent refuses the start. */
	notAfterMs: number;
	/** Version of the agent's state that is known to include the run. */
	confirmedVersion: number;
	percent: number;
	/** Progress at which the speed measurement began: work resumed from a checkpoint or done before this owner saw the run does not count. */
	basePercent: number;
	/** Time worked since `basePercent`, scaled to full speed. */
	workedMs: number;
	/** End of the time counted in `workedMs`; undefined: counting begins with the next listing. */
	workedUntilMs: number | undefined;
	/** Tail latency in ms of a latency-critical task, processors in use otherwise; over the last half second. */
	recent: number;
	/** Since when every reading of a latency-critical task exceeds its latency target; undefined: the last one did not. */
	overTargetSinceMs?: number;
	/** The same, but tolerating single readings within the target. */
	mostlyOverTargetSinceMs?: number;
	/** When a reading last exceeded the target. */
	lastOverTargetAtMs?: number;
	/** When `percent` last rose. */
	progressAtMs: number;
	stopOrderedAtMs: number;
	/** Whether its worker was seen to be cold: how long it takes says nothing about other runs. */
	wasCold?: boolean;
	/** The run is not needed, because its task or job has ended or another run of the task is active; it is to be stopped. */
	isUnwanted: boolean;
	/** Last throttle ordered for a best-effort task, in percent of full speed; undefined: an earlier owner may have ordered one. */
	throttlePercent?: number;
};

/** Newest checkpoint of a task or a gang. */
export type UnitCheckpoint = {
	/** Empty: there is none. */
	value: string;
	/** Number of the run that it comes from, or of a later one; 0: there is none. */
	run: number;
	/** Progress of that run at the checkpoint; infinity: the run had ended. */
	percent: number;
	/** The value that the stream holds. */
	storedValue: string;
};

/** One task. */
export type LiveTask = {
	ref: TaskRef;
	taskId: string;
	step: LiveStep;
	/** Highest run number used. */
	lastRun: number;
	/** Numbers of the failed runs; of all members, for a gang. */
	failedRuns: Set<number>;
	/** Worker crashes attributed to the task; to any member, for a gang. */
	crashes: TaskCrash[];
	/** Crashes up to this run number no longer require quarantine, because a later run outlived its quarantine. */
	clearedRun: number;
	/** The members of a gang share it. */
	checkpoint: UnitCheckpoint;
	/** Whether a run of it is listed as running by a listing that was requested after this owner's claim: no earlier owner has started another one that is active. */
	isLocated: boolean;
	isDone: boolean;
	runs: LiveRun[];
	/** Hosts of workers on which it failed or stalled. */
	avoidedHosts: Set<string>;
	/** Earliest time of the next start, after a failure. */
	notBeforeMs: number;
	/** Since when the task is ready and has no run. */
	waitingSinceMs: number;
};

/** One step of one occurrence. */
export type LiveStep = {
	workflow: LiveWorkflow;
	occurrence: number;
	index: number;
	spec: WorkflowStep;
	/** Key of the learned load of a latency-critical step: all of its tasks share one load, across occurrences. */
	loadKey: string;
	tasks: LiveTask[];
	remaining: number;
	isReady: boolean;
};

/** One job. */
export type LiveWorkflow = {
	folded: FoldedWorkflow;
	/** Earlier owners may have given its tasks' runs numbers up to this. */
	lastRun: number;
	spec: Workflow;
	/** Service whose workers run its tasks: the one that it was accepted for. */
	service: string;
	/** By occurrence. */
	occurrences: Map<number, LiveStep[]>;
	nextOccurrence: number;
	/** Completed, failed or cancelled: no task of it is started any more. */
	isFinished: boolean;
	/** When it was submitted, on the owner's monotonic clock, because the wall clock may jump. */
	receivedAtMs: number;
	/** Whether its last start was a single task that had waited too long for a place: the next one does not wait as long again. */
	isStarved: boolean;
};

/** Tasks of due occurrences of one job that may be open at a time; the first occurrence is opened whatever its size. */
const maxOpenTasks = 10_000;
/** Interval of looking whether more can be opened. */
const reopenDelayMs = 200;

/** Jobs of one partition that have not finished, and finished ones with active runs. */
export class LiveModel {
	readonly workflows = new Map<string, LiveWorkflow>();
	readonly #getService: (folded: FoldedWorkflow) => string;

	/** `getService`: gets the service whose workers run the tasks of a job. */
	constructor(getService: (folded: FoldedWorkflow) => string = ({workflow}) => workflow.service) {
		this.#getService = getService;
	}

	/** Adds the included jobs of the fold that have not finished. Earlier owners may have given runs of their tasks numbers up to `lastRun`. */
	load(fold: WorkflowFold, wallMs: number, nowMs: number, lastRun = 0, isIncluded = (_: FoldedWorkflow) => true): void {
		for (const folded of fold.workflows.values()) {
			if (isIncluded(folded) && !isFinal(folded.state)) {
				this.add(folded, wallMs, nowMs, Number.POSITIVE_INFINITY, lastRun);
			}
		}
	}

	/** Adds a job. Its age is limited to `maxAgeMs`, because wall clocks of hosts differ and may jump. */
	add(folded: FoldedWorkflow, wallMs: number, nowMs: number, maxAgeMs = Number.POSITIVE_INFINITY, lastRun = 0): LiveWorkflow {
		const workflow: LiveWorkflow = {
			folded,
			lastRun,
			spec: folded.workflow,
			service: this.#getService(folded),
			occurrences: new Map(),
			nextOccurrence: 0,
			isFinished: false,
			receivedAtMs: nowMs - Math.min(maxAgeMs, Math.max(0, wallMs - folded.workflow.receivedAtMs)) - (folded.workflow.waitedMs ?? 0),
			isStarved: false,
		};
		this.workflows.set(folded.workflow.id, workflow);
		this.openDueOccurrences(workflow, wallMs, nowMs);
		return workflow;
	}

	/** Adds a finished job that still has active runs. */
	addFinished(folded: FoldedWorkflow, wallMs: number, nowMs: number): LiveWorkflow {
		const workflow = this.add(folded, wallMs, nowMs);
		workflow.isFinished = true;
		return workflow;
	}

	/**
	Opens the job's due occurrences; returns when to open the next one, undefined if there is none. Of a job with very many that are due at once, some
	are opened once others are complete: all of them would not fit into memory.
	*/
	openDueOccurrences(workflow: LiveWorkflow, wallMs: number, nowMs: number): number | undefined {
		const total = countOccurrences(workflow.spec);
		let openTasks = sum([...workflow.occurrences.values()].map(steps => countOpenTasks(steps)));
		while (!workflow.isFinished && workflow.nextOccurrence < total) {
			const dueAtMs = getDueAtMs(workflow.spec, workflow.nextOccurrence);
			if (dueAtMs > wallMs) {
				return dueAtMs;
			}

			if (openTasks >= maxOpenTasks) {
				return wallMs + reopenDelayMs;
			}

			openTasks += this.#open(workflow, workflow.nextOccurrence, nowMs);
			workflow.nextOccurrence++;
		}

		return undefined;
	}

	/** Removes finished jobs without active runs. */
	dropFinished(): void {
		for (const [id, workflow] of this.workflows) {
			if (workflow.isFinished && isIdle(workflow)) {
				this.workflows.delete(id);
			}
		}
	}

	/** Gets a task of a job in the model. */
	getTask(ref: TaskRef): LiveTask | undefined {
		return this.workflows.get(ref.workflowId)?.occurrences.get(ref.occurrence)?.[ref.step]?.tasks[ref.index];
	}

	/** Marks the unit of the task as succeeded and makes the steps ready that waited for it. */
	completeUnit(task: LiveTask, nowMs: number): void {
		const {step} = task;
		for (const member of getUnit(task)) {
			if (!member.isDone) {
				member.isDone = true;
				step.remaining--;
			}
		}

		if (step.remaining === 0) {
			markReadySteps(step.workflow, step.occurrence, nowMs);
		}
	}

	/** Returns checkpoints of active runs that the stream does not hold, and marks them as stored. */
	takeUnstoredCheckpoints(): RunCheckpoint[] {
		const checkpoints: RunCheckpoint[] = [];
		for (const workflow of this.workflows.values()) {
			for (const {task, run} of workflow.isFinished ? [] : getActiveRuns(workflow)) {
				const {value, storedValue} = task.checkpoint;
				if (!task.isDone && value !== storedValue) {
					task.checkpoint.storedValue = value;
					checkpoints.push({taskId: task.taskId, run, checkpoint: value});
				}
			}
		}

		return checkpoints;
	}

	/** Incomplete occurrences of unfinished jobs without long-running steps. */
	getOpenOccurrences(): LiveStep[][] {
		return [...this.workflows.values()]
			.filter(({isFinished, spec}) => !isFinished && spec.steps.every(step => !step.isLasting))
			.flatMap(workflow => [...workflow.occurrences.values()])
			.filter(steps => steps.some(step => step.remaining > 0));
	}

	/** Incomplete steps of unfinished jobs. */
	getOpenSteps(): LiveStep[] {
		return [...this.workflows.values()]
			.filter(workflow => !workflow.isFinished)
			.flatMap(workflow => [...workflow.occurrences.values()].flat())
			.filter(step => step.remaining > 0);
	}

	/** Tasks that may be started: ready, not done, and either without an active run or in need of a copy. */
	* getWaitingTasks(nowMs: number, wantsCopy: (task: LiveTask) => boolean): Generator<LiveTask> {
		for (const workflow of this.workflows.values()) {
			if (workflow.isFinished) {
				continue;
			}

			for (const step of [...workflow.occurrences.values()].flat()) {
				if (step.isReady && step.remaining > 0) {
					yield * step.tasks.filter(task => !task.isDone && task.notBeforeMs <= nowMs && (task.runs.length === 0 || wantsCopy(task)));
				}
			}
		}
	}

	/** Opens an occurrence; returns the number of its tasks that are not done. */
	#open(workflow: LiveWorkflow, occurrence: number, nowMs: number): number {
		const steps = workflow.spec.steps.map((spec, index): LiveStep => {
			const step: LiveStep = {
				workflow, occurrence, index, spec, loadKey: `${workflow.spec.id}.${index}`, tasks: [], remaining: 0, isReady: false,
			};
			for (let taskIndex = 0; taskIndex < spec.count; taskIndex++) {
				step.tasks.push(createTask(step, taskIndex, nowMs));
			}

			step.remaining = step.tasks.filter(task => !task.isDone).length;
			return step;
		});
		workflow.occurrences.set(occurrence, steps);
		markReadySteps(workflow, occurrence, nowMs);
		return countOpenTasks(steps);
	}
}

/** Tasks that start, succeed and fail together: the whole gang, or the task alone. */
export const getUnit = (task: LiveTask): LiveTask[] => task.step.spec.isGang ? task.step.tasks : [task];

/**
Marks the older active runs of a task as unwanted; returns the number of the newest one. An owner starts a task again only when its last run
can no longer be active, so it is the older one that an agent still lists although it has ended.
*/
export const keepNewestRun = ({runs}: LiveTask, run: number): number => {
	const newest = Math.max(run, ...runs.map(other => other.run));
	for (const other of runs) {
		other.isUnwanted ||= other.run < newest;
	}

	return newest;
};

/** When an occurrence is due, in ms since 1970; 0 for a job that does not repeat. */
export const getDueAtMs = ({repeatCount, firstDueMs, intervalMs}: Workflow, occurrence: number): number =>
	repeatCount > 0 ? firstDueMs + (occurrence * intervalMs) : 0;

/** Active runs of a job. */
export function * getActiveRuns(workflow: LiveWorkflow): Generator<LiveRun> {
	for (const steps of workflow.occurrences.values()) {
		for (const step of steps) {
			for (const task of step.tasks) {
				yield * task.runs;
			}
		}
	}
}

/** Whether the job has no active run. */
export const isIdle = (workflow: LiveWorkflow): boolean => getActiveRuns(workflow).next().done === true;

const createCheckpoint = (ledger: TaskLedger | undefined): UnitCheckpoint => {
	const value = ledger?.checkpoint ?? '';
	return {
		value, run: value === '' ? 0 : ledger!.lastRun, percent: 0, storedValue: value,
	};
};

const createTask = (step: LiveStep, index: number, nowMs: number): LiveTask => {
	const ref: TaskRef = {
		workflowId: step.workflow.spec.id, occurrence: step.occurrence, step: step.index, index,
	};
	const ledger = step.workflow.folded.ledgers.get(getUnitId(ref, step.spec));
	return {
		ref,
		taskId: formatTaskId(ref),
		step,
		lastRun: ledger?.lastRun ?? 0,
		failedRuns: new Set(ledger?.failedRuns),
		crashes: [...ledger?.crashes ?? []],
		clearedRun: 0,
		checkpoint: step.spec.isGang && step.tasks.length > 0 ? step.tasks[0]!.checkpoint : createCheckpoint(ledger),
		isLocated: false,
		isDone: ledger?.isDone ?? false,
		runs: [],
		avoidedHosts: new Set(),
		notBeforeMs: 0,
		waitingSinceMs: nowMs,
	};
};

const countOpenTasks = (steps: LiveStep[]): number => sum(steps.map(({remaining}) => remaining));

const markReadySteps = (workflow: LiveWorkflow, occurrence: number, nowMs: number): void => {
	const steps = workflow.occurrences.get(occurrence)!;
	// A step without tasks is complete at once and may make later steps ready in the same pass: a step depends only on lower indexes.
	for (const step of steps) {
		if (!step.isReady && step.spec.after.every(earlier => steps[earlier]!.remaining === 0 && !steps[earlier]!.spec.isLasting)) {
			step.isReady = true;
			for (const task of step.tasks) {
				task.waitingSinceMs = nowMs;
			}
		}
	}
};
