/**
Proves that the tests can fail: takes one guard after the other out of the code as it is loaded, runs the tests that watch
its promise, and prints which of them fail. Exits 0 only when every broken guard is noticed.
*/
import {spawnSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {startVitest} from 'vitest/node';
import {Promised} from '../src/measure/promise-checker.ts';

const resultMark = 'failed: ';
const timeoutMs = 90_000;

type Guard = {
	promised: Promised;
	/** What the code does without the guard. */
	without: string;
	file: string;
	find: string;
	replace: string;
	tests: string[];
};

const guards: Guard[] = [
	{
		promised: Promised.AtMostOnce,
		without: 'a later claim of an id wins as well',
		file: 'src/requests/claim-fold.ts',
		find: 'if (known && (known.state !== ClaimState.NotRun || known.releasedIds?.includes(claimId))) {',
		replace: 'if (known?.claimId === claimId) {',
		tests: ['test/claims.test.ts'],
	},
	{
		promised: Promised.AtMostOnce,
		without: 'a client may send a request again by itself',
		file: 'src/requests/dispatch-attempt.ts',
		find: 'if (this.#isWritten || this.#isEnded || !this.#options.mayWrite()) {',
		replace: 'if (this.#isEnded || !this.#options.mayWrite()) {',
		tests: ['test/requests.test.ts', 'test/retry.test.ts', 'test/answers.test.ts'],
	},
	{
		promised: Promised.NotRunTrue,
		without: 'a request counts as not written although it was',
		file: 'src/requests/dispatch-attempt.ts',
		find: '\t\tthis.#isWritten = true;\n',
		replace: '\t\tthis.#isWritten = false;\n',
		tests: ['test/requests.test.ts', 'test/answers.test.ts', 'test/retry.test.ts'],
	},
	{
		promised: Promised.OwnAnswer,
		without: 'an answer that does not say where it ends passes',
		file: 'src/requests/dispatch-attempt.ts',
		find: 'if (!isFramed(this.#options.request.method, status, headers)) {',
		replace: 'if (status === 0) {',
		tests: ['test/answers.test.ts'],
	},
	{
		promised: Promised.LeavingQuiet,
		without: 'a late announcement undoes a drain',
		file: 'src/requests/announcement-book.ts',
		find: 'return stateRank[next.state] > stateRank[known.state];',
		replace: 'return next.sequence > known.sequence;',
		tests: ['test/membership.test.ts', 'test/drain.test.ts'],
	},
	{
		promised: Promised.NoOvercommit,
		without: 'slots of a silent entry are given away when its lease ends, while its requests may run',
		file: 'src/requests/slot-table.ts',
		find: 'nowMs >= leaseEndMs + maxHoldMs',
		replace: 'nowMs >= leaseEndMs',
		tests: ['test/slots.test.ts', 'test/slots-property.test.ts'],
	},
	{
		promised: Promised.NoOvercommit,
		without: 'a sponsor grants more than is free',
		file: 'src/requests/slot-table.ts',
		find: 'const free = Math.max(0, this.#capacity - this.granted);',
		replace: 'const free = this.#capacity;',
		tests: ['test/slots.test.ts', 'test/slots-property.test.ts'],
	},
	{
		promised: Promised.NoOvercommit,
		without: 'placement does not look at the room of a worker',
		file: 'src/jobs/placement-fleet.ts',
		find: 'return isAvailable(worker) && isWithin(getSum(amount, foreign), getDifference(capacity, worker.used));',
		replace: 'return isAvailable(worker) && isWithin(getSum(amount, foreign), capacity);',
		tests: ['test/placement.test.ts', 'test/placement-properties.test.ts'],
	},
	{
		promised: Promised.OnePlace,
		without: 'a new owner starts tasks before it heard of all workers that may run them',
		file: 'src/jobs/recovery.ts',
		find: 'const isWaitedOut = quorumAtMs !== undefined && clock.monotonicMs() - quorumAtMs >= waitMs;',
		replace: 'const isWaitedOut = waitMs >= 0;',
		tests: ['test/recovery.test.ts', 'test/ownership.test.ts'],
	},
	{
		promised: Promised.ConfigHolds,
		without: 'a change based on an older record is accepted',
		file: 'src/core/config-fold.ts',
		find: 'if (stale === undefined) {',
		replace: 'if (stale === undefined || result.sections.length > 0) {',
		tests: ['test/config-fold.test.ts'],
	},
	{
		promised: Promised.ConfigHolds,
		without: 'an older snapshot takes a reader back',
		file: 'src/core/config-fold.ts',
		find: 'const isUsable = snapshot.upToOffset > this.#offset && ',
		replace: 'const isUsable = ',
		tests: ['test/config-fold.test.ts'],
	},
	{
		promised: Promised.ShutdownWhole,
		without: 'a stopping entry closes connections at once, with requests on their way to it',
		file: 'src/plugins/callers-service.ts',
		find: 'await clock.sleep(settings.callers.drainMs);',
		replace: '',
		tests: ['test/shutdown.test.ts'],
	},
];

/** Runs the tests with one guard replaced; names the tests that fail. */
const runWithout = async ({file, find, replace, tests}: Guard): Promise<string[]> => {
	const target = path.resolve(file);
	if (!readFileSync(target, 'utf8').includes(find)) {
		throw new Error(`${file} no longer contains the guard: ${find.trim()}`);
	}

	const vitest = await startVitest('test', tests, {
		watch: false, testTimeout: 30_000, pool: 'threads', reporters: [{}],
	}, {
		plugins: [{
			name: 'break-guard',
			enforce: 'pre',
			transform: (code: string, id: string) => id.split('?')[0] === target ? code.replace(find, () => replace) : undefined,
		}],
	});
	const failed = vitest.state.getTestModules().flatMap(module => [...module.children.allTests('failed')].map(test => test.fullName));
	await vitest.close();
	return failed;
};

/** Runs one guard in a process of its own: broken code may loop for ever. */
const runApart = (index: number): string[] => {
	const {stdout} = spawnSync(process.execPath, ['--import', 'tsx', 'scripts/break-guards.ts', '--only', String(index)], {
		encoding: 'utf8', timeout: timeoutMs, killSignal: 'SIGKILL', stdio: ['ignore', 'pipe', 'ignore'],
	});
	const line = stdout.split('\n').find(candidate => candidate.startsWith(resultMark));
	return line === undefined ? [`no end within ${timeoutMs / 1000} s`] : JSON.parse(line.slice(resultMark.length)) as string[];
};

const runAll = (): void => {
	process.stdout.write('| promise | without its guard | noticed by |\n| --- | --- | --- |\n');
	let unnoticed = 0;
	for (const [index, {promised, without, file}] of guards.entries()) {
		const failed = runApart(index);
		unnoticed += failed.length === 0 ? 1 : 0;
		const shown = failed.length === 0 ? '**nothing**' : `${failed.length} failures, first: ${failed[0]}`;
		process.stdout.write(`| ${promised} | ${without} (\`${file}\`) | ${shown} |\n`);
	}

	process.exitCode = unnoticed === 0 ? 0 : 1;
};

const only = process.argv.indexOf('--only');
if (only === -1) {
	runAll();
} else {
	const failed = await runWithout(guards[Number(process.argv[only + 1])]!);
	process.stdout.write(`\n${resultMark}${JSON.stringify(failed)}\n`);
	// The runner leaves workers of broken tests behind.
	process.exit(0); // eslint-disable-line unicorn/no-process-exit
}
