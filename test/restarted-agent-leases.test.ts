/**
Leases of a worker that an earlier process of its agent granted: they go on when the agent is restarted.
*/
import {
	afterEach, expect, it,
} from 'vitest';
import {AgentState} from '../src/agents/agent-state.ts';
import {WorkerLease} from '../src/agents/worker-lease.ts';
import {StoreFault} from '../src/standin/memory-store.ts';
import {OrderFault} from '../src/standin/worker-options.ts';
import {type WorkerReport} from '../src/types/fleet.ts';
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
it('an agent reports the leases of a fresh incarnation that was sent none as expired as soon as it is silent', async () => {
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

/** Guards against a lease of an earlier process that is forgotten, that grows with later readings, or that lets renewals grow. */
it('a lease counts those of earlier processes up to the longest lease after its first reading', () => {
	const lease = new WorkerLease(7000, 6000);
	expect(lease.isExpired(60_000, 300)).toBe(false);
	lease.recordReading(100_000, 0);
	expect(lease.isExpired(6300, 300)).toBe(false);
	expect(lease.isExpired(6500, 300)).toBe(true);
	lease.recordReading(103_000, 3000);
	expect(lease.isExpired(6300, 300)).toBe(false);
	expect(lease.isExpired(6500, 300)).toBe(true);
	lease.extendByProof(103_000);
	expect(lease.getRenewalUntilMs({isAnswering: false, nowMs: 3000, maxLeaseMs: 7000})).toBe(0);
	lease.recordSent(lease.getRenewalUntilMs({isAnswering: true, nowMs: 3000, maxLeaseMs: 7000}));
	expect(lease.isExpired(10_400, 300)).toBe(false);
	expect(lease.isExpired(10_500, 300)).toBe(true);
});

/** Guards against an incarnation taken for fresh because one was announced before it: that announcement may be older than this process. */
it('an incarnation is fresh only if this process has listed the one before it', () => {
	const getEarlierUntilMs = (isListed: boolean): number => {
		const state = new AgentState('life', {startedAtMs: 0, leaseMs: 7000, maxLeaseMs: 6000});
		const report = (workerId: string): WorkerReport => ({
			workerId, service: 's', failureDomain: 'f', isDraining: false, milliCpu: 1000, memoryMb: 1000, accelerators: 0, labels: [], sequence: 1,
		});
		state.applyAnnouncement(report('i-1'), 0);
		if (isListed) {
			state.worker!.runs.applyListing({
				clockMs: 50_000, running: [], ended: [], hasMoreEnds: false,
			}, 0);
		}

		state.applyAnnouncement(report('i-2'), 0);
		state.removeWorker('i-1', 0);
		state.worker!.lease.recordReading(100_000, 0);
		return state.worker!.lease.earlierUntilMs;
	};

	expect(getEarlierUntilMs(false)).toBe(106_000);
	expect(getEarlierUntilMs(true)).toBe(0);
});

/** Guards against tasks that wait for ever: no answer of the worker tells the new process what runs there, and its leases end all the same. */
it.each([
	['is silent', OrderFault.Drop],
	['carries out calls without an answer', OrderFault.LoseAnswer],
	['carries out calls late and without an answer', OrderFault.ExecuteLate],
	['has died and announces nothing', undefined],
])('tasks of a worker that %s since before its agent was restarted start elsewhere once its leases have expired', async (_, fault) => {
	await createBusySite();
	const {worker} = site!.hosts.get('host-0')!;
	site!.killAgent('host-0');
	if (fault === undefined) {
		worker.isDown = true;
		worker.crash();
	} else {
		worker.getFault = () => fault;
	}

	await site!.clock.advance(300);
	site!.startAgent('host-0');
	const getStarts = () => site!.events.filter(event => event.type === 'started').length;
	expect(await site!.waitFor(() => getStarts() > 8, 20_000)).toBeLessThan(9000);
	await site!.clock.advance(3000);
	expect(getStarts()).toBe(12);
	worker.getFault = () => OrderFault.None;
	await site!.clock.advance(5000);
	expect(getStarts()).toBe(12);
});
