/**
A task that has not ended, as the owner of its shard keeps it.
*/
import {type TaskStatus} from '../types/jobs.ts';
import {TaskState, type Resources, type TaskRef} from '../types/platform.ts';
import {type FoldedJob} from './job-fold.ts';
import {type TaskEnd} from './job-records.ts';
import {getTaskId} from './job-status.ts';

/** Where a task is between acceptance and end. */
export enum TaskPhase {
	/** May run at a worker that a new owner has not reached: not started before the leases there have run out. */
	Held = 'held',
	Waiting = 'waiting',
	/** A start was ordered; until an answer is known it may run at that worker. */
	Starting = 'starting',
	Running = 'running',
	/** A stop was ordered; until an answer is known it may run. */
	Stopping = 'stopping',
	/** Its end is known and on its way into the log. */
	Ending = 'ending',
	/** Recorded, cancelled or handed over: no longer ours. */
	Closed = 'closed',
}

/** A task of a shard that is owned here. */
export type LiveTask = {
	readonly taskId: string;
	readonly job: FoldedJob;
	readonly index: number;
	readonly fencingToken: number;
	phase: TaskPhase;
	/** Grows with each start; carries the token, so that two owners never give the same number. */
	attempt: number;
	workerId?: string;
	/** The last order to its worker got no answer. */
	isUnresolved: boolean;
	/** Latest moment, by our clock, at which its worker may still run it. */
	latestLeaseEndMs: number;
	queuedAtMs: number;
	startedAtMs: number;
	/** When the worker's answer that it runs was read. */
	confirmedAtMs: number;
	checkpointId?: string;
	evictions: number;
	failures: number;
	/** Workers that were restarted soon after it was started there, once for each time, since a run of it has lived. */
	crashedWorkers: string[];
	/** Incarnation of the worker that its start was ordered from. */
	incarnation?: number;
	isCancelled: boolean;
	/** What its worker holds for it, which may differ from what was declared. */
	reserved?: Resources;
	/** Why it is to be evicted once its start is confirmed. */
	evictionReason?: string;
	/** Highest attempt that a worker told of after a takeover. */
	highestReportedAttempt: number;
	/** End on its way into the log. */
	end?: TaskEnd;
	/** Ended attempt that its worker keeps until a newer attempt runs: a new owner finds the checkpoint there. */
	retainedAttempt?: {workerId: string; ref: TaskRef};
};

const attemptsPerToken = 65_536;

/** First attempt number under a token. */
export const getFirstAttempt = (fencingToken: number): number => (fencingToken + 1) * attemptsPerToken;

/** Creates a task that is not offered for placement yet. */
export const createLiveTask = (job: FoldedJob, index: number, fencingToken: number, nowMs: number): LiveTask => ({
	taskId: getTaskId(job.spec.jobId, index),
	job,
	index,
	fencingToken,
	phase: TaskPhase.Held,
	attempt: getFirstAttempt(fencingToken) - 1,
	isUnresolved: false,
	latestLeaseEndMs: 0,
	queuedAtMs: nowMs,
	startedAtMs: nowMs,
	confirmedAtMs: nowMs,
	evictions: 0,
	failures: 0,
	crashedWorkers: [],
	isCancelled: false,
	highestReportedAttempt: -1,
});

/** Names the task's present attempt to a worker. */
export const getTaskRef = ({taskId, attempt, job, fencingToken}: LiveTask): TaskRef => ({
	taskId, attempt, shard: job.shard, fencingToken,
});

/** Tells whether its worker may be running it. */
export const mayBeRunning = ({phase}: LiveTask): boolean =>
	phase === TaskPhase.Starting || phase === TaskPhase.Running || phase === TaskPhase.Stopping;

/** Status of a task that has no recorded end. */
export const getLiveStatus = (task: LiveTask): TaskStatus => {
	const {taskId, attempt, workerId, evictions} = task;
	const isRunning = task.phase === TaskPhase.Running || task.phase === TaskPhase.Stopping;
	return {
		taskId, attempt, evictions, ...(isRunning && {state: TaskState.Running, workerId}), ...(task.end && {state: task.end.state}),
	};
};
