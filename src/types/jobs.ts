/**
Jobs and their states, as callers and operators see them.
*/
import {type Resources, type TaskState} from './platform.ts';

/** Classes of tasks. */
export enum TaskClass {
	LatencyCritical = 'latency-critical',
	Batch = 'batch',
}

/** A job: a number of identical tasks. */
export type JobSpec = {
	jobId: string;
	team: string;
	/** Name of the program that the tasks run; interference and the accuracy of declared sizes are estimated per kind. */
	kind: string;
	taskClass: TaskClass;
	/** Higher values run first; at or above the urgent level, tasks may evict others. */
	priority: number;
	taskCount: number;
	/** Gang: either all tasks start or none. */
	isGang: boolean;
	/** An idempotent task may be run again if its end cannot be determined. */
	isIdempotent: boolean;
	resources: Resources;
	declaredRunTimeMs: number;
	/** Service whose region the tasks must run in; undefined: any region. */
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
	/** Undefined while the task waits for placement. */
	state?: TaskState;
	workerId?: string;
	evictions: number;
	result?: unknown;
	/** Why the task counts as ended although no worker confirmed the end. */
	reason?: string;
};

/** Status of a job as reported to callers. */
export type JobStatus = {
	jobId: string;
	state: JobState;
	reason?: string;
	tasks: TaskStatus[];
};
