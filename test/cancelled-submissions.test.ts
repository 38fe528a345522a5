/**
Cancellations of jobs whose submission is still on its way, on manual time: entries freeze, appends are slow, processes are lost, and
the store drops old records.
*/
import fc from 'fast-check';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {getPartition} from '../src/core/partitions.ts';
import {createEntryClient} from '../src/plugins/entry-messages.ts';
import {StoreFault} from '../src/standin/memory-store.ts';
import {LookupOutcome, SubmitOutcome} from '../src/types/job-api.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {type HttpClient} from '../src/utils/keep-alive-client.ts';
import {RelayingApi} from '../src/workflows/relaying-api.ts';
import {encodeRecord, RecordType, workflowsTopic} from '../src/workflows/records.ts';
import {
	createJobId, createSite, jobId, otherId,
} from './site-setup.ts';
import {
	createSpec, createStep, partition, queue, service, SimulatedSite,
} from './simulated-site.ts';

const ref = {topic: workflowsTopic, partition};
const feed = createSpec([createStep({count: 3, isLasting: true})]);
const newService = 'bureau';
const moved = {...queue, service: newService};

let site: SimulatedSite;

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

const startSite = async (entries = 3): Promise<void> => {
	site = await createSite(2, entries);
	site.plan = () => ({workMs: undefined});
};

const getRunning = (id = jobId): string[] => [...site.hosts.values()].flatMap(({worker}) => [...worker.running.keys()]).filter(taskId => taskId.startsWith(id));

const getStarted = (id = jobId): string[] => site.events.filter(({type, taskId}) => type === 'started' && taskId.startsWith(id)).map(({taskId}) => taskId);

/** Entries that do not own the partition. */
const getReaders = (): string[] => [...site.entries.keys()].filter(name => name !== site.getOwnerName());

/** Freezes an entry and hands a job in at it, which reads the request when it wakes. */
const submitFrozen = async (name: string, spec = feed, asQueue = queue): Promise<void> => {
	const {clock, jobs} = site.entries.get(name)!;
	clock.isPaused = true;
	site.specs.set(jobId, spec);
	await clock.waitUntilRunning();
	await jobs.submit(asQueue, jobId, spec, 2500);
};

const expectNoStart = async (id = jobId, asQueue = queue): Promise<void> => {
	await site.clock.advance(15_000);
	expect(getStarted(id)).toEqual([]);
	expect(await site.getState(id, undefined, asQueue)).toBe(WorkflowState.Cancelled);
};

/** Guards against a job that runs after "no such job" was answered to its cancellation, because an attempt to submit it was still on its way. */
describe('a job that is cancelled while its submission is on its way', () => {
	it('never runs if the entry that was asked first was frozen', async () => {
		await startSite();
		const [asked, other] = getReaders();
		void submitFrozen(asked!);
		await site.clock.advance(3000);
		expect(await site.cancel(jobId, other)).toBe(LookupOutcome.Absent);
		site.entries.get(asked!)!.clock.resume();
		await expectNoStart();
	});

	it('never runs if it is submitted at another entry after the cancellation, and is one cancelled job', async () => {
		await startSite();
		expect(await site.cancel(jobId, 'entry-0')).toBe(LookupOutcome.Absent);
		expect(await site.getState(jobId, 'entry-0')).toBe(LookupOutcome.Absent);
		expect((await site.submit(jobId, feed, 'entry-1')).outcome).toBe(SubmitOutcome.Accepted);
		expect((await site.submit(jobId, feed, 'entry-2')).outcome).toBe(SubmitOutcome.Accepted);
		expect(await site.settle(site.entries.get('entry-2')!.jobs.countPending(queue, 1000))).toBe(0);
		await expectNoStart();
	});

	it('never runs if two entries are frozen with it one after the other', async () => {
		await startSite();
		const [first, second] = getReaders();
		void submitFrozen(first!);
		await site.clock.advance(1500);
		void submitFrozen(second!);
		await site.clock.advance(1500);
		expect(await site.cancel(jobId, site.getOwnerName())).toBe(LookupOutcome.Absent);
		site.entries.get(first!)!.clock.resume();
		await site.clock.advance(2000);
		site.entries.get(second!)!.clock.resume();
		await expectNoStart();
	});

	it('never runs if the owner and the entry that took the cancellation are killed right after the answer', async () => {
		await startSite();
		const [asked, other] = getReaders();
		void submitFrozen(asked!);
		await site.clock.advance(3000);
		const owner = site.getOwnerName()!;
		expect(await site.cancel(jobId, other)).toBe(LookupOutcome.Absent);
		site.killEntry(owner);
		site.killEntry(other!);
		site.startEntry(owner);
		site.entries.get(asked!)!.clock.resume();
		await expectNoStart();
	});

	it('has no occurrence that runs when it is due', async () => {
		await startSite();
		const [asked, other] = getReaders();
		const scheduled = createSpec([createStep()], {repeatCount: 40, firstDueMs: site.clock.now().getTime() + 5000, intervalMs: 100});
		void submitFrozen(asked!, scheduled);
		await site.clock.advance(3000);
		expect(await site.cancel(jobId, other)).toBe(LookupOutcome.Absent);
		site.entries.get(asked!)!.clock.resume();
		await expectNoStart();
	});

	it('never runs if it is submitted again by an entry that has accepted it without knowing of a refusal', async () => {
		await startSite();
		const [asked, other] = getReaders();
		site.store.getFault = ({kind, client}) => kind === 'read' && client === asked ? StoreFault.LoseRequest : StoreFault.None;
		await site.clock.advance(1500);
		await site.settle(site.store.createClient('refusing').append(ref, [encodeRecord({type: RecordType.Refused, id: jobId})], {timeoutMs: 1000}));
		expect((await site.submit(jobId, feed, asked)).outcome).toBe(SubmitOutcome.Accepted);
		site.store.getFault = ({kind, client}) => kind === 'append' && client === asked ? StoreFault.Refuse : StoreFault.None;
		await site.clock.advance(1500);
		expect(await site.cancel(jobId, other)).toBe(LookupOutcome.Absent);
		site.store.getFault = () => StoreFault.None;
		await expectNoStart();
	});

	it('never runs if its queue had no home yet', async () => {
		await startSite();
		const [asked, other] = getReaders();
		const fresh = {...queue, pathPrefix: '/fresh/'};
		void submitFrozen(asked!, feed, fresh);
		await site.clock.advance(3000);
		expect(await site.cancel(jobId, other, fresh)).toBe(LookupOutcome.Absent);
		site.entries.get(asked!)!.clock.resume();
		await expectNoStart(jobId, fresh);
	});

	it('never runs with appends of the asked entry that take up to 3.6 s, whenever the cancellation comes', async () => {
		await fc.assert(fc.asyncProperty(fc.integer({min: 300, max: 3600}), fc.integer({min: 50, max: 1400}), async (appendMs, cancelAfterMs) => {
			await startSite();
			const [asked, other] = getReaders();
			site.store.getDelayMs = ({kind, client, ref: called}) => kind === 'append' && client === asked && called?.topic === workflowsTopic ? appendMs : 0;
			site.specs.set(jobId, feed);
			void site.entries.get(asked!)!.jobs.submit(queue, jobId, feed, 2500);
			await site.clock.advance(cancelAfterMs);
			expect([LookupOutcome.Absent, LookupOutcome.Found]).toContain(await site.cancel(jobId, other));
			await site.clock.advance(8000);
			expect(getRunning()).toEqual([]);
			expect(await site.getState(jobId)).toBe(WorkflowState.Cancelled);
			site.stop();
		}), {seed: 73, numRuns: 40, endOnFailure: true});
	});
});

/** Guards against a cancellation that is lost with the store's old records, while an attempt is still on its way. */
it('a cancellation of an unknown job is known to an entry that starts after the store has dropped its record', async () => {
	await startSite();
	await site.cancel(jobId, 'entry-0');
	await site.clock.advance(100);
	const {offset} = site.entries.get('entry-0')!.follower.fold;
	await site.clock.advance(40_000);
	site.store.trim(ref, offset);
	for (const name of site.entries.keys()) {
		site.killEntry(name);
	}

	site.startEntry('entry-3');
	await site.clock.advance(3000);
	await site.submit(jobId, feed, 'entry-3');
	await expectNoStart();
});

/** Guards against a job that runs on another service, because its cancellation overtook its transfer and the owner that transferred it is gone. */
it('a job that is cancelled while its transfer is on its way never runs, also if the owner of its home dies', async () => {
	site = new SimulatedSite();
	site.services = [service, newService];
	site.plan = () => ({workMs: undefined});
	for (const workerService of site.services) {
		site.workerService = workerService;
		site.addHost(`${workerService}-0`);
	}

	for (const name of ['entry-0', 'entry-1', 'entry-2']) {
		site.startEntry(name);
	}

	await site.clock.advance(3000);
	// Makes the first service the home of the queue.
	await site.submit(otherId, createSpec([createStep({isLasting: true})]), 'entry-0');
	const target = getPartition(newService, 8);
	const owner = site.getOwnerName()!;
	const reader = getReaders().find(name => !site.entries.get(name)!.ownership.owners.has(target))!;
	site.store.getFault = ({kind, client, ref: called}) => kind === 'append' && client === owner && called?.partition === target ? StoreFault.ExecuteLate : StoreFault.None;
	expect((await site.submit(jobId, feed, reader, moved)).outcome).toBe(SubmitOutcome.Accepted);
	await site.clock.advance(300);
	expect(await site.cancel(jobId, reader, moved)).toBe(LookupOutcome.Found);
	site.killEntry(owner);
	site.store.getFault = () => StoreFault.None;
	await expectNoStart(jobId, moved);
});

describe('a cancellation that cannot be stored', () => {
	it.each([
		['the store takes nothing', StoreFault.Refuse],
		['the store gives no answer', StoreFault.LoseRequest],
	])('is not acknowledged while %s', async (_, fault) => {
		await startSite();
		site.store.getFault = ({kind, ref: called}) => kind === 'append' && called?.topic === workflowsTopic ? fault : StoreFault.None;
		expect(await site.cancel(jobId, 'entry-0')).toBe(LookupOutcome.Unknown);
	});

	/** Guards against acknowledged cancellations that are dropped for newer ones, and against memory that grows with cancelled ids. */
	it('for too many cancelled ids is refused, until the others are too old to matter', async () => {
		await startSite();
		const nowMs = site.clock.now().getTime();
		for (const {follower: {fold}} of site.entries.values()) {
			for (let index = 0; index < 20_000; index++) {
				fold.cancellations.add([createJobId(index + 1000), nowMs]);
			}
		}

		expect(await site.cancel(jobId, 'entry-0')).toBe(LookupOutcome.Unknown);
		expect(site.notes.filter(({event}) => event === 'cancellation refused')).toHaveLength(1);
		await site.submit(otherId, feed, 'entry-1');
		await site.clock.advance(500);
		expect(await site.cancel(otherId, 'entry-0')).toBe(LookupOutcome.Found);
		await site.clock.advance(200_000);
		expect(await site.cancel(jobId, 'entry-0')).toBe(LookupOutcome.Absent);
	});
});

describe('a caller that cancels an id again', () => {
	it('costs no write within a minute', async () => {
		await startSite();
		await site.cancel(jobId, 'entry-0');
		await site.clock.advance(500);
		const {append} = site.store.calls;
		for (let index = 0; index < 5; index++) {
			expect(await site.cancel(jobId, 'entry-1')).toBe(LookupOutcome.Absent);
		}

		expect(site.store.calls.append - append).toBeLessThan(5);
	});

	it('costs no write if its job has ended', async () => {
		await startSite();
		site.plan = () => ({workMs: 100});
		await site.submit(jobId, createSpec([createStep()]), 'entry-0');
		await site.clock.advance(3000);
		site.store.getFault = ({kind, ref: called}) => kind === 'append' && called?.topic === workflowsTopic ? StoreFault.Refuse : StoreFault.None;
		expect(await site.cancel(jobId, 'entry-1')).toBe(LookupOutcome.Found);
	});
});

/** Guards against the "absent" of an entry of an earlier version, which stores no cancellation of an unknown job. */
it('the answer of another entry that stores no cancellation of unknown jobs is not passed on', async () => {
	await startSite();
	const client = createEntryClient({
		callJson: async () => ({status: 200, json: {outcome: LookupOutcome.Absent}, headers: {}}),
	} as unknown as HttpClient);
	const relay = new RelayingApi({
		local: site.entries.get('entry-0')!.jobs, client, clock: site.clock, getOthers: () => [{host: 'entry-1', address: 'entry-1'}], isStoreLost: () => true, note: () => undefined,
	});
	expect(await site.settle(relay.cancel(queue, jobId, 1000))).toBe(LookupOutcome.Unknown);
});
