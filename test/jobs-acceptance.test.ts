import {afterEach, expect, test} from 'vitest';
import {ErrorCode, isError} from '../src/core/errors.ts';
import {JobFold} from '../src/jobs/job-fold.ts';
import {JobEntryType, type JobEntry} from '../src/jobs/job-records.ts';
import {JobState} from '../src/types/jobs.ts';
import {TaskState} from '../src/types/platform.ts';
import {createSpec, SimulatedCluster, type SimulatedClusterOptions} from './jobs-harness.ts';

let cluster: SimulatedCluster;
const create = (options: SimulatedClusterOptions = {}): SimulatedCluster => {
	cluster = new SimulatedCluster(options);
	return cluster;
};

afterEach(async () => {
	await cluster.stop();
});

const apply = (fold: JobFold, offset: number, ...entries: JobEntry[]) => fold.apply({id: `${offset}`, writtenAtMs: offset, entries}, offset);

test('a job is acknowledged once it is in the log, and then runs and succeeds', async () => {
	create();
	await cluster.submit(createSpec('a', {taskCount: 3}));
	expect(await cluster.runUntil(() => cluster.getState('a') === JobState.Succeeded)).toBe(true);
	expect(cluster.getEntry().scheduler.getStatus('a')!.tasks.map(({result}) => result)).toEqual(['a/0', 'a/1', 'a/2']);
	expect(cluster.violations).toEqual([]);
});

// The log stores a submitted job but its answer is lost, so the writer appends the same record again and the log holds the job
// twice. If the fold were not idempotent, the job would run twice.
test('a submission whose append is repeated after a lost answer is one job', async () => {
	create();
	cluster.log.faults.loseAnswerChance = 0.7;
	await cluster.submit(createSpec('a'));
	cluster.log.faults.loseAnswerChance = 0;
	expect(await cluster.runUntil(() => cluster.getState('a') === JobState.Succeeded)).toBe(true);
	expect(cluster.starts.get('a/0')).toHaveLength(1);
});

test('two submissions of the same job are one job, and a different job under the same id is refused', async () => {
	create({entries: 2});
	const [first, second] = [cluster.getEntry(0), cluster.getEntry(1)];
	const outcomes = Promise.allSettled([
		first.scheduler.submit(createSpec('a')),
		second.scheduler.submit(createSpec('a')),
		second.scheduler.submit(createSpec('a', {taskCount: 2})),
	]);
	await cluster.clock.advance(2000);
	const settled = await outcomes;
	expect(settled.filter(({status}) => status === 'rejected')).toHaveLength(1);
	expect(settled.every(outcome => outcome.status === 'fulfilled' || isError(outcome.reason, ErrorCode.Conflict))).toBe(true);
	await expect(cluster.submit(createSpec('a', {priority: 1}))).rejects.toThrow('another job has this id');
});

test('while the log is unavailable a submission fails with an unknown outcome and may be sent again', async () => {
	create();
	cluster.log.faults.isDown = true;
	await expect(cluster.submit(createSpec('a'))).rejects.toThrow('send it again under the same id');
	cluster.log.faults.isDown = false;
	await cluster.submit(createSpec('a'));
	expect(await cluster.runUntil(() => cluster.getState('a') === JobState.Succeeded)).toBe(true);
	expect(cluster.starts.get('a/0')).toHaveLength(1);
});

// All entries crash at once while tasks run and wait. Only the log and the workers remain, and the leases on the workers expire.
// All acknowledged jobs must end, and no task may run in two places.
test('jobs survive a crash of all entries at once', async () => {
	create({entries: 2, getBehaviour: () => ({runTimeMs: 20_000})});
	for (let index = 0; index < 8; index++) {
		await cluster.submit(createSpec(`job-${index}`, {taskCount: 3}));
	}

	await cluster.runUntil(() => cluster.getRunning().length > 5);
	for (const entry of cluster.entries.values()) {
		entry.crash();
	}

	await cluster.clock.advance(5000);
	cluster.startEntry('entry-0');
	cluster.startEntry('entry-9');
	const ids = Array.from({length: 8}, (_, index) => `job-${index}`);
	expect(await cluster.runUntil(() => ids.every(id => cluster.getState(id) === JobState.Succeeded), 600_000, 500)).toBe(true);
	expect(cluster.violations).toEqual([]);
});

const measureAppends = async (starts: number): Promise<{starts: number; appends: number; seconds: number}> => {
	create({
		workers: 10, capacity: {processors: 1200, memoryMb: 1_000_000, accelerators: 0}, shards: 1, settings: {jobs: {maxDecisions: 2000}},
	});
	await cluster.runUntil(() => cluster.getEntry().scheduler.ownership.owned.size === 1);
	const before = cluster.log.appends;
	const beginMs = cluster.clock.monotonicMs();
	await cluster.submit(createSpec('wave', {taskCount: starts, resources: {processors: 1, memoryMb: 1, accelerators: 0}}));
	expect(await cluster.runUntil(() => cluster.getState('wave') === JobState.Succeeded, 120_000, 500)).toBe(true);
	const figures = {starts: cluster.starts.size, appends: cluster.log.appends - before, seconds: (cluster.clock.monotonicMs() - beginMs) / 1000};
	await cluster.stop();
	return figures;
};

test('the number of appends does not grow with the number of starts, from 10 to 10,000', async () => {
	const figures = [];
	for (const starts of [10, 100, 1000, 10_000]) {
		figures.push(await measureAppends(starts));
	}

	console.log(JSON.stringify(figures));
	expect(figures.map(({starts}) => starts)).toEqual([10, 100, 1000, 10_000]);
	// At most one append for each `gatherMs`, plus renewals of ownership, however many tasks start.
	for (const {appends, seconds} of figures) {
		expect(appends / seconds).toBeLessThan(21);
	}

	expect(figures[3]!.appends).toBeLessThan(figures[0]!.appends * 10);
}, 120_000);

// Old records expire from the log while a long job is not finished. An entry that starts later must still find the job with the
// ends recorded so far; jobs that finished long ago must be gone.
test('live jobs outlast the retention of the log, and finished ones are forgotten', async () => {
	create({retentionMs: 60_000, settings: {jobs: {keepFinishedMs: 20_000}}, getBehaviour: ({taskId}) => ({runTimeMs: taskId === 'long/1' ? 400_000 : 2000})});
	await cluster.submit(createSpec('long', {taskCount: 2}));
	await cluster.submit(createSpec('short'));
	await cluster.runUntil(() => cluster.getState('short') === JobState.Succeeded);
	await cluster.clock.advance(200_000);
	expect(cluster.getState('short')).toBe(undefined);
	const late = cluster.startEntry('late');
	await cluster.clock.advance(10_000);
	const status = late.scheduler.getStatus('long')!;
	expect(status.tasks[0]!.state).toBe(TaskState.Succeeded);
	expect(await cluster.runUntil(() => cluster.getState('long') === JobState.Succeeded, 400_000, 1000)).toBe(true);
	expect(cluster.starts.get('long/0')).toHaveLength(1);
});

// An owner is paused between its decision to republish a job and the append. Meanwhile another owner seals the stream, the job is
// cancelled and a task ends. The old snapshot is then appended and must change nothing.
test('a late snapshot or end from a paused owner has no effect after its successor sealed the stream', () => {
	const fold = new JobFold();
	const spec = createSpec('a', {taskCount: 2});
	const end = (token: number, state: TaskState): JobEntry => ({
		type: JobEntryType.End, jobId: 'a', fencingToken: token, end: {index: 0, attempt: 1, state},
	});
	apply(fold, 0, {type: JobEntryType.Accept, shard: 0, spec});
	apply(fold, 1, {type: JobEntryType.Seal, shard: 0, fencingToken: 5});
	apply(fold, 2, {type: JobEntryType.Seal, shard: 0, fencingToken: 9});
	apply(fold, 3, {type: JobEntryType.Cancel, jobId: 'a'});
	expect(apply(fold, 4, end(5, TaskState.Failed))).toEqual([]);
	expect(apply(fold, 5, {
		type: JobEntryType.Snapshot, shard: 0, fencingToken: 5, spec, isCancelled: false, ends: [{index: 1, attempt: 1, state: TaskState.Failed}], dispatches: [],
	})).toEqual([]);
	expect(apply(fold, 6, end(9, TaskState.Succeeded))).toHaveLength(1);
	expect(apply(fold, 7, end(9, TaskState.Failed))).toEqual([]);
	const job = fold.jobs.get('a')!;
	expect([job.isCancelled, job.ends.size, job.ends.get(0)!.state]).toEqual([true, 1, TaskState.Succeeded]);
	apply(fold, 8, {type: JobEntryType.Forget, jobId: 'a', fencingToken: 5});
	expect(fold.jobs.has('a')).toBe(true);
});

test('a job that fits no worker is unplaceable at once with the missing resources, and runs when a suitable worker joins', async () => {
	create();
	await cluster.clock.advance(1000);
	await cluster.submit(createSpec('big', {resources: {processors: 2, memoryMb: 512, accelerators: 4}}));
	const status = cluster.getEntry().scheduler.getStatus('big')!;
	expect(status.state).toBe(JobState.Unplaceable);
	expect(status.reason).toBe('accelerators: wants 4, largest worker has 0');
	cluster.addWorker('worker-gpu', {processors: 8, memoryMb: 4096, accelerators: 8});
	expect(await cluster.runUntil(() => cluster.getState('big') === JobState.Succeeded)).toBe(true);
});

test('a worker that fails every task does not fail a job that can still succeed', async () => {
	create({workers: 1});
	cluster.workers.get('worker-0')!.faults.isFailingAll = true;
	await cluster.submit(createSpec('a'));
	await cluster.runUntil(() => (cluster.starts.get('a/0') ?? []).length > 0);
	cluster.workers.get('worker-0')!.faults.isFailingAll = false;
	expect(await cluster.runUntil(() => cluster.getState('a') === JobState.Succeeded)).toBe(true);
});

test('an idempotent task that always fails makes its job fail after `maxFailures` attempts', async () => {
	create({settings: {jobs: {maxFailures: 3}}, getBehaviour: () => ({runTimeMs: 10, isFailing: true})});
	await cluster.submit(createSpec('a'));
	expect(await cluster.runUntil(() => cluster.getState('a') === JobState.Failed)).toBe(true);
	expect(cluster.starts.get('a/0')).toHaveLength(3);
});

test.each([
	['while it waits for an owner', 0],
	['while its tasks start', 2600],
	['while its tasks run', 6000],
])('a job cancelled %s stops and does not run again', async (_, delayMs) => {
	create({getBehaviour: () => ({runTimeMs: 60_000})});
	await cluster.submit(createSpec('a', {taskCount: 6}));
	await cluster.clock.advance(delayMs);
	const cancelling = cluster.getEntry().scheduler.cancel('a');
	await cluster.clock.advance(1000);
	expect((await cancelling).state).toBe(JobState.Cancelled);
	expect(await cluster.runUntil(() => cluster.getRunning().length === 0, 10_000)).toBe(true);
	await cluster.clock.advance(30_000);
	expect(cluster.getRunning()).toEqual([]);
	expect(cluster.getState('a')).toBe(JobState.Cancelled);
});
