/**
Advice on which workers may run a step, where a queue's policy asks for it.
*/

/** Permission to run tasks of a step on a worker. */
export type Ticket = {
	workerId: string;
	ticket: string;
};

/** What the advice service says of the workers that were named. */
export type Advice = {
	tickets: Ticket[];
	/** Tickets are valid for so long from the answer. */
	validMs: number;
};

/** Client of the advice service. Throws `refused` when too many calls wait, `peer-unavailable` without an answer. */
export type AdviceClient = {
	ask(stepId: string, workerIds: string[]): Promise<Advice>;
};
