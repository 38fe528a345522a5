/**
Services whose names hash to one partition, and so share an owner: tasks, workers, refusals and limits of one leave the others alone.
*/
import {Buffer} from 'node:buffer';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {getPartition} from '../src/core/partitions.ts';
import {LookupOutcome, SubmitOutcome} from '../src/types/job-api.ts';
import {OrderRefusal, OrderType} from '../src/types/fleet.ts';
import {RunEnd, WorkflowState} from '../src/types/workflows.ts';
import {type Owner} from '../src/workflows/owner.ts';
import {JobRefusalReason} from '../src/workflows/job-admission.ts';
import {homesTopic} from '../src/workflows/queue-homes.ts';
import {encodeRecord, RecordType, workflowsTopic} from '../src/workflows/records.ts';
import {createWorkflow} from './site-fleet.ts';
import {createJobId, jobId, otherId} from './site-setup.ts';
import {
	createSpec, createStep, partition, queue, service, SimulatedSite,
} from './simulated-site.ts';

const neighbour = 'issue';
const third = 'audit';
const otherQueue = {
	...queue, name: 'other', pathPrefix: '/other/', service: neighbour,
};
const thirdQueue = {
	...queue, name: 'third', pathPrefix: '/third/', service: third,
};
const ref = {topic: workflowsTopic, partition};
/** Longer than an owner takes to know all workers. */
const fleetKnownMs = 11_000;

let site: SimulatedSite;

const addHosts = (workerService: string, count: number, milliCpu = 4000): void => {
	site.workerService = workerService;
	for (let index = 0; index < count; index++) {
		site.addHost(`${workerService}-${index}`, milliCpu);
	}
};

beforeEach(() => {
	expect([neighbour, third].map(name => getPartition(name, 8))).toEqual([partition, partition]);
	site = new SimulatedSite();
	site.services = [service, neighbour, third];
});

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

const startSite = async (entries = 2): Promise<void> => {
	for (let index = 0; index < entries; index++) {
		site.startEntry(`entry-${index}`);
	}

	await site.clock.advance(3000);
};

const getServices = (id: string): string[] => [...new Set(site.events
	.filter(({type, taskId}) => type === 'started' && taskId.startsWith(id))
	.map(({workerId}) => [...site.hosts.values()].find(({name}) => workerId.startsWith(name))!.worker.announce().service))];

const countEnds = (id: string): number => site.events.filter(event => event.type === 'ended' && event.end === RunEnd.Done && event.taskId.startsWith(id)).length;

const getOwner = (): Owner => site.entries.get(site.getOwnerName()!)!.ownership.owners.get(partition)! as Owner;

describe('a task', () => {
	/** Guards against starts on workers of another service whose name has the same partition. */
	it('starts on workers of the service that its queue is sent to, and on no others', async () => {
		addHosts(service, 2);
		addHosts(neighbour, 2);
		addHosts(third, 1);
		await startSite();
		const ids = Array.from({length: 9}, (_, index) => createJobId(index));
		for (const [index, id] of ids.entries()) {
			await site.submit(id, createSpec([createStep({count: 6, milliCpu: 2000})]), undefined, [queue, otherQueue, thirdQueue][index % 3]);
		}

		await site.clock.advance(25_000);
		expect(ids.map(id => getServices(id))).toEqual(ids.map((_, index) => [[service, neighbour, third][index % 3]]));
		expect(ids.map(id => countEnds(id))).toEqual(ids.map(() => 6));
	});

	/** Guards against gangs, long-running tasks and copies that take another way to a worker than other tasks. */
	it.each([
		['of a gang', createStep({
			count: 3, milliCpu: 2000, isGang: true, isSameRack: true,
		})],
		['that is long-running', createStep({
			count: 6, isLasting: true, targetMs: 100, image: 'serve',
		})],
		['that is best-effort', createStep({count: 6, isFilling: true, image: 'heavy'})],
		['of a step that allows copies', createStep({count: 6, isSpeculative: true})],
	])('%s starts on no worker of another service', async (_, step) => {
		addHosts(service, 1);
		addHosts(neighbour, 3);
		await startSite();
		site.plan = () => ({workMs: step.isLasting ? undefined : 1000});
		await site.submit(jobId, createSpec([step]));
		await site.clock.advance(15_000);
		expect(getServices(jobId)).toEqual(step.isGang ? [] : [service]);
	});

	it('goes on in the service that accepted its job after the queue is sent to another one', async () => {
		addHosts(service, 1);
		addHosts(neighbour, 1);
		await startSite();
		const spec = createSpec([createStep({count: 6, milliCpu: 4000}), createStep({count: 2, after: [0]})], {repeatCount: 2, firstDueMs: site.clock.now().getTime() + 500, intervalMs: 4000});
		await site.submit(jobId, spec);
		await site.clock.advance(1000);
		const moved = {...queue, service: neighbour};
		expect((await site.submit(otherId, createSpec([createStep()]), undefined, moved)).outcome).toBe(SubmitOutcome.Accepted);
		await site.submit(jobId, spec, 'entry-1', moved);
		await site.clock.advance(2000);
		site.killEntry(site.getOwnerName()!);
		await site.clock.advance(30_000);
		expect(getServices(jobId)).toEqual([service]);
		expect(getServices(otherId)).toEqual([neighbour]);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
		expect(countEnds(jobId)).toBe(16);
	});

	/** Guards against a run that is stopped for a place on a worker that its task must not use. */
	it('is not moved from a draining worker while only workers of another service are free', async () => {
		addHosts(service, 1);
		addHosts(neighbour, 2);
		await startSite();
		site.plan = () => ({workMs: undefined});
		await site.submit(jobId, createSpec([createStep({isLasting: true})]));
		await site.clock.advance(1000);
		const {worker} = site.hosts.get(`${service}-0`)!;
		worker.isDraining = true;
		worker.remainingMs = 20_000;
		await site.clock.advance(6000);
		expect(site.isRunning(`${jobId}.0.0.0`)).toBe(true);
		expect(site.notes.filter(({event}) => event === 'run moved')).toEqual([]);
	});
});

/** An owner of a version that transfers no jobs has started it on workers of the queue's home, where its tasks may still be. */
it('a job of a service of another partition that has begun in this one goes on there', async () => {
	addHosts(service, 1);
	addHosts(neighbour, 1);
	const elsewhere = 'bureau';
	expect(getPartition(elsewhere, 8)).not.toBe(partition);
	const spec = createSpec([createStep({count: 6})]);
	site.specs.set(jobId, spec);
	site.jobServices.set(jobId, new Set([service]));
	const earlier = site.store.createClient('earlier');
	const home = {key: `${queue.host}${queue.pathPrefix}`, value: Buffer.from(JSON.stringify({service}))};
	await site.settle(earlier.appendKeyed({topic: homesTopic, partition: 0}, [home], {atOffset: 0, timeoutMs: 1000}));
	await site.settle(earlier.append(ref, [
		encodeRecord({type: RecordType.Submit, workflow: createWorkflow(jobId, spec, {service: elsewhere})}),
		encodeRecord({type: RecordType.Started, ids: [jobId]}),
	], {timeoutMs: 1000}));
	await startSite(1);
	await site.clock.advance(8000);
	expect(getServices(jobId)).toEqual([service]);
	expect(countEnds(jobId)).toBe(6);
});

describe('a service without workers', () => {
	it('keeps its jobs until it has one, and holds no other back', async () => {
		addHosts(service, 1);
		await startSite();
		await site.submit(otherId, createSpec([createStep({count: 8})]), undefined, otherQueue);
		await site.submit(jobId, createSpec([createStep({count: 4})]));
		await site.clock.advance(3000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
		expect(await site.getState(otherId, undefined, otherQueue)).toBe(WorkflowState.Queued);
		addHosts(neighbour, 1);
		await site.clock.advance(6000);
		expect(await site.getState(otherId, undefined, otherQueue)).toBe(WorkflowState.Completed);
	});

	it('whose only worker has gone holds no other back, also after a takeover', async () => {
		addHosts(service, 2);
		addHosts(neighbour, 1);
		await startSite(3);
		await site.submit(otherId, createSpec([createStep({isLasting: true})]), undefined, otherQueue);
		await site.clock.advance(1000);
		site.killAgent(`${neighbour}-0`);
		site.hosts.get(`${neighbour}-0`)!.worker.crash();
		await site.clock.advance(12_000);
		site.killEntry(site.getOwnerName()!);
		await site.clock.advance(12_000);
		await site.submit(jobId, createSpec([createStep({count: 8})]));
		await site.clock.advance(4000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
		expect(getServices(otherId)).toEqual([neighbour]);
	});
});

describe('a job', () => {
	/** Guards against a job that waits for ever, because another service has a worker that would hold it. */
	it('that only workers of another service could hold is refused at once', async () => {
		addHosts(service, 2);
		addHosts(neighbour, 1, 8000);
		await startSite();
		await site.clock.advance(fleetKnownMs);
		const large = createSpec([createStep({milliCpu: 8000})]);
		expect(await site.submit(jobId, large)).toMatchObject({outcome: SubmitOutcome.Refused, reason: JobRefusalReason.NoWorker});
		expect(await site.getState(jobId)).toBe(LookupOutcome.Absent);
		expect((await site.submit(otherId, large, undefined, otherQueue)).outcome).toBe(SubmitOutcome.Accepted);
		await site.clock.advance(2000);
		expect(await site.getState(otherId, undefined, otherQueue)).toBe(WorkflowState.Completed);
	});

	/** Guards against a refusal by what the workers of another service hold, while the own ones have not come yet. */
	it('of a service without workers is accepted', async () => {
		addHosts(service, 2);
		await startSite();
		await site.clock.advance(fleetKnownMs);
		expect((await site.submit(otherId, createSpec([createStep({milliCpu: 8000})]), undefined, otherQueue)).outcome).toBe(SubmitOutcome.Accepted);
	});

	/** Guards against callers of an idle service who are sent away for the backlog of a full one. */
	it('of an idle service is not refused for the backlog of a full one', async () => {
		addHosts(service, 1);
		addHosts(neighbour, 1);
		await startSite(1);
		for (let index = 0; index < 60; index++) {
			await site.submit(createJobId(index), createSpec([createStep()]), undefined, otherQueue);
			await site.clock.advance(400);
		}

		site.plan = () => ({workMs: 20_000});
		for (let index = 100; index < 130; index++) {
			await site.submit(createJobId(index), createSpec([createStep({count: 8, estimateMs: 20_000})]));
			await site.clock.advance(100);
		}

		await site.clock.advance(4000);
		const getLongestWaitMs = (name: string) => Math.max(0, ...site.entries.get('entry-0')!.follower.fold.admission.forecasts.get(name)!.forecast.queues.flatMap(({waits}) => waits.map(({waitMs}) => waitMs)));
		expect(getLongestWaitMs(service)).toBeGreaterThan(10_000);
		expect(getLongestWaitMs(neighbour)).toBe(0);
		expect((await site.submit(otherId, createSpec([createStep({count: 4})]), undefined, otherQueue)).outcome).toBe(SubmitOutcome.Accepted);
	});

	/** Guards against refusals by the sizes and waits of the whole partition, which an owner of the previous version publishes. */
	it('is accepted whatever an owner of the previous version has published', async () => {
		addHosts(service, 1);
		await startSite(1);
		const {epoch} = site.entries.get('entry-0')!.follower.fold;
		const earlier = JSON.stringify({
			type: RecordType.Forecast, epoch, queues: [], fleet: [[1000, 100, 0, 1]],
		});
		await site.settle(site.store.createClient('owner').append(ref, [Buffer.from(earlier)], {timeoutMs: 1000}));
		await site.clock.advance(200);
		expect((await site.submit(jobId, createSpec([createStep({milliCpu: 2000})]))).outcome).toBe(SubmitOutcome.Accepted);
	});

	/** Guards against entries of the previous version that refuse jobs of all services by the workers of one. */
	it('is accepted by an entry of the previous version, which finds nothing in a forecast that it would apply', () => {
		const forecast = {
			epoch: 1, service, queues: [{
				queue: queue.name, measuredJobs: 100, lowestRatio: 0.5, medianRatio: 1, waits: [{fromCoreMs: 1, waitMs: 40_000}],
			}], fleet: [{
				milliCpu: 1, memoryMb: 1, accelerators: 0, workers: 1, labels: [],
			}],
		};
		const stored = JSON.parse(encodeRecord({type: RecordType.Forecast, forecast}).toString()) as {queues: unknown[]; fleet?: unknown};
		expect(stored.queues).toEqual([]);
		expect(stored.fleet).toBeUndefined();
	});
});

describe('limits that are shares of a fleet', () => {
	/** Guards against lost hosts that go on to count as unresponsive workers of their service. */
	it('do not count a host that is lost for good', async () => {
		addHosts(service, 3);
		await startSite(1);
		site.killAgent(`${service}-0`);
		site.hosts.get(`${service}-0`)!.worker.crash();
		await site.clock.advance(30_000);
		const {links} = getOwner();
		expect([...links.workers.keys()]).toEqual([`${service}-1`, `${service}-2`]);
		expect([...links.fleets.get(service).keys()]).toEqual([`${service}-1`, `${service}-2`]);
	});

	/** Guards against suspects of a crash that hold workers of another service, or are held back for want of workers there. */
	it('keep quarantined tasks and workers held for their health apart', async () => {
		addHosts(service, 3);
		addHosts(neighbour, 3);
		await startSite(1);
		site.plan = ({taskId}) => ({workMs: taskId.startsWith(otherId) ? 800 : 3000});
		await site.submit(jobId, createSpec([createStep({count: 3, milliCpu: 4000})]));
		await site.clock.advance(100);
		site.hosts.get(`${service}-0`)!.worker.crash();
		for (let index = 0; index < 10; index++) {
			await site.submit(createJobId(200 + index), createSpec([createStep({count: 6, milliCpu: 2000})]), undefined, otherQueue);
		}

		await site.clock.advance(1500);
		const {links} = getOwner();
		expect([...links.fleets.get(neighbour).values()].every(({runs}) => runs.size === 2)).toBe(true);
	});
});

describe('an agent', () => {
	const order = async (host: string, start: {input?: string; service?: string}) => {
		const {agent, worker} = site.hosts.get(host)!;
		const {agentLife, session, agentClockMs} = await site.settle(agent!.watch({
			epoch: 1_000_000, agentLife: '', knownVersion: 0, waitMs: 0, crashesStored: 0,
		}, new AbortController().signal));
		const {answers} = await site.settle(agent!.order({
			epoch: 1_000_000, workerId: worker.workerId, agentLife, session, notAfterMs: agentClockMs + 1000, orders: [{
				type: OrderType.Start, start: {
					taskId: `${jobId}.0.0.0`, run: 1, checkpoint: '', ...start,
				},
			}],
		}));
		return answers[0]!;
	};

	/** Guards against an owner that is wrong about an agent's service. */
	it('refuses starts of jobs of another service, logs and counts them', async () => {
		addHosts(service, 1);
		await startSite(1);
		site.specs.set(jobId, createSpec([createStep()]));
		expect(await order(`${service}-0`, {input: 'text', service: neighbour})).toEqual({isDone: false, refusal: OrderRefusal.OtherService});
		expect(await order(`${service}-0`, {})).toEqual({isDone: false, refusal: OrderRefusal.OtherService});
		expect(site.notes.filter(({event}) => event === 'start of another service')).toHaveLength(2);
		expect(await order(`${service}-0`, {input: 'text', service})).toMatchObject({isDone: true});
	});

	it('carries out starts of an owner of the previous version, which names no service', async () => {
		addHosts(service, 1);
		await startSite(1);
		site.specs.set(jobId, createSpec([createStep()]));
		expect(await order(`${service}-0`, {input: 'text'})).toMatchObject({isDone: true});
	});

	/** Guards against an owner that repeats a refused start without a pause, or never starts the task. */
	it('that has moved to another service gets no further starts of the first one', async () => {
		addHosts(service, 2);
		addHosts(neighbour, 1);
		await startSite(1);
		const host = site.hosts.get(`${service}-0`)!;
		host.worker.crash(500);
		host.worker.service = neighbour;
		site.killAgent(host.name);
		site.startAgent(host.name);
		for (let index = 0; index < 4; index++) {
			await site.submit(createJobId(index), createSpec([createStep({count: 6})]));
		}

		await site.clock.advance(12_000);
		expect(await Promise.all([0, 1, 2, 3].map(async index => site.getState(createJobId(index))))).toEqual(Array.from({length: 4}, () => WorkflowState.Completed));
		expect(getOwner().links.fleets.get(neighbour).has(host.name)).toBe(true);
	});
});
