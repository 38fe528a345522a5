/**
Jobs of a queue that operators send to another service, on manual time: entries differ in their configuration, processes are lost, and the store fails.
*/
import fc from 'fast-check';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {getPartition} from '../src/core/partitions.ts';
import {StoreFault} from '../src/standin/memory-store.ts';
import {LookupOutcome, SubmitOutcome} from '../src/types/job-api.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {encodeRecord, RecordType, workflowsTopic} from '../src/workflows/records.ts';
import {createJobId, jobId, otherId} from './site-setup.ts';
import {
	createSpec, createStep, partition, queue, service, SimulatedSite,
} from './simulated-site.ts';

const newService = 'bureau';
const thirdService = 'counter';
/** A service whose partition is that of the queue's first one. */
const neighbour = 'issue';
const moved = {...queue, service: newService};
const movedOn = {...queue, service: thirdService};
const spec = createSpec([createStep({count: 2})]);
const taskIds = [`${jobId}.0.0.0`, `${jobId}.0.0.1`];

let site: SimulatedSite;

const startSite = async (entries = 2): Promise<void> => {
	expect(new Set([service, newService, thirdService].map(name => getPartition(name, 8))).size).toBe(3);
	expect(getPartition(neighbour, 8)).toBe(partition);
	site = new SimulatedSite();
	site.services = [service, newService, thirdService];
	for (const workerService of site.services) {
		site.workerService = workerService;
		site.addHost(`${workerService}-0`);
		site.addHost(`${workerService}-1`);
	}

	for (let index = 0; index < entries; index++) {
		site.startEntry(`entry-${index}`);
	}

	await site.clock.advance(3000);
};

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

const getStartCounts = (): number[] => taskIds.map(taskId => site.getStarts(taskId));

/** Services of the workers on which the job's tasks have started. */
const getServices = (id = jobId): string[] => [...new Set(site.events
	.filter(({type, taskId}) => type === 'started' && taskId.startsWith(id))
	.map(({workerId}) => [...site.hosts.values()].find(({worker}) => worker.workerId === workerId)!.worker.announce().service))];

const getOwner = (owned: number): string => [...site.entries.values()].find(({ownership}) => ownership.owners.has(owned))!.name;

describe('a job that was accepted before its queue was sent to another service', () => {
	/** Guards against a repeated submission that runs the job a second time, because the entry looks for it in the partition of the new service. */
	it('is not run again when it is submitted again, and its state is known', async () => {
		await startSite();
		site.plan = () => ({workMs: 20_000});
		await site.submit(jobId, spec, 'entry-0');
		await site.clock.advance(500);
		expect(await site.getState(jobId, 'entry-1', moved)).toBe(WorkflowState.Running);
		expect((await site.submit(jobId, spec, 'entry-1', moved)).outcome).toBe(SubmitOutcome.Accepted);
		await site.clock.advance(5000);
		expect(getStartCounts()).toEqual([1, 1]);
		expect(await site.getState(jobId, 'entry-0', moved)).toBe(WorkflowState.Running);
	});

	it('can be cancelled', async () => {
		await startSite();
		site.plan = () => ({workMs: undefined});
		await site.submit(jobId, createSpec([createStep({count: 2, isLasting: true})]), 'entry-0');
		await site.clock.advance(500);
		expect(await site.cancel(jobId, 'entry-1', moved)).toBe(LookupOutcome.Found);
		await site.clock.advance(500);
		expect(taskIds.some(taskId => site.isRunning(taskId))).toBe(false);
		expect(await site.getState(jobId, 'entry-0', moved)).toBe(WorkflowState.Cancelled);
	});

	it('is counted as pending until it has started', async () => {
		await startSite();
		const scheduled = createSpec([createStep()], {repeatCount: 1, firstDueMs: site.clock.now().getTime() + 4000, intervalMs: 1000});
		await site.submit(jobId, scheduled, 'entry-0');
		await site.submit(otherId, scheduled, 'entry-1', moved);
		await site.clock.advance(500);
		for (const name of ['entry-0', 'entry-1']) {
			expect(await site.settle(site.entries.get(name)!.jobs.countPending(moved, 1000))).toBe(2);
		}

		await site.clock.advance(5000);
		expect(await site.settle(site.entries.get('entry-0')!.jobs.countPending(moved, 1000))).toBe(0);
	});

	it('is known to an entry that starts after the change, and runs once', async () => {
		await startSite();
		site.plan = () => ({workMs: 20_000});
		await site.submit(jobId, spec, 'entry-0');
		await site.clock.advance(500);
		site.killEntry('entry-0');
		site.killEntry('entry-1');
		// The old service is no longer declared.
		site.services = [newService];
		site.startEntry('entry-2');
		await site.clock.advance(5000);
		expect((await site.submit(jobId, spec, 'entry-2', moved)).outcome).toBe(SubmitOutcome.Accepted);
		await site.clock.advance(5000);
		expect(getStartCounts()).toEqual([1, 1]);
		expect(await site.getState(jobId, 'entry-2', moved)).toBe(WorkflowState.Running);
		await site.clock.advance(15_000);
		expect(await site.getState(jobId, 'entry-2', moved)).toBe(WorkflowState.Completed);
	});

	/** An entry of a version that knows no homes has stored it in the partition of its service. */
	it('is found if an entry of an earlier version accepted it after the change', async () => {
		await startSite();
		await site.submit(otherId, createSpec([createStep()]), 'entry-0');
		site.specs.set(jobId, spec);
		const workflow = {
			...spec, id: jobId, queue: queue.name, service: newService, priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 500, needsAdvice: false, receivedAtMs: site.clock.now().getTime(),
		};
		await site.settle(site.store.createClient('earlier').append({topic: workflowsTopic, partition: getPartition(newService, 8)}, [encodeRecord({type: RecordType.Submit, workflow})], {timeoutMs: 1000}));
		await site.clock.advance(100);
		expect((await site.submit(jobId, spec, 'entry-1', moved)).outcome).toBe(SubmitOutcome.Accepted);
		await site.clock.advance(3000);
		expect(getStartCounts()).toEqual([1, 1]);
		expect(await site.getState(jobId, 'entry-1', moved)).toBe(WorkflowState.Completed);
	});
});

describe('a job that comes after its queue was sent to another service', () => {
	it('runs on workers of the new service, with all that it declares', async () => {
		await startSite();
		await site.submit(otherId, createSpec([createStep()]), 'entry-0');
		const steps = createSpec([createStep({count: 3, isGang: true}), createStep({count: 2, after: [0]})], {repeatCount: 2, firstDueMs: site.clock.now().getTime() + 1000, intervalMs: 1000});
		expect((await site.submit(jobId, steps, 'entry-1', moved)).outcome).toBe(SubmitOutcome.Accepted);
		await site.clock.advance(8000);
		expect(getServices()).toEqual([newService]);
		expect(site.events.filter(({type, taskId}) => type === 'started' && taskId.startsWith(jobId))).toHaveLength(10);
		expect(await site.getState(jobId, 'entry-0', moved)).toBe(WorkflowState.Completed);
	});

	it('starts as soon as an owner has read it, and stops when it is cancelled', async () => {
		await startSite();
		await site.submit(otherId, createSpec([createStep()]), 'entry-0');
		site.plan = () => ({workMs: undefined});
		await site.submit(jobId, createSpec([createStep({count: 2, isLasting: true})]), 'entry-1', moved);
		expect(await site.waitFor(() => taskIds.every(taskId => site.isRunning(taskId)), 250)).toBeDefined();
		expect(await site.cancel(jobId, 'entry-0', moved)).toBe(LookupOutcome.Found);
		await site.clock.advance(500);
		expect(taskIds.some(taskId => site.isRunning(taskId))).toBe(false);
		expect(await site.getState(jobId, 'entry-1', moved)).toBe(WorkflowState.Cancelled);
	});

	/** Guards against a cancellation that only reaches the stream which accepted the job, while its transfer is under way. */
	it('is not run if it is cancelled before it is transferred', async () => {
		await startSite();
		await site.submit(otherId, createSpec([createStep()]), 'entry-0');
		site.store.getDelayMs = ({kind, ref}) => kind === 'append' && ref?.partition === getPartition(newService, 8) ? 600 : 0;
		site.plan = () => ({workMs: undefined});
		await site.submit(jobId, createSpec([createStep({count: 2, isLasting: true})]), 'entry-1', moved);
		expect(await site.cancel(jobId, 'entry-1', moved)).toBe(LookupOutcome.Found);
		await site.clock.advance(3000);
		expect(taskIds.some(taskId => site.isRunning(taskId))).toBe(false);
		expect(await site.getState(jobId, 'entry-0', moved)).toBe(WorkflowState.Cancelled);
	});

	it('runs once although it is submitted at entries before and after the change', async () => {
		await startSite();
		await site.submit(otherId, createSpec([createStep()]), 'entry-0');
		await site.submit(jobId, spec, 'entry-1', moved);
		await site.submit(jobId, spec, 'entry-0');
		await site.clock.advance(5000);
		expect(getStartCounts()).toEqual([1, 1]);
		expect(await site.getState(jobId, 'entry-0')).toBe(WorkflowState.Completed);
	});

	it('runs once although the queue goes back to its first service, or on to a third one', async () => {
		await startSite();
		site.plan = () => ({workMs: 3000});
		const ids = [1, 2, 3, 4].map(number => createJobId(number));
		const queues = [queue, moved, queue, movedOn];
		for (const [index, asQueue] of queues.entries()) {
			for (const id of ids.slice(0, index + 1)) {
				expect((await site.submit(id, createSpec([createStep()]), `entry-${index % 2}`, asQueue)).outcome).toBe(SubmitOutcome.Accepted);
			}
		}

		await site.clock.advance(8000);
		expect(ids.map(id => site.getStarts(`${id}.0.0.0`))).toEqual([1, 1, 1, 1]);
		expect(ids.map(id => getServices(id))).toEqual([[service], [newService], [service], [thirdService]]);
		for (const id of ids) {
			expect(await site.getState(id, 'entry-0', movedOn)).toBe(WorkflowState.Completed);
		}
	});

	it('runs in a service that shares the partition of the first one', async () => {
		await startSite();
		site.workerService = neighbour;
		site.addHost('neighbour');
		await site.clock.advance(2000);
		await site.submit(otherId, createSpec([createStep()]), 'entry-0');
		await site.submit(jobId, spec, 'entry-1', {...queue, service: neighbour});
		await site.submit(jobId, spec, 'entry-0');
		await site.clock.advance(3000);
		expect(getStartCounts()).toEqual([1, 1]);
	});

	/** Guards against an owner that dies between the two streams: the next one transfers what is missing, and nothing twice. */
	it.each(['before', 'after'])('runs once if the owner that accepts it is lost just %s it has transferred it', async moment => {
		await startSite(3);
		await site.submit(otherId, createSpec([createStep()]), 'entry-0');
		const owner = getOwner(partition);
		const caller = [...site.entries.keys()].find(name => name !== owner)!;
		if (moment === 'before') {
			site.store.getFault = ({kind, client, ref}) => kind === 'append' && client === owner && ref?.partition === getPartition(newService, 8) ? StoreFault.LoseRequest : StoreFault.None;
		}

		await site.submit(jobId, spec, caller, moved);
		await site.clock.advance(moment === 'before' ? 100 : 15);
		site.killEntry(owner);
		site.store.getFault = () => StoreFault.None;
		await site.clock.advance(12_000);
		expect(getStartCounts()).toEqual([1, 1]);
		expect(await site.getState(jobId, caller, moved)).toBe(WorkflowState.Completed);
	});

	it('runs once if the owner of its new partition is lost', async () => {
		await startSite(3);
		site.plan = () => ({workMs: 8000});
		await site.submit(otherId, createSpec([createStep()]), 'entry-0');
		const owner = getOwner(getPartition(newService, 8));
		const caller = [...site.entries.keys()].find(name => name !== owner)!;
		await site.submit(jobId, spec, caller, moved);
		await site.clock.advance(500);
		site.killEntry(owner);
		await site.clock.advance(20_000);
		expect(getStartCounts()).toEqual([1, 1]);
		expect(await site.getState(jobId, caller, moved)).toBe(WorkflowState.Completed);
	});

	it('runs once although the store is away while it is transferred', async () => {
		await startSite();
		await site.submit(otherId, createSpec([createStep()]), 'entry-0');
		await site.submit(jobId, spec, 'entry-0', moved);
		site.store.getFault = () => StoreFault.LoseRequest;
		await site.clock.advance(4000);
		site.store.getFault = () => StoreFault.None;
		await site.clock.advance(8000);
		expect(getStartCounts()).toEqual([1, 1]);
		expect(await site.getState(jobId, 'entry-1', moved)).toBe(WorkflowState.Completed);
	});

	/** Guards against an owner that begins to follow a further partition, whose reads are slow, and releases all of its jobs as if it had missed records. */
	it('is transferred by an owner that did not know its service, and keeps its jobs', async () => {
		await startSite(1);
		site.killEntry('entry-0');
		site.services = [service];
		site.startEntry('entry-1');
		await site.clock.advance(8000);
		site.store.getDelayMs = ({kind, ref}) => kind === 'read' && ref?.partition === getPartition(newService, 8) ? 600 : 0;
		await site.submit(otherId, createSpec([createStep()]), 'entry-1');
		expect((await site.submit(jobId, spec, 'entry-1', moved)).outcome).toBe(SubmitOutcome.Accepted);
		await site.clock.advance(6000);
		expect(site.notes.filter(({source, event}) => source === 'entry-1' && event === 'jobs given up')).toEqual([]);
		expect(getStartCounts()).toEqual([1, 1]);
	});

	/** Guards against a stream of the first service that loses its jobs: a repeated submission would run again. */
	it('is remembered by the stream that accepted it for as long as it lasts', async () => {
		await startSite();
		await site.submit(otherId, createSpec([createStep()]), 'entry-0');
		site.plan = () => ({workMs: undefined});
		await site.submit(jobId, createSpec([createStep({count: 2, isLasting: true})]), 'entry-0', moved);
		await site.clock.advance(40_000);
		const acceptedUpTo = site.entries.get('entry-0')!.follower.fold.offset;
		await site.clock.advance(25_000);
		site.store.trim({topic: workflowsTopic, partition}, acceptedUpTo);
		for (const name of ['entry-0', 'entry-1']) {
			site.killEntry(name);
		}

		site.startEntry('entry-2');
		await site.clock.advance(12_000);
		expect(await site.getState(jobId, 'entry-2')).toBe(WorkflowState.Running);
		await site.submit(jobId, site.specs.get(jobId)!, 'entry-2');
		await site.clock.advance(3000);
		expect(site.events.filter(({type, taskId}) => type === 'started' && taskId === taskIds[0])).toHaveLength(1);
		expect(await site.cancel(jobId, 'entry-2')).toBe(LookupOutcome.Found);
	});
});

describe('entries that differ in their configuration', () => {
	/** Guards against two acceptances that no stream orders: each entry has looked into both partitions before either has written. */
	it('run a job once in whichever order their records reach the store', async () => {
		await fc.assert(fc.asyncProperty(fc.array(fc.nat(120), {minLength: 2, maxLength: 2}), fc.array(fc.nat(120), {minLength: 2, maxLength: 2}), fc.nat(60), async (appendMs, readMs, apartMs) => {
			await startSite();
			site.store.getDelayMs = ({kind, client}) => (kind === 'append' ? appendMs : readMs)[Number(client.at(-1))] ?? 0;
			site.specs.set(jobId, spec);
			const [first, second] = [site.entries.get('entry-0')!.jobs, site.entries.get('entry-1')!.jobs];
			const old = first.submit(queue, jobId, spec, 2500);
			await site.clock.advance(apartMs);
			const replies = await site.settle(Promise.all([old, second.submit(moved, jobId, spec, 2500)]));
			expect(replies.map(({outcome}) => outcome)).toEqual([SubmitOutcome.Accepted, SubmitOutcome.Accepted]);
			await site.clock.advance(6000);
			expect(getStartCounts()).toEqual([1, 1]);
			expect(getServices()).toHaveLength(1);
			expect(await site.getState(jobId, 'entry-0')).toBe(WorkflowState.Completed);
			expect(await site.getState(jobId, 'entry-1', moved)).toBe(WorkflowState.Completed);
			site.stop();
			expect(site.violations).toEqual([]);
		}), {numRuns: 12, seed: 61});
	});

	/** Guards against a refusal that is in one stream while the other one accepts a late submission of the same job. */
	it('run no job that was refused, however late an earlier submission is stored', async () => {
		await startSite();
		await site.submit(otherId, createSpec([createStep()]), 'entry-0');
		await site.clock.advance(11_000);
		const tooLarge = createSpec([createStep({milliCpu: 4001})]);
		site.store.getFault = ({kind, client, ref}) => kind === 'append' && client === 'entry-0' && ref?.topic === workflowsTopic ? StoreFault.ExecuteLate : StoreFault.None;
		const late = site.entries.get('entry-0')!.jobs.submit(queue, jobId, spec, 2500);
		site.specs.set(jobId, spec);
		await site.clock.advance(50);
		expect((await site.submit(jobId, tooLarge, 'entry-1', moved)).outcome).toBe(SubmitOutcome.Refused);
		expect((await site.settle(late)).outcome).toBe(SubmitOutcome.Unknown);
		site.store.getFault = () => StoreFault.None;
		await site.clock.advance(6000);
		expect(getStartCounts()).toEqual([0, 0]);
	});
});
