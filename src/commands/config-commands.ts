/**
`chervilworks config …`: the operators' text.
*/
import {readFileSync} from 'node:fs';
import {userInfo} from 'node:os';
import {Command, Option} from 'clipanion';
import {getChanges, publishChanges, readConfig} from '../core/config-publisher.ts';
import {parseConfigText} from '../core/config-text.ts';
import {createError, ErrorCode} from '../core/errors.ts';
import {loadSettings} from '../core/settings.ts';
import {createLogClient} from '../plugins/log-client.ts';
import {ConfigVerdict} from '../types/config.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {createSystemClock} from '../utils/system-clock.ts';
import {ExitCode, withExitCode} from './exit-codes.ts';

/** Publishes the operators' text. */
export class ConfigPublishCommand extends Command {
	static override readonly paths = [['config', 'publish']];
	static override readonly usage = Command.Usage({
		description: 'Publish the operators\' text; tells who won a race.',
		examples: [['Publish a text', 'chervilworks config publish services.ini --settings entry.ini']],
	});

	readonly file = Option.String({name: 'file'});
	readonly settings = Option.String('--settings', {description: 'Settings in INI.'});
	readonly author = Option.String('--author', userInfo().username, {description: 'Who publishes.'});
	readonly timeoutMs = Option.String('--timeout-ms', '10000', {description: 'Longest wait for the verdict.'});
	readonly isJson = Option.Boolean('--json', false, {description: 'Print JSON.'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const {sections, mistakes} = parseConfigText(readFileSync(this.file, 'utf8'));
			if (mistakes.length > 0) {
				throw createError(ErrorCode.BadInput, {step: 'check config', peer: this.file, detail: mistakes.join('\n')});
			}

			const settings = loadSettings(this.settings);
			const log = createLogClient(settings.log.url, settings.log.timeoutMs);
			try {
				const changes = getChanges(await readConfig(log), sections);
				if (Object.keys(changes).length === 0) {
					this.context.stdout.write(this.isJson ? '{"verdict":"unchanged"}\n' : 'Nothing to change.\n');
					return ExitCode.Ok;
				}

				const result = await publishChanges(changes, {
					log, clock: createSystemClock(), random: createRandom(), author: this.author, timeoutMs: Number(this.timeoutMs),
				});
				const winner = result.winnerId === undefined ? '' : ` Winner: change ${result.winnerId} by ${result.winnerAuthor}.`;
				this.context.stdout.write(this.isJson
					? `${JSON.stringify(result)}\n`
					: `Change ${result.id}: ${result.verdict} at offset ${result.offset}. ${result.reason ?? ''}${winner}\n`);
				return result.verdict === ConfigVerdict.Accepted ? ExitCode.Ok : ExitCode.Failed;
			} finally {
				await log.stop();
			}
		});
	}
}
