/**
`chervilworks job …`: submits, shows, lists and cancels jobs.
*/
import {readFileSync} from 'node:fs';
import {Command, Option} from 'clipanion';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {JobState, type JobStatus} from '../types/jobs.ts';
import {ExitCode, withExitCode} from './exit-codes.ts';
import {formatTable, OperatorCommand} from './operator-command.ts';

abstract class JobCommand extends OperatorCommand {
	protected printJob(status: JobStatus): ExitCode {
		const {jobId, state, reason, tasks} = status;
		const rows = tasks.map(({taskId, attempt, state: taskState = 'waiting', workerId = '', evictions}) =>
			[taskId, taskState, String(attempt), workerId, String(evictions)]);
		const title = `Job ${jobId}: ${state}.${reason === undefined ? '' : ` ${reason}`}`;
		this.print(status, `${title}\n${formatTable(['task', 'state', 'attempt', 'worker', 'evictions'], rows)}`);
		return state === JobState.Failed || state === JobState.Unplaceable ? ExitCode.Failed : ExitCode.Ok;
	}
}

/** Submits a job from a JSON file. */
export class JobSubmitCommand extends JobCommand {
	static override readonly paths = [['job', 'submit']];
	static override readonly usage = Command.Usage({
		category: 'Jobs',
		description: 'Submit a job. A second submission with the same id creates no second job, so a submission whose response was lost may be repeated.',
		examples: [['Submit a file', 'chervilworks job submit rebuild.json']],
	});

	readonly file = Option.String({name: 'file'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () =>
			this.printJob(await this.ask<JobStatus>('POST', '/v1/jobs', 'submit job', readJson(this.file))));
	}
}

/** Shows a job. */
export class JobStatusCommand extends JobCommand {
	static override readonly paths = [['job', 'status']];
	static override readonly usage = Command.Usage({
		category: 'Jobs',
		description: 'Show a job, its tasks and, with --json, its results. Exits with 1 for a job that failed or cannot be placed.',
		examples: [['Show a job', 'chervilworks job status rebuild-7 --json']],
	});

	readonly id = Option.String({name: 'id'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () =>
			this.printJob(await this.ask<JobStatus>('GET', `/v1/jobs/${encodeURIComponent(this.id)}`, 'get job')));
	}
}

/** Cancels a job. */
export class JobCancelCommand extends JobCommand {
	static override readonly paths = [['job', 'cancel']];
	static override readonly usage = Command.Usage({
		category: 'Jobs',
		description: 'Cancel a job. Its running tasks are stopped.',
		examples: [['Cancel a job', 'chervilworks job cancel rebuild-7']],
	});

	readonly id = Option.String({name: 'id'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () =>
			this.printJob(await this.ask<JobStatus>('POST', `/v1/jobs/${encodeURIComponent(this.id)}/cancel`, 'cancel job')));
	}
}

/** Lists jobs. */
export class JobListCommand extends JobCommand {
	static override readonly paths = [['job', 'list']];
	static override readonly usage = Command.Usage({
		category: 'Jobs',
		description: 'List jobs.',
		examples: [['List jobs', 'chervilworks job list']],
	});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const reply = await this.ask<{jobs: JobStatus[]}>('GET', '/v1/jobs', 'list jobs');
			const rows = reply.jobs.map(({jobId, state, tasks, reason = ''}) => [jobId, state, String(tasks.length), reason]);
			this.print(reply, formatTable(['job', 'state', 'tasks', 'reason'], rows));
		});
	}
}

const readJson = (file: string): unknown => {
	try {
		return JSON.parse(readFileSync(file, 'utf8')) as unknown;
	} catch (error) {
		throw createError(ErrorCode.BadInput, {step: 'read job', peer: file, detail: getMessage(error)});
	}
};
