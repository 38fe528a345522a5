/**
What stand-in hosts tell an observer, as lines of JSON on stdout when they run as processes.
*/

/** Kinds of events. */
export enum HostEventType {
	Listening = 'listening',
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
	tryId?: string;
	taskId?: string;
	attempt?: number;
};

/** Takes events. */
export type HostObserver = (event: HostEvent) => void;

/** Header by which an observer recognises one try of a request. */
export const tryHeader = 'try-id';
