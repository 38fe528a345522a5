/**
Runs a role until a signal stops it: the first signal stops it gracefully, the second at once.
*/
import process from 'node:process';
import {ExitCode} from './exit-codes.ts';

/** Starts a role, waits for SIGTERM or SIGINT, and stops it. */
export const runUntilSignal = async (start: () => Promise<void>, stop: () => Promise<void>): Promise<void> => {
	const signalReceived = new Promise<void>(resolve => {
		let isStopping = false;
		const onSignal = () => {
			if (isStopping) {
				// The second signal requests an immediate exit.
				process.exit(ExitCode.Failed); // eslint-disable-line unicorn/no-process-exit
			}

			isStopping = true;
			resolve();
		};

		process.on('SIGTERM', onSignal);
		process.on('SIGINT', onSignal);
	});
	await start();
	await signalReceived;
	await stop();
};
