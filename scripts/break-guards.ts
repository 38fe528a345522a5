/**
Mutation tests: removes one safeguard at a time from the source while it is loaded, runs the tests of the guarantee that it protects,
and prints which of them fail. Exits with 0 only if every mutation makes a test fail.
*/
import {spawnSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {startVitest} from 'vitest/node';
import {Guarantee} from '../src/measure/guarantee-checker.ts';

const resultPrefix = 'failed: ';
const timeoutMs = 90_000;

type Mutation = {
	guarantee: Guarantee;
	/** What the code does without the safeguard. */
	faultyBehaviour: string;
	file: string;
	/** Source text of the safeguard, which the file must contain. */
	find: string;
	replace: string;
	tests: string[];
};

const mutations: Mutation[] = [
	{
		guarantee: Guarantee.AtMostOnce,
		faultyBehaviour: 'a later claim of the same id succeeds too',
		file: 'src/requests/claim-fold.ts',
		find: 'if (known && (known.state !== ClaimState.NotRun || known.releasedIds?.includes(claimId))) {',
		replace: 'if (known?.claimId === claimId) {',
		tests: ['test/claims.test.ts'],
	},
	{
		guarantee: Guarantee.AtMostOnce,
		faultyBehaviour: 'the HTTP client may resend a request on its own',
		file: 'src/requests/dispatch-attempt.ts',
		find: 'if (this.#isWritten || this.#isEnded || !this.#options.mayWrite()) {',
		replace: 'if (this.#isEnded || !this.#options.mayWrite()) {',
		tests: ['test/requests.test.ts', 'test/retry.test.ts', 'test/answers.test.ts'],
	},
	{
		guarantee: Guarantee.NotRunIsCorrect,
		faultyBehaviour: 'a request that was written counts as not written',
		file: 'src/requests/dispatch-attempt.ts',
		find: '\t\tthis.#isWritten = true;\n',
		replace: '\t\tthis.#isWritten = false;\n',
		tests: ['test/requests.test.ts', 'test/answers.test.ts', 'test/retry.test.ts'],
	},
	{
		guarantee: Guarantee.CompleteOwnAnswer,
		faultyBehaviour: 'a response that does not state its length is forwarded',
		file: 'src/requests/dispatch-attempt.ts',
		find: 'if (!isFramed(this.#options.request.method, status, headers)) {',
		replace: 'if (status === 0) {',
		tests: ['test/answers.test.ts'],
	},
	{
		guarantee: Guarantee.NoWorkWhileLeaving,
		faultyBehaviour: 'a late announcement undoes a drain',
		file: 'src/requests/announcement-registry.ts',
		find: 'return stateRank[next.state] > stateRank[known.state];',
		replace: 'return next.sequence > known.sequence;',
		tests: ['test/membership.test.ts', 'test/drain.test.ts'],
	},
	{
		guarantee: Guarantee.NoOvercommit,
		faultyBehaviour: 'slots of an unresponsive entry are granted to others when its lease ends, while its requests may still run',
		file: 'src/requests/slot-table.ts',
		find: 'nowMs >= leaseEndMs + maxHoldMs',
		replace: 'nowMs >= leaseEndMs',
		tests: ['test/slots.test.ts', 'test/slots-property.test.ts'],
	},
	{
		guarantee: Guarantee.NoOvercommit,
		faultyBehaviour: 'a sponsor grants more slots than are free',
		file: 'src/requests/slot-table.ts',
		find: 'const free = Math.max(0, this.#capacity - this.granted);',
		replace: 'const free = this.#capacity;',
		tests: ['test/slots.test.ts', 'test/slots-property.test.ts'],
	},
	{
		guarantee: Guarantee.NoOvercommit,
		faultyBehaviour: 'placement ignores the free capacity of a worker',
		file: 'src/jobs/placement-fleet.ts',
		find: 'return isAvailable(worker) && isWithin(getSum(amount, usedByOthers), getDifference(capacity, worker.used));',
		replace: 'return isAvailable(worker) && isWithin(getSum(amount, usedByOthers), capacity);',
		tests: ['test/placement.test.ts', 'test/placement-properties.test.ts'],
	},
	{
		guarantee: Guarantee.SingleWorker,
		faultyBehaviour: 'a new owner starts tasks before it has received the state of all workers that may run them',
		file: 'src/jobs/recovery.ts',
		find: 'const hasWaitElapsed = quorumAtMs !== undefined && clock.monotonicMs() - quorumAtMs >= waitMs;',
		replace: 'const hasWaitElapsed = waitMs >= 0;',
		tests: ['test/recovery.test.ts', 'test/ownership.test.ts'],
	},
	{
		guarantee: Guarantee.ConfigDurable,
		faultyBehaviour: 'a change based on an older record is accepted',
		file: 'src/core/config-fold.ts',
		find: 'if (stale === undefined) {',
		replace: 'if (stale === undefined || result.sections.length > 0) {',
		tests: ['test/config-fold.test.ts'],
	},
	{
		guarantee: Guarantee.ConfigDurable,
		faultyBehaviour: 'an older snapshot reverts the state of a reader',
		file: 'src/core/config-fold.ts',
		find: 'const isUsable = snapshot.upToOffset > this.#offset && ',
		replace: 'const isUsable = ',
		tests: ['test/config-fold.test.ts'],
	},
	{
		guarantee: Guarantee.GracefulShutdown,
		faultyBehaviour: 'a stopping entry closes connections at once, while requests are on their way to it',
		file: 'src/plugins/callers-service.ts',
		find: 'await clock.sleep(settings.callers.drainMs);',
		replace: '',
		tests: ['test/shutdown.test.ts'],
	},
];

/** Runs the tests with one mutation; returns the names of the tests that fail. */
const runMutated = async ({file, find, replace, tests}: Mutation): Promise<string[]> => {
	const target = path.resolve(file);
	if (!readFileSync(target, 'utf8').includes(find)) {
		throw new Error(`${file} does not contain the safeguard to replace: ${find.trim()}`);
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

/** Runs one mutation in a separate process, as mutated code may loop forever. */
const runInProcess = (index: number): string[] => {
	const {stdout} = spawnSync(process.execPath, ['--import', 'tsx', 'scripts/break-guards.ts', '--only', String(index)], {
		encoding: 'utf8', timeout: timeoutMs, killSignal: 'SIGKILL', stdio: ['ignore', 'pipe', 'ignore'],
	});
	const line = stdout.split('\n').find(candidate => candidate.startsWith(resultPrefix));
	return line === undefined ? [`did not finish within ${timeoutMs / 1000} s`] : JSON.parse(line.slice(resultPrefix.length)) as string[];
};

const runAll = (): void => {
	process.stdout.write('| guarantee | without its safeguard | detected by |\n| --- | --- | --- |\n');
	let undetected = 0;
	for (const [index, {guarantee, faultyBehaviour, file}] of mutations.entries()) {
		const failed = runInProcess(index);
		undetected += failed.length === 0 ? 1 : 0;
		const detectedBy = failed.length === 0 ? '**nothing**' : `${failed.length} failures, first: ${failed[0]}`;
		process.stdout.write(`| ${guarantee} | ${faultyBehaviour} (\`${file}\`) | ${detectedBy} |\n`);
	}

	process.exitCode = undetected === 0 ? 0 : 1;
};

const only = process.argv.indexOf('--only');
if (only === -1) {
	runAll();
} else {
	const failed = await runMutated(mutations[Number(process.argv[only + 1])]!);
	process.stdout.write(`\n${resultPrefix}${JSON.stringify(failed)}\n`);
	// Vitest can leave worker threads of mutated tests running, which would keep the process alive.
	process.exit(0); // eslint-disable-line unicorn/no-process-exit
}
