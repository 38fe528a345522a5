/**
What the platform gives, reduced to what the program assumes of it: an append-only log and workers.
*/
import {type TaskClass} from './jobs.ts';

/** Streams that the program keeps in the platform's log. */
export enum Stream {
	Config = 'config',
	Entries = 'entries',
	Claims = 'claims',
	Jobs = 'jobs',
	Ownership = 'ownership',
}

/** One record as read back: its place in the stream and what was appended. */
export type LogRecord = {
	offset: number;
	value: unknown;
};

/** A stretch of a stream. Records before `oldestOffset` are gone; the next append gets `endOffset` or later. */
export type LogPage = {
	records: LogRecord[];
	oldestOffset: number;
	endOffset: number;
};

/** How much to read, and how long to wait for a first record. */
export type ReadOptions = {
	limit?: number;
	waitMs?: number;
	signal?: AbortSignal;
};

/** The platform's log. There is no conditional append, and an answer may be lost after the append took effect. */
export type PlatformLog = {
	/** Appends one record; resolves to its offset. A rejection leaves open whether the record was appended. */
	append(stream: Stream, value: unknown, signal?: AbortSignal): Promise<number>;
	/** Reads records from the offset on, or from the oldest kept one when that is later. */
	read(stream: Stream, fromOffset: number, options?: ReadOptions): Promise<LogPage>;
};

/** Amounts that a worker has or a task needs. */
export type Resources = {
	processors: number;
	memoryMb: number;
	accelerators: number;
};

/** States of a task as its worker sees it. */
export enum TaskState {
	Running = 'running',
	Succeeded = 'succeeded',
	Failed = 'failed',
	/** Stopped on request, with a checkpoint when one was asked for. */
	Stopped = 'stopped',
	/** Stopped by the worker because its lease was not renewed in time. */
	Lapsed = 'lapsed',
}

/** Order to start one attempt of a task under a lease. */
export type StartOrder = {
	taskId: string;
	attempt: number;
	kind: string;
	taskClass: TaskClass;
	resources: Resources;
	leaseMs: number;
	/** Log offset of the shard owner's claim; a worker refuses older tokens of the same shard. */
	fencingToken: number;
	shard: number;
	checkpointId?: string;
	input?: unknown;
	/** Latest reading of the worker's own monotonic clock at which the order may take effect; none: at any time. */
	notAfterMs?: number;
	/** Incarnation of the worker that is meant; none: any. */
	workerIncarnation?: number;
};

/** Why a worker did not do as ordered. */
export enum WorkerRefusal {
	NoRoom = 'no-room',
	StaleToken = 'stale-token',
	StaleAttempt = 'stale-attempt',
	UnknownTask = 'unknown-task',
	Draining = 'draining',
	/** The order came too late, or was meant for an earlier incarnation of the worker. */
	Expired = 'expired',
}

/** A worker's answer to an order; a refusal changed nothing. */
export type WorkerReply = {
	isAccepted: boolean;
	refusal?: WorkerRefusal;
	state?: TaskState;
	checkpointId?: string;
};

/** One attempt of a task as reported by its worker. */
export type TaskReport = {
	taskId: string;
	attempt: number;
	shard: number;
	kind: string;
	state: TaskState;
	resources: Resources;
	leaseRemainingMs: number;
	/** Measured since the task started; late and noisy. */
	usage?: TaskUsage;
	checkpointId?: string;
	result?: unknown;
	error?: string;
};

/** Measured use of one task, credited to the time that it speaks of. */
export type TaskUsage = {
	measuredAtMs: number;
	processors: number;
	memoryMb: number;
	/** Tail latency over its declared target, or run time over its unhindered run time. 1 is unharmed. */
	slowdown: number;
};

/** Reference to one attempt of a task, with the token of the shard owner that speaks. */
export type TaskRef = {
	taskId: string;
	attempt: number;
	shard: number;
	fencingToken: number;
	/** As in an order to start; a renewal that comes later is refused. */
	notAfterMs?: number;
	workerIncarnation?: number;
};

/** Everything that a worker runs or has ended and not yet been told to forget. */
export type WorkerSnapshot = {
	workerId: string;
	incarnation: number;
	capacity: Resources;
	tasks: TaskReport[];
	/** The worker's own monotonic clock as it answered. */
	clockMs?: number;
};

/** One worker. It runs tasks under leases and is the last word on its own capacity. */
export type WorkerClient = {
	start(order: StartOrder): Promise<WorkerReply>;
	/** Renews the leases of all attempts named; the reply has one entry for each, in order. */
	renew(refs: TaskRef[], leaseMs: number): Promise<WorkerReply[]>;
	/** Stops an attempt, after a checkpoint when asked. The reply confirms the end. */
	stop(ref: TaskRef, options: {isCheckpoint: boolean}): Promise<WorkerReply>;
	/** Sets the share of its processors that an attempt may use, from 0 to 1. */
	throttle(ref: TaskRef, share: number): Promise<WorkerReply>;
	/** Drops ended attempts whose ends have been recorded. */
	forget(refs: TaskRef[]): Promise<void>;
	/** Refuses older tokens of the shard from now on, and lists what runs. */
	seal(shard: number, fencingToken: number): Promise<WorkerSnapshot>;
	/** Lists what runs and what has ended. */
	list(): Promise<WorkerSnapshot>;
};
