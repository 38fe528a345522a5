/**
Wider random series of faults on a site, on manual time. In addition to the invariants of the site, no run is taken for lost while it
is active or its agent, which answers, lists it; and once the faults have ended, a job's tasks start exactly once.
*/
import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {hostFaultSeries, type HostStep} from './site-host-faults.ts';
import {wideFaultSeries} from './site-wide-faults.ts';
import {runWideSeries} from './site-wide-series.ts';

const {WIDE_SERIES_SEED: freshSeed, WIDE_SERIES_RUNS: freshRuns} = process.env;

const check = async (isBusy: boolean, parameters: fc.Parameters<unknown>, series: fc.Arbitrary<HostStep[]> = wideFaultSeries): Promise<void> => {
	await fc.assert(fc.asyncProperty(series, async steps => {
		const {violations, open} = await runWideSeries(steps, isBusy);
		expect(violations).toEqual([]);
		expect(open).toEqual([]);
	}), {endOnFailure: true, ...parameters});
};

describe.each([
	{load: 'a few jobs', isBusy: false, runs: 20},
	{load: 'work on each worker', isBusy: true, runs: 20},
])('with $load', ({isBusy, runs}) => {
	it.each([
		{kinds: 'wider series of faults', series: wideFaultSeries},
		{kinds: 'series that has faults of hosts, workers and reads too', series: hostFaultSeries},
	])('violates no invariant and completes all jobs with any $kinds', async ({series}) => {
		await check(isBusy, {seed: Number(freshSeed ?? 20), numRuns: Number(freshRuns ?? runs)}, series);
	}, Number.POSITIVE_INFINITY);
});

/** Guards against runs taken for lost that are active on a sound worker: each series showed it. */
it.each([
	[1, [70, 287, 1306, 1455]], [2, [480, 1405]], [3, [58, 1079, 1290]], [101, [344, 737, 769]], [102, [392, 1029]], [103, [16, 1318]],
])('violates no invariant with series of seed %i: %j', async (seed, paths) => {
	for (const path of paths) {
		await check(false, {seed, path: String(path), numRuns: 1});
	}
});

/** Guards against the same with work on each worker, and against a run's number that is given twice. */
it.each([
	7, 19, 20, 31, 55, 61, 64, 84, 92, 122, 159, 261,
])('violates no invariant with work on each worker and series 202:%i', async path => {
	await check(true, {seed: 202, path: String(path), numRuns: 1});
});

/** Guards against a run's number that two owners give: the older one's order was not carried out, and the newer one's run was called lost. */
it.each([[201, 939], [5103, 342]])('violates no invariant with work on each worker and series %i:%i', async (seed, path) => {
	await check(true, {seed, path: String(path), numRuns: 1});
});

/** Guards against checks that call a start wrong that was on its way when the task's success came in, and a call to a killed entry unanswered. */
it.each([
	{isBusy: true, seed: 401, path: '677'}, {isBusy: false, seed: 403, path: '1025'},
])('violates no invariant with series $seed:$path', async ({isBusy, seed, path}) => {
	await check(isBusy, {seed, path, numRuns: 1});
});
