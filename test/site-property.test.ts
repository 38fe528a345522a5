/**
Random series of faults on a site, overlapping and repeated, on manual time. Whatever happens, nothing may run in two
places or out of order, no worker may get more than it has, and once the site is calm again every job that was taken
comes to its end.
*/
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {SubmitOutcome} from '../src/types/job-api.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {
	entries, hosts, play, step,
} from './site-troubles.ts';
import {SiteWorld} from './site-world.ts';

const calmMs = 45_000;

it('keeps its promises through any series of faults', async () => {
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 4, maxLength: 24}), async steps => {
		const world = new SiteWorld();
		world.plan = ({taskId, run}) => ({workMs: 300 + (400 * (taskId.codePointAt(15)! % 4)), isFailing: run === 1 && taskId.endsWith('3.0.1.1')});
		for (const name of hosts) {
			world.addHost(name);
		}

		for (const name of entries) {
			world.startEntry(name);
		}

		await world.clock.advance(1500);
		const jobs = new Map<string, SubmitOutcome>();
		for (const each of steps) {
			await play(world, each, jobs);
			await world.clock.advance(each.pauseMs);
		}

		await world.clock.advance(calmMs);
		const states = new Map<string, string>();
		for (const [id, outcome] of jobs) {
			if (outcome === SubmitOutcome.Accepted) {
				states.set(id, await world.getState(id));
			}
		}

		world.stop();
		expect(world.violations).toEqual([]);
		expect([...states].filter(([, state]) => state !== (WorkflowState.Completed as string))).toEqual([]);
	}), {seed: 20, numRuns: 40, endOnFailure: true});
});
