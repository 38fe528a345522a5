/**
Operations on jobs that an entry offers to callers, independent of the protocol.
*/
import {type QueueConfig, type SiteConfig} from './site.ts';
import {type WorkflowSpec, type WorkflowState} from './workflows.ts';

/** Outcome of submitting a job. */
export enum SubmitOutcome {
	/** It is in the log. */
	Accepted = 'accepted',
	/** It is not in the log and never will be. */
	NotAccepted = 'not-accepted',
	/** It is not in the log, and no earlier attempt at any entry will bring it there: the service would not serve it. */
	Refused = 'refused',
	/** It may be in the log. */
	Unknown = 'unknown',
}

/** Reply to the submission of a job. */
export type SubmitReply = {
	outcome: SubmitOutcome;
	/** After a refusal: time until the caller should try again. */
	retryAfterMs?: number;
	reason?: string;
};

/** Outcome of a cancellation, or of a query that needs the latest state. */
export enum LookupOutcome {
	Found = 'found',
	/** The log was read to its end and has no such job. */
	Absent = 'absent',
	/** The log could not be read to its end in time. */
	Unknown = 'unknown',
}

/** Reply to a query of a job's state. */
export type StateReply = {
	outcome: LookupOutcome;
	state?: WorkflowState;
	/** Whether the job may have got further: the entry could not read the log to its end in time. */
	isOld?: boolean;
};

/** Operations on jobs for callers. */
export type JobApi = {
	getConfig(): SiteConfig | undefined;
	/** Resolves within `timeoutMs`. */
	submit(queue: QueueConfig, id: string, spec: WorkflowSpec, timeoutMs: number): Promise<SubmitReply>;
	getState(queue: QueueConfig, id: string, timeoutMs: number): Promise<StateReply>;
	/** Resolves to absent if there is no such job, and no attempt to submit it that is on its way will run. */
	cancel(queue: QueueConfig, id: string, timeoutMs: number): Promise<LookupOutcome>;
	/** Counts the accepted jobs of the queue that have started no task yet; undefined: no recent count is known within `timeoutMs`. */
	countPending(queue: QueueConfig, timeoutMs: number): Promise<number | undefined>;
};
