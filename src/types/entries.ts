/**
Registrations of entries, and the calls that an entry without access to the store relays to another one.
*/
import {type LookupOutcome, type StateReply, type SubmitReply} from './job-api.ts';
import {type WorkflowSpec} from './workflows.ts';

/** Registration of an entry in the store. */
export type EntryRegistration = {
	host: string;
	address: string;
};

/** Names a job to another entry; queue names are the same at all entries. */
export type RelayedJob = {
	queue: string;
	id: string;
};

/**
Calls to another entry. They throw `peer-unreached` if nothing was sent, and `peer-unavailable` if there is no answer: the call
may have been carried out, or may be later.
*/
export type EntryClient = {
	submit(address: string, job: RelayedJob & {spec: WorkflowSpec}, timeoutMs: number): Promise<SubmitReply>;
	getState(address: string, job: RelayedJob, timeoutMs: number): Promise<StateReply>;
	cancel(address: string, job: RelayedJob, timeoutMs: number): Promise<LookupOutcome>;
	countPending(address: string, queue: string, timeoutMs: number): Promise<number | undefined>;
};
