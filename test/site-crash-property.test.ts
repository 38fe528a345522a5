/**
Tasks that take their workers down, amid random series of faults: each is started a bounded number of times, and ordinary
jobs beside them complete.
*/
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {SubmitOutcome} from '../src/types/job-api.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {
	entries, hosts, play, step,
} from './site-troubles.ts';
import {createSpec, createStep, SiteWorld} from './site-world.ts';

const calmMs = 45_000;
/** Three crashes under a task, and three starts more, are what no task may have. */
const maxStarts = 5;
const culprits = ['00000000000000c1', '00000000000000c2'];
const crashAfterMs = 10;

it('take no more than a few down, and no ordinary job with them', async () => {
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 4, maxLength: 24}), fc.nat(20), async (steps, submitAt) => {
		const world = new SiteWorld();
		world.plan = ({taskId}) => culprits.includes(taskId.split('.')[0]!)
			? {workMs: undefined, crashAfterMs}
			: {workMs: 300 + (400 * (taskId.codePointAt(15)! % 4))};
		for (const name of hosts) {
			world.addHost(name);
		}

		for (const name of entries) {
			world.startEntry(name);
		}

		await world.clock.advance(1500);
		const jobs = new Map<string, SubmitOutcome>();
		for (const [index, each] of steps.entries()) {
			if (index === submitAt % steps.length) {
				for (const id of culprits) {
					await world.submit(id, createSpec([createStep()]), [...world.entries.keys()][0]);
				}
			}

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
		for (const id of culprits) {
			expect(world.getStarts(`${id}.0.0.0`)).toBeLessThanOrEqual(maxStarts);
		}
	}), {seed: 30, numRuns: 40, endOnFailure: true});
});
