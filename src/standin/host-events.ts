/**
Events that stand-in hosts report to an observer. Hosts that run as processes write them to stdout as lines of JSON.
*/

/** Kinds of events. */
export enum HostEventType {
	Listening = 'listening',
	/** An upstream started to run a request. */
	Ran = 'ran',
	Leaving = 'leaving',
	TaskStarted = 'task-started',
	TaskEnded = 'task-ended',
}

/** One event of a stand-in host. */
export type HostEvent = {
	type: HostEventType;
	hostId: string;
	atMs: number;
	address?: string;
	/** Id of the attempt of a request, for `Ran`. */
	tryId?: string;
	taskId?: string;
	attempt?: number;
};

/** Receives events. */
export type HostObserver = (event: HostEvent) => void;

/** Header with the id of one attempt of a request; the events of an upstream refer to it. */
export const attemptIdHeader = 'try-id';
