/**
Reads the logs of the entries of a site and tells where the time of jobs went: on average by queue, by second, and for the
worst jobs in full. On-call engineers have the same logs.
*/
import {parseTaskId} from '../types/workflows.ts';
import {Fields} from '../utils/fields.ts';

/** One line of log. */
export type LogLine = {
	atMs: number;
	process: string;
	event: string;
	fields: Fields;
};

/** What befell one job. */
export type JobStory = {
	id: string;
	queue: string;
	takenAtMs: number;
	/** From its first record to the owner's notice. */
	acceptedAfterMs: number;
	firstStartAtMs?: number;
	overAtMs?: number;
	end?: string;
	tookMs?: number;
	allowedMs?: number;
	coreMs: number;
	/** Sums over its tasks. */
	waitedMs: number;
	ranMs: number;
	/** Time of runs that ended in no success, by how they ended. */
	wastedMs: Map<string, number>;
	starts: number;
	events: string[];
};

/** All that was read. */
export type DayStory = {
	jobs: Map<string, JobStory>;
	/** Waiting tasks by second and reason. */
	waits: Array<{atMs: number; reasons: Record<string, number>; fillingMilliCpu: number; spareMilliCpu: number}>;
	/** Answers to callers by status. */
	answers: Map<string, number>;
};

type Open = {startedAtMs: number; host: string};

const maxEvents = 60;

/** Parses a line; the JSON may stand behind a prefix. Undefined: it is none of the program's. */
export const parseLogLine = (line: string): LogLine | undefined => {
	const from = line.indexOf('{"level"');
	if (from === -1) {
		return undefined;
	}

	try {
		const fields = new Fields(JSON.parse(line.slice(from)), 'read log line');
		return {
			atMs: fields.number('time'), process: fields.string('process', ''), event: fields.string('msg'), fields,
		};
	} catch {
		// A line that was cut off tells nothing.
		return undefined;
	}
};

/** Follows the lines of all entries, in the order of time. */
export const readDay = (lines: Iterable<LogLine>): DayStory => {
	const day: DayStory = {jobs: new Map(), waits: [], answers: new Map()};
	const open = new Map<string, Open>();
	for (const line of [...lines].toSorted((a, b) => a.atMs - b.atMs)) {
		readLine(day, open, line);
	}

	return day;
};

const readLine = (day: DayStory, open: Map<string, Open>, {atMs, event, fields}: LogLine): void => {
	switch (event) {
		case 'job taken': {
			takeJob(day, atMs, fields);
			break;
		}

		case 'start': {
			noteStart(day, open, atMs, fields);
			break;
		}

		case 'run ended':
		case 'run lost': {
			noteEnd(day, open, {atMs, event, fields});
			break;
		}

		case 'run moved': {
			noteEvent(getJob(day, fields), atMs, `${fields.string('taskId')} moved from ${fields.string('host')} at ${fields.number('percent', 0)}%`);
			break;
		}

		case 'job over': {
			const job = day.jobs.get(fields.string('id'));
			if (job) {
				Object.assign(job, {
					overAtMs: atMs, end: fields.string('end'), tookMs: fields.number('tookMs'), allowedMs: fields.number('allowedMs'), coreMs: fields.number('coreMs', 0),
				});
				noteEvent(job, atMs, `over: ${job.end} after ${job.tookMs} ms of ${job.allowedMs} allowed`);
			}

			break;
		}

		case 'tasks wait': {
			const reasons = fields.fields('waits');
			day.waits.push({
				atMs, reasons: reasons.toNumbers(), fillingMilliCpu: fields.number('fillingMilliCpu', 0), spareMilliCpu: fields.number('spareMilliCpu', 0),
			});
			break;
		}

		case 'answered': {
			const key = `${fields.string('method', '')} ${fields.number('status', 0)}`;
			day.answers.set(key, (day.answers.get(key) ?? 0) + 1);
			break;
		}

		default:
	}
};

const takeJob = (day: DayStory, atMs: number, fields: Fields): void => {
	const id = fields.string('id');
	if (!day.jobs.has(id)) {
		day.jobs.set(id, {
			id, queue: fields.string('queue'), takenAtMs: atMs, acceptedAfterMs: fields.number('ageMs', 0), coreMs: 0, waitedMs: 0, ranMs: 0, wastedMs: new Map(), starts: 0, events: [`steps ${fields.nonNegativeIntegers('steps').join(', ')}`],
		});
	}
};

const getJob = (day: DayStory, fields: Fields): JobStory | undefined => day.jobs.get(parseTaskId(fields.string('taskId'))?.workflowId ?? '');

const noteStart = (day: DayStory, open: Map<string, Open>, atMs: number, fields: Fields): void => {
	const job = getJob(day, fields);
	if (!job) {
		return;
	}

	const host = fields.string('host');
	const waitedMs = fields.number('waitedMs', 0);
	open.set(getRunKey(fields), {startedAtMs: atMs, host});
	job.firstStartAtMs ??= atMs;
	job.starts++;
	job.waitedMs += waitedMs;
	noteEvent(job, atMs, `${fields.string('taskId')} run ${fields.number('run')} on ${host} after ${waitedMs} ms`);
};

const noteEnd = (day: DayStory, open: Map<string, Open>, {atMs, event, fields}: {atMs: number; event: string; fields: Fields}): void => {
	const job = getJob(day, fields);
	const run = open.get(getRunKey(fields));
	if (!job || !run) {
		return;
	}

	open.delete(getRunKey(fields));
	const ranMs = atMs - run.startedAtMs;
	const end = event === 'run lost' ? `lost, ${fields.string('reason')}` : fields.string('end');
	if (end === 'done') {
		job.ranMs += ranMs;
	} else {
		job.wastedMs.set(end, (job.wastedMs.get(end) ?? 0) + ranMs);
	}

	noteEvent(job, atMs, `${fields.string('taskId')} run ${fields.number('run')} ${end} after ${ranMs} ms`);
};

const getRunKey = (fields: Fields): string => `${fields.string('taskId')} ${fields.number('run')}`;

const noteEvent = (job: JobStory | undefined, atMs: number, text: string): void => {
	if (job && job.events.length < maxEvents) {
		job.events.push(`+${((atMs - job.takenAtMs) / 1000).toFixed(2)} s ${text}`);
	}
};
