/**
Timelines of jobs, reconstructed from log lines.
*/
import {describe, expect, it} from 'vitest';
import {formatDayTimeline} from '../src/measure/day-report.ts';
import {parseLogLine, createDayTimeline} from '../src/measure/day-timeline.ts';

const line = (time: number, msg: string, fields: Record<string, unknown> = {}): string => `  12.3 entry-1 ${JSON.stringify({
	level: 30, time, process: 'entry-1', ...fields, msg,
})}`;

const log = [
	line(1000, 'job taken', {
		id: 'a', queue: 'build', steps: [1, 1], ageMs: 30,
	}),
	line(1500, 'start', {
		taskId: 'a.0.0.0', run: 1, host: 'x', waitedMs: 500,
	}),
	line(2500, 'run lost', {
		taskId: 'a.0.0.0', run: 1, host: 'x', reason: 'worker-replaced',
	}),
	line(2600, 'start', {
		taskId: 'a.0.0.0', run: 2, host: 'y', waitedMs: 100,
	}),
	line(3600, 'run ended', {
		taskId: 'a.0.0.0', run: 2, end: 'done', host: 'y',
	}),
	line(3700, 'tasks wait', {
		waits: {harm: 7, room: 1}, fillingMilliCpu: 4000, spareMilliCpu: 9000,
	}),
	line(3650, 'start', {
		taskId: 'a.0.1.0', run: 1, host: 'y', waitedMs: 50,
	}),
	line(4650, 'run ended', {
		taskId: 'a.0.1.0', run: 1, end: 'done', host: 'y',
	}),
	line(4700, 'job over', {
		id: 'a', queue: 'build', end: 'completed', tookMs: 3700, allowedMs: 3000, coreMs: 2000,
	}),
	line(4800, 'answered', {method: 'GET', status: 200}),
	'built in 1.2 s; not a line of ours',
	'  12.3 entry-1 {"level":30,"time":4900,"msg":"cut off',
];

describe('day timeline', () => {
	const day = createDayTimeline(log.flatMap(text => parseLogLine(text) ?? []));

	it('sums the waiting time, the run time and the lost time of each job', () => {
		const job = day.jobs.get('a')!;
		expect(job).toMatchObject({
			queue: 'build', acceptedAfterMs: 30, firstStartAtMs: 1500, waitedMs: 650, ranMs: 2000, starts: 3, tookMs: 3700,
		});
		expect([...job.wastedMs]).toEqual([['lost, worker-replaced', 1000]]);
	});

	it('prints queues, the reasons why tasks waited, and the events of the latest jobs', () => {
		const text = formatDayTimeline(day).join('\n');
		expect(text).toContain('build: runs that ended in no success: lost, worker-replaced 1 s');
		expect(text).toContain('harm 7, room 1');
		expect(text).toContain('GET 200: 1');
		expect(text).toContain('+3.70 s over: completed after 3700 ms of 3000 allowed');
	});
});
