/**
Input and decisions of the placement engine.
*/
import {type JobSpec} from './jobs.ts';
import {type Resources, type TaskUsage} from './platform.ts';

/** A worker that tasks may be placed on. */
export type PlacementWorker = {
	workerId: string;
	region: string;
	failureDomain: string;
	rack: string;
	capacity: Resources;
	/** Used by tasks that this engine does not manage, and so not available to it. */
	usedByOthers?: Resources;
	/** False while the worker is draining or held down: no task is placed on it, and running tasks still use its capacity. */
	isSchedulable: boolean;
};

/** A task that waits for a worker. */
export type PendingTask = {
	taskId: string;
	attempt: number;
	spec: JobSpec;
	queuedAtMs: number;
	/** Region in which it must run; undefined: any. */
	region?: string;
	/** Resources that a worker already holds for the task, learned after a takeover; undefined: the engine decides them. */
	reserved?: Resources;
	/** False: an eviction loses all work of the task. */
	isCheckpointable?: boolean;
};

/** Kinds of decisions. */
export enum DecisionType {
	Start = 'start',
	Evict = 'evict',
	Throttle = 'throttle',
	Unplaceable = 'unplaceable',
}

/** Why a task is evicted. One counter each. */
export enum EvictionReason {
	Urgent = 'urgent',
	QuotaReturn = 'quota-return',
	Harm = 'harm',
	Drain = 'drain',
}

/**
One decision. A gang's starts are decided together, or not at all. `resources` of a start are reserved for the task and sent
to the worker. An `Unplaceable` with `isFinal` ends the job; without it, the job is reconsidered when the fleet changes.
*/
export type Decision
	= | {type: DecisionType.Start; taskId: string; workerId: string; resources: Resources}
		| {type: DecisionType.Evict; taskId: string; workerId: string; reason: EvictionReason; forTaskId?: string}
		| {type: DecisionType.Throttle; taskId: string; workerId: string; share: number}
		| {type: DecisionType.Unplaceable; jobId: string; missing: string; isFinal: boolean};

/** Decides where tasks run. Its caller reports all events to it; it has no timers of its own. */
export type PlacementEngine = {
	setWorker(worker: PlacementWorker): void;
	removeWorker(workerId: string): void;
	/** Sets the quota of a team; usage above it is borrowed and returned on demand. */
	setQuota(team: string, quota: Resources, weight: number): void;
	enqueue(task: PendingTask): void;
	/** Drops a waiting task. */
	cancel(taskId: string): void;
	/** Records that a task runs on the worker, after a decision or as learned from the worker after a takeover. */
	recordRunning(task: PendingTask, workerId: string, startedAtMs: number): void;
	/** Records that the worker refused a start or never answered it: the capacity stays reserved until `recordEnded`. */
	recordStartRefused(taskId: string, workerId: string): void;
	/** Records the confirmed end of a task, and frees its capacity. */
	recordEnded(taskId: string, isSuccess: boolean, nowMs: number): void;
	recordUsage(taskId: string, usage: TaskUsage): void;
	/** Makes at most `maxDecisions` decisions. The capacity for a start is reserved at once. */
	decide(nowMs: number, maxDecisions: number): Decision[];
};
