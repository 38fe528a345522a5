/**
`chervilworks entry`: runs an entry host.
*/
import {Command, Option} from 'clipanion';
import {ServiceName} from '../types/services.ts';
import {withExitCode} from './exit-codes.ts';

/** Runs an entry host. */
export class EntryCommand extends Command {
	static override readonly paths = [['entry']];
	static override readonly usage = Command.Usage({
		category: 'Roles',
		description: 'Run an entry host, which serves callers and operators and schedules jobs.',
		details: 'On SIGTERM, the entry finishes requests in progress within the stop bound; a second SIGTERM ends it at once.',
		examples: [['Run with settings', 'chervilworks entry --settings settings/clydeside.ini']],
	});

	readonly settings = Option.String('--settings', {description: 'Settings in INI.'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			// Imported here, so that smaller roles of the same binary do not load it.
			const {createLogger, enableLogs, LogNamespace} = await import('../utils/logger.ts');
			const {loadSettings} = await import('../core/settings.ts');
			const {createEntry} = await import('../plugins/entry.ts');
			const {createRandom} = await import('../utils/seeded-random.ts');
			const {createSystemClock} = await import('../utils/system-clock.ts');
			const {runUntilSignal} = await import('./run-until-signal.ts');
			enableLogs();
			const log = createLogger(LogNamespace.Entry);
			const kernel = createEntry({settings: loadSettings(this.settings), clock: createSystemClock(), random: createRandom()});
			await runUntilSignal(async () => {
				await kernel.start();
				log('Serving callers on %s and control calls on %s.', kernel.get(ServiceName.Callers).getAddress(), kernel.get(ServiceName.Control).getAddress());
			}, async () => {
				log('Stopping.');
				await kernel.stop();
			});
		});
	}
}
