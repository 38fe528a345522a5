/**
Removals of registrations that the store carries out late.
*/
import {
	afterEach, expect, it,
} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {createSite, jobId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite | undefined;

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

/** Guards against tasks in two places: a later owner does not find the agent whose registration the one before it has removed, and goes on without it. */
it('an agent stays registered if its predecessor\'s removal of the registration is carried out late', async () => {
	site = await createSite(1, 1);
	const {clock, store} = site;
	const host = site.hosts.get('host-0')!;
	host.worker.isDown = true;
	host.agent!.handleWorkerLeave(host.worker.workerId);
	store.getFault = ({client, kind}) => client === 'host-0' && kind === 'append' ? StoreFault.ExecuteLate : StoreFault.None;
	void host.agent!.leave();
	await clock.advance(20);
	store.getFault = () => StoreFault.None;
	site.killAgent('host-0');
	host.worker.crash();
	host.worker.isDown = false;
	site.startAgent('host-0');
	await clock.advance(8000);
	site.plan = () => ({workMs: 60_000});
	await site.submit(jobId, createSpec([createStep({count: 2})]));
	await clock.advance(500);
	expect(host.worker.running.size).toBe(2);
	site.addHost('host-1');
	site.startEntry('entry-1');
	await clock.advance(1000);
	site.killEntry('entry-0');
	await clock.advance(15_000);
	expect(site.events.filter(event => event.type === 'started')).toHaveLength(2);
});
