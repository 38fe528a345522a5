/**
What the owners of all shards of an entry share.
*/
import {type Clock} from '../types/clock.ts';
import {type Metrics} from '../types/metrics.ts';
import {type PlacementEngine} from '../types/placement.ts';
import {type CallLimiter} from './job-limiter.ts';
import {type JobWriter} from './job-writer.ts';
import {type LeaseManager, type LeaseTimes} from './lease-keeper.ts';
import {type LiveTask} from './shard-task.ts';

/** Why an attempt was followed by another. One counter each. */
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

/** What a task is run with. */
export type ShardContext = {
	clock: Clock;
	metrics: Metrics;
	writer: JobWriter;
	engine: PlacementEngine;
	limiter: CallLimiter;
	/** All live tasks of the shards owned here. */
	tasks: Map<string, LiveTask>;
	/** Those that wait to be placed. */
	waiting: Set<LiveTask>;
	times: LeaseTimes;
	maxFailures: number;
	getLeaseManager(workerId: string): LeaseManager | undefined;
	/** Tells whether this entry may start tasks of the shard at this moment. */
	mayStart(shard: number): boolean;
	getRegion(service: string | undefined): string | undefined;
	/** A worker knows a newer owner of the shard. */
	onSuperseded(shard: number, fencingToken: number): void;
};

/** Whose tasks are run. */
export type ShardScope = {
	shard: number;
	fencingToken: number;
	isClosed(): boolean;
	/** Live tasks of the same job. */
	getSiblings(task: LiveTask): Iterable<LiveTask>;
	onClosed(task: LiveTask): void;
};
