/**
`chervilworks guard`: runs the guard beside an upstream. The program starts it without loading the command line library.
*/
import process from 'node:process';
import {getMessage} from '../core/errors.ts';
import {loadSettings} from '../core/settings.ts';
import {createGuard} from '../plugins/guard.ts';
import {createLogger, enableLogs, LogNamespace} from '../utils/logger.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {createSystemClock} from '../utils/system-clock.ts';
import {runUntilSignal} from './run-until-signal.ts';

const log = createLogger(LogNamespace.Guard);

/** Runs a guard until a signal stops it; resolves to the exit code. */
export const runGuard = async (settingsFile: string | undefined): Promise<number> => {
	enableLogs();
	try {
		const guard = createGuard({settings: loadSettings(settingsFile), clock: createSystemClock(), random: createRandom()});
		await runUntilSignal(async () => {
			log('Guard listening on %s.', await guard.start());
		}, async () => {
			log('Draining.');
			await guard.stop();
		});
		return 0;
	} catch (error) {
		process.stderr.write(`${getMessage(error)}\n`);
		return 1;
	}
};
