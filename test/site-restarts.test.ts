/**
Agents and entries that restart or change while a loss is declared or a gap is found.
*/
import {
	afterEach, expect, it,
} from 'vitest';
import {createSite, jobId} from './site-setup.ts';
import {
	createSpec, createStep, type SimulatedSite,
} from './simulated-site.ts';

let site: SimulatedSite | undefined;

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

/** Guards against a second restart of an agent that forgets a declaration of its loss: it renews leases that the owner takes for expired. */
it('an agent that restarts twice after it was declared lost renews no lease from before', async () => {
	site = await createSite(2, 1);
	site.plan = () => ({workMs: 60_000});
	await site.submit(jobId, createSpec([createStep({milliCpu: 3000, count: 2})]));
	await site.clock.advance(500);
	site.addHost('host-2');
	site.cuts.add('entry-0>host-0');
	expect(await site.waitFor(() => site!.notes.some(({event}) => event === 'agent lost'), 8000)).toBeDefined();
	await site.clock.advance(100);
	for (let restarts = 0; restarts < 2; restarts++) {
		site.killAgent('host-0');
		await site.clock.advance(300);
		site.startAgent('host-0');
		await site.clock.advance(700);
	}

	await site.clock.advance(12_000);
	expect(site.events.filter(event => event.type === 'started')).toHaveLength(3);
});

/** Guards against a new owner that takes time since its claim for proof: an old agent process has renewed leases until its restart, the new one has not listed any. */
it('a new owner starts no task on other workers while an agent answers that was restarted and has listed nothing', async () => {
	site = await createSite(2, 2);
	site.plan = () => ({workMs: 60_000});
	await site.submit(jobId, createSpec([createStep({milliCpu: 3000, count: 2})]));
	await site.clock.advance(500);
	const owner = site.getOwnerName()!;
	const survivor = [...site.entries.keys()].find(name => name !== owner)!;
	site.addHost('host-2');
	site.cuts.add(`${survivor}>host-0`);
	site.killEntry(owner);
	expect(await site.waitFor(() => site!.notes.some(({source, event}) => source === survivor && event === 'took over'), 8000)).toBeDefined();
	await site.clock.advance(3000);
	site.killAgent('host-0');
	site.hosts.get('host-0')!.worker.isUnresponsive = true;
	site.startAgent('host-0');
	site.cuts.clear();
	await site.clock.advance(6000);
	site.hosts.get('host-0')!.worker.isUnresponsive = false;
	await site.clock.advance(8000);
});

/** Guards against a new owner that declares all agents lost because it reaches none for a while: all runs end with their leases. */
it('a new owner that is cut off from all agents for five seconds ends no run', async () => {
	site = await createSite(2, 2);
	site.plan = () => ({workMs: 60_000});
	await site.submit(jobId, createSpec([createStep({milliCpu: 3000, count: 2})]));
	await site.clock.advance(500);
	const owner = site.getOwnerName()!;
	const survivor = [...site.entries.keys()].find(name => name !== owner)!;
	site.killEntry(owner);
	for (const host of site.hosts.keys()) {
		site.cuts.add(`${survivor}>${host}`);
	}

	expect(await site.waitFor(() => site!.notes.some(({source, event}) => source === survivor && event === 'took over'), 8000)).toBeDefined();
	await site.clock.advance(5000);
	site.cuts.clear();
	await site.clock.advance(15_000);
	expect(site.events.filter(event => event.type === 'started')).toHaveLength(2);
});

/** Guards against a delayed announcement that reaches a restarted agent first: the incarnation that it names is not the one that runs the tasks. */
it('a restarted agent that hears of an earlier incarnation of its worker first ends no run of the living one', async () => {
	site = await createSite(2, 1);
	site.plan = () => ({workMs: 60_000});
	await site.submit(jobId, createSpec([createStep({milliCpu: 3000, count: 2})]));
	await site.clock.advance(500);
	site.addHost('host-2');
	const {worker} = site.hosts.get('host-0')!;
	site.killAgent('host-0');
	await site.clock.advance(300);
	worker.isUnresponsive = true;
	site.startAgent('host-0');
	site.hosts.get('host-0')!.agent!.handleAnnouncement({...worker.announce(), workerId: 'host-0-0', sequence: 1});
	await site.clock.advance(1500);
	worker.isUnresponsive = false;
	await site.clock.advance(5000);
	expect(site.events.filter(event => event.type === 'started')).toHaveLength(2);
	expect(worker.running.size).toBe(1);
});
