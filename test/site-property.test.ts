/**
Random series of faults on a site, overlapping and repeated, on manual time. At no time may a task run on two workers or
before its dependencies, or a worker get more than its capacity. Once the faults have ended, every accepted job completes.
*/
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {faultSeries, createFaultySite, runFaultSeries} from './site-faults.ts';

it('violates no invariant and completes all jobs with any series of faults', async () => {
	await fc.assert(fc.asyncProperty(faultSeries, async steps => {
		const site = await createFaultySite(({taskId, run}) => ({
			workMs: 300 + (400 * (taskId.codePointAt(15)! % 4)), isFailing: run === 1 && taskId.endsWith('3.0.1.1'),
		}));
		const open = await runFaultSeries(site, steps, async () => undefined);
		expect(site.violations).toEqual([]);
		expect(open).toEqual([]);
	}), {seed: 20, numRuns: 40, endOnFailure: true});
});
