/**
Tasks that take their workers down, amid random series of faults: each is started a bounded number of times, and ordinary
jobs beside them complete.
*/
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {anySeries, createTroubledSite, playSeries} from './site-troubles.ts';
import {createSpec, createStep} from './site-world.ts';

/** Three crashes under a task, and three starts more, are what no task may have. */
const maxStarts = 5;
const culprits = ['00000000000000c1', '00000000000000c2'];
const crashAfterMs = 10;

it.each([30, 41])('take no more than a few down, and no ordinary job with them, seed %i', async seed => {
	await fc.assert(fc.asyncProperty(anySeries, fc.nat(20), async (steps, submitAt) => {
		const world = await createTroubledSite(({taskId}) => culprits.includes(taskId.split('.')[0]!)
			? {workMs: undefined, crashAfterMs}
			: {workMs: 300 + (400 * (taskId.codePointAt(15)! % 4))});
		const open = await playSeries(world, steps, async index => {
			for (const id of index === submitAt % steps.length ? culprits : []) {
				await world.submit(id, createSpec([createStep()]), [...world.entries.keys()][0]);
			}
		});
		expect(world.violations).toEqual([]);
		expect(open).toEqual([]);
		for (const id of culprits) {
			expect(world.getStarts(`${id}.0.0.0`)).toBeLessThanOrEqual(maxStarts);
		}
	}), {seed, numRuns: 41, endOnFailure: true});
});
