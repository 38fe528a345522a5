/**
What an agent logs about a crashed worker.
*/
import {afterEach, expect, it} from 'vitest';
import {createSite, jobId, otherId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite;

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

it('logs the newest runs that were on the worker when it crashed', async () => {
	site = await createSite(1);
	site.plan = ({taskId}) => taskId.startsWith(otherId) ? {workMs: undefined, crashAfterMs: 10} : {workMs: 20_000};
	await site.submit(jobId, createSpec([createStep()]));
	await site.clock.advance(3000);
	await site.submit(otherId, createSpec([createStep()]));
	await site.waitFor(() => site.notes.some(({event}) => event === 'worker replaced'), 10_000);
	const {fields} = site.notes.find(({event}) => event === 'worker replaced')!;
	expect(fields).toMatchObject({
		wasDraining: false, runs: 2, newest: [{taskId: `${otherId}.0.0.0`, run: 1}, {taskId: `${jobId}.0.0.0`, run: 1}],
	});
	const [newest, oldest] = fields.newest as Array<{ageMs: number}>;
	expect(newest!.ageMs).toBeLessThan(150);
	expect(oldest!.ageMs).toBeGreaterThan(2500);
});
