/**
`chervilworks demo`: an end-to-end demonstration in one process, over loopback.
*/
import {Command, Option} from 'clipanion';
import {ExitCode, withExitCode} from './exit-codes.ts';

/** Runs the demonstration. */
export class DemoCommand extends Command {
	static override readonly paths = [['demo']];
	static override readonly usage = Command.Usage({
		category: 'Trying out',
		description: 'Run entries, log, workers and upstreams in one process and send requests and jobs. Exits with 0 only if every guarantee held.',
		examples: [['A short run', 'chervilworks demo --requests 100 --jobs 5']],
	});

	readonly requests = Option.String('--requests', '400', {description: 'Requests for each user.'});
	readonly jobs = Option.String('--jobs', '20', {description: 'Jobs for each user.'});
	readonly isJson = Option.Boolean('--json', false, {description: 'Print JSON.'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const {runDemo} = await import('../standin/demo.ts');
			const report = await runDemo({requestCount: Number(this.requests), jobCount: Number(this.jobs)});
			this.context.stdout.write(this.isJson ? `${JSON.stringify(report)}\n` : `${report.lines.join('\n')}\n`);
			return report.isHeld ? ExitCode.Ok : ExitCode.Failed;
		});
	}
}
