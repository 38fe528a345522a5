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
