import {afterEach, expect, test} from 'vitest';
import {JobState, type JobSpec} from '../src/types/jobs.ts';
import {createSpec, SimulatedCluster, type SimulatedClusterOptions} from './jobs-harness.ts';

let world: SimulatedCluster;
const startTask = async (options: SimulatedClusterOptions = {}, changes: Partial<JobSpec> = {}): Promise<string> => {
	world = new SimulatedCluster({getBehaviour: () => ({runTimeMs: 60_000}), ...options});
	await world.submit(createSpec('a', changes));
	await world.runUntil(() => world.getRunning().length === 1);
	return world.getRunningWorkers('a/0')[0]!;
};

const getOrders = () => world.orders.get('a/0')!;
const isSucceeded = async () => world.runUntil(() => world.getState('a') === JobState.Succeeded, 300_000);

afterEach(async () => {
	await world.stop();
});

test.each([true, false])('an evicted task resumes once from its checkpoint (idempotent: %s)', async isIdempotent => {
	const from = await startTask({}, {isIdempotent});
	world.announced.delete(from);
	await world.clock.advance(1000);
	world.evict('a/0');
	expect(await isSucceeded()).toBe(true);
	expect(getOrders()).toHaveLength(2);
	expect(getOrders()[1]!.checkpointId).toBe(`a/0/${getOrders()[0]!.attempt}`);
	expect(getOrders()[1]!.attempt).toBeGreaterThan(getOrders()[0]!.attempt);
	expect(world.getEntry().scheduler.getStatus('a')!.tasks[0]!.evictions).toBe(1);
	expect(world.violations).toEqual([]);
	await world.clock.advance(5000);
	expect((await world.workers.get(from)!.list()).tasks).toEqual([]);
});

// A stop takes effect and its answer is lost. The owner lists the worker's tasks and orders the stop again, so that the end of
// the attempt is reported more than once. Only the first report may resume the task.
test('an eviction that is answered twice resumes the task once', async () => {
	const from = await startTask();
	world.workers.get(from)!.faults.loseAnswerChance = 1;
	world.evict('a/0');
	await world.clock.advance(4000);
	expect(world.getRunning()).toEqual([]);
	world.workers.get(from)!.faults.loseAnswerChance = 0.5;
	expect(await isSucceeded()).toBe(true);
	expect(getOrders()).toHaveLength(2);
	expect(getOrders()[1]!.checkpointId).toBeDefined();
	expect(world.violations).toEqual([]);
});

// The stop does not reach the worker, which is unreachable. The task runs there until its lease expires. The resume elsewhere
// must wait for that, and the worker that returns with the old attempt must not cause another resume.
test('a resume waits until the old lease has expired if the end is not confirmed', async () => {
	const from = await startTask();
	const worker = world.workers.get(from)!;
	worker.faults.isUnreachable = true;
	world.evict('a/0');
	await world.clock.advance(20_000);
	expect(world.getRunningWorkers('a/0')).toEqual([from]);
	expect(getOrders()).toHaveLength(1);
	expect(await world.runUntil(() => getOrders().length === 2, 60_000)).toBe(true);
	worker.faults.isUnreachable = false;
	expect(await isSucceeded()).toBe(true);
	expect(getOrders()).toHaveLength(2);
	expect(world.violations).toEqual([]);
});

// The stop takes effect, its answer is lost and the worker is unreachable until the lease has expired by the owner's clock, so
// the task is started again. Then the worker returns and reports the stop with a checkpoint: a second reason to resume.
test('a task resumes once if its old lease expires while the answer to the stop is late', async () => {
	const from = await startTask();
	const worker = world.workers.get(from)!;
	worker.faults.loseAnswerChance = 1;
	world.evict('a/0');
	await world.clock.advance(200);
	worker.faults.isUnreachable = true;
	expect(await world.runUntil(() => getOrders().length === 2, 120_000)).toBe(true);
	worker.faults.loseAnswerChance = 0;
	worker.faults.isUnreachable = false;
	expect(await isSucceeded()).toBe(true);
	expect(getOrders()).toHaveLength(2);
	expect(world.violations).toEqual([]);
});

// The owner stops a task for an eviction and crashes before it starts the task again. The worker still has the checkpoint: the
// next owner must find it there and resume once. It must neither start the task from the beginning nor lose it.
test.each([true, false])('a new owner resumes a task that the old one had stopped (idempotent: %s)', async isIdempotent => {
	const from = await startTask({entries: 2, shards: 1, workers: 1}, {isIdempotent});
	const owner = world.getOwner('a')!;
	world.announced.delete(from);
	await world.clock.advance(1000);
	world.evict('a/0');
	expect(await world.runUntil(() => world.getRunning().length === 0, 5000)).toBe(true);
	owner.crash();
	world.announce(from);
	expect(await isSucceeded()).toBe(true);
	expect(getOrders()).toHaveLength(2);
	expect(getOrders()[1]!.checkpointId).toBe(`a/0/${getOrders()[0]!.attempt}`);
});

test('work lost to an eviction is counted without a checkpoint, and is zero with one', async () => {
	const from = await startTask();
	await world.clock.advance(10_000);
	world.evict('a/0');
	await world.runUntil(() => getOrders().length === 2);
	expect(world.count('eviction_work_lost_ms')).toBe(0);
	world.workers.get(from)!.faults.isCheckpointFailing = true;
	await world.clock.advance(10_000);
	world.evict('a/0');
	await world.runUntil(() => getOrders().length === 3);
	expect(world.count('eviction_work_lost_ms')).toBeGreaterThan(9000);
	expect(world.count('evictions.harm')).toBe(2);
	expect(await isSucceeded()).toBe(true);
});

test('a task cancelled while it is being evicted does not resume', async () => {
	const from = await startTask();
	world.workers.get(from)!.faults.loseAnswerChance = 1;
	world.evict('a/0');
	await world.clock.advance(300);
	const cancelling = world.getEntry().scheduler.cancel('a');
	await world.clock.advance(1000);
	await cancelling;
	world.workers.get(from)!.faults.loseAnswerChance = 0;
	await world.clock.advance(90_000);
	expect(getOrders()).toHaveLength(1);
	expect(world.getState('a')).toBe(JobState.Cancelled);
});
