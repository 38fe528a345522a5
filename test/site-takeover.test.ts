/**
Failures of a site's owners and agents, with stand-ins for the store and workers, on manual time.
*/
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {OrderFault} from '../src/standin/worker-options.ts';
import {RunEnd, WorkflowState} from '../src/types/workflows.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {
	createSpec, createStep, partition, type SimulatedSite,
} from './simulated-site.ts';

let site: SimulatedSite;

const startSite = async (...sizes: Parameters<typeof createSite>): Promise<void> => {
	site = await createSite(...sizes);
};

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** Starts two tasks, ends their owner, and cuts the next owner off from the agent of `host-0`; returns the next owner. */
const replaceOwnerCutOffFromAgent = async (workMs: number): Promise<string> => {
	await startSite();
	site.plan = () => ({workMs});
	await site.submit(jobId, createSpec([createStep({milliCpu: 3000, count: 2})]));
	await site.clock.advance(300);
	const survivor = [...site.entries.keys()].find(name => name !== site.getOwnerName())!;
	site.killEntry(site.getOwnerName()!);
	site.cuts.add(`${survivor}>host-0`);
	return survivor;
};

describe('the owner of the jobs', () => {
	/**
	The owner of a job dies while a task runs, and the task ends while the job has no owner. The next owner gets the end from the
	worker's agent, which keeps it until it is stored. A task whose end only the dead owner knew would be run again.
	*/
	it('that dies does not affect running tasks, and the next owner handles their ends', async () => {
		await startSite();
		await site.submit(jobId, createSpec([createStep(), createStep({after: [0]})]));
		await site.clock.advance(300);
		const dead = site.getOwnerName()!;
		site.killEntry(dead);
		await site.clock.advance(4000);
		expect(site.getOwnerName()).not.toBe(dead);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/**
	A task fails twice while the store refuses appends, and the owner dies. The next owner finds these failures in the worker's
	list. When the third run fails, the task must not be started again. The fault: only failures of runs that the owner itself
	had started, or that were stored before its takeover, were counted.
	*/
	it('that takes over counts failures that are not stored', async () => {
		await startSite(1);
		site.plan = ({run}) => ({workMs: run === 3 ? 4000 : 100, isFailing: true});
		await site.submit(jobId, createSpec([createStep()]));
		const owner = site.getOwnerName()!;
		site.store.getFault = ({kind, client}) => kind === 'append' && client === owner ? StoreFault.Refuse : StoreFault.None;
		await site.waitFor(() => site.getStarts(`${jobId}.0.0.0`) === 3, 3000);
		site.killEntry(owner);
		await site.clock.advance(2500);
		expect(site.getOwnerName()).not.toBe(owner);
		site.store.getFault = ({kind}) => kind === 'append' ? StoreFault.Refuse : StoreFault.None;
		await site.clock.advance(3000);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBe(3);
		site.store.getFault = () => StoreFault.None;
		await site.clock.advance(1000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Failed);
	});

	/**
	An entry that is shutting down serves callers for some seconds more. It must not acquire its partition again meanwhile, or
	its jobs wait until the process ends. The fault: it continued to join the group after it had left.
	*/
	it('that leaves is not assigned the partition again', async () => {
		await startSite();
		const leaving = site.getOwnerName()!;
		await site.settle(site.entries.get(leaving)!.ownership.leave());
		await site.clock.advance(1000);
		expect(site.getOwnerName()).not.toBe(leaving);
		expect(site.getOwnerName()).toBeDefined();
		await site.clock.advance(3000);
		expect(site.getOwnerName()).not.toBe(leaving);
	});

	/** A host is removed for good, then the owner dies: the next owner must not wait for leases of a worker that has left. */
	it('that takes over does not wait for an agent whose worker has left', async () => {
		await startSite(2);
		const {agent, worker} = site.hosts.get('host-0')!;
		agent!.handleWorkerLeave(worker.workerId);
		worker.isDown = true;
		worker.crash();
		await site.clock.advance(200);
		await site.settle(agent!.leave());
		site.killAgent('host-0');
		await site.clock.advance(500);
		await site.submit(jobId, createSpec([createStep({count: 6})]));
		await site.clock.advance(300);
		site.killEntry(site.getOwnerName()!);
		expect(await site.waitFor(() => site.events.filter(event => event.type === 'started').length === 6, 10_000)).toBeLessThan(3000);
	});

	/**
	A job runs for longer than the store retains records, and its entry is replaced. The new one must still know the job, also
	if it is cancelled while its snapshot is being written.
	*/
	it('that takes over knows jobs that are older than the retained records', async () => {
		await startSite(1, 1);
		site.plan = () => ({workMs: undefined});
		await site.submit(jobId, createSpec([createStep({isLasting: true})]));
		await site.submit(otherId, createSpec([createStep({isLasting: true})]));
		const {offset} = site.entries.get('entry-0')!.follower.fold;
		await site.clock.advance(19_900);
		await site.cancel(otherId);
		await site.clock.advance(10_000);
		site.store.trim({topic: 'workflows', partition}, offset);
		site.killEntry('entry-0');
		site.startEntry('entry-1');
		await site.clock.advance(3000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Running);
		expect(await site.getState(otherId)).toBe(WorkflowState.Cancelled);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
	});

	/** Bounds the delay that callers see when an owner dies and every agent is reachable. */
	it('is replaced within 2 s if all agents are reachable', async () => {
		await startSite();
		site.killEntry(site.getOwnerName()!);
		await site.submit(jobId, createSpec([createStep()]));
		expect(await site.waitFor(() => site.isRunning(`${jobId}.0.0.0`), 10_000)).toBeLessThan(2000);
	});

	/**
	The owner dies while one agent is cut off from all entries and its task continues. Starts are not in the stream, so the next
	owner does not know of the run, and must not start the task elsewhere before the agent's leases have expired.
	*/
	it('that takes over and cannot reach an agent waits until its leases have expired before it starts tasks that may run there', async () => {
		await replaceOwnerCutOffFromAgent(60_000);
		site.addHost('host-2');
		// Cuts the agent off from the store as well, so that its leases expire.
		site.store.getFault = ({client}) => client === 'host-0' ? StoreFault.LoseRequest : StoreFault.None;
		const tookMs = await site.waitFor(() => site.getStarts(`${jobId}.0.0.0`) + site.getStarts(`${jobId}.0.0.1`) > 2, 20_000);
		expect(tookMs).toBeGreaterThan(5000);
		expect(tookMs).toBeLessThan(14_000);
	});

	/** Guards against a new owner that takes the leases of an agent for expired which it cannot reach, but which renews them by what it reads in the store. */
	it('that takes over and cannot reach an agent in touch with the store starts no task that runs there', async () => {
		await replaceOwnerCutOffFromAgent(60_000);
		site.addHost('host-2');
		const tookMs = await site.waitFor(() => site.getStarts(`${jobId}.0.0.0`) + site.getStarts(`${jobId}.0.0.1`) > 2, 20_000);
		expect(tookMs).toBeLessThan(14_000);
	});

	/** Guards against the same for a run that has ended while its owner could not store the end. */
	it('that takes over and cannot reach an agent starts no task that has succeeded there', async () => {
		const survivor = await replaceOwnerCutOffFromAgent(2000);
		await site.clock.advance(9500);
		site.cuts.delete(`${survivor}>host-0`);
		await site.clock.advance(6000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
		expect(site.getStarts(`${jobId}.0.0.0`) + site.getStarts(`${jobId}.0.0.1`)).toBe(2);
	});

	/**
	The owner's process is suspended for 4 s and is replaced. It does not notice this when it resumes and continues with its old
	view, so its orders have to be refused.
	*/
	it('that was suspended and replaced starts nothing', async () => {
		await startSite();
		const name = site.getOwnerName()!;
		const frozen = site.entries.get(name)!;
		frozen.clock.isPaused = true;
		const other = [...site.entries.keys()].find(entry => entry !== name)!;
		await site.clock.advance(3000);
		await site.submit(jobId, createSpec([createStep({count: 3})]), other);
		await site.clock.advance(1000);
		frozen.clock.resume();
		await site.clock.advance(3000);
		expect(site.events.filter(event => event.type === 'started')).toHaveLength(3);
		expect(site.notes.some(note => note.source === name && note.event === 'deposed')).toBe(true);
	});

	/** The group may reassign all partitions at any time, which must not start anything twice. */
	it('that changes while tasks run starts none of them again', async () => {
		await startSite();
		site.plan = () => ({workMs: 5000});
		await site.submit(jobId, createSpec([createStep({count: 4})]));
		await site.clock.advance(500);
		const before = site.getOwnerName();
		site.store.rebalance('owners');
		await site.clock.advance(1500);
		expect(site.getOwnerName()).not.toBe(before);
		await site.clock.advance(6000);
		expect(site.events.filter(event => event.type === 'started')).toHaveLength(4);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/**
	A job is cancelled just before its owner dies. The next owner finds active runs of a finished job, which use capacity until
	they have stopped. The fault: only runs of unfinished jobs were counted, and a worker got more than its capacity.
	*/
	it('counts runs of a cancelled job until they have stopped', async () => {
		await startSite(1);
		site.plan = () => ({workMs: undefined});
		await site.submit(jobId, createSpec([createStep({count: 4, isLasting: true})]));
		await site.clock.advance(500);
		site.killEntry(site.getOwnerName()!);
		await site.cancel(jobId);
		await site.submit(otherId, createSpec([createStep({count: 4})]));
		await site.clock.advance(4000);
		expect(site.isRunning(`${otherId}.0.0.0`)).toBe(true);
	});
});

describe('an agent', () => {
	/** Workers continue under their lease while their agent restarts; its new incarnation finds the active runs and ends none. */
	it('that restarts takes over the active runs', async () => {
		await startSite();
		site.plan = () => ({workMs: 6000});
		await site.submit(jobId, createSpec([createStep({count: 4})]));
		await site.clock.advance(500);
		site.killAgent('host-0');
		await site.clock.advance(1500);
		site.startAgent('host-0');
		await site.clock.advance(6000);
		expect(site.events.filter(event => event.type === 'started')).toHaveLength(4);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/**
	An agent is cut off from all entries but reaches the store. It renews leases until it reads that it was declared lost. The
	owner starts its tasks elsewhere only after these leases have expired, or a task would run twice at the same time.
	*/
	it('that is declared lost lets its leases expire before the tasks start elsewhere', async () => {
		await startSite(2, 1);
		site.plan = () => ({workMs: 60_000});
		await site.submit(jobId, createSpec([createStep({milliCpu: 3000, count: 2})]));
		await site.clock.advance(500);
		site.cuts.add('entry-0>host-0');
		site.addHost('host-2');
		const tookMs = await site.waitFor(() => site.events.filter(event => event.type === 'started').length > 2, 30_000);
		expect(tookMs).toBeGreaterThan(8000);
		site.cuts.clear();
		await site.clock.advance(10_000);
		await site.submit(otherId, createSpec([createStep({milliCpu: 3500})]));
		await site.clock.advance(1000);
		expect(site.isRunning(`${otherId}.0.0.0`)).toBe(true);
	});

	/**
	The agent dies right after it was declared lost, and its next incarnation starts at once. It must not renew the leases whose
	expiry the owner waits for: a new incarnation knows of the declaration only after it has read it.
	*/
	it('that restarts after it was declared lost renews no lease', async () => {
		await startSite(2, 1);
		site.plan = () => ({workMs: 60_000});
		await site.submit(jobId, createSpec([createStep({milliCpu: 3000, count: 2})]));
		await site.clock.advance(500);
		site.cuts.add('entry-0>host-0');
		site.addHost('host-2');
		await site.clock.advance(4000);
		site.killAgent('host-0');
		await site.clock.advance(500);
		site.startAgent('host-0');
		await site.clock.advance(20_000);
		expect(site.events.filter(event => event.type === 'started')).toHaveLength(3);
	});

	/** The store does not answer anyone for 5 s: no agent can be declared lost, and active runs continue. */
	it('keeps runs active through an outage of the store', async () => {
		await startSite();
		site.plan = () => ({workMs: 9000});
		await site.submit(jobId, createSpec([createStep({count: 4})]));
		await site.clock.advance(500);
		site.store.getFault = () => StoreFault.LoseRequest;
		await site.clock.advance(5000);
		site.store.getFault = () => StoreFault.None;
		await site.clock.advance(6000);
		expect(site.events.filter(event => event.type === 'ended').map(event => event.end)).toEqual(Array.from({length: 4}, () => RunEnd.Done));
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/**
	An order to start gets no answer and is carried out 4 s later, when the task already runs elsewhere. Orders may overtake each
	other on the network, so the late start has to be refused.
	*/
	it('refuses starts that are carried out late', async () => {
		await startSite();
		site.hosts.get('host-0')!.worker.getFault = order => order === 'start' ? OrderFault.ExecuteLate : OrderFault.None;
		site.plan = () => ({workMs: 9000});
		await site.submit(jobId, createSpec([createStep({count: 4})]));
		await site.clock.advance(1000);
		site.hosts.get('host-0')!.worker.getFault = () => OrderFault.None;
		await site.clock.advance(12_000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	it('finds the run of a start whose answer was lost, and does not start it again', async () => {
		await startSite();
		for (const {worker} of site.hosts.values()) {
			worker.getFault = order => order === 'start' ? OrderFault.LoseAnswer : OrderFault.None;
		}

		await site.submit(jobId, createSpec([createStep({count: 4})]));
		await site.clock.advance(5000);
		expect(site.events.filter(event => event.type === 'started')).toHaveLength(4);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	it('learns from a new incarnation of the worker that all earlier runs have ended', async () => {
		await startSite();
		site.plan = () => ({workMs: 3000});
		await site.submit(jobId, createSpec([createStep({count: 4})]));
		await site.clock.advance(500);
		site.hosts.get('host-0')!.worker.crash();
		await site.clock.advance(6000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/** An unresponsive worker may continue until its leases have expired: only then may its tasks start elsewhere. */
	it('waits until the leases of an unresponsive worker have expired', async () => {
		await startSite(2, 1);
		site.plan = () => ({workMs: 60_000});
		await site.submit(jobId, createSpec([createStep({milliCpu: 3000, count: 2})]));
		await site.clock.advance(500);
		site.hosts.get('host-0')!.worker.isUnresponsive = true;
		site.addHost('host-2');
		const tookMs = await site.waitFor(() => site.events.filter(event => event.type === 'started').length > 2, 30_000);
		expect(tookMs).toBeGreaterThan(4000);
		expect(tookMs).toBeLessThan(9000);
	});

	it('starts nothing on a worker that drains', async () => {
		await startSite(1);
		site.hosts.get('host-0')!.worker.isDraining = true;
		await site.clock.advance(600);
		await site.submit(jobId, createSpec([createStep()]));
		await site.clock.advance(2000);
		expect(site.events).toEqual([]);
	});
});

describe('a host with a slow link', () => {
	/**
	All entries lose power and start again. Each reads the whole jobs stream; on a link of 7 Mbit/s one answer of a megabyte
	takes longer than the time-out. An entry repeated the same read again and again, owned the jobs, and started nothing.
	*/
	it('reads the stream in pieces that are small enough for its link', async () => {
		await startSite();
		const spec = createSpec([createStep()], {input: 'x'.repeat(4000)});
		for (let index = 0; index < 50; index++) {
			const id = index.toString(16).padStart(16, '0');
			await site.submit(id, spec);
		}

		for (const name of ['entry-0', 'entry-1']) {
			site.killEntry(name);
		}

		site.store.maxAnswerBytes = 60_000;
		site.startEntry('entry-2');
		await site.submit(jobId, createSpec([createStep()]), 'entry-2');
		const tookMs = await site.waitFor(() => site.getStarts(`${jobId}.0.0.0`) > 0, 20_000);
		expect(tookMs).toBeLessThan(10_000);
	});
});

describe('a host with a slow processor', () => {
	/**
	The group may assign the jobs to any entry, whatever its size. On the smallest, scheduling cycles waited for the processor,
	and jobs with them. It must own jobs only while there is no other entry.
	*/
	it('owns only while no other entry does', async () => {
		await startSite(2, 0);
		site.startEntry('small', 0.001);
		expect(await site.waitFor(() => site.getOwnerName() === 'small', 1000)).toBeDefined();
		site.startEntry('entry-1');
		expect(await site.waitFor(() => site.getOwnerName() === 'entry-1', 5000)).toBeDefined();
		await site.submit(jobId, createSpec([createStep()]), 'small');
		await site.clock.advance(500);
		expect(site.isRunning(`${jobId}.0.0.0`)).toBe(true);
		site.killEntry('entry-1');
		expect(await site.waitFor(() => site.getOwnerName() === 'small', 10_000)).toBeDefined();
	});
});
