/**
The platform's interfaces as far as the program relies on them: an append-only log and workers.
*/
import {type TaskClass} from './jobs.ts';

/** The program's streams in the platform's log. */
export enum Stream {
	Config = 'config',
	Entries = 'entries',
	Claims = 'claims',
	Jobs = 'jobs',
	Ownership = 'ownership',
}

/** One record as read back: its offset in the stream and the appended value. */
export type LogRecord = {
	offset: number;
	value: unknown;
};

/** Consecutive records of a stream. Records before `oldestOffset` were dropped; the next append gets `endOffset` or a later offset. */
export type LogPage = {
	records: LogRecord[];
	oldestOffset: number;
	endOffset: number;
};

/** How much to read, and how long to wait for a first record. */
export type LogReadOptions = {
	limit?: number;
	waitMs?: number;
	signal?: AbortSignal;
};

/** The platform's log. It has no conditional append, and the answer may be lost after an append took effect. */
export type PlatformLog = {
	/** Appends one record; resolves to its offset. After a rejection, it is unknown whether the record was appended. */
	append(stream: Stream, value: unknown, signal?: AbortSignal): Promise<number>;
	/** Reads records from the offset on, or from the oldest retained one if that is later. */
	read(stream: Stream, fromOffset: number, options?: LogReadOptions): Promise<LogPage>;
};

/** Amounts that a worker has or a task needs. */
export type Resources = {
	processors: number;
	memoryMb: number;
	accelerators: number;
};

/** States of a task as reported by its worker. */
export enum TaskState {
	Running = 'running',
	Succeeded = 'succeeded',
	Failed = 'failed',
	/** Stopped on request, with a checkpoint if one was requested. */
	Stopped = 'stopped',
	/** Stopped by the worker because its lease was not renewed in time. */
	LeaseExpired = 'lapsed',
}

/** Order to start one attempt of a task under a lease. */
export type StartOrder = {
	taskId: string;
	attempt: number;
	kind: string;
	taskClass: TaskClass;
	resources: Resources;
	leaseMs: number;
	/** Log offset of the shard owner's claim; a worker refuses lower tokens for the same shard. */
	fencingToken: number;
	shard: number;
	checkpointId?: string;
	input?: unknown;
	/** Latest reading of the worker's own monotonic clock at which the order may take effect; undefined: no limit. */
	notAfterMs?: number;
	/** Incarnation of the worker that the order is for; undefined: any. */
	workerIncarnation?: number;
};

/** Why a worker refused an order. */
export enum WorkerRefusal {
	NoRoom = 'no-room',
	StaleToken = 'stale-token',
	StaleAttempt = 'stale-attempt',
	UnknownTask = 'unknown-task',
	Draining = 'draining',
	/** The order arrived too late, or was meant for an earlier incarnation of the worker. */
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

/** Measured resource usage of one task. */
export type TaskUsage = {
	/** Time that the measurement applies to. */
	measuredAtMs: number;
	processors: number;
	memoryMb: number;
	/** Tail latency divided by its declared target, or run time divided by the run time without interference; 1: not slowed down. */
	slowdown: number;
};

/** Reference to one attempt of a task, with the fencing token of the shard owner that sends it. */
export type AttemptRef = {
	taskId: string;
	attempt: number;
	shard: number;
	fencingToken: number;
	/** As in `StartOrder`; a renewal that arrives later is refused. */
	notAfterMs?: number;
	workerIncarnation?: number;
};

/** All attempts that a worker runs, and all ended ones that it has not been asked to forget. */
export type WorkerSnapshot = {
	workerId: string;
	incarnation: number;
	capacity: Resources;
	tasks: TaskReport[];
	/** Reading of the worker's own monotonic clock when it answered. */
	clockMs?: number;
};

/** One worker. It runs tasks under leases and is authoritative for its own capacity. */
export type WorkerClient = {
	start(order: StartOrder): Promise<WorkerReply>;
	/** Renews the leases of the given attempts; the reply has one item for each, in the same order. */
	renew(refs: AttemptRef[], leaseMs: number): Promise<WorkerReply[]>;
	/** Stops an attempt, after a checkpoint if `isCheckpoint` is set. The reply confirms the end. */
	stop(ref: AttemptRef, options: {isCheckpoint: boolean}): Promise<WorkerReply>;
	/** Sets the share of its processors that an attempt may use, from 0 to 1. */
	throttle(ref: AttemptRef, share: number): Promise<WorkerReply>;
	/** Drops ended attempts whose ends have been recorded. */
	forget(refs: AttemptRef[]): Promise<void>;
	/** Makes the worker refuse lower tokens for the shard from now on, and lists its attempts. */
	seal(shard: number, fencingToken: number): Promise<WorkerSnapshot>;
	/** Lists running and ended attempts. */
	list(): Promise<WorkerSnapshot>;
};
