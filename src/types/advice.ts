/**
Advice on which workers may run a step, for queues whose policy requires it.
*/

/** Permission to run tasks of a step on a worker, passed to the worker with each start. */
export type Ticket = {
	workerId: string;
	ticket: string;
};

/** Answer of the advice service: a ticket for each of the workers asked about that may run the step. */
export type Advice = {
	tickets: Ticket[];
	/** Validity of the tickets from the time of the answer. */
	validMs: number;
};

/** Client of the advice service. Throws `refused` when too many calls wait, and `peer-unavailable` if there is no answer. */
export type AdviceClient = {
	ask(stepId: string, workerIds: string[]): Promise<Advice>;
};
