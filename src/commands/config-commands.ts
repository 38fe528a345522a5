/**
`chervilworks config …`: the operators' text.
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

	/** Runs the action with the log and the configuration read from it. */
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

/** Checks the operators' text. */
export class ConfigCheckCommand extends ConfigCommand {
	static override readonly paths = [['config', 'check']];
	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Check the operators\' text; nothing is published.',
		examples: [['Check a text', 'chervilworks config check services.ini']],
	});

	readonly file = Option.String({name: 'file'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const sections = await this.readText(this.file);
			this.print({isValid: true, sections: sections.size}, `${this.file} is valid: ${sections.size} sections.`);
		});
	}
}

/** Publishes the operators' text. */
export class ConfigPublishCommand extends ConfigCommand {
	static override readonly paths = [['config', 'publish']];
	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Publish the operators\' text. Tells who won a race, and why a change was refused.',
		details: `
			Only the sections that differ are published, each based on the record that last changed it.
			A change that lost a race exits with 1: read the winner with \`config show\`, merge and publish again.
			With \`--restart\`, the text becomes a new start for readers that found earlier records lapsed and no snapshot;
			readers that have a configuration ignore it.
		`,
		examples: [['Publish a text', 'chervilworks config publish services.ini --settings entry.ini']],
	});

	readonly file = Option.String({name: 'file'});
	readonly author = Option.String('--author', {description: 'Who publishes; by default the user.'});
	readonly timeoutMs = Option.String('--timeout-ms', '10000', {description: 'Longest wait for the verdict.'});
	readonly isRestart = Option.Boolean('--restart', false, {description: 'Start anew after all records lapsed.'});

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

/** Shows the text in force. */
export class ConfigShowCommand extends ConfigCommand {
	static override readonly paths = [['config', 'show']];
	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Show the text in force, and which region owns each service.',
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

/** Shows the last changes and what became of them. */
export class ConfigHistoryCommand extends ConfigCommand {
	static override readonly paths = [['config', 'history']];
	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Show the last changes, who made them, and what became of each.',
		examples: [['Last ten', 'chervilworks config history --last 10']],
	});

	readonly last = Option.String('--last', '20', {description: 'How many changes.'});

	async execute(): Promise<number> {
		return this.withConfig(async fold => {
			const results = fold.getResults().slice(-Number(this.last));
			this.print({results}, results.map(result => formatResult(result)).join('\n'));
		});
	}
}

/** Shows what publishing a text would change. */
export class ConfigDiffCommand extends ConfigCommand {
	static override readonly paths = [['config', 'diff']];
	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Show what publishing a text would change. Exits with 0 whether or not it differs.',
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
		parts.push(`Won by change ${winnerId} of ${winnerAuthor}.`);
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
