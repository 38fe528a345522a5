/**
Entries as they know each other, and what one may ask of another that reaches the store.
*/
import {type LookupOutcome, type SubmitReply} from './job-api.ts';
import {type WorkflowSpec, type WorkflowState} from './workflows.ts';

/** Registration of an entry in the store. */
export type EntryRegistration = {
	host: string;
	address: string;
};

/** A job at another entry; queues have one name everywhere. */
export type RelayedJob = {
	queue: string;
	id: string;
};

/** State of a job, as far as an entry knows it. */
export type StateReply = {
	outcome: LookupOutcome;
	state?: WorkflowState;
};

/** Calls to another entry. Throw `peer-unavailable` without an answer: the call may have been done, or may be done later; `peer-unreached` if nothing was sent. */
export type EntryClient = {
	submit(address: string, job: RelayedJob & {spec: WorkflowSpec}, timeoutMs: number): Promise<SubmitReply>;
	getState(address: string, job: RelayedJob, timeoutMs: number): Promise<StateReply>;
	cancel(address: string, job: RelayedJob, timeoutMs: number): Promise<LookupOutcome>;
};
