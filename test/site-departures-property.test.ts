/**
Random series of faults on a site whose hosts come and go for good, on manual time. In addition to what holds for the wider series, each
long-running task has exactly one run once the faults have ended, the store knows the agents that live and no other, and older
long-running tasks start again within 3 s of the end of their owner.
*/
import process from 'node:process';
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {departureSeries} from './site-departure-faults.ts';
import {runDepartureSeries} from './site-departure-series.ts';

const {WIDE_SERIES_SEED: freshSeed, WIDE_SERIES_RUNS: freshRuns} = process.env;

const check = async (isBusy: boolean, parameters: fc.Parameters<unknown>): Promise<void> => {
	await fc.assert(fc.asyncProperty(departureSeries, async steps => {
		const {violations, open} = await runDepartureSeries(steps, isBusy);
		expect(violations).toEqual([]);
		expect(open).toEqual([]);
	}), {endOnFailure: true, ...parameters});
};

it.each([
	{load: 'long-running tasks and a few jobs', isBusy: false, runs: 25},
	{load: 'long-running tasks and work on each worker', isBusy: true, runs: 25},
])('violates no invariant and completes all jobs with any series of departures, with $load', async ({isBusy, runs}) => {
	await check(isBusy, {seed: Number(freshSeed ?? 20), numRuns: Number(freshRuns ?? runs)});
}, Number.POSITIVE_INFINITY);

/** Guards against a new owner that waits 7.6 s for the leases of an agent which was started long ago and has had no worker since: all older tasks wait with it. */
it.each([
	{isBusy: false, seed: 20, path: '21'},
	{isBusy: false, seed: 20, path: '88'},
	{isBusy: false, seed: 22, path: '0'},
	{isBusy: false, seed: 22, path: '6'},
	{isBusy: false, seed: 22, path: '60'},
	{isBusy: true, seed: 23, path: '48'},
	{isBusy: false, seed: 31, path: '93'},
])('starts older tasks in time after a takeover with series $seed:$path', async ({isBusy, seed, path}) => {
	await check(isBusy, {seed, path, numRuns: 1});
});

/** Guards against the same with an agent to which a late announcement names a worker that no longer lives, so that it has never had an answer. */
it.each([{seed: 31, path: '9'}, {seed: 31, path: '189'}])('starts older tasks in time after a late announcement with series $seed:$path', async ({seed, path}) => {
	await check(false, {seed, path, numRuns: 1});
});

/** Guards against new owners that wait for agents without a worker, and against checks that take a quarantine for a late start or let a killed entry continue. */
it.each([
	{isBusy: false, seed: 20, path: '12'},
	{isBusy: false, seed: 20, path: '93'},
	{isBusy: false, seed: 22, path: '33'},
	{isBusy: true, seed: 20, path: '78'},
	{isBusy: true, seed: 23, path: '98'},
])('violates no invariant with series of departures $seed:$path', async ({isBusy, seed, path}) => {
	await check(isBusy, {seed, path, numRuns: 1});
});
