/**
What the log of an agent tells of a worker that crashed.
*/
import {afterEach, expect, it} from 'vitest';
import {createSite, jobId, otherId} from './site-setup.ts';
import {createSpec, createStep, type SiteWorld} from './site-world.ts';

let world: SiteWorld;

afterEach(() => {
	world.stop();
	expect(world.violations).toEqual([]);
});

it('names the newest runs that were there as the worker fell silent', async () => {
	world = await createSite(1);
	world.plan = ({taskId}) => taskId.startsWith(otherId) ? {workMs: undefined, crashAfterMs: 10} : {workMs: 20_000};
	await world.submit(jobId, createSpec([createStep()]));
	await world.clock.advance(3000);
	await world.submit(otherId, createSpec([createStep()]));
	await world.waitFor(() => world.notes.some(({event}) => event === 'worker replaced'), 10_000);
	const {fields} = world.notes.find(({event}) => event === 'worker replaced')!;
	expect(fields).toMatchObject({
		wasDraining: false, runs: 2, newest: [{taskId: `${otherId}.0.0.0`, run: 1}, {taskId: `${jobId}.0.0.0`, run: 1}],
	});
	const [newest, oldest] = fields.newest as Array<{ageMs: number}>;
	expect(newest!.ageMs).toBeLessThan(150);
	expect(oldest!.ageMs).toBeGreaterThan(2500);
});
