/**
Hosts that go for good without a word.
*/
import {afterEach, expect, it} from 'vitest';
import {
	calmMs, createLongRunningSite, getHostOf, killOwner, loseHost,
} from './departures.ts';
import {createJobId} from './site-setup.ts';
import {type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite;

const hasOwner = () => site.getOwnerName() !== undefined;

const taskId = `${createJobId(0)}.0.0.0`;

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** Guards against tasks that wait longer for a lost host than callers do. */
it('a task of a lost host starts again in time', async () => {
	site = await createLongRunningSite(4, 1);
	loseHost(site, getHostOf(site, taskId));
	expect(await site.waitFor(() => site.getStarts(taskId) === 2, 30_000)).toBeLessThan(calmMs);
});

/** Guards against the same with an owner that dies at the same moment. */
it('a task of a lost host starts again in time although the owner is lost with it', async () => {
	site = await createLongRunningSite(4, 2);
	killOwner(site);
	loseHost(site, getHostOf(site, taskId));
	expect(await site.waitFor(() => site.getStarts(taskId) === 2, 30_000)).toBeLessThan(calmMs);
});

/** Guards against owners that each count the silence of an agent anew: none of them declares it lost. */
it('a task of a lost host starts again in time although owners change every three seconds', async () => {
	site = await createLongRunningSite(4, 3);
	loseHost(site, getHostOf(site, taskId));
	for (let change = 0; change < 4; change++) {
		await site.clock.advance(2500);
		const dead = killOwner(site);
		await site.clock.advance(300);
		site.startEntry(dead);
		expect(await site.waitFor(hasOwner, 5000)).toBeDefined();
	}

	expect(await site.waitFor(() => site.getStarts(taskId) === 2, 30_000)).toBeLessThan(calmMs);
});
