/**
Reports from the logs of entries how the time of jobs was spent: `tsx scripts/explain-day.ts LOG...`
*/
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {formatDayTimeline} from '../src/measure/day-report.ts';
import {parseLogLine, createDayTimeline} from '../src/measure/day-timeline.ts';

const lines = process.argv.slice(2)
	.flatMap(path => readFileSync(path, 'utf8').split('\n'))
	.flatMap(text => parseLogLine(text) ?? []);
process.stdout.write(`${formatDayTimeline(createDayTimeline(lines)).join('\n')}\n`);
