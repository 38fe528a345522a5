/**
Callers of an entry that the store turns away while it serves others.
*/
import {afterEach, expect, it} from 'vitest';
import {MemoryStore, StoreFault} from '../src/standin/memory-store.ts';
import {LookupOutcome, SubmitOutcome} from '../src/types/job-api.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {EntryDirectory} from '../src/workflows/entry-directory.ts';
import {RelayingApi} from '../src/workflows/relaying-api.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {createEntryClient} from './site-calls.ts';
import {
	createSpec, createStep, queue, type SiteWorld,
} from './site-world.ts';

let world: SiteWorld | undefined;

afterEach(() => {
	world?.stop();
	expect(world?.violations ?? []).toEqual([]);
	world = undefined;
});

const createRelaying = async (): Promise<SiteWorld> => {
	const site = await createSite(2, 3);
	site.isRelaying = true;
	return site;
};

const createCut = async (fault: StoreFault, isKnown = true): Promise<SiteWorld> => {
	const site = await createRelaying();
	cut(site, 'entry-0', fault, isKnown);
	await site.clock.advance(1000);
	return site;
};

const cut = (site: SiteWorld, entry: string, fault: StoreFault, isKnown = true): void => {
	const before = site.store.fault;
	site.store.fault = call => call.client === entry ? fault : before(call);
	if (isKnown) {
		site.storeLost.add(entry);
	}
};

const spec = createSpec([createStep()]);

it('have their jobs taken by another entry', async () => {
	world = await createCut(StoreFault.Refuse);
	expect(await world.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.Accepted});
	await world.clock.advance(4000);
	expect(await world.getState(jobId, 'entry-1')).toBe(WorkflowState.Completed);
});

it('have them taken before it is known that the store gives no answers', async () => {
	world = await createCut(StoreFault.Silence, false);
	const startMs = world.clock.monotonicMs();
	expect(await world.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.Accepted});
	expect(world.clock.monotonicMs() - startMs).toBeLessThan(1000);
});

it('are shown the end of a job that it has not read', async () => {
	world = await createCut(StoreFault.None);
	await world.submit(jobId, spec, 'entry-0');
	cut(world, 'entry-0', StoreFault.Silence);
	await world.clock.advance(4000);
	expect(await world.getState(jobId, 'entry-0')).toBe(WorkflowState.Completed);
});

it('learn what another entry has proven: that there is no such job', async () => {
	world = await createCut(StoreFault.Refuse);
	expect(await world.getState(otherId, 'entry-0')).toBe(LookupOutcome.Absent);
});

it('are told at once that a job they cancel is over, also when no entry reaches the store', async () => {
	world = await createCut(StoreFault.None);
	await world.submit(jobId, spec, 'entry-0');
	await world.clock.advance(4000);
	for (const entry of world.entries.keys()) {
		cut(world, entry, StoreFault.Silence);
	}

	expect(await world.cancel(jobId, 'entry-0')).toBe(LookupOutcome.Found);
});

it('can cancel', async () => {
	world = await createCut(StoreFault.None);
	world.plan = () => ({workMs: 20_000});
	await world.submit(jobId, spec, 'entry-1');
	cut(world, 'entry-0', StoreFault.Silence);
	expect(await world.cancel(jobId, 'entry-0')).toBe(LookupOutcome.Found);
	await world.clock.advance(3000);
	expect(await world.getState(jobId, 'entry-1')).toBe(WorkflowState.Cancelled);
});

it('are not told that a job never runs when another entry may have taken it', async () => {
	world = await createCut(StoreFault.Refuse);
	world.lostAnswers.add('entry-0>entry-1');
	world.lostAnswers.add('entry-0>entry-2');
	expect(await world.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.Unknown});
	await world.clock.advance(4000);
	expect(await world.getState(jobId, 'entry-1')).toBe(WorkflowState.Completed);
});

it('are not told that it never runs when they hand in again what another entry may have taken', async () => {
	world = await createCut(StoreFault.Refuse);
	world.lostAnswers.add('entry-0>entry-1');
	world.lostAnswers.add('entry-0>entry-2');
	await world.submit(jobId, spec, 'entry-0');
	for (const entry of ['entry-1', 'entry-2']) {
		world.storeFailing.add(entry);
	}

	world.lostAnswers.clear();
	await world.clock.advance(2000);
	expect(await world.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.Unknown});
});

it('are refused soon when the store refuses all and it is not known yet', async () => {
	world = await createRelaying();
	world.store.fault = () => StoreFault.Refuse;
	const startMs = world.clock.monotonicMs();
	expect(await world.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.NotAccepted});
	expect(world.clock.monotonicMs() - startMs).toBeLessThan(800);
});

it('are refused, not left in doubt, when the other entries have lost the store a moment ago', async () => {
	world = await createCut(StoreFault.Refuse);
	for (const entry of ['entry-1', 'entry-2']) {
		cut(world, entry, StoreFault.Silence, false);
		world.storeFailing.add(entry);
	}

	expect(await world.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.NotAccepted});
});

it('are refused at once when no entry reaches the store', async () => {
	world = await createRelaying();
	for (const entry of world.entries.keys()) {
		cut(world, entry, StoreFault.Refuse);
	}

	await world.clock.advance(1000);
	const startMs = world.clock.monotonicMs();
	expect(await world.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.NotAccepted});
	expect(world.clock.monotonicMs() - startMs).toBeLessThan(50);
});

it('have one job when the own try is stored as well', async () => {
	world = await createRelaying();
	const owner = world.getOwnerName();
	const other = [...world.entries.keys()].find(name => name !== owner)!;
	cut(world, other, StoreFault.DoLate, false);
	await world.submit(jobId, spec, other);
	await world.clock.advance(8000);
	expect(world.getStarts(`${jobId}.0.0.0`)).toBe(1);
	expect(await world.getState(jobId, owner)).toBe(WorkflowState.Completed);
});

it('are refused, not left in doubt, when the other entries have lost power', async () => {
	world = await createCut(StoreFault.Refuse);
	const {clock} = world;
	const relay = new RelayingApi({
		local: world.entries.get('entry-0')!.jobs,
		client: createEntryClient(world, 'entry-0'),
		clock,
		getOthers: () => [{host: 'entry-8', address: 'entry-8'}, {host: 'entry-9', address: 'entry-9'}],
		isStoreLost: () => true,
		note: () => undefined,
	});
	expect(await world.settle(relay.submit(queue, jobId, spec, 2500))).toMatchObject({outcome: SubmitOutcome.NotAccepted});
	await clock.advance(3000);
	const startMs = clock.monotonicMs();
	expect(await world.settle(relay.submit(queue, jobId, spec, 2500))).toMatchObject({outcome: SubmitOutcome.NotAccepted});
	expect(clock.monotonicMs() - startMs).toBeLessThan(50);
});

const startDirectories = (store: MemoryStore, clock: ManualClock, signal: AbortSignal): EntryDirectory[] => ['a', 'b'].map(host => {
	const directory = new EntryDirectory({
		store: store.createClient(host), clock, life: 'life', registration: {host, address: `${host}:1`}, note: () => undefined,
	});
	void directory.run(signal);
	return directory;
});

it('are not sent to an entry that has left', async () => {
	const clock = new ManualClock();
	const aborter = new AbortController();
	const [first, second] = startDirectories(new MemoryStore(clock), clock, aborter.signal);
	await clock.advance(25_000);
	expect(first!.others).toEqual([{host: 'b', address: 'b:1'}]);
	void second!.leave();
	await clock.advance(25_000);
	expect(first!.others).toEqual([]);
	aborter.abort();
});

it('are sent to an entry whose registration a late call of its earlier life has removed', async () => {
	const clock = new ManualClock();
	const store = new MemoryStore(clock);
	const aborter = new AbortController();
	const [first] = startDirectories(store, clock, aborter.signal);
	await clock.advance(1000);
	void store.createClient('b').appendKeyed({topic: 'keyed.entries', partition: 0}, [{key: 'b'}], {timeoutMs: 1000});
	await clock.advance(25_000);
	expect(first!.others).toEqual([{host: 'b', address: 'b:1'}]);
	aborter.abort();
});
