/**
Workers that announce that they end.
*/
import {
	afterEach, expect, it,
} from 'vitest';
import {createSite, jobId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite | undefined;

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

/** Guards against tasks in two places: a worker whose announcement is handled late, or not acknowledged, ends only seconds after it was told to have ended. */
it.each([0, 10, 2000])('tasks of a worker that ends %i ms after it has announced that start elsewhere after its end', async runsOnMs => {
	site = await createSite(1, 1);
	site.plan = () => ({workMs: 60_000});
	const {agent, worker} = site.hosts.get('host-0')!;
	await site.submit(jobId, createSpec([createStep({count: 4})]));
	await site.clock.advance(500);
	site.addHost('host-1');
	await site.clock.advance(1000);
	const end = () => {
		worker.isDown = true;
		worker.crash();
	};

	if (runsOnMs === 0) {
		end();
	}

	agent!.handleWorkerLeave('host-0-1');
	if (runsOnMs > 0) {
		await site.clock.advance(runsOnMs);
		end();
	}

	const getStarts = () => site!.events.filter(event => event.type === 'started').length;
	const tookMs = await site.waitFor(() => getStarts() === 8, 10_000);
	expect(tookMs).toBeLessThan(1000);
	await site.clock.advance(5000);
	expect(getStarts()).toBe(8);
});
