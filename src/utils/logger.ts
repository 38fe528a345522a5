/**
Logs: short sentences, a fixed prefix for each part.
*/
import process from 'node:process';
import createDebug from 'debug';

/** Parts of the program that log. */
export enum Part {
	Kernel = 'kernel',
	Entry = 'entry',
	Config = 'config',
	Moves = 'moves',
	Membership = 'membership',
	Peers = 'peers',
	Slots = 'slots',
	Callers = 'callers',
	Claims = 'claims',
	Jobs = 'jobs',
	Ownership = 'ownership',
	Placement = 'placement',
	Guard = 'guard',
	Log = 'log',
	Standin = 'standin',
	Measure = 'measure',
}

/** Writes one line of log. */
export type Logger = (format: string, ...values: unknown[]) => void;

const prefix = 'chervilworks';

/** Creates the logger of a part; `DEBUG=chervilworks:*` shows all of them. */
export const createLogger = (part: Part): Logger => createDebug(`${prefix}:${part}`);

/** Shows the logs of all parts unless the environment chose some. */
export const enableLogs = (): void => {
	if (!process.env.DEBUG) {
		createDebug.enable(`${prefix}:*`);
	}
};
