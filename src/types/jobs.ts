/**
Jobs as callers and operators see them.
*/
import {type Resources, type TaskState} from './platform.ts';

/** Classes of tasks. */
export enum TaskClass {
	LatencyCritical = 'latency-critical',
	Batch = 'batch',
}

/** A job: a number of equal tasks. */
export type JobSpec = {
	jobId: string;
	team: string;
	/** Name of what is run; harm and declared sizes are learned by kind. */
	kind: string;
	taskClass: TaskClass;
	/** Higher runs first; at or above the urgent level it may evict. */
	priority: number;
	taskCount: number;
	/** Starts all tasks or none. */
	isGang: boolean;
	/** An idempotent task may be run again when its end cannot be learned. */
	isIdempotent: boolean;
	resources: Resources;
	declaredRunTimeMs: number;
	/** Service whose side decides where the tasks run; none: anywhere. */
	service?: string;
	input?: unknown;
};

/** States of a job. */
export enum JobState {
	Accepted = 'accepted',
	Running = 'running',
	Succeeded = 'succeeded',
	Failed = 'failed',
	Cancelled = 'cancelled',
	/** No worker of the fleet has what one task needs. */
	Unplaceable = 'unplaceable',
}

/** State of one task of a job. */
export type TaskStatus = {
	taskId: string;
	attempt: number;
	/** None while the task waits to be placed. */
	state?: TaskState;
	workerId?: string;
	evictions: number;
	result?: unknown;
	/** Why it counts as ended, when no worker confirmed the end. */
	reason?: string;
};

/** What a caller is told of a job. */
export type JobStatus = {
	jobId: string;
	state: JobState;
	reason?: string;
	tasks: TaskStatus[];
};
