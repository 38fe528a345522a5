/**
Workers that refuse to renew their leases, as unhealthy ones do.
*/
import {
	afterEach, expect, it,
} from 'vitest';
import {OrderFault} from '../src/standin/worker-options.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite | undefined;

const refuseRenewals = (): void => {
	site!.hosts.get('host-0')!.worker.getFault = order => order === 'renew' ? OrderFault.Refuse : OrderFault.None;
};

const getEvents = (type: string) => site!.events.filter(event => event.type === type);

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

/** Guards against tasks that wait while a worker refuses renewals: their leases have expired there, and a refusal was taken for a sign that they run. */
it('tasks of a worker that refuses renewals start elsewhere once their leases have expired', async () => {
	site = await createSite(1, 1);
	site.plan = () => ({workMs: 60_000});
	await site.submit(jobId, createSpec([createStep({count: 4})]));
	await site.clock.advance(500);
	site.addHost('host-1');
	await site.clock.advance(1000);
	refuseRenewals();
	expect(await site.waitFor(() => getEvents('started').length === 8, 15_000)).toBeLessThan(9000);
	await site.clock.advance(3000);
	site.hosts.get('host-0')!.worker.getFault = () => OrderFault.None;
	await site.clock.advance(5000);
	expect(getEvents('started')).toHaveLength(8);
});

/** Guards against starts that only lapse: a worker that refuses renewals gives each the 1.5 s of its start. */
it('a worker that refuses renewals gets no tasks', async () => {
	site = await createSite(1, 1);
	site.plan = () => ({workMs: 60_000});
	refuseRenewals();
	await site.clock.advance(2000);
	await site.submit(jobId, createSpec([createStep({count: 4})]));
	await site.clock.advance(6000);
	expect(getEvents('started')).toHaveLength(0);
	site.hosts.get('host-0')!.worker.getFault = () => OrderFault.None;
	await site.clock.advance(1500);
	expect(getEvents('started')).toHaveLength(4);
});

/** Guards against a worker that counts as silent whenever it refuses a single call. */
it('a worker that refuses every third renewal keeps its tasks and gets more', async () => {
	site = await createSite(1, 1);
	site.plan = () => ({workMs: 60_000});
	let calls = 0;
	site.hosts.get('host-0')!.worker.getFault = order => order === 'renew' && ++calls % 3 === 0 ? OrderFault.Refuse : OrderFault.None;
	await site.submit(jobId, createSpec([createStep({count: 2})]));
	await site.clock.advance(10_000);
	await site.submit(otherId, createSpec([createStep({count: 2})]));
	await site.clock.advance(1000);
	expect(getEvents('started')).toHaveLength(4);
	expect(getEvents('ended')).toHaveLength(0);
	expect(site.notes.filter(({event}) => event === 'agent answers').length).toBeLessThan(3);
});
