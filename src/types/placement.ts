/**
What the placement engine is told and what it decides.
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
	/** Taken by tasks of others: room that cannot be given now, though the worker has it. */
	foreign?: Resources;
	/** False while draining or held down: what runs stays counted, nothing new is placed. */
	isOpen: boolean;
};

/** A task that waits for a worker. */
export type PendingTask = {
	taskId: string;
	attempt: number;
	spec: JobSpec;
	queuedAtMs: number;
	/** Region in which it must run; undefined: any. */
	region?: string;
	/** What a worker already holds for it, as learned after a takeover; undefined: decided here. */
	reserved?: Resources;
	/** False: an eviction loses all of its work. */
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
One decision. Starts of a gang come together, or not at all. `resources` of a start is what is held for the task, to be
ordered from the worker. A final `Unplaceable` ends the job; any other is reconsidered when the fleet changes.
*/
export type Decision
	= | {type: DecisionType.Start; taskId: string; workerId: string; resources: Resources}
		| {type: DecisionType.Evict; taskId: string; workerId: string; reason: EvictionReason; forTaskId?: string}
		| {type: DecisionType.Throttle; taskId: string; workerId: string; share: number}
		| {type: DecisionType.Unplaceable; jobId: string; missing: string; isFinal: boolean};

/** Decides where tasks run. It is told all that happens and keeps no timers of its own. */
export type PlacementEngine = {
	setWorker(worker: PlacementWorker): void;
	removeWorker(workerId: string): void;
	/** Quota of a team; amounts above it are borrowed and given back on demand. */
	setQuota(team: string, quota: Resources, weight: number): void;
	enqueue(task: PendingTask): void;
	/** Drops a waiting task. */
	cancel(taskId: string): void;
	/** A task runs on the worker: by a decision that took effect, or as learned from the worker after a takeover. */
	noteRunning(task: PendingTask, workerId: string, startedAtMs: number): void;
	/** A start was refused by the worker or its answer never came: the room is held until `noteEnded`. */
	noteStartRefused(taskId: string, workerId: string): void;
	/** The task's end is confirmed; its room is free. */
	noteEnded(taskId: string, isSuccess: boolean, nowMs: number): void;
	noteUsage(taskId: string, usage: TaskUsage): void;
	/** Decides at most so many. A started task's room is taken at once. */
	decide(nowMs: number, maxDecisions: number): Decision[];
};
