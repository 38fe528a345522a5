/**
What the placement engine keeps for each job, task and worker.
*/
import {type JobSpec, type TaskClass} from '../types/jobs.ts';
import {type PendingTask, type PlacementWorker} from '../types/placement.ts';
import {type Resources} from '../types/platform.ts';

/** Where a task stands as the engine knows it. */
export enum TaskPhase {
	Waiting,
	/** Waits for room that is being freed for it at one worker. */
	Claiming,
	/** Holds room: started, running, or its start unanswered. */
	Placed,
	/** Holds room until its eviction is confirmed. */
	Evicting,
	Gone,
}

/** A job with tasks that wait or hold room. */
export type JobEntry = {
	spec: JobSpec;
	kindId: number;
	region: string | undefined;
	/** Equal for jobs that the same search answers alike. */
	shapeKey: string;
	/** Waiting tasks in order; those before `head` and those of another phase are skipped. */
	waiting: TaskEntry[];
	head: number;
	waitingCount: number;
	placedCount: number;
	queuedAtMs: number;
	order: number;
	/** What is to be held for one task, and when that was worked out. */
	need: Resources;
	needAtMs: number;
	/** First held back from harmful places, and when it is tried again. */
	deferredAtMs: number;
	retryAtMs: number;
	/** When room may be kept for it again. */
	reserveAtMs: number;
	/** Placed tasks by failure domain, rack and worker; kept for services alone. */
	spread: Map<string, number> | undefined;
	/** Version of the fleet for which `missing` was worked out. */
	checkedAtFleet: number;
	/** Why no worker of the fleet can take it. */
	missing: string | undefined;
	/** Fails on every worker: nothing more is started. */
	isFinal: boolean;
};

/** A task that waits or holds room. */
export type TaskEntry = {
	task: PendingTask;
	job: JobEntry;
	phase: TaskPhase;
	worker: WorkerEntry | undefined;
	/** What is held for it. */
	reserved: Resources;
	startedAtMs: number;
	/** Refused, cancelled or lost with its worker: its end says nothing of worker or job. */
	isBlameless: boolean;
	/** A newer attempt that waits for the end of this one. */
	next: PendingTask | undefined;
	/** Smoothed measured slowdown, and processors as last measured. */
	slowdown: number;
	usedProcessors: number;
	throttleShare: number;
	throttledAtMs: number;
	/** Its stay on the worker, while it lasts. */
	residency: Residency | undefined;
};

/** One stay of a task on a worker at one share of its processors, kept for a while after its end. */
export type Residency = {
	taskId: string;
	kindId: number;
	isBatch: boolean;
	share: number;
	/** Processors as last measured, or as held for it. */
	processors: number;
	startMs: number;
	endMs: number;
};

/** Tasks of one kind on one worker. */
export type MixItem = {
	kindId: number;
	taskClass: TaskClass;
	count: number;
	/** Sum of the throttle shares. */
	amount: number;
	/** Expected slowdown beyond 1 of one of them on this host, were it idle and were it full. */
	idleExcess: number;
	fullExcess: number;
};

/** A worker, what it holds and where the index keeps it. */
export type WorkerEntry = {
	spec: PlacementWorker;
	/** Held by placed and evicting tasks. */
	used: Resources;
	/** Kept for tasks that wait for room here. */
	claimed: Resources;
	/** Capacity less used and claimed; negative while an eviction is under way. */
	free: Resources;
	tasks: Set<TaskEntry>;
	/** Who was here when, for reports that come late. */
	residencies: Residency[];
	/** Kinds that run here, and the processors that they are expected to use; undefined: to be worked out. */
	mix: MixItem[] | undefined;
	mixEpoch: number;
	expectedProcessors: number;
	/** No response to harm before this time: the last one is still taking effect. */
	settledAtMs: number;
	/** Nothing new before this time, after a refusal. */
	avoidUntilMs: number;
	isRemoved: boolean;
	/** Held down by its failures. */
	isHeld: boolean;
	/** Let at most one task through after having been held down. */
	isProbing: boolean;
	listPosition: number;
	cellKey: number;
	cellPosition: number;
};

/** Tells whether anything new may be placed on the worker. */
export const isAvailable = (worker: WorkerEntry): boolean => worker.spec.isSchedulable && !worker.isRemoved && !worker.isHeld;
