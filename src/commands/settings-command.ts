/**
`chervilworks settings`: prints the settings with their defaults.
*/
import {Command} from 'clipanion';

/** Prints all settings as commented INI. */
export class SettingsCommand extends Command {
	static override readonly paths = [['settings']];
	static override readonly usage = Command.Usage({
		category: 'Roles',
		description: 'Print all settings with defaults, ranges and meanings.',
		examples: [['Start a settings file', 'chervilworks settings > entry.ini']],
	});

	async execute(): Promise<void> {
		const {printSettings} = await import('../core/settings.ts');
		this.context.stdout.write(printSettings());
	}
}
