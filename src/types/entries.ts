/**
Registrations of entries, and the calls between them: those that an entry without access to the store relays, and those that a busy
one forwards.
*/
import {type LookupOutcome, type StateReply, type SubmitReply} from './job-api.ts';
import {type WorkflowSpec} from './workflows.ts';

/** Registration of an entry in the store. */
export type EntryRegistration = {
	host: string;
	address: string;
	/** Failure domain and size; undefined if a process of an earlier version registered. */
	failureDomain?: string;
	processors?: number;
	linkMbps?: number;
};

/** How busy an entry is, as it reports to others. */
export type EntryLoad = {
	/** Share of time that its thread waits for the processor. */
	lateShare: number;
	/** Share of its link in use; undefined: its limit is not known. */
	linkShare?: number;
	/** Calls of its callers that it has not answered yet. */
	openCalls: number;
	/** Time since its view of the jobs was complete; undefined: it never was. */
	stalenessMs?: number;
	/** Whether its last call to the store failed. */
	isStoreFailing?: boolean;
	/** Whether it accepts callers. */
	isReady: boolean;
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

/** Answer to a call that was forwarded. */
export type ForwardedReply<Reply> = {
	/** Undefined: the entry refused the call and has done nothing. */
	reply?: Reply;
	/** Undefined: the entry reports no load. */
	load?: EntryLoad;
};

/** Calls that a busy entry forwards to another one; errors as for `EntryClient`. */
export type ForwardClient = {
	submit(address: string, job: RelayedJob & {spec: WorkflowSpec}, timeoutMs: number): Promise<ForwardedReply<SubmitReply>>;
	getState(address: string, job: RelayedJob, timeoutMs: number): Promise<ForwardedReply<StateReply>>;
	cancel(address: string, job: RelayedJob, timeoutMs: number): Promise<ForwardedReply<LookupOutcome>>;
	countPending(address: string, queue: string, timeoutMs: number): Promise<ForwardedReply<number | undefined>>;
	/** Asks for the load alone. */
	getLoad(address: string, timeoutMs: number): Promise<EntryLoad | undefined>;
};
