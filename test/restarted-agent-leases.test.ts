/**
Leases of a worker that an earlier process of its agent granted: they go on when the agent is restarted.
*/
import {
	afterEach, expect, it,
} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {createSite, jobId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite | undefined;

const getNotes = (source: string, event: string) => site!.notes.filter(note => note.source === source && note.event === event);

/** Creates a site whose host-0 runs tasks, with room for them elsewhere. */
const createBusySite = async (): Promise<SimulatedSite> => {
	site = await createSite(2, 1);
	site.plan = () => ({workMs: 60_000});
	await site.submit(jobId, createSpec([createStep({count: 8})]));
	await site.clock.advance(500);
	site.addHost('host-2');
	site.addHost('host-3');
	await site.clock.advance(1000);
	return site;
};

/** Restarts the agent of host-0; its worker does not answer from shortly after the new process has listed its runs. */
const restartBeforeSilence = async (): Promise<void> => {
	const {worker} = site!.hosts.get('host-0')!;
	site!.killAgent('host-0');
	await site!.clock.advance(300);
	const came = getNotes('host-0', 'worker came').length;
	site!.startAgent('host-0');
	expect(await site!.waitFor(() => getNotes('host-0', 'worker came').length > came, 2000)).toBeDefined();
	await site!.clock.advance(100);
	worker.isUnresponsive = true;
};

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

/** Guards against tasks that run in two places: the new process has sent no lease and takes those of the process before it for expired. */
it.each([1000, 2500, 6000])('a restarted agent whose worker is silent for %i ms does not report leases as expired while tasks run under them', async silentMs => {
	await createBusySite();
	const {worker} = site!.hosts.get('host-0')!;
	expect(worker.running.size).toBe(4);
	await restartBeforeSilence();
	for (let atMs = 0; atMs < silentMs; atMs += 10) {
		await site!.clock.advance(10);
		expect(worker.running.size === 0 || getNotes('host-0', 'leases over without an answer').length === 0).toBe(true);
	}

	worker.isUnresponsive = false;
	await site!.clock.advance(10_000);
});

/** Guards against tasks that wait for ever: the lease of an earlier process ends too. */
it('a restarted agent whose worker stays silent reports the leases as expired once the longest lease has passed', async () => {
	await createBusySite();
	await restartBeforeSilence();
	const waitedMs = await site!.waitFor(() => getNotes('host-0', 'leases over without an answer').length > 0, 20_000);
	expect(waitedMs).toBeGreaterThan(5800);
	expect(waitedMs).toBeLessThan(7500);
	await site!.clock.advance(2000);
	expect(site!.events.filter(event => event.type === 'started')).toHaveLength(12);
});

/** Guards against a crash loop that costs the length of a lease each time: an incarnation that follows a listed one has no earlier lease. */
it('an agent takes a fresh incarnation that was sent no lease for free as soon as it is silent', async () => {
	await createBusySite();
	const {worker} = site!.hosts.get('host-0')!;
	site!.store.getFault = () => StoreFault.LoseRequest;
	worker.crash();
	const came = getNotes('host-0', 'worker came').length;
	expect(await site!.waitFor(() => getNotes('host-0', 'worker came').length > came, 3000)).toBeDefined();
	await site!.clock.advance(100);
	worker.isUnresponsive = true;
	expect(await site!.waitFor(() => getNotes('host-0', 'leases over without an answer').length > 0, 20_000)).toBeLessThan(2500);
});
