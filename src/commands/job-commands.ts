/**
`chervilworks job …`: submits jobs and asks for them.
*/
import {readFileSync} from 'node:fs';
import {Command, Option} from 'clipanion';
import {type JobStatus} from '../types/jobs.ts';
import {callJson} from '../utils/http-client.ts';
import {withExitCode} from './exit-codes.ts';

const timeoutMs = 5000;

abstract class JobCommand extends Command {
	readonly entry = Option.String('--entry', '127.0.0.1:7081', {description: 'Control address of an entry.'});
	readonly isJson = Option.Boolean('--json', false, {description: 'Print JSON.'});

	protected print(status: JobStatus): void {
		const {jobId, state, reason = '', tasks} = status;
		this.context.stdout.write(this.isJson ? `${JSON.stringify(status)}\n` : `Job ${jobId}: ${state}, ${tasks.length} tasks. ${reason}\n`);
	}
}

/** Submits a job from a JSON file. */
export class JobSubmitCommand extends JobCommand {
	static override readonly paths = [['job', 'submit']];
	static override readonly usage = Command.Usage({
		description: 'Submit a job; the same id twice is one job.',
		examples: [['Submit a file', 'chervilworks job submit rebuild.json']],
	});

	readonly file = Option.String({name: 'file'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const body = JSON.parse(readFileSync(this.file, 'utf8')) as unknown;
			this.print(await callJson<JobStatus>({
				method: 'POST', url: `http://${this.entry}/v1/jobs`, body, timeoutMs, step: 'submit job',
			}));
		});
	}
}

/** Shows a job. */
export class JobStatusCommand extends JobCommand {
	static override readonly paths = [['job', 'status']];
	static override readonly usage = Command.Usage({
		description: 'Show a job, its tasks and its results.',
		examples: [['Show a job', 'chervilworks job status rebuild-7 --json']],
	});

	readonly id = Option.String({name: 'id'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			this.print(await callJson<JobStatus>({
				method: 'GET', url: `http://${this.entry}/v1/jobs/${encodeURIComponent(this.id)}`, timeoutMs, step: 'get job',
			}));
		});
	}
}
