/**
Entries that miss records of the jobs stream because the store has dropped them.
*/
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {SubmitOutcome} from '../src/types/job-api.ts';
import {RunEnd, WorkflowState} from '../src/types/workflows.ts';
import {WorkflowFold} from '../src/workflows/fold.ts';
import {
	encodeRecord, RecordType, workflowsTopic, type WorkflowSnapshot,
} from '../src/workflows/records.ts';
import {createWorkflow} from './site-fleet.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {
	createSpec, createStep, partition, type SimulatedSite,
} from './simulated-site.ts';

/** How long the store of a simulated site retains records. */
const retentionMs = 60_000;
const ref = {topic: workflowsTopic, partition};
const lastingSpec = createSpec([createStep({isLasting: true})]);

let site: SimulatedSite | undefined;

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

const stopReads = (entryName: string): void => {
	site!.store.getFault = ({client, kind, ref: used}) => client === entryName && kind === 'read' && used?.topic === workflowsTopic ? StoreFault.LoseRequest : StoreFault.None;
};

/** Advances while the store drops the records that are older than its retention, as the entry has read them. */
const advanceWithRetention = async (entryName: string, forMs: number): Promise<void> => {
	const {follower: {fold}} = site!.entries.get(entryName)!;
	const read: Array<{atMs: number; offset: number}> = [];
	const endMs = site!.clock.monotonicMs() + forMs;
	while (site!.clock.monotonicMs() < endMs) {
		const nowMs = site!.clock.monotonicMs();
		read.push({atMs: nowMs, offset: fold.offset});
		const dropped = read.findLast(({atMs}) => nowMs - atMs > retentionMs);
		if (dropped) {
			site!.store.trim(ref, dropped.offset);
		}

		await site!.clock.advance(500);
	}
};

describe('an entry that reads nothing for longer than the store retains records', () => {
	/** Lets an entry that does not own read nothing while `act` and the retention pass; ends the owner and returns the new one. */
	const replaceBy = async (act: (owner: string) => Promise<void>, gapMs = retentionMs + 5000): Promise<void> => {
		const owner = site!.getOwnerName()!;
		const behind = [...site!.entries.keys()].find(name => name !== owner)!;
		stopReads(behind);
		await site!.clock.advance(1000);
		await act(owner);
		await advanceWithRetention(owner, gapMs);
		site!.store.getFault = () => StoreFault.None;
		expect(await site!.waitFor(() => site!.entries.get(behind)!.follower.fold.offset >= site!.entries.get(owner)!.follower.fold.offset, 3000)).toBeDefined();
		site!.killEntry(owner);
		await site!.clock.advance(6000);
		expect(site!.getOwnerName()).toBe(behind);
	};

	/** Guards against a fold that keeps the state from before the gap: the new owner runs a completed job a second time. */
	it('starts no job again that has completed meanwhile', async () => {
		site = await createSite();
		site.plan = () => ({workMs: 3000});
		await site.submit(jobId, createSpec([createStep()]));
		await site.clock.advance(500);
		await replaceBy(async () => undefined);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/** Guards against a fold that keeps the state from before the gap: the new owner starts a job whose cancellation was acknowledged. */
	it('starts no job again that was cancelled meanwhile', async () => {
		site = await createSite();
		site.plan = () => ({workMs: undefined});
		await site.submit(jobId, lastingSpec);
		await site.clock.advance(500);
		await replaceBy(async owner => {
			await site!.cancel(jobId, owner);
		});
		expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
		expect(await site.getState(jobId)).toBe(WorkflowState.Cancelled);
	});

	/** Guards against a fold that keeps a job of which the store retains no record: its last snapshot has been dropped as well. */
	it('starts no job again that was cancelled so long before that no record of it is left', async () => {
		site = await createSite();
		site.plan = () => ({workMs: undefined});
		await site.submit(jobId, lastingSpec);
		await site.clock.advance(500);
		await replaceBy(async owner => {
			await site!.cancel(jobId, owner);
		}, 2.5 * retentionMs);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
	});

	it('knows a job that was submitted meanwhile and still runs', async () => {
		site = await createSite();
		site.plan = () => ({workMs: undefined});
		await replaceBy(async owner => {
			await site!.submit(jobId, lastingSpec, owner);
		});
		expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
		expect(site.isRunning(`${jobId}.0.0.0`)).toBe(true);
		expect(await site.getState(jobId)).toBe(WorkflowState.Running);
	});
});

/** Guards against an owner that goes on with its old state, or again under the epoch of orders that are still under way. */
it('an owner that was suspended for longer than the store retains records starts no job again', async () => {
	site = await createSite();
	site.plan = () => ({workMs: 3000});
	await site.submit(jobId, createSpec([createStep()]));
	await site.clock.advance(500);
	const owner = site.getOwnerName()!;
	const other = [...site.entries.keys()].find(name => name !== owner)!;
	site.entries.get(owner)!.clock.isPaused = true;
	await advanceWithRetention(other, retentionMs + 5000);
	site.killEntry(other);
	site.entries.get(owner)!.clock.resume();
	await site.clock.advance(8000);
	expect(site.getOwnerName()).toBe(owner);
	expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
	expect(await site.getState(jobId, owner)).toBe(WorkflowState.Completed);
	expect(await site.submit(otherId, createSpec([createStep()]), owner)).toMatchObject({outcome: SubmitOutcome.Accepted});
	expect(await site.waitFor(() => site!.getStarts(`${otherId}.0.0.0`) === 1, 3000)).toBeDefined();
});

describe('an entry that starts when the store has dropped a record but not the snapshot that was written just after it', () => {
	/** Guards against a first retained snapshot that lacks a record which its owner had not read, while the later, complete one is ignored. */
	it('starts no job that was cancelled', async () => {
		site = await createSite();
		site.plan = () => ({workMs: undefined});
		await site.submit(jobId, lastingSpec);
		const submittedAtMs = site.clock.monotonicMs();
		const owner = site.getOwnerName()!;
		const other = [...site.entries.keys()].find(name => name !== owner)!;
		await site.clock.advance(18_500);
		stopReads(owner);
		await site.clock.advance(1100);
		await site.cancel(jobId, other);
		await site.clock.advance(50);
		const {offset} = site.entries.get(other)!.follower.fold;
		expect(site.entries.get(other)!.follower.fold.workflows.get(jobId)!.state).toBe(WorkflowState.Cancelled);
		expect(await site.waitFor(() => site!.entries.get(other)!.follower.fold.workflows.get(jobId)!.writtenAtMs > site!.clock.now().getTime() - 100, 1000)).toBeDefined();
		site.store.getFault = () => StoreFault.None;
		await site.clock.advance(submittedAtMs + 80_000 - site.clock.monotonicMs());
		expect(site.entries.get(owner)!.follower.fold.workflows.get(jobId)).toMatchObject({state: WorkflowState.Cancelled, hasFinalSnapshot: true});
		site.store.trim(ref, offset);
		for (const name of [owner, other]) {
			site.killEntry(name);
		}

		site.startEntry('entry-2');
		await site.clock.advance(6000);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
		expect(await site.getState(jobId, 'entry-2')).toBe(WorkflowState.Cancelled);
	});

	/** Guards against the same in the fold: a later snapshot says more of a known job than the first one that was read. */
	it('folds what a later snapshot says of a job that it knows from an earlier one', () => {
		const fold = new WorkflowFold();
		const workflow = createWorkflow(otherId, createSpec([createStep({count: 2})]));
		const earlier: WorkflowSnapshot = {
			workflow, state: WorkflowState.Running, hasBegun: true, remaining: 2, ledgers: [], writtenAtMs: 0,
		};
		const done = {
			isDone: true, failedRuns: [], crashes: [], lastRun: 1, checkpoint: '',
		};
		fold.apply({type: RecordType.Snapshot, job: earlier}, 10);
		fold.apply({
			type: RecordType.Snapshot, job: {
				...earlier, remaining: 1, ledgers: [[`${otherId}.0.0.0`, done]], writtenAtMs: 20_000,
			},
		}, 20);
		fold.apply({
			type: RecordType.Ends, ends: [{
				taskId: `${otherId}.0.0.1`, run: 1, end: RunEnd.Done, checkpoint: '',
			}],
		}, 21);
		expect(fold.workflows.get(otherId)!.state).toBe(WorkflowState.Completed);
	});
});

/** Guards against an owner that goes on over a gap while it stays in the group, or again under its epoch: its orders may still be under way. */
it('an owner that misses records while it stays in the group takes over again under a new epoch', async () => {
	site = await createSite(2, 1);
	const {store, notes} = site;
	const owner = site.getOwnerName()!;
	const getEpochs = () => notes.filter(({event}) => event === 'took over').map(({fields}) => fields.epoch as number);
	expect(getEpochs()).toHaveLength(1);
	// A heartbeat is nearly always under way.
	store.getDelayMs = ({kind}) => kind === 'join' ? 400 : 0;
	stopReads(owner);
	await site.clock.advance(1500);
	const appended = await site.settle(store.createClient('callers').append(ref, [encodeRecord({type: RecordType.Cancel, id: otherId})], {timeoutMs: 1000}));
	store.trim(ref, (appended as {endOffset: number}).endOffset);
	store.getFault = () => StoreFault.None;
	expect(await site.waitFor(() => getEpochs().length > 1, 8000)).toBeDefined();
	const [first, ...later] = getEpochs();
	expect(Math.min(...later)).toBeGreaterThan(first!);
	expect(notes.some(({event, fields}) => event === 'deposed' && fields.reason === 'the store has dropped records that were not read')).toBe(true);
	expect(await site.submit(jobId, createSpec([createStep()]))).toMatchObject({outcome: SubmitOutcome.Accepted});
	expect(await site.waitFor(() => site!.getStarts(`${jobId}.0.0.0`) === 1, 3000)).toBeDefined();
});

/** Guards against a fold that takes only ends and final states from a later snapshot: a started job counts as pending, and failures are forgotten. */
it('folds the start, the runs and the failures of a known job from a later snapshot', () => {
	const fold = new WorkflowFold();
	const workflow = createWorkflow(otherId, createSpec([createStep()]));
	const taskId = `${otherId}.0.0.0`;
	const crash = {
		run: 3, ageMs: 100, isNewest: true, host: 'host-0', isHostProven: true, atMs: 10_000,
	};
	fold.apply({type: RecordType.Submit, workflow}, 10);
	expect(fold.countPending(workflow.queue)).toBe(1);
	const started: WorkflowSnapshot = {
		workflow, state: WorkflowState.Running, hasBegun: true, remaining: 1, writtenAtMs: 20_000, ledgers: [],
	};
	fold.apply({type: RecordType.Snapshot, job: started}, 20);
	expect(fold.countPending(workflow.queue)).toBe(0);
	fold.apply({
		type: RecordType.Snapshot, job: {
			...started, ledgers: [[taskId, {
				isDone: false, failedRuns: [1], crashes: [crash], lastRun: 4, checkpoint: 'saved',
			}]],
		},
	}, 30);
	expect(fold.workflows.get(otherId)!.ledgers.get(taskId)).toEqual({
		isDone: false, failedRuns: [1], crashes: [crash], lastRun: 4, checkpoint: 'saved',
	});
});
