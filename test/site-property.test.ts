/**
Random series of faults on a site, overlapping and repeated, on manual time. Whatever happens, nothing may run in two
places or out of order, no worker may get more than it has, and once the site is calm again every job that was taken
comes to its end.
*/
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {anySeries, createTroubledSite, playSeries} from './site-troubles.ts';

it('keeps its promises through any series of faults', async () => {
	await fc.assert(fc.asyncProperty(anySeries, async steps => {
		const world = await createTroubledSite(({taskId, run}) => ({
			workMs: 300 + (400 * (taskId.codePointAt(15)! % 4)), isFailing: run === 1 && taskId.endsWith('3.0.1.1'),
		}));
		const open = await playSeries(world, steps, async () => undefined);
		expect(world.violations).toEqual([]);
		expect(open).toEqual([]);
	}), {seed: 20, numRuns: 40, endOnFailure: true});
});
