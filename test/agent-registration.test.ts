/**
Registrations of agents, and declarations of their loss that come at another time than usual.
*/
import {
	afterEach, expect, it,
} from 'vitest';
import {ControlRecordType, controlTopic, encodeControlRecord} from '../src/agents/control-records.ts';
import {StoreFault} from '../src/standin/memory-store.ts';
import {OrderRefusal, OrderType} from '../src/types/fleet.ts';
import {createSite, jobId} from './site-setup.ts';
import {
	createSpec, createStep, partition, type SimulatedSite,
} from './simulated-site.ts';

let site: SimulatedSite | undefined;

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

/** Guards against a host that no owner uses again: its registration is stored without an answer, declared lost, and only then answered. */
it('an agent that is declared lost while its registration is not answered registers again', async () => {
	site = await createSite(1, 1);
	const {clock, store, cuts} = site;
	const getNotes = (event: string) => site!.notes.filter(note => note.event === event);
	cuts.add('entry-0>host-0');
	expect(await site.waitFor(() => getNotes('agent lost').length === 1, 12_000)).toBeDefined();
	let isLosing = true;
	store.getFault = ({client, kind}) => isLosing && client === 'host-0' && kind === 'append' ? StoreFault.LoseAnswer : StoreFault.None;
	expect(await site.waitFor(() => getNotes('lapsed').length === 1, 20_000)).toBeDefined();
	cuts.clear();
	expect(await site.waitFor(() => getNotes('agent back').length === 1, 5000)).toBeDefined();
	cuts.add('entry-0>host-0');
	expect(await site.waitFor(() => getNotes('lapsed').length === 2, 40_000)).toBeDefined();
	isLosing = false;
	cuts.clear();
	await clock.advance(15_000);
	await site.submit(jobId, createSpec([createStep()]));
	await clock.advance(5000);
	expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
});

/** Guards against a declaration of loss that is forgotten: the last listing of a worker that has left was taken for one of its successor. */
it('an agent that is declared lost while its worker is replaced registers again', async () => {
	site = await createSite(1, 1);
	const {clock, store} = site;
	const {agent, worker} = site.hosts.get('host-0')!;
	const getRegistrations = () => site!.notes.filter(({source, event}) => source === 'host-0' && event === 'registered').length;
	const announcement = worker.announce();
	await clock.advance(200);
	agent!.handleWorkerLeave('host-0-1');
	agent!.handleAnnouncement({...announcement, workerId: 'host-0-2', sequence: 1});
	const record = encodeControlRecord({
		type: ControlRecordType.Lost, host: 'host-0', session: agent!.state.session, epoch: 1,
	});
	await site.settle(store.createClient('owner').append({topic: controlTopic, partition}, [record], {timeoutMs: 1000}));
	await clock.advance(20);
	expect(agent!.state.mustLetLeasesExpire).toBe(true);
	// Its listing is answered, later calls are not until its successor is up.
	worker.isUnresponsive = true;
	await clock.advance(500);
	worker.crash();
	worker.isUnresponsive = false;
	expect(getRegistrations()).toBe(1);
	await clock.advance(15_000);
	expect(getRegistrations()).toBe(2);
});

/** Guards against runs that a later owner does not know: the registration may be removed as lost until the agent has a new one. */
it('an agent whose leases have expired takes no start before it has registered again', async () => {
	site = await createSite(1, 2);
	const {clock, store, cuts} = site;
	const isNoted = (event: string) => () => site!.notes.some(note => note.event === event);
	const first = site.getOwnerName()!;
	cuts.add(`${first}>host-0`);
	expect(await site.waitFor(isNoted('loss stored'), 12_000)).toBeDefined();
	let isLosing = true;
	store.getFault = ({client, kind}) => isLosing && client === 'host-0' && kind === 'append' ? StoreFault.LoseRequest : StoreFault.None;
	site.killEntry(first);
	expect(await site.waitFor(isNoted('lapsed'), 12_000)).toBeDefined();
	await site.submit(jobId, createSpec([createStep()]));
	await clock.advance(3000);
	expect(site.getOwnerName()).toBeDefined();
	expect(site.getStarts(`${jobId}.0.0.0`)).toBe(0);
	isLosing = false;
	await clock.advance(3000);
	expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
});

/** Guards against a host that no owner uses again: its agent waits for the leases of a worker that is gone. */
it('an agent whose worker crashes while it lets the leases expire registers again', async () => {
	site = await createSite(1, 1);
	const {clock, store} = site;
	const {agent, worker} = site.hosts.get('host-0')!;
	const getRegistrations = () => site!.notes.filter(({source, event}) => source === 'host-0' && event === 'registered').length;
	const record = encodeControlRecord({
		type: ControlRecordType.Lost, host: 'host-0', session: agent!.state.session, epoch: 1,
	});
	await site.settle(store.createClient('owner').append({topic: controlTopic, partition}, [record], {timeoutMs: 1000}));
	expect(await site.waitFor(() => agent!.state.worker?.allLeasesExpiredAtMs !== undefined, 2000)).toBeDefined();
	await clock.advance(1000);
	worker.crash();
	expect(getRegistrations()).toBe(1);
	await clock.advance(15_000);
	expect(getRegistrations()).toBe(2);
	await site.submit(jobId, createSpec([createStep()]));
	await clock.advance(3000);
	expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
});

/** Guards against runs that go on while their owner takes them for lost: it would declare a registration lost that the agent has replaced. */
it('an agent takes no start from an owner that does not know its newest registration', async () => {
	site = await createSite(1, 1);
	const {agent, worker, clock} = site.hosts.get('host-0')!;
	const {epoch} = site.entries.get('entry-0')!.follower.fold;
	site.specs.set(jobId, createSpec([createStep()]));
	const order = async (session: number) => site!.settle(agent!.order({
		epoch, session, workerId: worker.workerId, agentLife: agent!.state.life, notAfterMs: clock.monotonicMs() + 1000, orders: [{
			type: OrderType.Start, start: {
				taskId: `${jobId}.0.0.0`, run: 1, input: '', checkpoint: '',
			},
		}],
	}));
	agent!.state.session = 7;
	expect((await order(6)).answers).toEqual([{isDone: false, refusal: OrderRefusal.NoLease}]);
	expect((await order(7)).answers).toMatchObject([{isDone: true}]);
});

/** Guards against tasks in two places: a restarted agent has read the stream to its end, from which the declaration of its loss was dropped, and renews leases. */
it('an agent that is restarted after the store has dropped the declaration of its loss keeps no task that starts elsewhere', async () => {
	site = await createSite(2, 1);
	site.plan = () => ({workMs: 60_000});
	await site.submit(jobId, createSpec([createStep({count: 8})]));
	await site.clock.advance(500);
	site.addHost('host-2');
	site.cuts.add('entry-0>host-0');
	expect(await site.waitFor(() => site!.notes.some(({event}) => event === 'loss stored'), 12_000)).toBeDefined();
	site.killAgent('host-0');
	const ref = {topic: controlTopic, partition};
	const {endOffset} = await site.settle(site.store.createClient('test').read(ref, 0, {waitMs: 0}));
	site.store.trim(ref, endOffset);
	await site.clock.advance(50);
	site.startAgent('host-0');
	await site.clock.advance(20_000);
	site.cuts.clear();
	await site.clock.advance(10_000);
	expect(site.events.filter(event => event.type === 'started')).toHaveLength(12);
});
