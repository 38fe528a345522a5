import {afterEach, expect, test} from 'vitest';
import {ErrorCode, isError} from '../src/core/errors.ts';
import {JobFold} from '../src/jobs/job-fold.ts';
import {JobEntryType, type JobEntry} from '../src/jobs/job-records.ts';
import {JobState} from '../src/types/jobs.ts';
import {TaskState} from '../src/types/platform.ts';
import {createSpec, World, type WorldOptions} from './jobs-harness.ts';

let cluster: World;
const create = (options: WorldOptions = {}): World => {
	cluster = new World(options);
	return cluster;
};

afterEach(async () => {
	await cluster.stop();
});

const apply = (fold: JobFold, offset: number, ...entries: JobEntry[]) => fold.apply({id: `${offset}`, writtenAtMs: offset, entries}, offset);

test('a job is acknowledged when it is in the log, runs, and ends', async () => {
	create();
	await cluster.submit(createSpec('a', {taskCount: 3}));
	expect(await cluster.until(() => cluster.getState('a') === JobState.Succeeded)).toBe(true);
	expect(cluster.getEntry().scheduler.getStatus('a')!.tasks.map(({result}) => result)).toEqual(['a/0', 'a/1', 'a/2']);
	expect(cluster.violations).toEqual([]);
});

// A caller submits a job; the log takes it but its answer is lost. The writer appends the same record again, so the log
// holds the job twice. Without an idempotent fold the job would run twice.
test('a submission whose answer from the log was lost is one job', async () => {
	create();
	cluster.log.faults.loseAnswerChance = 0.7;
	await cluster.submit(createSpec('a'));
	cluster.log.faults.loseAnswerChance = 0;
	expect(await cluster.until(() => cluster.getState('a') === JobState.Succeeded)).toBe(true);
	expect(cluster.starts.get('a/0')).toHaveLength(1);
});

test('the same id twice is one job, and another job under that id is refused', async () => {
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

test('while the log is away a submission is refused as not known, and may be sent again', async () => {
	create();
	cluster.log.faults.isDown = true;
	await expect(cluster.submit(createSpec('a'))).rejects.toThrow('send it again under the same id');
	cluster.log.faults.isDown = false;
	await cluster.submit(createSpec('a'));
	expect(await cluster.until(() => cluster.getState('a') === JobState.Succeeded)).toBe(true);
	expect(cluster.starts.get('a/0')).toHaveLength(1);
});

// Every process of ours is lost at once while tasks run and wait. Nothing is left but the log and the workers, whose
// leases run out. All jobs that were acknowledged must end, none in two places.
test('jobs survive the loss of all entries at once', async () => {
	create({entries: 2, getBehaviour: () => ({runTimeMs: 20_000})});
	for (let index = 0; index < 8; index++) {
		await cluster.submit(createSpec(`job-${index}`, {taskCount: 3}));
	}

	await cluster.until(() => cluster.getRunning().length > 5);
	for (const entry of cluster.entries.values()) {
		entry.crash();
	}

	await cluster.clock.advance(5000);
	cluster.startEntry('entry-0');
	cluster.startEntry('entry-9');
	const ids = Array.from({length: 8}, (_, index) => `job-${index}`);
	expect(await cluster.until(() => ids.every(id => cluster.getState(id) === JobState.Succeeded), 600_000, 500)).toBe(true);
	expect(cluster.violations).toEqual([]);
});

const measureAppends = async (starts: number): Promise<{starts: number; appends: number; seconds: number}> => {
	create({
		workers: 10, capacity: {processors: 1200, memoryMb: 1_000_000, accelerators: 0}, shards: 1, settings: {jobs: {maxDecisions: 2000}},
	});
	await cluster.until(() => cluster.getEntry().scheduler.ownership.owned.size === 1);
	const before = cluster.log.appends;
	const beginMs = cluster.clock.monotonicMs();
	await cluster.submit(createSpec('wave', {taskCount: starts, resources: {processors: 1, memoryMb: 1, accelerators: 0}}));
	expect(await cluster.until(() => cluster.getState('wave') === JobState.Succeeded, 120_000, 500)).toBe(true);
	const figures = {starts: cluster.starts.size, appends: cluster.log.appends - before, seconds: (cluster.clock.monotonicMs() - beginMs) / 1000};
	await cluster.stop();
	return figures;
};

test('the log does not grow with starts: appends for 10 to 10,000 starts', async () => {
	const figures = [];
	for (const starts of [10, 100, 1000, 10_000]) {
		figures.push(await measureAppends(starts));
	}

	console.log(JSON.stringify(figures));
	expect(figures.map(({starts}) => starts)).toEqual([10, 100, 1000, 10_000]);
	// One append a gathering time at most, plus the renewals of ownership, whatever starts.
	for (const {appends, seconds} of figures) {
		expect(appends / seconds).toBeLessThan(21);
	}

	expect(figures[3]!.appends).toBeLessThan(figures[0]!.appends * 10);
}, 120_000);

// Retention takes old records while a long job still waits. An entry that starts later must still find the job, with the
// ends it already had; jobs that finished long ago are gone.
test('live jobs outlive the retention of the log, finished ones are forgotten', async () => {
	create({retentionMs: 60_000, settings: {jobs: {keepFinishedMs: 20_000}}, getBehaviour: ({taskId}) => ({runTimeMs: taskId === 'long/1' ? 400_000 : 2000})});
	await cluster.submit(createSpec('long', {taskCount: 2}));
	await cluster.submit(createSpec('short'));
	await cluster.until(() => cluster.getState('short') === JobState.Succeeded);
	await cluster.clock.advance(200_000);
	expect(cluster.getState('short')).toBe(undefined);
	const late = cluster.startEntry('late');
	await cluster.clock.advance(10_000);
	const status = late.scheduler.getStatus('long')!;
	expect(status.tasks[0]!.state).toBe(TaskState.Succeeded);
	expect(await cluster.until(() => cluster.getState('long') === JobState.Succeeded, 400_000, 1000)).toBe(true);
	expect(cluster.starts.get('long/0')).toHaveLength(1);
});

// An owner is paused between deciding to publish a job again and the append. Meanwhile another owner takes over, the job is
// cancelled and a task ends. The old snapshot then lands at the end of the log and must change nothing.
test('the late snapshot or end of a paused owner has no effect after its successor sealed the stream', () => {
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

test('a job that fits nowhere is told so at once with what is missing, and runs when a worker comes that has it', async () => {
	create();
	await cluster.clock.advance(1000);
	await cluster.submit(createSpec('big', {resources: {processors: 2, memoryMb: 512, accelerators: 4}}));
	const status = cluster.getEntry().scheduler.getStatus('big')!;
	expect(status.state).toBe(JobState.Unplaceable);
	expect(status.reason).toBe('accelerators: wants 4, largest worker has 0');
	cluster.addWorker('worker-gpu', {processors: 8, memoryMb: 4096, accelerators: 8});
	expect(await cluster.until(() => cluster.getState('big') === JobState.Succeeded)).toBe(true);
});

test('a worker that fails everything does not fail a job that can run elsewhere', async () => {
	create({workers: 1});
	cluster.workers.get('worker-0')!.faults.isFailingAll = true;
	await cluster.submit(createSpec('a'));
	await cluster.until(() => (cluster.starts.get('a/0') ?? []).length > 0);
	cluster.workers.get('worker-0')!.faults.isFailingAll = false;
	expect(await cluster.until(() => cluster.getState('a') === JobState.Succeeded)).toBe(true);
});

test('an idempotent task that fails everywhere fails its job after a bounded number of attempts', async () => {
	create({settings: {jobs: {maxFailures: 3}}, getBehaviour: () => ({runTimeMs: 10, isFailing: true})});
	await cluster.submit(createSpec('a'));
	expect(await cluster.until(() => cluster.getState('a') === JobState.Failed)).toBe(true);
	expect(cluster.starts.get('a/0')).toHaveLength(3);
});

test.each([
	['while it waits for an owner', 0],
	['while its tasks start', 2600],
	['while its tasks run', 6000],
])('a job cancelled %s stops for good', async (_, delayMs) => {
	create({getBehaviour: () => ({runTimeMs: 60_000})});
	await cluster.submit(createSpec('a', {taskCount: 6}));
	await cluster.clock.advance(delayMs);
	const cancelling = cluster.getEntry().scheduler.cancel('a');
	await cluster.clock.advance(1000);
	expect((await cancelling).state).toBe(JobState.Cancelled);
	expect(await cluster.until(() => cluster.getRunning().length === 0, 10_000)).toBe(true);
	await cluster.clock.advance(30_000);
	expect(cluster.getRunning()).toEqual([]);
	expect(cluster.getState('a')).toBe(JobState.Cancelled);
});
