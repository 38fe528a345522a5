/**
Usage of `chervilworks guard` for the help of the command line.
*/
import {Command, Option} from 'clipanion';

/** Runs the guard beside an upstream. */
export class GuardCommand extends Command {
	static override readonly paths = [['guard']];
	static override readonly usage = Command.Usage({
		description: 'Run the guard beside an upstream.',
		examples: [['Run with settings', 'chervilworks guard --settings settings/guard.ini']],
	});

	readonly settings = Option.String('--settings', {description: 'Settings in INI.'});

	async execute(): Promise<number> {
		const {runGuard} = await import('./guard-command.ts');
		return runGuard(this.settings);
	}
}
