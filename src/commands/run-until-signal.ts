/**
Runs a role until it is told to stop: the first signal is graceful, the second immediate.
*/
import process from 'node:process';
import {ExitCode} from './exit-codes.ts';

/** Starts, waits for SIGTERM or SIGINT, and stops. */
export const runUntilSignal = async (start: () => Promise<void>, stop: () => Promise<void>): Promise<void> => {
	const signalled = new Promise<void>(resolve => {
		let isStopping = false;
		const onSignal = () => {
			if (isStopping) {
				// The second signal asks for an immediate end.
				process.exit(ExitCode.Failed); // eslint-disable-line unicorn/no-process-exit
			}

			isStopping = true;
			resolve();
		};

		process.on('SIGTERM', onSignal);
		process.on('SIGINT', onSignal);
	});
	await start();
	await signalled;
	await stop();
};
