/**
What callers may ask of an entry about jobs, free of any wire.
*/
import {type QueueConfig, type SiteConfig} from './site.ts';
import {type WorkflowSpec, type WorkflowState} from './workflows.ts';

/** What became of a job that was handed in. */
export enum SubmitOutcome {
	/** It is in the log. */
	Accepted = 'accepted',
	/** It is not in the log and never will be. */
	NotAccepted = 'not-accepted',
	/** It may be in the log. */
	Unknown = 'unknown',
}

/** Answer to a job that was handed in. */
export type SubmitReply = {
	outcome: SubmitOutcome;
	/** When to come back after a refusal. */
	retryAfterMs?: number;
	reason?: string;
};

/** What became of a cancellation, and of a question that needs the newest state. */
export enum LookupOutcome {
	Found = 'found',
	/** Proven: the log has no such job. */
	Absent = 'absent',
	/** The log could not be read to its end in time. */
	Unknown = 'unknown',
}

/** Jobs as an entry offers them to callers. */
export type JobApi = {
	getConfig(): SiteConfig | undefined;
	/** Resolves within the time given. */
	submit(queue: QueueConfig, id: string, spec: WorkflowSpec, timeoutMs: number): Promise<SubmitReply>;
	getState(queue: QueueConfig, id: string, timeoutMs: number): Promise<{outcome: LookupOutcome; state?: WorkflowState}>;
	cancel(queue: QueueConfig, id: string, timeoutMs: number): Promise<LookupOutcome>;
	/** Accepted jobs of the queue of which no task has started. */
	countPending(queue: QueueConfig): number;
};
