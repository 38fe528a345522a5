/**
State of the placement engine for each job, task and worker.
*/
import {type JobSpec, type TaskClass} from '../types/jobs.ts';
import {type PendingTask, type PlacementWorker} from '../types/placement.ts';
import {type Resources} from '../types/platform.ts';

/** Phase of a task as the engine knows it. */
export enum TaskPhase {
	Waiting,
	/** Has reserved capacity on one worker and waits until running tasks release it. */
	Reserved,
	/** Holds capacity: a start was decided, is unanswered, or the task runs. */
	Placed,
	/** Holds capacity until its eviction is confirmed. */
	Evicting,
	Inactive,
}

/** A job with tasks that wait or hold capacity. */
export type JobEntry = {
	spec: JobSpec;
	kindId: number;
	region: string | undefined;
	/** Equal for jobs whose search for a worker has the same result. */
	shapeKey: string;
	/** Waiting tasks in order; entries before `head` and tasks in another phase are skipped. */
	waiting: TaskEntry[];
	head: number;
	waitingCount: number;
	placedCount: number;
	queuedAtMs: number;
	sequence: number;
	/** Capacity to allocate for one task, and when it was computed. */
	need: Resources;
	needComputedAtMs: number;
	/** When a start was first deferred because of interference, and when the next attempt is made. */
	firstDeferredAtMs: number;
	retryAtMs: number;
	/** When capacity may next be reserved for it. */
	nextReservationAtMs: number;
	/** Number of placed tasks by failure domain, rack and worker; only for latency-critical jobs of several tasks. */
	spread: Map<string, number> | undefined;
	/** Version of the fleet for which `missing` was computed. */
	checkedFleetVersion: number;
	/** Why the job would not fit even on an empty fleet; undefined: it would. */
	missing: string | undefined;
	/** Fails on every worker: no further task is started. */
	isFailingEverywhere: boolean;
};

/** A task that waits or holds capacity. */
export type TaskEntry = {
	task: PendingTask;
	job: JobEntry;
	phase: TaskPhase;
	worker: WorkerEntry | undefined;
	/** Capacity that is allocated for it, or will be when it starts. */
	reserved: Resources;
	startedAtMs: number;
	/** Refused, cancelled or lost with its worker: its end does not count for the health of worker or job. */
	isExcludedFromHealth: boolean;
	/** Attempt that waits until the end of this one is confirmed. */
	nextAttempt: PendingTask | undefined;
	/** Smoothed measured slowdown (1: none), and processors in the latest report (-1: no report yet). */
	slowdown: number;
	measuredProcessors: number;
	throttleShare: number;
	throttledAtMs: number;
	/** Its current residency on the worker. */
	residency: Residency | undefined;
};

/** A period in which a task runs on a worker at one throttle share; retained for a while after its end. */
export type Residency = {
	taskId: string;
	kindId: number;
	isBatch: boolean;
	throttleShare: number;
	/** Processors in the latest report, or allocated if there is none. */
	processors: number;
	startMs: number;
	endMs: number;
};

/** Tasks of one kind on one worker. */
export type MixItem = {
	kindId: number;
	taskClass: TaskClass;
	count: number;
	/** Sum of the tasks' throttle shares: a task at half speed counts as half a neighbour. */
	shareSum: number;
	/** Expected slowdown above 1 of one of these tasks if the host were idle, and if it were fully loaded. */
	idleExcess: number;
	fullExcess: number;
};

/** A worker, its allocations and its position in the index. */
export type WorkerEntry = {
	spec: PlacementWorker;
	/** Allocated to placed and evicting tasks. */
	used: Resources;
	/** Reserved for tasks that are to start here, and for the headroom of urgent work. */
	claimed: Resources;
	/** Capacity less `usedByOthers`, used and claimed; negative while an eviction is pending. */
	free: Resources;
	tasks: Set<TaskEntry>;
	/** Which tasks ran here at which time, to attribute reports that arrive late. */
	residencies: Residency[];
	/** Kinds that run here (undefined: to be computed), the model epoch of that, and their expected use of processors. */
	mix: MixItem[] | undefined;
	mixEpoch: number;
	expectedProcessors: number;
	/** No reaction to interference before this time: the effect of the last one is not yet visible in reports. */
	nextReactionAtMs: number;
	/** Nothing is started here before this time, after a refused start or an expired reservation. */
	avoidUntilMs: number;
	isRemoved: boolean;
	/** Held down: nothing is started here for a time, because too many tasks failed. */
	isHeld: boolean;
	/** Takes one batch task at a time after having been held down, until one succeeds. */
	isProbing: boolean;
	listPosition: number;
	cellKey: number;
	cellPosition: number;
};

/** Tells whether tasks may be started on the worker. */
export const isAvailable = (worker: WorkerEntry): boolean => worker.spec.isSchedulable && !worker.isRemoved && !worker.isHeld;
