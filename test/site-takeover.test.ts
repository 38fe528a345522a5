/**
Owners and agents of a site that fail, with the store and workers as stand-ins on manual time.
*/
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {OrderFault} from '../src/standin/site-worker.ts';
import {RunEnd, WorkflowState} from '../src/types/workflows.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {
	createSpec, createStep, partition, type SiteWorld,
} from './site-world.ts';

let world: SiteWorld;

const createWorld = async (...sizes: Parameters<typeof createSite>): Promise<void> => {
	world = await createSite(...sizes);
};

afterEach(() => {
	world.stop();
	expect(world.violations).toEqual([]);
});

describe('the owner of the jobs', () => {
	/**
	A job runs, the entry that owns it dies. Its end comes while nobody owns it. The next owner learns of the end from the
	worker's agent, which kept it because no log had it. Cause: an end that only a dead process knew would be run again.
	*/
	it('that dies leaves running tasks alone, and the next one takes their ends', async () => {
		await createWorld();
		await world.submit(jobId, createSpec([createStep(), createStep({after: [0]})]));
		await world.clock.advance(300);
		const dead = world.getOwnerName()!;
		world.killEntry(dead);
		await world.clock.advance(4000);
		expect(world.getOwnerName()).not.toBe(dead);
		expect(world.getStarts(`${jobId}.0.0.0`)).toBe(1);
		expect(await world.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/**
	A task fails twice while the store takes nothing, and the owner dies. The next owner finds these failures in the
	worker's list. As the third run fails, the task must not be started once more. Cause: only failures of runs that the
	owner itself had started, or that were in the log as it took over, were counted.
	*/
	it('that takes over counts failures that the log does not have', async () => {
		await createWorld(1);
		world.plan = ({run}) => ({workMs: run === 3 ? 4000 : 100, isFailing: true});
		await world.submit(jobId, createSpec([createStep()]));
		const owner = world.getOwnerName()!;
		world.store.fault = ({kind, client}) => kind === 'append' && client === owner ? StoreFault.Refuse : StoreFault.None;
		await world.waitFor(() => world.getStarts(`${jobId}.0.0.0`) === 3, 3000);
		world.killEntry(owner);
		await world.clock.advance(2500);
		expect(world.getOwnerName()).not.toBe(owner);
		world.store.fault = ({kind}) => kind === 'append' ? StoreFault.Refuse : StoreFault.None;
		await world.clock.advance(3000);
		expect(world.getStarts(`${jobId}.0.0.0`)).toBe(3);
		world.store.fault = () => StoreFault.None;
		await world.clock.advance(1000);
		expect(await world.getState(jobId)).toBe(WorkflowState.Failed);
	});

	/**
	An entry that is told to stop serves callers for some seconds more. It must not take its partition back meanwhile, or
	its jobs wait until it is gone. Cause: it went on to join the group after it had left.
	*/
	it('that leaves is not dealt the partition again', async () => {
		await createWorld();
		const leaving = world.getOwnerName()!;
		await world.settle(world.entries.get(leaving)!.ownership.leave());
		await world.clock.advance(1000);
		expect(world.getOwnerName()).not.toBe(leaving);
		expect(world.getOwnerName()).toBeDefined();
		await world.clock.advance(3000);
		expect(world.getOwnerName()).not.toBe(leaving);
	});

	/** A host is taken away for good, then its entry dies: the next owner must not wait for leases of a worker that left. */
	it('that takes over does not wait for an agent whose worker has left', async () => {
		await createWorld(2);
		const {agent, worker} = world.hosts.get('host-0')!;
		agent!.workerLeft(worker.workerId);
		await world.settle(agent!.leave());
		world.killAgent('host-0');
		await world.clock.advance(500);
		await world.submit(jobId, createSpec([createStep({count: 6})]));
		await world.clock.advance(300);
		world.killEntry(world.getOwnerName()!);
		expect(await world.waitFor(() => world.events.filter(event => event.type === 'started').length === 6, 10_000)).toBeLessThan(3000);
	});

	/**
	A service runs for longer than the store keeps records, and its entry is replaced. The new one must still know the
	job, also where it is cancelled while its record is being written again. Cause: the stream is no archive.
	*/
	it('that takes over knows jobs that are older than the records of the store', async () => {
		await createWorld(1, 1);
		world.plan = () => ({workMs: undefined});
		await world.submit(jobId, createSpec([createStep({isLasting: true})]));
		await world.submit(otherId, createSpec([createStep({isLasting: true})]));
		const {offset} = world.entries.get('entry-0')!.follower.fold;
		await world.clock.advance(19_900);
		await world.cancel(otherId);
		await world.clock.advance(10_000);
		world.store.trim({topic: 'workflows', partition}, offset);
		world.killEntry('entry-0');
		world.startEntry('entry-1');
		await world.clock.advance(3000);
		expect(await world.getState(jobId)).toBe(WorkflowState.Running);
		expect(await world.getState(otherId)).toBe(WorkflowState.Cancelled);
		expect(world.getStarts(`${jobId}.0.0.0`)).toBe(1);
	});

	/** With every agent reached, jobs that wait run on soon after their owner died: what callers notice of its death. */
	it('is replaced within 2 s where all agents are reached', async () => {
		await createWorld();
		world.killEntry(world.getOwnerName()!);
		await world.submit(jobId, createSpec([createStep()]));
		expect(await world.waitFor(() => world.isRunning(`${jobId}.0.0.0`), 10_000)).toBeLessThan(2000);
	});

	/**
	The owner dies while one agent is cut off from all entries. The task on it runs on. The next owner does not know of it
	and must not start it elsewhere before its leases are over. Cause: starts are not in the log.
	*/
	it('that takes over without reaching an agent waits out its leases before it starts what may run there', async () => {
		await createWorld();
		world.plan = () => ({workMs: 60_000});
		await world.submit(jobId, createSpec([createStep({milliCpu: 3000, count: 2})]));
		await world.clock.advance(300);
		const survivor = [...world.entries.keys()].find(name => name !== world.getOwnerName())!;
		world.killEntry(world.getOwnerName()!);
		world.cuts.add(`${survivor}>host-0`);
		world.addHost('host-2');
		// The agent is cut off from the store as well, so that its leases run out.
		world.store.fault = ({client}) => client === 'host-0' ? StoreFault.Silence : StoreFault.None;
		const tookMs = await world.waitFor(() => world.getStarts(`${jobId}.0.0.0`) + world.getStarts(`${jobId}.0.0.1`) > 2, 20_000);
		expect(tookMs).toBeGreaterThan(5000);
		expect(tookMs).toBeLessThan(14_000);
	});

	/**
	The owner stands still for 4 s and is replaced. As it wakes, it goes on with what it believed: its orders have to be
	refused. Cause: a process does not notice that it stood still.
	*/
	it('that stood still and was replaced starts nothing', async () => {
		await createWorld();
		const name = world.getOwnerName()!;
		const frozen = world.entries.get(name)!;
		frozen.clock.isPaused = true;
		const other = [...world.entries.keys()].find(entry => entry !== name)!;
		await world.clock.advance(3000);
		await world.submit(jobId, createSpec([createStep({count: 3})]), other);
		await world.clock.advance(1000);
		frozen.clock.resume();
		await world.clock.advance(3000);
		expect(world.events.filter(event => event.type === 'started')).toHaveLength(3);
		expect(world.notes.some(note => note.source === name && note.event === 'deposed')).toBe(true);
	});

	/** All partitions may be dealt anew at once, with no request: nothing is started twice by that. */
	it('that changes while tasks run starts none of them again', async () => {
		await createWorld();
		world.plan = () => ({workMs: 5000});
		await world.submit(jobId, createSpec([createStep({count: 4})]));
		await world.clock.advance(500);
		const before = world.getOwnerName();
		world.store.rebalance('owners');
		await world.clock.advance(1500);
		expect(world.getOwnerName()).not.toBe(before);
		await world.clock.advance(6000);
		expect(world.events.filter(event => event.type === 'started')).toHaveLength(4);
		expect(await world.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/**
	A job is cancelled just before its owner dies. The next owner finds runs of a job that is over: they take room until
	they have stopped. Cause: only jobs that were not over were taken into account, and a worker was given too much.
	*/
	it('counts runs of a cancelled job until they have stopped', async () => {
		await createWorld(1);
		world.plan = () => ({workMs: undefined});
		await world.submit(jobId, createSpec([createStep({count: 4, isLasting: true})]));
		await world.clock.advance(500);
		world.killEntry(world.getOwnerName()!);
		await world.cancel(jobId);
		await world.submit(otherId, createSpec([createStep({count: 4})]));
		await world.clock.advance(4000);
		expect(world.isRunning(`${otherId}.0.0.0`)).toBe(true);
	});
});

describe('an agent', () => {
	/** Workers go on under their lease while their agent restarts; the new life finds what runs and ends nothing. */
	it('that restarts takes over what runs', async () => {
		await createWorld();
		world.plan = () => ({workMs: 6000});
		await world.submit(jobId, createSpec([createStep({count: 4})]));
		await world.clock.advance(500);
		world.killAgent('host-0');
		await world.clock.advance(1500);
		world.startAgent('host-0');
		await world.clock.advance(6000);
		expect(world.events.filter(event => event.type === 'started')).toHaveLength(4);
		expect(await world.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/**
	An agent is cut off from all entries but reaches the store. It prolongs leases until it reads that it was declared
	lost, and the owner starts its tasks elsewhere only after that. Cause: two agents would otherwise run one task.
	*/
	it('that is declared lost lets its leases run out before the tasks start elsewhere', async () => {
		await createWorld(2, 1);
		world.plan = () => ({workMs: 60_000});
		await world.submit(jobId, createSpec([createStep({milliCpu: 3000, count: 2})]));
		await world.clock.advance(500);
		world.cuts.add('entry-0>host-0');
		world.addHost('host-2');
		const tookMs = await world.waitFor(() => world.events.filter(event => event.type === 'started').length > 2, 30_000);
		expect(tookMs).toBeGreaterThan(8000);
		world.cuts.clear();
		await world.clock.advance(10_000);
		await world.submit(otherId, createSpec([createStep({milliCpu: 3500})]));
		await world.clock.advance(1000);
		expect(world.isRunning(`${otherId}.0.0.0`)).toBe(true);
	});

	/**
	The agent dies right after it was declared lost, and its next life starts at once. It must not prolong what the owner
	waits to run out. Cause: a new life knows nothing of the declaration unless it reads it.
	*/
	it('that restarts after it was declared lost prolongs nothing', async () => {
		await createWorld(2, 1);
		world.plan = () => ({workMs: 60_000});
		await world.submit(jobId, createSpec([createStep({milliCpu: 3000, count: 2})]));
		await world.clock.advance(500);
		world.cuts.add('entry-0>host-0');
		world.addHost('host-2');
		await world.clock.advance(4000);
		world.killAgent('host-0');
		await world.clock.advance(500);
		world.startAgent('host-0');
		await world.clock.advance(20_000);
		expect(world.events.filter(event => event.type === 'started')).toHaveLength(3);
	});

	/** The store is away for 5 s for everyone: nobody can be declared lost, and what runs goes on. */
	it('keeps what runs alive through an outage of the store', async () => {
		await createWorld();
		world.plan = () => ({workMs: 9000});
		await world.submit(jobId, createSpec([createStep({count: 4})]));
		await world.clock.advance(500);
		world.store.fault = () => StoreFault.Silence;
		await world.clock.advance(5000);
		world.store.fault = () => StoreFault.None;
		await world.clock.advance(6000);
		expect(world.events.filter(event => event.type === 'ended').map(event => event.end)).toEqual(Array.from({length: 4}, () => RunEnd.Done));
		expect(await world.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/**
	An order to start gets no answer and is carried out 4 s later. Meanwhile the task runs elsewhere. The late start has to
	be refused. Cause: orders may overtake each other on their way to the worker.
	*/
	it('gives starts that are carried out late no chance', async () => {
		await createWorld();
		world.hosts.get('host-0')!.worker.fault = order => order === 'start' ? OrderFault.DoLate : OrderFault.None;
		world.plan = () => ({workMs: 9000});
		await world.submit(jobId, createSpec([createStep({count: 4})]));
		await world.clock.advance(1000);
		world.hosts.get('host-0')!.worker.fault = () => OrderFault.None;
		await world.clock.advance(12_000);
		expect(await world.getState(jobId)).toBe(WorkflowState.Completed);
	});

	it('finds a start whose answer was lost running, and does not start it again', async () => {
		await createWorld();
		for (const {worker} of world.hosts.values()) {
			worker.fault = order => order === 'start' ? OrderFault.LoseAnswer : OrderFault.None;
		}

		await world.submit(jobId, createSpec([createStep({count: 4})]));
		await world.clock.advance(5000);
		expect(world.events.filter(event => event.type === 'started')).toHaveLength(4);
		expect(await world.getState(jobId)).toBe(WorkflowState.Completed);
	});

	it('learns from a new incarnation that all that ran before is over', async () => {
		await createWorld();
		world.plan = () => ({workMs: 3000});
		await world.submit(jobId, createSpec([createStep({count: 4})]));
		await world.clock.advance(500);
		world.hosts.get('host-0')!.worker.crash();
		await world.clock.advance(6000);
		expect(await world.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/** A worker that gives no answer may run on until its leases are over: only then do its tasks start elsewhere. */
	it('waits out the leases of a silent worker', async () => {
		await createWorld(2, 1);
		world.plan = () => ({workMs: 60_000});
		await world.submit(jobId, createSpec([createStep({milliCpu: 3000, count: 2})]));
		await world.clock.advance(500);
		world.hosts.get('host-0')!.worker.isSilent = true;
		world.addHost('host-2');
		const tookMs = await world.waitFor(() => world.events.filter(event => event.type === 'started').length > 2, 30_000);
		expect(tookMs).toBeGreaterThan(4000);
		expect(tookMs).toBeLessThan(9000);
	});

	it('starts nothing on a worker that drains', async () => {
		await createWorld(1);
		world.hosts.get('host-0')!.worker.isDraining = true;
		await world.clock.advance(600);
		await world.submit(jobId, createSpec([createStep()]));
		await world.clock.advance(2000);
		expect(world.events).toEqual([]);
	});
});

describe('a host with a slow link', () => {
	/**
	All entries lose power and start anew. Each reads the whole stream of jobs; on a link of 7 Mbit/s one answer of a
	megabyte takes longer than the reader waits. It asked for the same megabyte again and again, owned the jobs, and nothing ran.
	*/
	it('reads the stream in pieces that its link can carry', async () => {
		await createWorld();
		const spec = createSpec([createStep()], {input: 'x'.repeat(4000)});
		for (let index = 0; index < 50; index++) {
			const id = index.toString(16).padStart(16, '0');
			await world.submit(id, spec);
		}

		for (const name of ['entry-0', 'entry-1']) {
			world.killEntry(name);
		}

		world.store.maxAnswerBytes = 60_000;
		world.startEntry('entry-2');
		await world.submit(jobId, createSpec([createStep()]), 'entry-2');
		const tookMs = await world.waitFor(() => world.getStarts(`${jobId}.0.0.0`) > 0, 20_000);
		expect(tookMs).toBeLessThan(10_000);
	});
});

describe('a host with a slow processor', () => {
	/**
	Entries of different sizes share the work; the group deals the jobs to any of them. On the smallest an owner's cycles
	waited for the processor, and callers' jobs with them. It steps in only while no other entry is there.
	*/
	it('owns only while no other entry does', async () => {
		await createWorld(2, 0);
		world.startEntry('small', 0.001);
		expect(await world.waitFor(() => world.getOwnerName() === 'small', 1000)).toBeDefined();
		world.startEntry('entry-1');
		expect(await world.waitFor(() => world.getOwnerName() === 'entry-1', 5000)).toBeDefined();
		await world.submit(jobId, createSpec([createStep()]), 'small');
		await world.clock.advance(500);
		expect(world.isRunning(`${jobId}.0.0.0`)).toBe(true);
		world.killEntry('entry-1');
		expect(await world.waitFor(() => world.getOwnerName() === 'small', 10_000)).toBeDefined();
	});
});
