/**
`chervilworks settings`: prints the settings with their defaults.
*/
import {Command, Option} from 'clipanion';

/** Prints all settings as commented INI. */
export class SettingsCommand extends Command {
	static override readonly paths = [['settings']];
	static override readonly usage = Command.Usage({
		category: 'Roles',
		description: 'Print all settings with their defaults, ranges and descriptions.',
		examples: [['Start a settings file', 'chervilworks settings > entry.ini']],
	});

	readonly isPage = Option.Boolean('--page', false, {description: 'Print a page in Markdown.'});

	async execute(): Promise<void> {
		const {printSettings, printSettingsPage} = await import('../core/settings.ts');
		this.context.stdout.write(this.isPage ? printSettingsPage() : printSettings());
	}
}
