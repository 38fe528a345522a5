/**
Runs a soak test and prints its results. Exits with 0 only if every guarantee held.

Needs the bundle `dist/chervilworks.cjs`, which `npm run soak -- --seed 1 --seconds 60` builds first.
*/
import process from 'node:process';
import {parseArgs} from 'node:util';
import {formatGuarantees} from '../src/measure/guarantee-checker.ts';
import {runSoak} from '../src/measure/soak.ts';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		seconds: {type: 'string', default: '60'},
		entries: {type: 'string', default: '3'},
		hosts: {type: 'string', default: '11'},
		rate: {type: 'string', default: '100'},
		faultEveryMs: {type: 'string', default: '3000'},
	},
});

const report = await runSoak({
	binary: 'dist/chervilworks.cjs',
	seed: Number(values.seed),
	durationMs: Number(values.seconds) * 1000,
	entryCount: Number(values.entries),
	hostsPerUser: Number(values.hosts),
	ratePerSecond: Number(values.rate),
	faultEveryMs: Number(values.faultEveryMs) > 0 ? Number(values.faultEveryMs) : undefined,
	report(line) {
		process.stderr.write(`${line}\n`);
	},
});

const {callers, jobs} = report;
const lines = [
	...formatGuarantees(report.guarantees),
	`faults: ${[...report.faults].map(([name, count]) => `${name} ${count}`).join(', ') || 'none'}`,
	`requests: ${callers.answered} answered, ${callers.connectionErrors} connections broken; refused: ${[...callers.refused].map(([reason, count]) => `${reason} ${count}`).join(', ') || 'none'}`,
	...Object.entries(callers.latencies).map(([name, histogram]) =>
		`${name}: p50 ${histogram.getValueAtPercentile(50)} ms, p99 ${histogram.getValueAtPercentile(99)} ms, ${histogram.totalCount} answers (including retries by callers)`),
	`jobs: ${jobs.ended} of ${jobs.submitted} accepted jobs ended; not ended: ${jobs.lost.join(', ') || 'none'}`,
	...[...report.usage].map(([role, {count, residentMb, cpuShare}]) =>
		`${role}: ${count} processes, peak resident memory ${residentMb.toFixed(0)} MB, peak processor use ${(100 * cpuShare).toFixed(1)}% of a core`),
	`crashes: ${report.crashes.join(', ') || 'none'}; logs in ${report.directory}`,
	report.isPassed ? 'Every guarantee held.' : 'A guarantee was violated.',
];
process.stdout.write(`${lines.join('\n')}\n`);
process.exitCode = report.isPassed ? 0 : 1;
