/**
What callers are told of jobs on a site, on calm days and while the store fails, on manual time.
*/
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {LookupOutcome, SubmitOutcome} from '../src/types/job-api.ts';
import {RunEnd, WorkflowState} from '../src/types/workflows.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {
	createSpec, createStep, queue, type SiteWorld,
} from './site-world.ts';

let world: SiteWorld;

const createWorld = async (...sizes: Parameters<typeof createSite>): Promise<void> => {
	world = await createSite(...sizes);
};

afterEach(() => {
	world.stop();
	expect(world.violations).toEqual([]);
});

describe('a calm site', () => {
	it('runs steps in their order and shows the job as completed at every entry', async () => {
		await createWorld();
		const spec = createSpec([createStep({count: 3}), createStep({count: 2, after: [0]})]);
		expect((await world.submit(jobId, spec)).outcome).toBe(SubmitOutcome.Accepted);
		await world.clock.advance(500);
		expect(world.isRunning(`${jobId}.0.0.0`)).toBe(true);
		await world.clock.advance(2500);
		expect(await world.getState(jobId, 'entry-0')).toBe(WorkflowState.Completed);
		expect(await world.getState(jobId, 'entry-1')).toBe(WorkflowState.Completed);
	});

	it('takes the same job handed in at two entries as one', async () => {
		await createWorld();
		const spec = createSpec([createStep()]);
		await world.submit(jobId, spec, 'entry-0');
		await world.submit(jobId, spec, 'entry-1');
		await world.clock.advance(2000);
		expect(world.getStarts(`${jobId}.0.0.0`)).toBe(1);
	});

	it('starts each occurrence of a repeated job when it is due', async () => {
		await createWorld();
		const spec = createSpec([createStep()], {repeatCount: 3, firstDueMs: world.clock.now().getTime() + 1000, intervalMs: 2000});
		await world.submit(jobId, spec);
		await world.clock.advance(500);
		expect(world.events).toEqual([]);
		await world.clock.advance(8000);
		expect(world.events.filter(event => event.type === 'started').map(event => event.taskId)).toEqual([0, 1, 2].map(occurrence => `${jobId}.${occurrence}.0.0`));
		expect(await world.getState(jobId)).toBe(WorkflowState.Completed);
	});

	it('stops what a cancelled job runs, and says that it is cancelled', async () => {
		await createWorld();
		world.plan = () => ({workMs: undefined});
		await world.submit(jobId, createSpec([createStep({count: 4, isLasting: true})]));
		await world.clock.advance(500);
		expect(await world.cancel(jobId)).toBe(LookupOutcome.Found);
		await world.clock.advance(500);
		expect(world.isRunning(`${jobId}.0.0.0`)).toBe(false);
		expect(await world.getState(jobId)).toBe(WorkflowState.Cancelled);
	});

	it('restarts a lasting task however it ends', async () => {
		await createWorld();
		world.plan = () => ({workMs: undefined});
		await world.submit(jobId, createSpec([createStep({isLasting: true})]));
		await world.clock.advance(500);
		for (const {worker} of world.hosts.values()) {
			worker.end(`${jobId}.0.0.0`, RunEnd.Failed);
		}

		await world.clock.advance(500);
		expect(world.getStarts(`${jobId}.0.0.0`)).toBe(2);
	});

	it('fails a job once a task failed as often as its queue allows, and not more often', async () => {
		await createWorld();
		world.plan = () => ({workMs: 100, isFailing: true});
		await world.submit(jobId, createSpec([createStep()]));
		await world.clock.advance(3000);
		expect(world.getStarts(`${jobId}.0.0.0`)).toBe(3);
		expect(await world.getState(jobId)).toBe(WorkflowState.Failed);
	});

	it('starts all members of a gang under one number', async () => {
		await createWorld();
		await world.submit(jobId, createSpec([createStep({count: 3, isGang: true})]));
		await world.clock.advance(500);
		const starts = world.events.filter(event => event.type === 'started');
		expect(starts.map(event => event.run)).toEqual([1, 1, 1]);
	});
});

describe('acceptance', () => {
	/** An answer of the store is lost after it took the record: the entry asks again and knows, and the job runs once. */
	it('finds out what became of a record whose answer was lost', async () => {
		await createWorld();
		let lost = 0;
		world.store.fault = ({kind, ref}) => kind === 'append' && ref?.topic === 'workflows' && lost++ < 1 ? StoreFault.LoseAnswer : StoreFault.None;
		expect((await world.submit(jobId, createSpec([createStep()]))).outcome).toBe(SubmitOutcome.Accepted);
		await world.clock.advance(3000);
		expect(world.getStarts(`${jobId}.0.0.0`)).toBe(1);
	});

	it('says at once that a job is not taken while the store refuses, and it never runs', async () => {
		await createWorld();
		world.store.fault = ({kind}) => kind === 'append' ? StoreFault.Refuse : StoreFault.None;
		const startMs = world.clock.monotonicMs();
		expect((await world.submit(jobId, createSpec([createStep()]))).outcome).toBe(SubmitOutcome.NotAccepted);
		expect(world.clock.monotonicMs() - startMs).toBeLessThan(800);
		world.store.fault = () => StoreFault.None;
		await world.clock.advance(5000);
		expect(world.events).toEqual([]);
	});

	/** The store turns one entry away without a word. What it cannot take is said at once, not at the caller's deadline. */
	it('turns callers away at once where the store is known to be lost, and sends nothing', async () => {
		await createWorld();
		world.storeLost.add('entry-0');
		const {append} = world.store.calls;
		const startMs = world.clock.monotonicMs();
		expect((await world.submit(jobId, createSpec([createStep()]), 'entry-0')).outcome).toBe(SubmitOutcome.NotAccepted);
		expect(world.clock.monotonicMs() - startMs).toBeLessThan(20);
		expect(world.store.calls.append).toBe(append);
	});

	it('leaves open what it cannot know', async () => {
		await createWorld();
		world.store.fault = ({kind, ref}) => kind === 'append' && ref?.topic === 'workflows' ? StoreFault.DoLate : StoreFault.None;
		expect((await world.submit(jobId, createSpec([createStep()]))).outcome).toBe(SubmitOutcome.Unknown);
	});

	/**
	The store gives no answer, and the caller is told that it is not known. It asks again at the same entry while the
	first record is still being tried. "Never runs" would be a lie: the record is stored as the store answers again.
	*/
	it('does not say that a job never runs while an earlier record of it is open', async () => {
		await createWorld();
		world.store.fault = ({kind, ref}) => kind === 'append' && ref?.topic === 'workflows' ? StoreFault.Silence : StoreFault.None;
		const spec = createSpec([createStep()]);
		expect((await world.submit(jobId, spec, 'entry-1')).outcome).toBe(SubmitOutcome.Unknown);
		world.storeLost.add('entry-1');
		expect((await world.submit(jobId, spec, 'entry-1')).outcome).toBe(SubmitOutcome.Unknown);
		world.storeLost.clear();
		world.store.fault = () => StoreFault.None;
		await world.clock.advance(4000);
		expect(world.getStarts(`${jobId}.0.0.0`)).toBe(1);
	});

	/** Records wait behind one without an answer. What was never sent is told so soon, not at the caller's deadline. */
	it('turns away soon what waits behind a record without an answer', async () => {
		await createWorld();
		world.store.fault = ({kind, ref}) => kind === 'append' && ref?.topic === 'workflows' ? StoreFault.Silence : StoreFault.None;
		const {jobs} = world.entries.get('entry-1')!;
		const first = jobs.submit(queue, jobId, createSpec([createStep()]), 2500);
		await world.clock.advance(50);
		const startMs = world.clock.monotonicMs();
		expect((await world.submit(otherId, createSpec([createStep()]), 'entry-1')).outcome).toBe(SubmitOutcome.NotAccepted);
		expect(world.clock.monotonicMs() - startMs).toBeLessThan(600);
		expect((await world.settle(first)).outcome).toBe(SubmitOutcome.Unknown);
	});

	it('says that a job is unknown only after it has read the stream to its end', async () => {
		await createWorld();
		expect(await world.getState(otherId)).toBe(LookupOutcome.Absent);
		world.store.fault = ({kind}) => kind === 'read' ? StoreFault.Silence : StoreFault.None;
		expect(await world.getState(otherId)).toBe(LookupOutcome.Unknown);
	});
});
