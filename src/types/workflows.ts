/**
Jobs of several steps (workflows) as callers submit them: what each step needs, and in which order steps run.
*/

/** One step: a number of identical tasks. */
export type WorkflowStep = {
	count: number;
	/** Processors in thousandths of a core. */
	milliCpu: number;
	memoryMb: number;
	accelerators: number;
	/** The caller's rough estimate of the run time; often far off. */
	estimateMs: number;
	/** Indexes of the steps whose tasks must all have succeeded first. */
	after: number[];
	/** The tasks write checkpoints. */
	isCheckpointing: boolean;
	/** Gang: tasks make progress only while all of them run. */
	isGang: boolean;
	/** Much slower when spread over more than one rack. */
	isSameRack: boolean;
	/** Label that the worker must have. */
	requiredLabel?: string;
	/** Rack where the input data is. */
	dataRack?: string;
	/** Maximum number of tasks of one occurrence on one worker; 0: no bound. */
	maxPerWorker: number;
	/** Several copies of a task may run at the same time; the first to succeed counts. */
	isSpeculative: boolean;
	/** Long-running: runs until the job is cancelled, and is restarted whenever it ends. */
	isLasting: boolean;
	/** Name of the program that the tasks run; tasks of one image are expected to behave alike. */
	image?: string;
	/** Target for the tail latency of a latency-critical task; 0: none. */
	targetMs: number;
	/** Best-effort: uses processors that other tasks leave idle, and is not counted against capacity. */
	isFilling: boolean;
	/** Maximum number of tasks that the system's own actions may make unavailable at a time; undefined: no bound. */
	maxAway?: number;
};

/** A job as submitted by a caller. */
export type WorkflowSpec = {
	/** Opaque to the scheduler, passed to each task. */
	input: string;
	steps: WorkflowStep[];
	/** First due time, in ms since 1970; only with `repeatCount`. */
	firstDueMs: number;
	intervalMs: number;
	/** Number of occurrences of all steps; 0: one, due at once. */
	repeatCount: number;
};

/** A job as stored in the log, with the settings of its queue at the time of acceptance. */
export type Workflow = WorkflowSpec & {
	id: string;
	queue: string;
	service: string;
	/** Lower values come first; 0 is the highest priority. */
	priority: number;
	/** A task that fails this many times fails its job. */
	maxAttempts: number;
	/** Latency objective: `stretch` times the critical path, plus `targetLatencyMs`. */
	stretch: number;
	targetLatencyMs: number;
	/** Steps may run only on workers that the advice service permits. */
	needsAdvice: boolean;
	/** Wall time of the entry that received it. */
	receivedAtMs: number;
	/** For how long entries had refused it before; undefined: not at all. */
	waitedMs?: number | undefined;
};

/** States of a job as reported to callers. */
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
	LeaseExpired = 'lapsed',
	/** Another member of its gang ended. */
	GangBroken = 'broken',
	/** The other members of its gang did not start in time. */
	GangTimeout = 'alone',
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
	/** Latest checkpoint; empty: none. */
	checkpoint: string;
};

/** A crash of a worker, as counted for a task that had a run on it. */
export type TaskCrash = {
	run: number;
	/** Time from the run's start until the worker stopped answering. */
	ageMs: number;
	/** No run on the worker had started later, apart from members of the same gang. */
	isNewest: boolean;
	host: string;
	/** Another task had succeeded on the host since the host's previous crash. */
	isHostProven: boolean;
	/** Wall time of the owner that counted it. */
	atMs: number;
};

/** Formats a task's id. */
export const formatTaskId = ({workflowId, occurrence, step, index}: TaskRef): string =>
	`${workflowId}.${occurrence}.${step}.${index}`;

/** Parses a task's id; undefined for any other text. */
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
