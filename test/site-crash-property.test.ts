/**
Tasks that crash their workers, during random series of faults: each is started a bounded number of times, and ordinary
jobs complete.
*/
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {faultSeries, createFaultySite, runFaultSeries} from './site-faults.ts';
import {createSpec, createStep} from './simulated-site.ts';

/** A task fails at its third crash, and fewer than three further starts may be lost to other faults. */
const maxStarts = 5;
const culprits = ['00000000000000c1', '00000000000000c2'];
const crashAfterMs = 10;

it.each([30, 41])('start a bounded number of times, and all ordinary jobs complete, seed %i', async seed => {
	await fc.assert(fc.asyncProperty(faultSeries, fc.nat(20), async (steps, submitAt) => {
		const site = await createFaultySite(({taskId}) => culprits.includes(taskId.split('.')[0]!)
			? {workMs: undefined, crashAfterMs}
			: {workMs: 300 + (400 * (taskId.codePointAt(15)! % 4))});
		const open = await runFaultSeries(site, steps, async index => {
			for (const id of index === submitAt % steps.length ? culprits : []) {
				await site.submit(id, createSpec([createStep()]), [...site.entries.keys()][0]);
			}
		});
		expect(site.violations).toEqual([]);
		expect(open).toEqual([]);
		for (const id of culprits) {
			expect(site.getStarts(`${id}.0.0.0`)).toBeLessThanOrEqual(maxStarts);
		}
	}), {seed, numRuns: 41, endOnFailure: true});
});
