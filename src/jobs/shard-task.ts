/**
State of a task without a recorded end, as held by the owner of its shard.
*/
import {type TaskStatus} from '../types/jobs.ts';
import {TaskState, type Resources, type AttemptRef} from '../types/platform.ts';
import {type FoldedJob} from './job-fold.ts';
import {type TaskEnd} from './job-records.ts';
import {getTaskId} from './job-status.ts';

/** Phases of a task between its acceptance and its end. */
export enum TaskPhase {
	/** May be running on a worker that the new owner has not reached: not started until recovery releases it. */
	Held = 'held',
	Waiting = 'waiting',
	/** A start was ordered and not answered yet; the task may be running on that worker. */
	Starting = 'starting',
	Running = 'running',
	/** A stop was ordered and not answered yet; the task may still be running. */
	Stopping = 'stopping',
	/** The end is known and being written to the log. */
	Ending = 'ending',
	/** Recorded, cancelled or left to the next owner: this entry no longer schedules it. */
	Closed = 'closed',
}

/** A task of a shard that this entry owns. */
export type LiveTask = {
	readonly taskId: string;
	readonly job: FoldedJob;
	readonly index: number;
	readonly fencingToken: number;
	phase: TaskPhase;
	/** Grows with each start. Contains the fencing token, so that two owners never use the same number. */
	attempt: number;
	workerId?: string;
	/** The last order got no answer, or an answer without the result; the worker's listing must be read. */
	isUnresolved: boolean;
	/** Latest moment, by the local monotonic clock, at which the task's lease on its worker can end. */
	latestLeaseEndMs: number;
	queuedAtMs: number;
	startedAtMs: number;
	/** When the worker's confirmation that the task runs was received. */
	confirmedAtMs: number;
	checkpointId?: string;
	evictions: number;
	failures: number;
	/** Workers that restarted soon after the task was started there, one item for each crash since an attempt was lost otherwise. */
	crashedWorkers: string[];
	/** Incarnation of the worker when the start was ordered. */
	incarnation?: number;
	isCancelled: boolean;
	/** Resources reserved on its worker, which may differ from the declared ones. */
	reserved?: Resources;
	/** Reason to evict the task as soon as its start is confirmed. */
	evictionReason?: string;
	/** Highest attempt that a worker reported during recovery. */
	highestReportedAttempt: number;
	/** End that is being written to the log. */
	end?: TaskEnd;
	/** Ended attempt that its worker retains until a newer attempt runs, so that a new owner can find the checkpoint there. */
	retainedAttempt?: {workerId: string; ref: AttemptRef};
};

const attemptsPerToken = 65_536;

/** First attempt number under a fencing token. */
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

/** Reference to the task's current attempt, for orders to a worker. */
export const getTaskRef = ({taskId, attempt, job, fencingToken}: LiveTask): AttemptRef => ({
	taskId, attempt, shard: job.shard, fencingToken,
});

/** Tells whether a worker may be running the task. */
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
