import {afterEach, expect, test} from 'vitest';
import {JobState, type JobSpec} from '../src/types/jobs.ts';
import {createSpec, SimulatedCluster, type SimulatedClusterOptions} from './jobs-harness.ts';

let cluster: SimulatedCluster;
const startTask = async (options: SimulatedClusterOptions = {}, changes: Partial<JobSpec> = {}): Promise<string> => {
	cluster = new SimulatedCluster({getBehaviour: () => ({runTimeMs: 60_000}), ...options});
	await cluster.submit(createSpec('a', changes));
	await cluster.runUntil(() => cluster.getRunning().length === 1);
	return cluster.getRunningWorkers('a/0')[0]!;
};

const getOrders = () => cluster.orders.get('a/0')!;
const isSucceeded = async () => cluster.runUntil(() => cluster.getState('a') === JobState.Succeeded, 300_000);

afterEach(async () => {
	await cluster.stop();
});

test.each([true, false])('an evicted task resumes once from its checkpoint (idempotent: %s)', async isIdempotent => {
	const from = await startTask({}, {isIdempotent});
	cluster.announced.delete(from);
	await cluster.clock.advance(1000);
	cluster.evict('a/0');
	expect(await isSucceeded()).toBe(true);
	expect(getOrders()).toHaveLength(2);
	expect(getOrders()[1]!.checkpointId).toBe(`a/0/${getOrders()[0]!.attempt}`);
	expect(getOrders()[1]!.attempt).toBeGreaterThan(getOrders()[0]!.attempt);
	expect(cluster.getEntry().scheduler.getStatus('a')!.tasks[0]!.evictions).toBe(1);
	expect(cluster.violations).toEqual([]);
	await cluster.clock.advance(5000);
	expect((await cluster.workers.get(from)!.list()).tasks).toEqual([]);
});

// A stop takes effect and its answer is lost. The owner lists the worker's tasks and orders the stop again, so that the end of
// the attempt is reported more than once. Only the first report may resume the task.
test('an eviction that is answered twice resumes the task once', async () => {
	const from = await startTask();
	cluster.workers.get(from)!.faults.loseAnswerChance = 1;
	cluster.evict('a/0');
	await cluster.clock.advance(4000);
	expect(cluster.getRunning()).toEqual([]);
	cluster.workers.get(from)!.faults.loseAnswerChance = 0.5;
	expect(await isSucceeded()).toBe(true);
	expect(getOrders()).toHaveLength(2);
	expect(getOrders()[1]!.checkpointId).toBeDefined();
	expect(cluster.violations).toEqual([]);
});

// The stop does not reach the worker, which is unreachable. The task runs there until its lease expires. The resume elsewhere
// must wait for that, and the worker that returns with the old attempt must not cause another resume.
test('a resume waits until the old lease has expired if the end is not confirmed', async () => {
	const from = await startTask();
	const worker = cluster.workers.get(from)!;
	worker.faults.isUnreachable = true;
	cluster.evict('a/0');
	await cluster.clock.advance(20_000);
	expect(cluster.getRunningWorkers('a/0')).toEqual([from]);
	expect(getOrders()).toHaveLength(1);
	expect(await cluster.runUntil(() => getOrders().length === 2, 60_000)).toBe(true);
	worker.faults.isUnreachable = false;
	expect(await isSucceeded()).toBe(true);
	expect(getOrders()).toHaveLength(2);
	expect(cluster.violations).toEqual([]);
});

// The stop takes effect, its answer is lost and the worker is unreachable until the lease has expired by the owner's clock, so
// the task is started again. Then the worker returns and reports the stop with a checkpoint: a second reason to resume.
test('a task resumes once if its old lease expires while the answer to the stop is late', async () => {
	const from = await startTask();
	const worker = cluster.workers.get(from)!;
	worker.faults.loseAnswerChance = 1;
	cluster.evict('a/0');
	await cluster.clock.advance(200);
	worker.faults.isUnreachable = true;
	expect(await cluster.runUntil(() => getOrders().length === 2, 120_000)).toBe(true);
	worker.faults.loseAnswerChance = 0;
	worker.faults.isUnreachable = false;
	expect(await isSucceeded()).toBe(true);
	expect(getOrders()).toHaveLength(2);
	expect(cluster.violations).toEqual([]);
});

// The owner stops a task for an eviction and crashes before it starts the task again. The worker still has the checkpoint: the
// next owner must find it there and resume once. It must neither start the task from the beginning nor lose it.
test.each([true, false])('a new owner resumes a task that the old one had stopped (idempotent: %s)', async isIdempotent => {
	const from = await startTask({entries: 2, shards: 1, workers: 1}, {isIdempotent});
	const owner = cluster.getOwner('a')!;
	cluster.announced.delete(from);
	await cluster.clock.advance(1000);
	cluster.evict('a/0');
	expect(await cluster.runUntil(() => cluster.getRunning().length === 0, 5000)).toBe(true);
	owner.crash();
	cluster.announce(from);
	expect(await isSucceeded()).toBe(true);
	expect(getOrders()).toHaveLength(2);
	expect(getOrders()[1]!.checkpointId).toBe(`a/0/${getOrders()[0]!.attempt}`);
});

test('work lost to an eviction is counted without a checkpoint, and is zero with one', async () => {
	const from = await startTask();
	await cluster.clock.advance(10_000);
	cluster.evict('a/0');
	await cluster.runUntil(() => getOrders().length === 2);
	expect(cluster.count('eviction_work_lost_ms')).toBe(0);
	cluster.workers.get(from)!.faults.isCheckpointFailing = true;
	await cluster.clock.advance(10_000);
	cluster.evict('a/0');
	await cluster.runUntil(() => getOrders().length === 3);
	expect(cluster.count('eviction_work_lost_ms')).toBeGreaterThan(9000);
	expect(cluster.count('evictions.harm')).toBe(2);
	expect(await isSucceeded()).toBe(true);
});

test('a task cancelled while it is being evicted does not resume', async () => {
	const from = await startTask();
	cluster.workers.get(from)!.faults.loseAnswerChance = 1;
	cluster.evict('a/0');
	await cluster.clock.advance(300);
	const cancelling = cluster.getEntry().scheduler.cancel('a');
	await cluster.clock.advance(1000);
	await cancelling;
	cluster.workers.get(from)!.faults.loseAnswerChance = 0;
	await cluster.clock.advance(90_000);
	expect(getOrders()).toHaveLength(1);
	expect(cluster.getState('a')).toBe(JobState.Cancelled);
});
