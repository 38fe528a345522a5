/**
Reads the logs of the entries of a site and reconstructs how jobs spent their time: waits, runs and their ends. It uses only
log lines, which on-call engineers have too.
*/
import {parseTaskId} from '../types/workflows.ts';
import {Fields} from '../utils/fields.ts';

/** One parsed log line. */
export type LogLine = {
	atMs: number;
	process: string;
	event: string;
	fields: Fields;
};

/** Times and events of one job. */
export type JobTimeline = {
	id: string;
	queue: string;
	acceptedAtMs: number;
	/** Time from its first record until the owner logged it as accepted. */
	acceptedAfterMs: number;
	firstStartAtMs?: number;
	finishedAtMs?: number;
	end?: string;
	tookMs?: number;
	allowedMs?: number;
	coreMs: number;
	/** Sum over all starts of its tasks. */
	waitedMs: number;
	ranMs: number;
	/** Time of unsuccessful runs, by how they ended. */
	wastedMs: Map<string, number>;
	starts: number;
	/** Number of tasks of each step. */
	steps: number[];
	/** Entry that answered its submission first, and the failure domain of that entry; undefined: no entry's log has the answer. */
	entry?: string;
	failureDomain?: string;
	/** Longest wait before a start, by step: steps follow each other. */
	stepWaitMs: Map<number, number>;
	/** When the last run that succeeded ended. */
	lastSuccessAtMs?: number;
	events: string[];
};

/** Timelines of all jobs of a day, with waiting tasks and answers. */
export type DayTimeline = {
	jobs: Map<string, JobTimeline>;
	/** Waiting tasks by reason, each time they were logged. */
	waits: Array<{atMs: number; reasons: Record<string, number>; fillingMilliCpu: number; spareMilliCpu: number}>;
	/** Answers to callers by status. */
	answers: Map<string, number>;
	/** Refused submissions by job: the entry that refused first, and why. */
	refusals: Map<string, {queue: string; entry: string; failureDomain?: string; reason: string}>;
	/** Failure domains of entries. */
	failureDomains: Map<string, string>;
};

type OpenRun = {startedAtMs: number; host: string};

const maxEvents = 60;

/** Parses a line; the JSON may follow a prefix. Undefined for a truncated line or one that the program did not log. */
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
		// The line is truncated.
		return undefined;
	}
};

/** Builds the timelines from the lines of all entries, in order of time. */
export const createDayTimeline = (lines: Iterable<LogLine>): DayTimeline => {
	const day: DayTimeline = {
		jobs: new Map(), waits: [], answers: new Map(), refusals: new Map(), failureDomains: new Map(),
	};
	const accepted = new Map<string, string>();
	const openRuns = new Map<string, OpenRun>();
	for (const line of [...lines].toSorted((a, b) => a.atMs - b.atMs)) {
		readLine(day, openRuns, line);
		readSubmission(day, accepted, line);
	}

	for (const [id, entry] of accepted) {
		const job = day.jobs.get(id);
		if (job) {
			Object.assign(job, {entry, failureDomain: day.failureDomains.get(entry)});
		}
	}

	return day;
};

const readLine = (day: DayTimeline, openRuns: Map<string, OpenRun>, {atMs, event, fields}: LogLine): void => {
	switch (event) {
		case 'job taken': {
			addJob(day, atMs, fields);
			break;
		}

		case 'start': {
			recordStart(day, openRuns, atMs, fields);
			break;
		}

		case 'run ended':
		case 'run lost': {
			recordEnd(day, openRuns, {atMs, event, fields});
			break;
		}

		case 'run moved': {
			addEvent(getJob(day, fields), atMs, `${fields.string('taskId')} moved from ${fields.string('host')} at ${fields.number('percent', 0)}%`);
			break;
		}

		case 'job over': {
			const job = day.jobs.get(fields.string('id'));
			if (job) {
				Object.assign(job, {
					finishedAtMs: atMs, end: fields.string('end'), tookMs: fields.number('tookMs'), allowedMs: fields.number('allowedMs'), coreMs: fields.number('coreMs', 0),
				});
				addEvent(job, atMs, `over: ${job.end} after ${job.tookMs} ms of ${job.allowedMs} allowed`);
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

/** Records which entry accepted or refused a job first. */
const readSubmission = (day: DayTimeline, accepted: Map<string, string>, {process, event, fields}: LogLine): void => {
	if (event === 'started' && fields.has('failureDomain')) {
		day.failureDomains.set(process, fields.string('failureDomain'));
	}

	const id = event === 'answered' && fields.string('method', '') === 'POST' ? fields.string('id', '') : '';
	if (id === '') {
		return;
	}

	const status = fields.number('status', 0);
	if (status === 200) {
		accepted.set(id, accepted.get(id) ?? process);
	} else if (!day.refusals.has(id)) {
		day.refusals.set(id, {
			queue: fields.string('queue', ''), entry: process, failureDomain: day.failureDomains.get(process), reason: `${status} ${fields.string('reason', '')}`,
		});
	}
};

const addJob = (day: DayTimeline, atMs: number, fields: Fields): void => {
	const id = fields.string('id');
	const steps = fields.nonNegativeIntegers('steps');
	if (!day.jobs.has(id)) {
		day.jobs.set(id, {
			id, queue: fields.string('queue'), acceptedAtMs: atMs, acceptedAfterMs: fields.number('ageMs', 0), coreMs: 0, waitedMs: 0, ranMs: 0, wastedMs: new Map(), starts: 0, steps, stepWaitMs: new Map(), events: [`steps ${steps.join(', ')}`],
		});
	}
};

const getJob = (day: DayTimeline, fields: Fields): JobTimeline | undefined => day.jobs.get(parseTaskId(fields.string('taskId'))?.workflowId ?? '');

const recordStart = (day: DayTimeline, openRuns: Map<string, OpenRun>, atMs: number, fields: Fields): void => {
	const job = getJob(day, fields);
	if (!job) {
		return;
	}

	const host = fields.string('host');
	const waitedMs = fields.number('waitedMs', 0);
	openRuns.set(getRunKey(fields), {startedAtMs: atMs, host});
	job.firstStartAtMs ??= atMs;
	job.starts++;
	job.waitedMs += waitedMs;
	const {step} = parseTaskId(fields.string('taskId'))!;
	job.stepWaitMs.set(step, Math.max(waitedMs, job.stepWaitMs.get(step) ?? 0));
	addEvent(job, atMs, `${fields.string('taskId')} run ${fields.number('run')} on ${host} after ${waitedMs} ms`);
};

const recordEnd = (day: DayTimeline, openRuns: Map<string, OpenRun>, {atMs, event, fields}: {atMs: number; event: string; fields: Fields}): void => {
	const job = getJob(day, fields);
	const run = openRuns.get(getRunKey(fields));
	if (!job || !run) {
		return;
	}

	openRuns.delete(getRunKey(fields));
	const ranMs = atMs - run.startedAtMs;
	const end = event === 'run lost' ? `lost, ${fields.string('reason')}` : fields.string('end');
	if (end === 'done') {
		job.ranMs += ranMs;
		job.lastSuccessAtMs = atMs;
	} else {
		job.wastedMs.set(end, (job.wastedMs.get(end) ?? 0) + ranMs);
	}

	addEvent(job, atMs, `${fields.string('taskId')} run ${fields.number('run')} ${end} after ${ranMs} ms`);
};

const getRunKey = (fields: Fields): string => `${fields.string('taskId')} ${fields.number('run')}`;

const addEvent = (job: JobTimeline | undefined, atMs: number, text: string): void => {
	if (job && job.events.length < maxEvents) {
		job.events.push(`+${((atMs - job.acceptedAtMs) / 1000).toFixed(2)} s ${text}`);
	}
};
