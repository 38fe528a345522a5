/**
Callers of an entry whose calls the store refuses or does not answer, while it serves other entries.
*/
import {afterEach, expect, it} from 'vitest';
import {createError, ErrorCode} from '../src/core/errors.ts';
import {MemoryStore, StoreFault} from '../src/standin/memory-store.ts';
import {type EntryClient} from '../src/types/entries.ts';
import {LookupOutcome, SubmitOutcome, type JobApi} from '../src/types/job-api.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {EntryDirectory} from '../src/workflows/entry-directory.ts';
import {RelayingApi} from '../src/workflows/relaying-api.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {createEntryClient} from './site-calls.ts';
import {
	createSpec, createStep, queue, type SimulatedSite,
} from './simulated-site.ts';

let currentSite: SimulatedSite | undefined;

afterEach(() => {
	currentSite?.stop();
	expect(currentSite?.violations ?? []).toEqual([]);
	currentSite = undefined;
});

const createRelaying = async (): Promise<SimulatedSite> => {
	const site = await createSite(2, 3);
	site.isRelaying = true;
	return site;
};

const createCut = async (fault: StoreFault, isKnown = true): Promise<SimulatedSite> => {
	const site = await createRelaying();
	cut(site, 'entry-0', fault, isKnown);
	await site.clock.advance(1000);
	return site;
};

const cut = (site: SimulatedSite, entry: string, fault: StoreFault, isKnown = true): void => {
	const before = site.store.getFault;
	site.store.getFault = call => call.client === entry ? fault : before(call);
	if (isKnown) {
		site.storeLost.add(entry);
	}
};

const spec = createSpec([createStep()]);

it('have their jobs accepted by another entry', async () => {
	currentSite = await createCut(StoreFault.Refuse);
	expect(await currentSite.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.Accepted});
	await currentSite.clock.advance(4000);
	expect(await currentSite.getState(jobId, 'entry-1')).toBe(WorkflowState.Completed);
});

it('are told of a refusal without another entry being asked', async () => {
	currentSite = await createRelaying();
	await currentSite.clock.advance(11_000);
	expect(await currentSite.submit(jobId, createSpec([createStep({milliCpu: 4001})]), 'entry-0')).toMatchObject({outcome: SubmitOutcome.Refused});
	expect(currentSite.notes.filter(({event}) => event === 'relayed')).toEqual([]);
});

it('have them accepted before the store is known to be lost', async () => {
	currentSite = await createCut(StoreFault.LoseRequest, false);
	const startMs = currentSite.clock.monotonicMs();
	expect(await currentSite.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.Accepted});
	expect(currentSite.clock.monotonicMs() - startMs).toBeLessThan(1000);
});

it('get the final state of a job that the entry has not read', async () => {
	currentSite = await createCut(StoreFault.None);
	await currentSite.submit(jobId, spec, 'entry-0');
	cut(currentSite, 'entry-0', StoreFault.LoseRequest);
	await currentSite.clock.advance(4000);
	expect(await currentSite.getState(jobId, 'entry-0')).toBe(WorkflowState.Completed);
});

it('get the answer of another entry that a job is absent', async () => {
	currentSite = await createCut(StoreFault.Refuse);
	expect(await currentSite.getState(otherId, 'entry-0')).toBe(LookupOutcome.Absent);
});

/** Guards against a state that goes back: an entry whose reads are not answered showed a completed job as queued for ten seconds. */
it('get the final state from another entry before the store is known to be lost', async () => {
	currentSite = await createRelaying();
	currentSite.plan = () => ({workMs: 3000});
	await currentSite.submit(jobId, spec, 'entry-1');
	await currentSite.clock.advance(1000);
	currentSite.store.getFault = ({client, kind}) => client === 'entry-0' && kind === 'read' ? StoreFault.LoseRequest : StoreFault.None;
	await currentSite.clock.advance(4000);
	expect(currentSite.entries.get('entry-0')!.follower.fold.workflows.get(jobId)!.state).not.toBe(WorkflowState.Completed);
	expect(await currentSite.getState(jobId, 'entry-0')).toBe(WorkflowState.Completed);
});

/** Guards against the same by an entry that has started and has read a part of the stream. */
it('get the final state from another entry while the entry has read a part of the stream', async () => {
	currentSite = await createRelaying();
	await currentSite.submit(jobId, spec, 'entry-1');
	for (let index = 0; index < 40; index++) {
		await currentSite.submit(`000000000000b${index.toString(16).padStart(3, '0')}`, {...spec, input: 'x'.repeat(4000)}, 'entry-1');
	}

	await currentSite.clock.advance(20_000);
	currentSite.killEntry('entry-0');
	currentSite.store.getDelayMs = ({client, kind}) => client === 'entry-0' && kind === 'read' ? 650 : 0;
	currentSite.startEntry('entry-0');
	await currentSite.clock.advance(1500);
	expect(currentSite.entries.get('entry-0')!.follower.fold.workflows.get(jobId)!.state).not.toBe(WorkflowState.Completed);
	expect(await currentSite.getState(jobId, 'entry-0')).toBe(WorkflowState.Completed);
});

/** Guards against a count from before the store was lost where another entry has a recent one. */
it('get the pending count of another entry', async () => {
	currentSite = await createCut(StoreFault.LoseRequest);
	await currentSite.submit(jobId, createSpec([createStep({milliCpu: 90_000})]), 'entry-1');
	await currentSite.clock.advance(4000);
	expect(await currentSite.settle(currentSite.entries.get('entry-0')!.relay.countPending(queue, 2500))).toBe(1);
});

/** Guards against a count that waits until the caller's deadline when no entry has a recent one. */
it('are soon told that no pending count is known when no entry reaches the store', async () => {
	currentSite = await createRelaying();
	for (const entry of currentSite.entries.keys()) {
		cut(currentSite, entry, StoreFault.Refuse);
	}

	await currentSite.clock.advance(4000);
	const startMs = currentSite.clock.monotonicMs();
	expect(await currentSite.settle(currentSite.entries.get('entry-0')!.relay.countPending(queue, 2500))).toBeUndefined();
	expect(currentSite.clock.monotonicMs() - startMs).toBeLessThan(50);
});

/** Guards against an old state of another entry that is taken for a recent one: its reads are not answered either. */
it('get the final state from a third entry while the second one knows only an old state', async () => {
	currentSite = await createRelaying();
	currentSite.plan = () => ({workMs: 3000});
	await currentSite.submit(jobId, spec, 'entry-2');
	await currentSite.clock.advance(1000);
	currentSite.store.getFault = ({client, kind}) => client !== 'entry-2' && currentSite!.entries.has(client) && kind === 'read' ? StoreFault.LoseRequest : StoreFault.None;
	currentSite.storeLost.add('entry-0');
	await currentSite.clock.advance(9000);
	expect(currentSite.entries.get('entry-1')!.follower.fold.workflows.get(jobId)!.state).not.toBe(WorkflowState.Completed);
	expect(await currentSite.getState(jobId, 'entry-0')).toBe(WorkflowState.Completed);
});

/** Guards against a cancellation that is not written because the time goes into reading a job that the entry knows. */
it('have a known job cancelled by an entry whose reads are not answered, before a short deadline', async () => {
	currentSite = await createRelaying();
	currentSite.plan = () => ({workMs: 60_000});
	await currentSite.submit(jobId, spec, 'entry-1');
	await currentSite.clock.advance(1000);
	currentSite.store.getFault = ({client, kind}) => client === 'entry-0' && kind === 'read' ? StoreFault.LoseRequest : StoreFault.None;
	await currentSite.clock.advance(4000);
	const {relay} = currentSite.entries.get('entry-0')!;
	expect(await currentSite.settle(relay.cancel(queue, jobId, 1000))).toBe(LookupOutcome.Found);
	expect(await currentSite.getState(jobId, 'entry-1')).toBe(WorkflowState.Cancelled);
});

/** Guards against an old state or no count where the time until the deadline goes into the entry's own read. */
it('get state and count from another entry before a short deadline while the reads of the entry are not answered', async () => {
	currentSite = await createRelaying();
	await currentSite.submit(jobId, spec, 'entry-1');
	currentSite.store.getFault = ({client, kind}) => client === 'entry-0' && kind === 'read' ? StoreFault.LoseRequest : StoreFault.None;
	await currentSite.clock.advance(4000);
	const {relay} = currentSite.entries.get('entry-0')!;
	const shortMs = 1000;
	expect(await currentSite.settle(relay.getState(queue, jobId, shortMs))).toMatchObject({state: WorkflowState.Completed});
	expect(await currentSite.settle(relay.countPending(queue, shortMs))).toBe(0);
});

/** Guards against jobs that are refused because the entry which accepts them could not give a count a moment ago. */
it('have their jobs accepted by an entry that could not give a pending count', async () => {
	currentSite = await createRelaying();
	const {store, clock} = currentSite;
	currentSite.killEntry('entry-2');
	cut(currentSite, 'entry-0', StoreFault.Refuse);
	const before = store.getFault;
	store.getFault = call => call.client === 'entry-1' && call.kind === 'read' ? StoreFault.LoseRequest : before(call);
	await clock.advance(4000);
	const {relay} = currentSite.entries.get('entry-0')!;
	await currentSite.settle(relay.countPending(queue, 2500));
	expect(await currentSite.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.Accepted});
});

it('get an answer at once when they cancel a finished job, also when no entry reaches the store', async () => {
	currentSite = await createCut(StoreFault.None);
	await currentSite.submit(jobId, spec, 'entry-0');
	await currentSite.clock.advance(4000);
	for (const entry of currentSite.entries.keys()) {
		cut(currentSite, entry, StoreFault.LoseRequest);
	}

	expect(await currentSite.cancel(jobId, 'entry-0')).toBe(LookupOutcome.Found);
});

it('can cancel a job', async () => {
	currentSite = await createCut(StoreFault.None);
	currentSite.plan = () => ({workMs: 20_000});
	await currentSite.submit(jobId, spec, 'entry-1');
	cut(currentSite, 'entry-0', StoreFault.LoseRequest);
	expect(await currentSite.cancel(jobId, 'entry-0')).toBe(LookupOutcome.Found);
	await currentSite.clock.advance(3000);
	expect(await currentSite.getState(jobId, 'entry-1')).toBe(WorkflowState.Cancelled);
});

it('get the outcome unknown when another entry may have accepted the job', async () => {
	currentSite = await createCut(StoreFault.Refuse);
	currentSite.lostAnswers.add('entry-0>entry-1');
	currentSite.lostAnswers.add('entry-0>entry-2');
	expect(await currentSite.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.Unknown});
	await currentSite.clock.advance(4000);
	expect(await currentSite.getState(jobId, 'entry-1')).toBe(WorkflowState.Completed);
});

it('get the outcome unknown when they submit a job again that another entry may have accepted', async () => {
	currentSite = await createCut(StoreFault.Refuse);
	currentSite.lostAnswers.add('entry-0>entry-1');
	currentSite.lostAnswers.add('entry-0>entry-2');
	await currentSite.submit(jobId, spec, 'entry-0');
	for (const entry of ['entry-1', 'entry-2']) {
		currentSite.storeFailing.add(entry);
	}

	currentSite.lostAnswers.clear();
	await currentSite.clock.advance(2000);
	expect(await currentSite.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.Unknown});
});

/** Guards against "refused" about a job that another entry begins to handle later. */
it('get the outcome unknown when they submit a job again that this entry refuses and another entry may have accepted', async () => {
	currentSite = await createRelaying();
	await currentSite.clock.advance(11_000);
	const {clock} = currentSite;
	let outcome = SubmitOutcome.NotAccepted;
	const relay = new RelayingApi({
		local: {...currentSite.entries.get('entry-0')!.jobs, submit: async () => ({outcome})} as unknown as JobApi,
		client: {
			async submit() {
				throw createError(ErrorCode.PeerUnavailable, {step: 'call', peer: 'entry-1'});
			},
		} as unknown as EntryClient,
		clock,
		getOthers: () => [{host: 'entry-1', address: 'entry-1'}],
		isStoreLost: () => false,
		note: () => undefined,
	});
	expect(await currentSite.settle(relay.submit(queue, jobId, spec, 2500))).toMatchObject({outcome: SubmitOutcome.Unknown});
	outcome = SubmitOutcome.Refused;
	expect(await currentSite.settle(relay.submit(queue, jobId, spec, 2500))).toMatchObject({outcome: SubmitOutcome.Unknown});
	expect(await currentSite.settle(relay.submit(queue, otherId, spec, 2500))).toMatchObject({outcome: SubmitOutcome.Refused});
});

it('are refused soon when the store refuses all entries and is not known to be lost', async () => {
	currentSite = await createRelaying();
	currentSite.store.getFault = () => StoreFault.Refuse;
	const startMs = currentSite.clock.monotonicMs();
	expect(await currentSite.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.NotAccepted});
	expect(currentSite.clock.monotonicMs() - startMs).toBeLessThan(800);
});

it('are refused, not left with an unknown outcome, when the other entries have just lost the store', async () => {
	currentSite = await createCut(StoreFault.Refuse);
	for (const entry of ['entry-1', 'entry-2']) {
		cut(currentSite, entry, StoreFault.LoseRequest, false);
		currentSite.storeFailing.add(entry);
	}

	expect(await currentSite.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.NotAccepted});
});

it('are refused at once when no entry reaches the store', async () => {
	currentSite = await createRelaying();
	for (const entry of currentSite.entries.keys()) {
		cut(currentSite, entry, StoreFault.Refuse);
	}

	await currentSite.clock.advance(1000);
	const startMs = currentSite.clock.monotonicMs();
	expect(await currentSite.submit(jobId, spec, 'entry-0')).toMatchObject({outcome: SubmitOutcome.NotAccepted});
	expect(currentSite.clock.monotonicMs() - startMs).toBeLessThan(50);
});

it('have one job when the entry\'s own record is stored as well', async () => {
	currentSite = await createRelaying();
	const owner = currentSite.getOwnerName();
	const other = [...currentSite.entries.keys()].find(name => name !== owner)!;
	cut(currentSite, other, StoreFault.ExecuteLate, false);
	await currentSite.submit(jobId, spec, other);
	await currentSite.clock.advance(8000);
	expect(currentSite.getStarts(`${jobId}.0.0.0`)).toBe(1);
	expect(await currentSite.getState(jobId, owner)).toBe(WorkflowState.Completed);
});

it('are refused, not left with an unknown outcome, when the other entries have lost power', async () => {
	currentSite = await createCut(StoreFault.Refuse);
	const {clock} = currentSite;
	const relay = new RelayingApi({
		local: currentSite.entries.get('entry-0')!.jobs,
		client: createEntryClient(currentSite, 'entry-0'),
		clock,
		getOthers: () => [{host: 'entry-8', address: 'entry-8'}, {host: 'entry-9', address: 'entry-9'}],
		isStoreLost: () => true,
		note: () => undefined,
	});
	expect(await currentSite.settle(relay.submit(queue, jobId, spec, 2500))).toMatchObject({outcome: SubmitOutcome.NotAccepted});
	await clock.advance(3000);
	const startMs = clock.monotonicMs();
	expect(await currentSite.settle(relay.submit(queue, jobId, spec, 2500))).toMatchObject({outcome: SubmitOutcome.NotAccepted});
	expect(clock.monotonicMs() - startMs).toBeLessThan(50);
});

const startDirectories = (store: MemoryStore, clock: ManualClock, signal: AbortSignal): EntryDirectory[] => ['a', 'b'].map(host => {
	const directory = new EntryDirectory({
		store: store.createClient(host), clock, isAddress: () => true, life: 'life', registration: {host, address: `${host}:1`}, note: () => undefined,
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

it('are sent to an entry whose registration was removed by a late call of its earlier incarnation', async () => {
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

/** Guards against "no such job" for a job that this entry has accepted: the other entry has not read it yet, and the job runs on. */
it('are not told that a job is absent which their entry knows, when they cancel it', async () => {
	const known: Partial<JobApi> = {
		getState: async () => ({outcome: LookupOutcome.Found, state: WorkflowState.Running}),
	};
	const client: Partial<EntryClient> = {
		cancel: async () => LookupOutcome.Absent,
	};
	const relay = new RelayingApi({
		local: known as JobApi, client: client as EntryClient, clock: new ManualClock(), getOthers: () => [{host: 'entry-1', address: 'entry-1'}], isStoreLost: () => true, note: () => undefined,
	});
	expect(await relay.cancel(queue, jobId, 1000)).toBe(LookupOutcome.Unknown);
});
