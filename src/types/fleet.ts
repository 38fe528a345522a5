/**
Workers as their agents see them, and the messages between a service's owner and its agents.
*/
import {type EndedRun} from './workflows.ts';

/** Resources that a worker has for tasks, or has left. */
export type Capacity = {
	/** Processors in thousandths of a core. */
	milliCpu: number;
	memoryMb: number;
	accelerators: number;
};

/** A worker's announcement. */
export type WorkerReport = Capacity & {
	/** Identifies one incarnation of the worker. */
	workerId: string;
	service: string;
	failureDomain: string;
	isDraining: boolean;
	/** While the worker drains: minimum time until it ends. Undefined otherwise. */
	remainingMs?: number;
	/** How much longer it is slow after its start; undefined: not known, as from an agent of the previous version. */
	warmupRemainingMs?: number;
	labels: string[];
	/** Increases with each announcement of the incarnation. */
	sequence: number;
};

/** A running run in its worker's listing. */
export type RunningRow = {
	taskId: string;
	run: number;
	/** Latest checkpoint; empty: none. */
	checkpoint: string;
	/** Work done, 0 to 100. */
	percent: number;
	/** Measurement of the last half second: tail latency in ms for a latency-critical task, processors in use for any other. */
	recent: number;
};

/** An ended run that a worker lists until its agent confirms that the end is stored. */
export type EndedRow = EndedRun & {
	/** Increases by one with each end in an incarnation of the worker. */
	number: number;
};

/** Running and ended runs of a worker, as of `clockMs` on its own monotonic clock. */
export type WorkerListing = {
	workerId?: string;
	clockMs: number;
	running: RunningRow[];
	/** Ends in the order of their numbers. */
	ended: EndedRow[];
	/** Whether the worker may have more ends than it lists at a time; they follow once earlier ones are forgotten. */
	hasMoreEnds: boolean;
};

/** A run that was resident when its worker crashed. The agent reports it until an owner has stored it. */
export type CrashedRun = {
	/** Increases by one with each crashed run in an incarnation of the agent. */
	number: number;
	workerId: string;
	taskId: string;
	run: number;
	/** Time from its start until the worker stopped answering. */
	ageMs: number;
};

/** Whether each requested amount is available. */
export const isWithin = (requested: Capacity, available: Capacity): boolean =>
	requested.milliCpu <= available.milliCpu && requested.memoryMb <= available.memoryMb && requested.accelerators <= available.accelerators;

/** Why an order was refused; a refused order changed nothing, except where noted. */
export enum OrderRefusal {
	/** A newer owner is known. */
	StaleEpoch = 'stale-epoch',
	/** It arrived after `notAfterMs`. */
	Expired = 'expired',
	/** It was meant for another incarnation of the agent. */
	OtherAgentIncarnation = 'other-life',
	Draining = 'draining',
	/** Operators have requested the evacuation of the worker's failure domain. */
	Evacuated = 'evacuated',
	/** The agent has no proven lease with enough time left. */
	NoLease = 'no-lease',
	/** The worker is another incarnation than the one named, or there is none. */
	OtherWorkerIncarnation = 'other-worker',
	/** The worker has seen a higher fencing token. */
	StaleFence = 'fence',
	OldRun = 'old-run',
	StartTooLate = 'late',
	NoCapacity = 'no-room',
	/** The job runs on workers of another service. */
	OtherService = 'other-service',
	/** The worker's capacity is now smaller than the owner assumed. */
	CapacityReduced = 'shrunk',
	Ticket = 'ticket',
	Unhealthy = 'unhealthy',
	Invalid = 'invalid',
	/** The start carries no input, and the agent does not know that of the job. */
	InputUnknown = 'no-input',
	/** The worker did not answer; a start may still take effect until its lease expires. */
	Unanswered = 'unanswered',
}

/** A worker's answer to an order. */
export type WorkerAnswer = {
	isDone: boolean;
	refusal?: OrderRefusal;
	/** Reading of the worker's clock, if the answer had one. */
	clockMs?: number;
};

/** Start of one run, as sent to a worker. */
export type WorkerStart = {
	taskId: string;
	run: number;
	input: string;
	/** Checkpoint to resume from; empty: none. */
	checkpoint: string;
	/** Permission of the advice service to run here, where the queue needs one. */
	ticket?: string;
};

/** Start of one run, as sent to an agent. */
export type OrderedStart = Omit<WorkerStart, 'input'> & {
	/** Undefined: the agent keeps the input of the job from an earlier start. */
	input?: string;
	/** Service whose workers may run the job, sent with the input; undefined from an owner of the previous version. */
	service?: string;
};

/**
Calls to one worker. They throw `peer-unavailable` if there is no answer: the call may have been carried out, or may be later;
`peer-unreached` if the connection is refused, as no process listens there.
*/
export type WorkerClient = {
	start(workerId: string, start: WorkerStart, terms: {fence: number; leaseUntilMs: number}): Promise<WorkerAnswer>;
	stop(workerId: string, run: {taskId: string; run: number}, fence: number): Promise<WorkerAnswer>;
	throttle(workerId: string, run: {taskId: string; run: number; percent: number}, fence: number): Promise<WorkerAnswer>;
	/** Renews the lease of all running runs, drops ends up to `forgetUpTo`, and lists the runs; waits up to `waitMs` for a new end. */
	renew(workerId: string | undefined, terms: {
		fence: number; forgetUpTo: number; leaseUntilMs?: number; waitMs: number;
	}): Promise<WorkerListing | {refusal: OrderRefusal}>;
};

/** Kinds of orders. */
export enum OrderType {
	Start = 'start',
	Stop = 'stop',
	Throttle = 'pace',
}

/** An order from an owner to an agent. */
export type Order
	= | {type: OrderType.Start; start: OrderedStart}
		| {type: OrderType.Stop; taskId: string; run: number}
		| {type: OrderType.Throttle; taskId: string; run: number; percent: number};

/** Orders from one owner for one incarnation of a worker. */
export type OrdersRequest = {
	epoch: number;
	workerId: string;
	/** Incarnation of the agent that the orders are for. */
	agentLife: string;
	/** Reading of the agent's clock after which the orders must not be carried out. */
	notAfterMs: number;
	/** Newest registration of the agent that the owner knows; undefined from an owner of the previous version. */
	session?: number;
	/** Capacity that the owner assumed for the worker when it decided; undefined from an owner of the previous version. */
	capacity?: Capacity;
	orders: Order[];
};

/** Answers, one for each order. */
export type OrdersReply = {
	answers: WorkerAnswer[];
	/** Version of the agent's state that includes the effect of the orders. */
	version: number;
	/** Reading of the agent's clock when the orders arrived; undefined from an agent of the previous version. */
	receivedAtMs?: number;
};

/** Long poll of an owner: the agent replies with its state once that differs from the known version. */
export type WatchRequest = {
	epoch: number;
	agentLife: string;
	knownVersion: number;
	waitMs: number;
	/** Ends up to this number are stored in the log. */
	forget?: {workerId: string; upTo: number};
	/** Crashed runs up to this number of the agent's incarnation are stored in the log. */
	crashesStored: number;
	/** Whether the owner stores ends also of an agent that does not know all runs of its worker yet; undefined from an owner of the previous version. */
	storesUnlistedEnds?: boolean;
	/**
	Proof for the lease: a reading of the worker's clock after which the store still showed this owner as the newest and the
	agent's registration (`session`) as not declared lost.
	*/
	proof?: {workerId: string; clockMs: number; session: number};
};

/** State of an agent and of its worker. */
export type WatchReply = {
	/** Newest epoch known, if the request's epoch is older. */
	newerEpoch?: number;
	agentLife: string;
	/** Offset of the agent's registration in the store. */
	session: number;
	version: number;
	agentClockMs: number;
	worker?: WorkerReport;
	/** Latest reading of the worker's clock; 0: this process of the agent has not read it. */
	workerClockMs: number;
	/** End of the worker's lease, on the worker's clock. */
	leaseUntilMs: number;
	/** Whether this incarnation of the agent has listed the worker's runs, or knows that nothing runs on its host because it has no worker. */
	isListed: boolean;
	/** Whether the worker answered the last renewal. */
	isAnswering: boolean;
	/** The worker does not answer and all its leases have expired: nothing runs there. */
	isOver: boolean;
	running: RunningRow[];
	ended: EndedRow[];
	/** Starts with unknown outcome: they may still take effect. */
	starting: Array<{taskId: string; run: number}>;
	/** Runs that were resident when a worker crashed, and that no owner has reported as stored in the log. */
	crashed: CrashedRun[];
	/** Earlier incarnations of the worker: all their runs have ended. */
	goneWorkerIds: string[];
	/**
	Number of the worker's listings that this incarnation of the agent has applied; undefined if running runs may have ended, as the newest
	listing lacks some ends, and from an agent of the previous version.
	*/
	listings?: number;
	/** Whether the agent keeps inputs of jobs, so that further starts may leave them out; undefined from an agent of the previous version. */
	keepsInputs?: boolean;
};

/** What an agent that is told to stop leaves behind: from then on it renews no lease and carries out no start. */
export type AgentDeparture = {
	/** Longest time for which leases may still last, on the worker's clock. */
	leaseMs: number;
	/** Its last state; undefined: too large to be stored. */
	state?: WatchReply;
};

/** Registration of an agent in the store. */
export type AgentRegistration = {
	host: string;
	address: string;
	service: string;
	failureDomain: string;
	/** Offset of the host's first registration since all earlier leases had expired; undefined: this one. */
	firstSession?: number;
	/** Set once the agent has been told to stop. */
	departure?: AgentDeparture;
};
