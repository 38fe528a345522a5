/**
Jobs of several steps as callers hand them in: what each step needs, and in which order steps run.
*/

/** One step: a number of equal tasks. */
export type WorkflowStep = {
	count: number;
	/** Processors in thousandths of a core. */
	milliCpu: number;
	memoryMb: number;
	accelerators: number;
	/** Rough; often far off. */
	estimateMs: number;
	/** Steps whose tasks must all have succeeded first. */
	after: number[];
	isCheckpointing: boolean;
	/** All tasks of one run work only together. */
	isGang: boolean;
	/** Much slower on more than one rack. */
	isSameRack: boolean;
	/** Label that the worker must have. */
	requiredLabel?: string;
	/** Rack where the data is. */
	dataRack?: string;
	/** At most so many tasks of one occurrence on one worker; 0: no bound. */
	maxPerWorker: number;
	/** Copies may run at the same time; the first to succeed counts. */
	isSpeculative: boolean;
	/** Runs until the job is cancelled and is restarted however it ends. */
	isLasting: boolean;
	/** Name of what the tasks run; tasks of one image behave alike. */
	image?: string;
	/** Bound on the tail latency of a lasting task that serves; 0: none. */
	targetMs: number;
	/** Takes the processors that others leave unused: not counted against capacity. */
	isFilling: boolean;
	/** So many tasks may be away at a time by what the system does; undefined: no such promise. */
	maxAway?: number;
};

/** A job as handed in by a caller. */
export type WorkflowSpec = {
	/** Opaque to the scheduler, passed to each task. */
	input: string;
	steps: WorkflowStep[];
	/** First due time, in ms since 1970; only with `repeatCount`. */
	firstDueMs: number;
	intervalMs: number;
	/** How often the steps run; 0: once, at once. */
	repeatCount: number;
};

/** A job as it stands in the log: with the terms of its queue at the time of acceptance. */
export type Workflow = WorkflowSpec & {
	id: string;
	queue: string;
	service: string;
	/** 0 comes first. */
	priority: number;
	/** A task that failed so often fails its job. */
	maxAttempts: number;
	/** Objective: this many times the longest chain of work, and `targetLatencyMs` more. */
	stretch: number;
	targetLatencyMs: number;
	/** Advice on where steps may run is needed. */
	needsAdvice: boolean;
	/** Wall clock of the entry that took it. */
	receivedAtMs: number;
};

/** States of a job as callers are told. */
export enum WorkflowState {
	Queued = 'queued',
	Running = 'running',
	Completed = 'completed',
	Failed = 'failed',
	Cancelled = 'cancelled',
}

/** How a run of a task ended. */
export enum RunEnd {
	Done = 'done',
	Failed = 'failed',
	Stopped = 'stopped',
	Lapsed = 'lapsed',
	/** Another member of its gang ended. */
	Broken = 'broken',
	/** Waited in vain for the other members of its gang. */
	Alone = 'alone',
}

/** Identifies a task: job, occurrence, step and index. */
export type TaskRef = {
	workflowId: string;
	occurrence: number;
	step: number;
	index: number;
};

/** A run that ended. */
export type EndedRun = {
	taskId: string;
	run: number;
	end: RunEnd;
	/** Empty: none. */
	checkpoint: string;
};

/** A crash of the worker that a run was on. */
export type TaskCrash = {
	run: number;
	/** Time from the run's start until the worker fell silent. */
	ageMs: number;
	/** Nothing on the worker had started later. */
	isNewest: boolean;
	host: string;
	/** Another task had succeeded on the host since its last crash. */
	isHostProven: boolean;
	/** Wall clock of the owner that counted it. */
	atMs: number;
};

/** Formats the name of a task. */
export const formatTaskId = ({workflowId, occurrence, step, index}: TaskRef): string =>
	`${workflowId}.${occurrence}.${step}.${index}`;

/** Parses the name of a task; undefined for anything else. */
export const parseTaskId = (taskId: string): TaskRef | undefined => {
	const [workflowId, ...numbers] = taskId.split('.');
	const [occurrence, step, index] = numbers.map(Number);
	if (!workflowId || numbers.length !== 3 || !Number.isInteger(occurrence) || !Number.isInteger(step) || !Number.isInteger(index)) {
		return undefined;
	}

	return {
		workflowId, occurrence: occurrence!, step: step!, index: index!,
	};
};
