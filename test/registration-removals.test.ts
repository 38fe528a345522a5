/**
Registrations of agents that are removed, by the agents or by an owner, and what owners conclude from that.
*/
import {afterEach, expect, it} from 'vitest';
import {agentsTopic} from '../src/agents/control-records.ts';
import {StoreFault, type StoreCall} from '../src/standin/memory-store.ts';
import {
	createLongRunningSite, endWorker, getHostOf, killOwner, loseHost, replaceOwner, resumeMs, startLongRunningTask, stopAgent, waitForStarts,
} from './departures.ts';
import {createJobId} from './site-setup.ts';
import {type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite;

/** Time that a takeover needs with agents that all answer. */
const takeoverMs = 2000;

const getReconciledAfterMs = (source: string): number | undefined => site.notes.find(note => note.source === source && note.event === 'settled')?.fields.tookMs as number | undefined;

const getRegisteredHosts = async (): Promise<string[]> => {
	const {records} = await site.settle(site.store.createClient('test').readNewest({topic: agentsTopic, partition: 0}));
	return records.map(({key}) => key);
};

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** Guards against an owner that goes on asking an agent which has left, declares it lost and waits for its leases. */
it('a task whose end the owner did not read starts again in time if its worker and agent leave in order', async () => {
	site = await createLongRunningSite(4, 1);
	const {taskId, host} = await startLongRunningTask(site, 10);
	site.cuts.add(`entry-0>${host}`);
	site.hosts.get(host)!.worker.isDraining = true;
	await site.clock.advance(300);
	endWorker(site, host);
	await site.clock.advance(1000);
	await stopAgent(site, host);
	expect(await waitForStarts(site, taskId, 2)).toBeLessThan(resumeMs);
	expect(site.notes.filter(({event}) => event === 'agent lost')).toEqual([]);
});

/** Guards against the same while an owner takes over: every task from before its claim waits for the agent that has left. */
it('a task starts again in time although another host leaves in order during the takeover', async () => {
	site = await createLongRunningSite(4, 2);
	const {taskId, host} = await startLongRunningTask(site, 10);
	const leaving = [...site.hosts.keys()].find(name => name !== host)!;
	const next = [...site.entries.keys()].find(name => name !== site.getOwnerName())!;
	site.cuts.add(`${next}>${leaving}`);
	killOwner(site);
	site.hosts.get(host)!.worker.crash();
	expect(await site.waitFor(() => site.notes.some(({source, event}) => source === next && event === 'took over'), 5000)).toBeDefined();
	await site.clock.advance(300);
	endWorker(site, leaving);
	await site.clock.advance(100);
	await stopAgent(site, leaving);
	expect(await waitForStarts(site, taskId, 2)).toBeLessThan(resumeMs);
});

/** Guards against a removal that is refused because another registration changed at the same moment, and is not tried again: each later takeover waits for that agent. */
it('a new owner does not wait for hosts that went at the same moment and were removed', async () => {
	site = await createLongRunningSite(5, 2);
	site.store.getDelayMs = ({kind, ref}) => kind === 'append' && ref?.topic === agentsTopic ? 300 : 0;
	const lost = [...site.hosts.values()].filter(({worker}) => worker.running.size > 0).slice(0, 2).map(({name}) => name);
	expect(lost).toHaveLength(2);
	for (const name of lost) {
		loseHost(site, name);
	}

	await site.clock.advance(30_000);
	const registered = await getRegisteredHosts();
	expect(registered.filter(name => lost.includes(name))).toEqual([]);
	const next = await replaceOwner(site);
	await site.clock.advance(15_000);
	expect(getReconciledAfterMs(next)).toBeLessThan(takeoverMs);
});

/** Guards against a removal that gets no answer, or comes while the store is away, and is not tried again. */
it.each(['append', 'read'] as const)('a registration is removed although the first %s for it fails', async kind => {
	site = await createLongRunningSite(3, 1);
	loseHost(site, 'host-1');
	expect(await site.waitFor(() => site.notes.some(({event}) => event === 'loss stored'), 10_000)).toBeDefined();
	const isHit = ({ref, client, kind: called}: StoreCall) => client === 'entry-0' && ref?.topic === agentsTopic && called === kind;
	await site.clock.advance(6000);
	site.store.getFault = call => isHit(call) ? StoreFault.Refuse : StoreFault.None;
	await site.clock.advance(3000);
	site.store.getFault = () => StoreFault.None;
	await site.clock.advance(3000);
	expect(await getRegisteredHosts()).toEqual(['host-0', 'host-2']);
});

/** Guards against a removal that is read late and taken for one of the registration that followed it. */
it('runs of an agent that has come back are not lost by the removal of its earlier registration', async () => {
	site = await createLongRunningSite(3, 1);
	const host = getHostOf(site, `${createJobId(0)}.0.0.0`);
	endWorker(site, host);
	await site.clock.advance(500);
	site.store.getAnswerDelayMs = ({kind, ref, client}) => kind === 'read' && client === 'entry-0' && ref?.topic === agentsTopic ? 2500 : 0;
	await site.clock.advance(2500);
	await stopAgent(site, host);
	site.hosts.get(host)!.worker.isDown = false;
	site.startAgent(host);
	await site.clock.advance(3000);
	const {taskId} = await startLongRunningTask(site, 20);
	await startLongRunningTask(site, 21);
	await startLongRunningTask(site, 22);
	await site.clock.advance(10_000);
	expect(site.getStarts(taskId)).toBe(1);
	expect(site.hosts.get(host)!.worker.running.size).toBeGreaterThan(0);
});

/** Guards against an agent that gives its registration up to an owner's declaration of loss because the store is away as it stops. */
it.each([StoreFault.Refuse, StoreFault.LoseRequest])('an agent whose worker has ended removes its registration although the store answers with %s at first', async fault => {
	site = await createLongRunningSite(3, 1);
	endWorker(site, 'host-1');
	await site.clock.advance(500);
	site.store.getFault = ({client}) => client === 'host-1' ? fault : StoreFault.None;
	site.clock.setTimer(() => {
		site.store.getFault = () => StoreFault.None;
	}, 1500);
	await stopAgent(site, 'host-1');
	expect(await getRegisteredHosts()).toEqual(['host-0', 'host-2']);
});
