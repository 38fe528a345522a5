/**
`chervilworks entry`: runs an entry host.
*/
import {Command, Option} from 'clipanion';
import {loadSettings} from '../core/settings.ts';
import {createEntry} from '../plugins/entry.ts';
import {ServiceName} from '../types/services.ts';
import {createLogger, enableLogs, Part} from '../utils/logger.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {createSystemClock} from '../utils/system-clock.ts';
import {withExitCode} from './exit-codes.ts';
import {runUntilSignal} from './run-until-signal.ts';

const log = createLogger(Part.Entry);

/** Runs an entry host. */
export class EntryCommand extends Command {
	static override readonly paths = [['entry']];
	static override readonly usage = Command.Usage({
		description: 'Run an entry host: callers, operators and scheduling.',
		examples: [['Run with settings', 'chervilworks entry --settings settings/clydeside.ini']],
	});

	readonly settings = Option.String('--settings', {description: 'Settings in INI.'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			enableLogs();
			const kernel = createEntry({settings: loadSettings(this.settings), clock: createSystemClock(), random: createRandom()});
			await runUntilSignal(async () => {
				await kernel.start();
				log('Callers on %s, control on %s.', kernel.get(ServiceName.Callers).getAddress(), kernel.get(ServiceName.Control).getAddress());
			}, async () => {
				log('Stopping.');
				await kernel.stop();
			});
		});
	}
}
