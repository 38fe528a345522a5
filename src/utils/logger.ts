/**
Diagnostic logs through `debug`, with a namespace for each part of the program.
*/
import process from 'node:process';
import createDebug from 'debug';

/** Namespaces of logs, one for each part of the program. */
export enum LogNamespace {
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

/** Writes one line to the log. */
export type Logger = (format: string, ...values: unknown[]) => void;

const prefix = 'chervilworks';

/** Creates the logger of a namespace; `DEBUG=chervilworks:*` enables all of them. */
export const createLogger = (namespace: LogNamespace): Logger => createDebug(`${prefix}:${namespace}`);

/** Enables the logs of all namespaces unless the environment variable `DEBUG` selects some. */
export const enableLogs = (): void => {
	if (!process.env.DEBUG) {
		createDebug.enable(`${prefix}:*`);
	}
};
