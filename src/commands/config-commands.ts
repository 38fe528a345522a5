/**
`chervilworks config …`: checks, publishes and shows the operators' configuration.
*/
import {readFileSync} from 'node:fs';
import {userInfo} from 'node:os';
import {Command, Option} from 'clipanion';
import {type ConfigFold} from '../core/config-fold.ts';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {ConfigVerdict, type ConfigResult, type SectionValues} from '../types/config.ts';
import {type PlatformLog} from '../types/platform.ts';
import {ExitCode, withExitCode} from './exit-codes.ts';

abstract class ConfigCommand extends Command {
	readonly settings = Option.String('--settings', {description: 'Settings in INI; names the platform log.'});
	readonly isJson = Option.Boolean('--json', false, {description: 'Print JSON.'});

	/** Runs the action with the platform log and the current configuration, read from the log. */
	protected async withConfig(action: (fold: ConfigFold, log: PlatformLog) => Promise<ExitCode | void>): Promise<ExitCode> {
		return withExitCode(this.context, async () => {
			const {loadSettings} = await import('../core/settings.ts');
			const {createLogClient} = await import('../plugins/log-client.ts');
			const {readConfig} = await import('../core/config-publisher.ts');
			const settings = loadSettings(this.settings);
			const log = createLogClient(settings.log.url, settings.log.timeoutMs);
			try {
				return await action(await readConfig(log), log);
			} finally {
				await log.stop();
			}
		});
	}

	protected async readText(file: string): Promise<Map<string, SectionValues>> {
		const {parseConfigText} = await import('../core/config-text.ts');
		const {sections, issues} = parseConfigText(readTextFile(file));
		if (issues.length > 0) {
			throw createError(ErrorCode.BadInput, {step: 'check config', peer: file, detail: issues.join('\n')});
		}

		return sections;
	}

	protected print(value: unknown, text: string): void {
		this.context.stdout.write(this.isJson ? `${JSON.stringify(value)}\n` : `${text}\n`);
	}
}

/** Checks a configuration file. */
export class ConfigCheckCommand extends ConfigCommand {
	static override readonly paths = [['config', 'check']];
	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Check a configuration file; nothing is published.',
		examples: [['Check a file', 'chervilworks config check services.ini']],
	});

	readonly file = Option.String({name: 'file'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const sections = await this.readText(this.file);
			this.print({isValid: true, sections: sections.size}, `${this.file} is valid: ${sections.size} sections.`);
		});
	}
}

/** Publishes a configuration file. */
export class ConfigPublishCommand extends ConfigCommand {
	static override readonly paths = [['config', 'publish']];
	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Publish a configuration file. Reports why a change was refused, and which concurrent change won.',
		details: `
			Only the sections that differ are published, each based on the record that last changed it.
			The command exits with 1 if a concurrent change won: read that change with \`config show\`, merge and publish again.
			With \`--restart\`, readers for which all earlier records have expired, and that found no snapshot, start from this file;
			readers that have a configuration ignore it.
		`,
		examples: [['Publish a file', 'chervilworks config publish services.ini --settings entry.ini']],
	});

	readonly file = Option.String({name: 'file'});
	readonly author = Option.String('--author', {description: 'Name of the author; by default the user name.'});
	readonly timeoutMs = Option.String('--timeout-ms', '10000', {description: 'Maximum time to wait until the change is accepted or refused.'});
	readonly isRestart = Option.Boolean('--restart', false, {description: 'Start from this file after all records have expired.'});

	async execute(): Promise<number> {
		return this.withConfig(async (fold, log) => {
			const sections = await this.readText(this.file);
			const {getChanges, publishChanges, publishRestart} = await import('../core/config-publisher.ts');
			const {createSystemClock} = await import('../utils/system-clock.ts');
			const {createRandom} = await import('../utils/seeded-random.ts');
			const random = createRandom();
			if (this.isRestart) {
				const offset = await publishRestart(log, sections, random.id());
				this.print({offset}, `Restart written at offset ${offset}.`);
				return ExitCode.Ok;
			}

			const changes = getChanges(fold, sections);
			if (Object.keys(changes).length === 0) {
				this.print({verdict: 'unchanged'}, 'Nothing to change.');
				return ExitCode.Ok;
			}

			const result = await publishChanges(changes, {
				log, clock: createSystemClock(), random, author: this.author ?? userInfo().username, timeoutMs: Number(this.timeoutMs),
			});
			this.print(result, formatResult(result));
			return result.verdict === ConfigVerdict.Accepted ? ExitCode.Ok : ExitCode.Failed;
		});
	}
}

/** Shows the current configuration. */
export class ConfigShowCommand extends ConfigCommand {
	static override readonly paths = [['config', 'show']];
	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Show the current configuration, and which region owns each service.',
		examples: [['Keep a copy', 'chervilworks config show --settings entry.ini > services.ini']],
	});

	async execute(): Promise<number> {
		return this.withConfig(async fold => {
			const {printConfigText} = await import('../core/config-text.ts');
			const owners = fold.owners.list();
			const sections = [...fold.sections.values()];
			const moving = owners
				.filter(({service, region}) => fold.sections.get(`service ${service}`)?.values?.region !== region)
				.map(({service, region}) => `; ${service} is still owned by ${region}\n`);
			this.print(
				{
					offset: fold.offset, digest: fold.getDigest(), sections, owners,
				},
				`; offset ${fold.offset}, digest ${fold.getDigest()}\n${moving.join('')}${printConfigText(sections)}`,
			);
		});
	}
}

/** Shows the last changes and their results. */
export class ConfigHistoryCommand extends ConfigCommand {
	static override readonly paths = [['config', 'history']];
	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Show the last changes with their authors and results.',
		examples: [['Last ten', 'chervilworks config history --last 10']],
	});

	readonly last = Option.String('--last', '20', {description: 'Number of changes to show.'});

	async execute(): Promise<number> {
		return this.withConfig(async fold => {
			const results = fold.getResults().slice(-Number(this.last));
			this.print({results}, results.map(result => formatResult(result)).join('\n'));
		});
	}
}

/** Shows what publishing a configuration file would change. */
export class ConfigDiffCommand extends ConfigCommand {
	static override readonly paths = [['config', 'diff']];
	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Show what publishing a configuration file would change. Exits with 0 whether or not it differs.',
		examples: [['Before publishing', 'chervilworks config diff services.ini']],
	});

	readonly file = Option.String({name: 'file'});

	async execute(): Promise<number> {
		return this.withConfig(async fold => {
			const {getChanges} = await import('../core/config-publisher.ts');
			const changes = getChanges(fold, await this.readText(this.file));
			const lines = Object.entries(changes).flatMap(([name, {values}]) => formatChange(name, fold.sections.get(name)?.values, values));
			this.print({changes}, lines.length === 0 ? 'No difference.' : lines.join('\n'));
		});
	}
}

const readTextFile = (file: string): string => {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw createError(ErrorCode.BadInput, {step: 'read config', peer: file, detail: getMessage(error)});
	}
};

const formatResult = ({id, author, offset, verdict, sections, reason, winnerId, winnerAuthor}: ConfigResult): string => {
	const parts = [`${offset}: change ${id} by ${author}: ${verdict} (${sections.join(', ')}).`];
	if (reason !== undefined) {
		parts.push(`${reason}.`);
	}

	if (winnerId !== undefined) {
		parts.push(`Conflicts with change ${winnerId} by ${winnerAuthor}.`);
	}

	return parts.join(' ');
};

const formatChange = (name: string, before: SectionValues | undefined, after: SectionValues | undefined): string[] => {
	const keys = new Set([...Object.keys(before ?? {}), ...Object.keys(after ?? {})]);
	const lines = [`${after ? (before ? ' ' : '+') : '-'} [${name}]`];
	for (const key of keys) {
		if (before?.[key] === after?.[key]) {
			continue;
		}

		if (before?.[key] !== undefined) {
			lines.push(`- ${key} = ${before[key]}`);
		}

		if (after?.[key] !== undefined) {
			lines.push(`+ ${key} = ${after[key]}`);
		}
	}

	return lines;
};
