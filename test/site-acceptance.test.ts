/**
What a site answers callers about jobs, without faults and while the store fails, on manual time.
*/
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {LookupOutcome, SubmitOutcome} from '../src/types/job-api.ts';
import {RunEnd, WorkflowState} from '../src/types/workflows.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {
	createSpec, createStep, queue, type SimulatedSite,
} from './simulated-site.ts';

let site: SimulatedSite;

const startSite = async (...sizes: Parameters<typeof createSite>): Promise<void> => {
	site = await createSite(...sizes);
};

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

describe('a site without faults', () => {
	it('runs steps in their order and shows the job as completed at every entry', async () => {
		await startSite();
		const spec = createSpec([createStep({count: 3}), createStep({count: 2, after: [0]})]);
		expect((await site.submit(jobId, spec)).outcome).toBe(SubmitOutcome.Accepted);
		await site.clock.advance(500);
		expect(site.isRunning(`${jobId}.0.0.0`)).toBe(true);
		await site.clock.advance(2500);
		expect(await site.getState(jobId, 'entry-0')).toBe(WorkflowState.Completed);
		expect(await site.getState(jobId, 'entry-1')).toBe(WorkflowState.Completed);
	});

	it('runs a job once that is submitted at two entries', async () => {
		await startSite();
		const spec = createSpec([createStep()]);
		await site.submit(jobId, spec, 'entry-0');
		await site.submit(jobId, spec, 'entry-1');
		await site.clock.advance(2000);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
	});

	it('starts each occurrence of a repeated job when it is due', async () => {
		await startSite();
		const spec = createSpec([createStep()], {repeatCount: 3, firstDueMs: site.clock.now().getTime() + 1000, intervalMs: 2000});
		await site.submit(jobId, spec);
		await site.clock.advance(500);
		expect(site.events).toEqual([]);
		await site.clock.advance(8000);
		expect(site.events.filter(event => event.type === 'started').map(event => event.taskId)).toEqual([0, 1, 2].map(occurrence => `${jobId}.${occurrence}.0.0`));
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	it('stops the runs of a cancelled job, and reports it as cancelled', async () => {
		await startSite();
		site.plan = () => ({workMs: undefined});
		await site.submit(jobId, createSpec([createStep({count: 4, isLasting: true})]));
		await site.clock.advance(500);
		expect(await site.cancel(jobId)).toBe(LookupOutcome.Found);
		await site.clock.advance(500);
		expect(site.isRunning(`${jobId}.0.0.0`)).toBe(false);
		expect(await site.getState(jobId)).toBe(WorkflowState.Cancelled);
	});

	it('restarts a long-running task however it ends', async () => {
		await startSite();
		site.plan = () => ({workMs: undefined});
		await site.submit(jobId, createSpec([createStep({isLasting: true})]));
		await site.clock.advance(500);
		for (const {worker} of site.hosts.values()) {
			worker.end(`${jobId}.0.0.0`, RunEnd.Failed);
		}

		await site.clock.advance(500);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBe(2);
	});

	it('fails a job once a task has failed as often as its queue allows, and not more often', async () => {
		await startSite();
		site.plan = () => ({workMs: 100, isFailing: true});
		await site.submit(jobId, createSpec([createStep()]));
		await site.clock.advance(3000);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBe(3);
		expect(await site.getState(jobId)).toBe(WorkflowState.Failed);
	});

	it('starts all members of a gang under one run number', async () => {
		await startSite();
		await site.submit(jobId, createSpec([createStep({count: 3, isGang: true})]));
		await site.clock.advance(500);
		const starts = site.events.filter(event => event.type === 'started');
		expect(starts.map(event => event.run)).toEqual([1, 1, 1]);
	});
});

describe('acceptance', () => {
	/** The store's answer is lost after it stored the record: the entry repeats the call and learns that, and the job runs once. */
	it('finds out whether a record is stored whose answer was lost', async () => {
		await startSite();
		let lost = 0;
		site.store.getFault = ({kind, ref}) => kind === 'append' && ref?.topic === 'workflows' && lost++ < 1 ? StoreFault.LoseAnswer : StoreFault.None;
		expect((await site.submit(jobId, createSpec([createStep()]))).outcome).toBe(SubmitOutcome.Accepted);
		await site.clock.advance(3000);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
	});

	it('reports a job as not accepted at once while the store refuses, and never runs it', async () => {
		await startSite();
		site.store.getFault = ({kind}) => kind === 'append' ? StoreFault.Refuse : StoreFault.None;
		const startMs = site.clock.monotonicMs();
		expect((await site.submit(jobId, createSpec([createStep()]))).outcome).toBe(SubmitOutcome.NotAccepted);
		expect(site.clock.monotonicMs() - startMs).toBeLessThan(800);
		site.store.getFault = () => StoreFault.None;
		await site.clock.advance(5000);
		expect(site.events).toEqual([]);
	});

	/** The store does not answer one entry: its callers are refused at once, not at their deadline. */
	it('refuses callers at once while the store is known to be lost, and sends nothing', async () => {
		await startSite();
		site.storeLost.add('entry-0');
		const {append} = site.store.calls;
		const startMs = site.clock.monotonicMs();
		expect((await site.submit(jobId, createSpec([createStep()]), 'entry-0')).outcome).toBe(SubmitOutcome.NotAccepted);
		expect(site.clock.monotonicMs() - startMs).toBeLessThan(20);
		expect(site.store.calls.append).toBe(append);
	});

	it('reports the outcome as unknown if the store carries an append out late', async () => {
		await startSite();
		site.store.getFault = ({kind, ref}) => kind === 'append' && ref?.topic === 'workflows' ? StoreFault.ExecuteLate : StoreFault.None;
		expect((await site.submit(jobId, createSpec([createStep()]))).outcome).toBe(SubmitOutcome.Unknown);
	});

	/**
	The store gives no answer, and the outcome is reported as unknown. The caller submits again at the same entry while the
	first record is still being retried. "Not accepted" would be wrong: the record is stored once the store answers again.
	*/
	it('does not report a job as not accepted while an earlier record of it is pending', async () => {
		await startSite();
		site.store.getFault = ({kind, ref}) => kind === 'append' && ref?.topic === 'workflows' ? StoreFault.LoseRequest : StoreFault.None;
		const spec = createSpec([createStep()]);
		expect((await site.submit(jobId, spec, 'entry-1')).outcome).toBe(SubmitOutcome.Unknown);
		site.storeLost.add('entry-1');
		expect((await site.submit(jobId, spec, 'entry-1')).outcome).toBe(SubmitOutcome.Unknown);
		site.storeLost.clear();
		site.store.getFault = () => StoreFault.None;
		await site.clock.advance(4000);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
	});

	/** Records wait behind one without an answer. Those that were never sent are refused soon, not at the caller's deadline. */
	it('refuses a job soon that waits behind a record without an answer', async () => {
		await startSite();
		site.store.getFault = ({kind, ref}) => kind === 'append' && ref?.topic === 'workflows' ? StoreFault.LoseRequest : StoreFault.None;
		const {jobs} = site.entries.get('entry-1')!;
		const first = jobs.submit(queue, jobId, createSpec([createStep()]), 2500);
		await site.clock.advance(50);
		const startMs = site.clock.monotonicMs();
		expect((await site.submit(otherId, createSpec([createStep()]), 'entry-1')).outcome).toBe(SubmitOutcome.NotAccepted);
		expect(site.clock.monotonicMs() - startMs).toBeLessThan(600);
		expect((await site.settle(first)).outcome).toBe(SubmitOutcome.Unknown);
	});

	it('reports a job as absent only after it has read the stream to its end', async () => {
		await startSite();
		expect(await site.getState(otherId)).toBe(LookupOutcome.Absent);
		site.store.getFault = ({kind}) => kind === 'read' ? StoreFault.LoseRequest : StoreFault.None;
		expect(await site.getState(otherId)).toBe(LookupOutcome.Unknown);
	});
});
