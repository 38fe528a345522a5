/**
The owner's view of the jobs it runs: which steps are ready, which tasks wait, and which runs are out on workers.
*/
import {
	formatTaskId, type TaskCrash, type TaskRef, type Workflow, type WorkflowStep,
} from '../types/workflows.ts';
import {
	countOccurrences, getUnitId, isFinal, type FoldedWorkflow, type WorkflowFold,
} from './fold.ts';
import {type SavedRun} from './records.ts';

/** Phases of a run. */
export enum RunPhase {
	/** Ordered; not known whether it began. */
	Starting = 'starting',
	Running = 'running',
	/** Told to stop; its end is not listed yet. */
	Stopping = 'stopping',
}

/** One run of a task on a worker. */
export type LiveRun = {
	task: LiveTask;
	run: number;
	host: string;
	workerId: string;
	/** Life of the agent that took the order. */
	agentLife: string;
	phase: RunPhase;
	/** When it was ordered. */
	sentAtMs: number;
	/** The order's answer is still awaited. */
	isOrderOut: boolean;
	/** On the agent's clock: an order that comes later starts nothing. */
	notAfterMs: number;
	/** State of the agent that is known to include the run. */
	confirmedVersion: number;
	percent: number;
	/** Progress from which on its speed is measured: what was saved before, or done unseen, does not count. */
	basePercent: number;
	/** Time at work since then, as at full speed. */
	workedMs: number;
	/** Until when `workedMs` is counted; undefined: not before the next listing. */
	workedUntilMs: number | undefined;
	recent: number;
	/** Since when a serving task is over its target on end; undefined: it is not. */
	overSinceMs?: number;
	/** The same but for single figures, and when it last was over its target. */
	mostlyOverSinceMs?: number;
	overAtMs?: number;
	/** Last time that `percent` rose. */
	progressAtMs: number;
	stopSentAtMs: number;
	/** Another run of the task counts: this one is stopped. */
	isUnwanted: boolean;
	/** Share of its speed that a filling task was last told to work at; undefined: an earlier owner may have told it. */
	pacePercent?: number;
};

/** One task. */
export type LiveTask = {
	ref: TaskRef;
	taskId: string;
	step: LiveStep;
	/** Highest run number used. */
	lastRun: number;
	/** Numbers of the runs that failed; of any member, for a gang. */
	failedRuns: Set<number>;
	/** Crashes of workers that count for it; of any member, for a gang. */
	crashes: TaskCrash[];
	/** Crashes up to this run are no reason to keep it apart: a later run has lived. */
	clearedRun: number;
	checkpoint: string;
	/** The checkpoint that is in the stream. */
	storedCheckpoint: string;
	isDone: boolean;
	runs: LiveRun[];
	/** Workers' hosts on which it failed, or stood still. */
	avoidedHosts: Set<string>;
	/** Not started again before this; after a failure. */
	notBeforeMs: number;
	/** Since when it waits. */
	waitsSinceMs: number;
};

/** One step of one occurrence. */
export type LiveStep = {
	workflow: LiveWorkflow;
	occurrence: number;
	index: number;
	spec: WorkflowStep;
	/** Tasks of a job that serve have one load: it is followed under this name. */
	servingName: string;
	tasks: LiveTask[];
	remaining: number;
	isReady: boolean;
};

/** One job. */
export type LiveWorkflow = {
	folded: FoldedWorkflow;
	spec: Workflow;
	/** By occurrence. */
	occurrences: Map<number, LiveStep[]>;
	nextOccurrence: number;
	/** Completed, failed or cancelled: nothing of it is started any more. */
	isOver: boolean;
	/** When it was handed in, on the owner's monotonic clock: time of day may jump. */
	receivedAtMs: number;
};

/** The jobs of one service that are not over. */
export class LiveModel {
	readonly workflows = new Map<string, LiveWorkflow>();

	/** Takes all jobs of the fold that are not over. */
	load(fold: WorkflowFold, wallMs: number, nowMs: number): void {
		for (const folded of fold.workflows.values()) {
			if (!isFinal(folded.state)) {
				this.add(folded, wallMs, nowMs);
			}
		}
	}

	/** Takes a job. Clocks of hosts differ and may jump: a job that cannot be older than `maxAgeMs` is not taken for older. */
	add(folded: FoldedWorkflow, wallMs: number, nowMs: number, maxAgeMs = Number.POSITIVE_INFINITY): LiveWorkflow {
		const workflow: LiveWorkflow = {
			folded,
			spec: folded.workflow,
			occurrences: new Map(),
			nextOccurrence: 0,
			isOver: false,
			receivedAtMs: nowMs - Math.min(maxAgeMs, Math.max(0, wallMs - folded.workflow.receivedAtMs)),
		};
		this.workflows.set(folded.workflow.id, workflow);
		this.openDue(workflow, wallMs, nowMs);
		return workflow;
	}

	/** Takes a job that is over, for the sake of its runs that are still out. */
	recall(folded: FoldedWorkflow, wallMs: number, nowMs: number): LiveWorkflow {
		const workflow = this.add(folded, wallMs, nowMs);
		workflow.isOver = true;
		return workflow;
	}

	/** Opens the occurrences of a job that are due; gives when the next one is. */
	openDue(workflow: LiveWorkflow, wallMs: number, nowMs: number): number | undefined {
		const total = countOccurrences(workflow.spec);
		while (!workflow.isOver && workflow.nextOccurrence < total) {
			const dueAtMs = getDueAtMs(workflow.spec, workflow.nextOccurrence);
			if (dueAtMs > wallMs) {
				return dueAtMs;
			}

			this.#open(workflow, workflow.nextOccurrence, nowMs);
			workflow.nextOccurrence++;
		}

		return undefined;
	}

	/** Drops jobs that are over and of which nothing is out on a worker any more. */
	dropOver(): void {
		for (const [id, workflow] of this.workflows) {
			if (workflow.isOver && isIdle(workflow)) {
				this.workflows.delete(id);
			}
		}
	}

	/** Gets a task of a job that is taken. */
	getTask(ref: TaskRef): LiveTask | undefined {
		return this.workflows.get(ref.workflowId)?.occurrences.get(ref.occurrence)?.[ref.step]?.tasks[ref.index];
	}

	/** Notes that the unit of the task has succeeded; opens the steps that waited for it. */
	finish(task: LiveTask, nowMs: number): void {
		const {step} = task;
		for (const member of getUnit(task)) {
			if (!member.isDone) {
				member.isDone = true;
				step.remaining--;
			}
		}

		if (step.remaining === 0) {
			openReady(step.workflow, step.occurrence, nowMs);
		}
	}

	/** Checkpoints of running tasks that the stream does not have; they count as stored from now on. */
	takeUnstored(): SavedRun[] {
		const saved: SavedRun[] = [];
		for (const workflow of this.workflows.values()) {
			for (const {task, run} of workflow.isOver ? [] : getRuns(workflow)) {
				if (task.checkpoint !== task.storedCheckpoint && !task.isDone) {
					task.storedCheckpoint = task.checkpoint;
					saved.push({taskId: task.taskId, run, checkpoint: task.checkpoint});
				}
			}
		}

		return saved;
	}

	/** Occurrences of jobs that end by themselves and are not over, with tasks that have not succeeded. */
	openOccurrences(): LiveStep[][] {
		return [...this.workflows.values()]
			.filter(({isOver, spec}) => !isOver && spec.steps.every(step => !step.isLasting))
			.flatMap(workflow => [...workflow.occurrences.values()])
			.filter(steps => steps.some(step => step.remaining > 0));
	}

	/** Steps of jobs that are not over, with tasks that have not succeeded. */
	openSteps(): LiveStep[] {
		return [...this.workflows.values()]
			.filter(workflow => !workflow.isOver)
			.flatMap(workflow => [...workflow.occurrences.values()].flat())
			.filter(step => step.remaining > 0);
	}

	/** Tasks that may be started: ready, not done, and with no run out or one that wants a copy. */
	* waiting(nowMs: number, wantsCopy: (task: LiveTask) => boolean): Generator<LiveTask> {
		for (const workflow of this.workflows.values()) {
			if (workflow.isOver) {
				continue;
			}

			for (const step of [...workflow.occurrences.values()].flat()) {
				if (step.isReady && step.remaining > 0) {
					yield * step.tasks.filter(task => !task.isDone && task.notBeforeMs <= nowMs && (task.runs.length === 0 || wantsCopy(task)));
				}
			}
		}
	}

	#open(workflow: LiveWorkflow, occurrence: number, nowMs: number): void {
		const steps = workflow.spec.steps.map((spec, index): LiveStep => {
			const step: LiveStep = {
				workflow, occurrence, index, spec, servingName: `${workflow.spec.id}.${index}`, tasks: [], remaining: 0, isReady: false,
			};
			for (let taskIndex = 0; taskIndex < spec.count; taskIndex++) {
				step.tasks.push(createTask(step, taskIndex, nowMs));
			}

			step.remaining = step.tasks.filter(task => !task.isDone).length;
			return step;
		});
		workflow.occurrences.set(occurrence, steps);
		openReady(workflow, occurrence, nowMs);
	}
}

/** Tasks that succeed, fail and start as one: the task alone, or its gang. */
export const getUnit = (task: LiveTask): LiveTask[] => task.step.spec.isGang ? task.step.tasks : [task];

/** When an occurrence is due, in ms since 1970; 0 for a job without times. */
export const getDueAtMs = ({repeatCount, firstDueMs, intervalMs}: Workflow, occurrence: number): number =>
	repeatCount > 0 ? firstDueMs + (occurrence * intervalMs) : 0;

/** Runs of a job that are out. */
function * getRuns(workflow: LiveWorkflow): Generator<LiveRun> {
	for (const steps of workflow.occurrences.values()) {
		for (const step of steps) {
			for (const task of step.tasks) {
				yield * task.runs;
			}
		}
	}
}

/** Whether no run of the job is out. */
export const isIdle = (workflow: LiveWorkflow): boolean => getRuns(workflow).next().done === true;

const whole = 100;

/** How long the run takes to its end, by what it has done since it was first seen: it may have been resumed or adopted. */
const getRemainingMs = ({percent, basePercent, workedMs, progressAtMs}: LiveRun, nowMs: number): number =>
	percent > basePercent ? (workedMs * (whole - percent) / (percent - basePercent)) - (nowMs - progressAtMs) : Number.POSITIVE_INFINITY;

/** Whether nothing of the job runs, or one run that ends within the time given. */
export const isIdleWithin = (workflow: LiveWorkflow, withinMs: number, nowMs: number): boolean => {
	const [first, second] = getRuns(workflow);
	return first === undefined || (second === undefined && first.phase === RunPhase.Running && getRemainingMs(first, nowMs) < withinMs);
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
		checkpoint: ledger?.checkpoint ?? '',
		storedCheckpoint: ledger?.checkpoint ?? '',
		isDone: ledger?.isDone ?? false,
		runs: [],
		avoidedHosts: new Set(),
		notBeforeMs: 0,
		waitsSinceMs: nowMs,
	};
};

const openReady = (workflow: LiveWorkflow, occurrence: number, nowMs: number): void => {
	const steps = workflow.occurrences.get(occurrence)!;
	// Steps without tasks are done at once, and may open others in turn: earlier steps have lower numbers.
	for (const step of steps) {
		if (!step.isReady && step.spec.after.every(earlier => steps[earlier]!.remaining === 0 && !steps[earlier]!.spec.isLasting)) {
			step.isReady = true;
			for (const task of step.tasks) {
				task.waitsSinceMs = nowMs;
			}
		}
	}
};
