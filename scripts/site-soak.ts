/**
Runs the site's programs as real processes on loopback under faults, and checks what the site promises. Exits with 0 only if no promise
was broken.

Needs `target/chervilworks-site.cjs`, which `npm run soak:site -- --seed 1 --seconds 20 --entries 3 --hosts 6` builds first.

Hosts leave in all runs, until the end or for the first `--departureSeconds`. With `--unannouncedLosses` some also go without a word, agent
and worker killed together: a known fault, after which tasks wait for up to 12.8 s (`test/lost-hosts.test.ts` in `KNOWN-RED.txt`). It is off by
default, and so in the short run of the checks.
*/
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runSiteSoak} from '../test/site-soak/site-soak.ts';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		seconds: {type: 'string', default: '20'},
		entries: {type: 'string', default: '3'},
		hosts: {type: 'string', default: '6'},
		program: {type: 'string', default: 'target/chervilworks-site.cjs'},
		calm: {type: 'boolean', default: false},
		departureSeconds: {type: 'string'},
		unannouncedLosses: {type: 'boolean', default: false},
		keepLogs: {type: 'boolean', default: false},
	},
});
const maxTraced = 3;
const contextMs = 15_000;
const print = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

const {violations, crashes, counts, faults, settledAfterMs, directory, findLines} = await runSiteSoak({
	program: values.program,
	seed: Number(values.seed),
	seconds: Number(values.seconds),
	entryCount: Number(values.entries),
	hostCount: Number(values.hosts),
	isCalm: values.calm,
	departureSeconds: Number(values.departureSeconds ?? values.seconds),
	hasUnannouncedLosses: values.unannouncedLosses,
	areLogsKept: values.keepLogs,
	report(line) {
		process.stderr.write(`${line}\n`);
	},
});

for (const {promise, taskId, text, wallMs} of violations) {
	print(`BROKEN: ${promise}: ${taskId}: ${text} (${wallMs})`);
}

for (const taskId of [...new Set(violations.map(violation => violation.taskId))].slice(0, maxTraced)) {
	const {wallMs} = violations.find(violation => violation.taskId === taskId)!;
	const played = findLines('fault: ').filter(({time}) => time > wallMs - contextMs && time <= wallMs);
	print(`Log lines of ${taskId}, and the faults of the ${contextMs / 1000} s before:`);
	for (const {time, process: name, text} of [...findLines(taskId), ...played].toSorted((a, b) => a.time - b.time)) {
		print(`  ${time} ${name} ${text}`);
	}
}

print(`seed ${values.seed}, ${values.seconds} s, ${values.entries} entries, ${values.hosts} hosts; settled after ${settledAfterMs} ms`);
print(`counts: ${JSON.stringify(counts)}`);
print(`faults: ${[...faults].map(([name, count]) => `${name} ${count}`).join(', ') || 'none'}`);
if (crashes.length > 0) {
	print(`processes that ended by themselves: ${crashes.slice(0, 20).join('; ')}`);
}

const isPassed = violations.length === 0 && crashes.length === 0;
print(isPassed ? 'No promise was broken.' : `${violations.length} violations; all logs in ${directory}`);
process.exit(isPassed ? 0 : 1); // eslint-disable-line unicorn/no-process-exit
