/**
Declarations of loss that outlive the owner which stored them.
*/
import {afterEach, expect, it} from 'vitest';
import {getLeaseExpiryMs, leaseDurationMs} from '../src/agents/worker-lease.ts';
import {StoreFault} from '../src/standin/memory-store.ts';
import {
	createLongRunningSite, getHostOf, killOwner, loseHost, replaceOwner,
} from './departures.ts';
import {createJobId} from './site-setup.ts';
import {type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite;

/** Time that a takeover and a start need. */
const slackMs = 300;

const taskId = `${createJobId(0)}.0.0.0`;

const hasOwner = () => site.getOwnerName() !== undefined;

/** Loses the host of the task and waits until its loss is stored; returns when that was. */
const loseTask = async (): Promise<number> => {
	loseHost(site, getHostOf(site, taskId));
	expect(await site.waitFor(() => site.notes.some(({event}) => event === 'loss stored'), 8000)).toBeDefined();
	return site.clock.monotonicMs();
};

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** Guards against an owner that declares a host anew which the owner before it had declared lost, and waits for its leases from then on. */
it('a task of a lost host starts as soon as the loss that an earlier owner declared allows', async () => {
	site = await createLongRunningSite(4, 2);
	const storedAtMs = await loseTask();
	await site.clock.advance(1500);
	killOwner(site);
	expect(await site.waitFor(() => site.getStarts(taskId) === 2, 30_000)).toBeDefined();
	expect(site.clock.monotonicMs() - storedAtMs).toBeLessThan(getLeaseExpiryMs(leaseDurationMs) + slackMs);
});

/** Guards against owners that change faster than the leases of a lost host expire: none of them ever started its tasks. */
it('tasks of a lost host start although owners change faster than its leases expire', async () => {
	site = await createLongRunningSite(4, 3);
	const storedAtMs = await loseTask();
	for (let change = 0; change < 3; change++) {
		await site.clock.advance(1500);
		const dead = killOwner(site);
		await site.clock.advance(300);
		site.startEntry(dead);
		expect(await site.waitFor(hasOwner, 5000)).toBeDefined();
	}

	expect(await site.waitFor(() => site.getStarts(taskId) === 2, 30_000)).toBeDefined();
	expect(site.clock.monotonicMs() - storedAtMs).toBeLessThan(getLeaseExpiryMs(leaseDurationMs) + slackMs);
});

/** Guards against a loss of an earlier owner that ends the runs of an agent which has come back since. */
it('a loss that an earlier owner declared ends no run of an agent that has registered again', async () => {
	site = await createLongRunningSite(4, 2);
	const host = getHostOf(site, taskId);
	const owner = site.getOwnerName()!;
	site.cuts.add(`${owner}>${host}`);
	expect(await site.waitFor(() => site.notes.some(({event}) => event === 'loss stored'), 8000)).toBeDefined();
	expect(await site.waitFor(() => site.notes.filter(({source, event}) => source === host && event === 'registered').length === 2, 12_000)).toBeDefined();
	site.cuts.clear();
	const next = await replaceOwner(site);
	await site.clock.advance(15_000);
	expect(site.notes.filter(({source, event, fields}) => source === next && event === 'run lost' && fields.host === host)).toEqual([]);
	expect(site.getStarts(taskId)).toBe(2);
});

/** Guards against a new owner that proves leases of an agent which the owner before it has declared lost. */
it('a new owner gives no proof to an agent that an earlier one has declared lost', async () => {
	site = await createLongRunningSite(4, 2);
	const host = getHostOf(site, taskId);
	const owner = site.getOwnerName()!;
	site.cuts.add(`${owner}>${host}`);
	expect(await site.waitFor(() => site.notes.some(({event}) => event === 'agent lost'), 8000)).toBeDefined();
	site.store.getFault = ({client}) => client === host ? StoreFault.LoseRequest : StoreFault.None;
	expect(await site.waitFor(() => site.notes.some(({event}) => event === 'loss stored'), 2000)).toBeDefined();
	await replaceOwner(site);
	await site.clock.advance(20_000);
	expect(site.getStarts(taskId)).toBe(2);
});
