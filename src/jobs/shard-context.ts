/**
Context that the owners of all shards of an entry share.
*/
import {type Clock} from '../types/clock.ts';
import {type Metrics} from '../types/metrics.ts';
import {type PlacementEngine} from '../types/placement.ts';
import {type CallLimiter} from './call-limiter.ts';
import {type JobWriter} from './job-writer.ts';
import {type LeaseManager, type LeaseTimes} from './lease-manager.ts';
import {type LiveTask} from './shard-task.ts';

/** Why an attempt ended before its task did. Values are labels of the counter of retries. */
export enum AttemptEndReason {
	Refused = 'refused',
	LeaseExpired = 'lapsed',
	UnknownToWorker = 'worker-forgot',
	Failed = 'failed',
	Evicted = 'evicted',
	NotStarted = 'not-started',
	NotOwner = 'not-owner',
	LogUnavailable = 'log-away',
}

/** Dependencies and state shared by all shards of an entry. */
export type ShardContext = {
	clock: Clock;
	metrics: Metrics;
	writer: JobWriter;
	engine: PlacementEngine;
	limiter: CallLimiter;
	/** All live tasks of the owned shards, by task id. */
	tasks: Map<string, LiveTask>;
	/** Live tasks that wait to be placed. */
	waiting: Set<LiveTask>;
	times: LeaseTimes;
	maxFailures: number;
	getLeaseManager(workerId: string): LeaseManager | undefined;
	/** Tells whether this entry may start tasks of the shard now. */
	mayStart(shard: number): boolean;
	getRegion(service: string | undefined): string | undefined;
	/** A worker reported a newer owner of the shard. */
	onSuperseded(shard: number, fencingToken: number): void;
};

/** One shard under one fencing token, with callbacks of its owner. */
export type ShardScope = {
	shard: number;
	fencingToken: number;
	isClosed(): boolean;
	/** Live tasks of the same job. */
	getSiblings(task: LiveTask): Iterable<LiveTask>;
	onClosed(task: LiveTask): void;
};
