import {afterEach, expect, test} from 'vitest';
import {createError, ErrorCode} from '../src/core/errors.ts';
import {JobState} from '../src/types/jobs.ts';
import {createSpec, SimulatedCluster, type SimulatedClusterOptions} from './jobs-harness.ts';

let cluster: SimulatedCluster;
const create = (options: SimulatedClusterOptions = {}): SimulatedCluster => {
	cluster = new SimulatedCluster(options);
	return cluster;
};

const getIds = (count: number) => Array.from({length: count}, (_, index) => `job-${index}`);
const areAll = (ids: string[], state: JobState) => ids.every(id => cluster.getState(id) === state);
const submitAll = async (ids: string[], changes: Parameters<typeof createSpec>[1] = {}) => {
	for (const id of ids) {
		await cluster.submit(createSpec(id, changes));
	}
};

afterEach(async () => {
	await cluster.stop();
});

// A start takes effect and its answer is lost. If the task were started again elsewhere, it would run in two places.
test.each([true, false])('a start whose answer is lost runs once (idempotent: %s)', async isIdempotent => {
	create({workers: 2, getBehaviour: () => ({runTimeMs: 20_000})});
	await cluster.clock.advance(5000);
	for (const worker of cluster.workers.values()) {
		await worker.list();
		worker.faults.loseAnswerChance = 0.6;
	}

	await submitAll(getIds(6), {isIdempotent});
	await cluster.clock.advance(10_000);
	for (const worker of cluster.workers.values()) {
		worker.faults.loseAnswerChance = 0;
	}

	expect(await cluster.runUntil(() => areAll(getIds(6), JobState.Succeeded), 120_000)).toBe(true);
	expect([...cluster.starts.values()].every(starts => starts.length === 1)).toBe(true);
	expect(cluster.violations).toEqual([]);
});

// A worker lists its tasks before a start arrives, but the listing is received only after the start was confirmed, and lacks the
// task. If the task were taken as forgotten by the worker, it would start a second time.
test('a listing older than a start does not end the task', async () => {
	create({workers: 2, getBehaviour: () => ({runTimeMs: 30_000})});
	await cluster.submit(createSpec('warm-up'));
	await cluster.runUntil(() => cluster.getRunning().length === 1);
	const workerId = cluster.getRunningWorkers('warm-up/0')[0]!;
	const worker = cluster.workers.get(workerId)!;
	const [start, list] = [worker.start.bind(worker), worker.list.bind(worker)];
	let isOrdered = false;
	worker.start = async order => {
		isOrdered = true;
		await cluster.clock.sleep(300);
		return start(order);
	};

	worker.list = async () => {
		const snapshot = await list();
		await cluster.clock.sleep(1000);
		return snapshot;
	};

	await cluster.submit(createSpec('a'));
	await cluster.runUntil(() => isOrdered, 10_000, 10);
	const leaseManager = cluster.getEntry().scheduler.fleet.getLeaseManager(workerId)!;
	leaseManager.requestSnapshot();
	leaseManager.wake();
	expect(await cluster.runUntil(() => areAll(['a', 'warm-up'], JobState.Succeeded))).toBe(true);
	expect(cluster.starts.get('a/0')).toHaveLength(1);
	expect(cluster.violations).toEqual([]);
});

// The connection breaks while a start is in flight; the order arrives later. A listing in between lacks the task. If the task were
// taken as not started, it would start elsewhere and then also here.
test('a start that is not listed yet is not repeated, since it may still arrive', async () => {
	create({workers: 2, getBehaviour: () => ({runTimeMs: 30_000})});
	await cluster.submit(createSpec('warm-up'));
	await cluster.runUntil(() => cluster.getRunning().length === 1);
	const worker = cluster.workers.get(cluster.getRunningWorkers('warm-up/0')[0]!)!;
	const start = worker.start.bind(worker);
	worker.start = async order => {
		worker.start = start;
		void cluster.clock.sleep(1900).then(async () => start(order));
		throw createError(ErrorCode.PeerUnavailable, {step: 'call worker'});
	};

	await cluster.submit(createSpec('a'));
	expect(await cluster.runUntil(() => areAll(['a', 'warm-up'], JobState.Succeeded))).toBe(true);
	expect(cluster.starts.get('a/0')).toHaveLength(1);
	expect(cluster.violations).toEqual([]);
});

// A worker is paused with an order in its buffers. The owner waits until the lease expires and starts the task elsewhere. If the
// resumed worker executed the old order, the task would run in two places.
test('an order that a paused worker reads after the deadline starts nothing', async () => {
	create({workers: 2, getBehaviour: () => ({runTimeMs: 300_000})});
	await cluster.submit(createSpec('warm-up', {resources: {processors: 1, memoryMb: 1, accelerators: 0}}));
	await cluster.runUntil(() => cluster.getRunning().length === 1);
	const first = cluster.getRunningWorkers('warm-up/0')[0]!;
	cluster.workers.get(first)!.faults.isPaused = true;
	await cluster.submit(createSpec('a'));
	await cluster.clock.advance(1000);
	cluster.announced.delete(first);
	expect(await cluster.runUntil(() => cluster.getRunningWorkers('a/0').length === 1, 120_000)).toBe(true);
	cluster.workers.get(first)!.faults.isPaused = false;
	await cluster.clock.advance(30_000);
	expect(cluster.starts.get('a/0')).toHaveLength(1);
	expect(cluster.violations).toEqual([]);
});

// A worker restarts under its old address. Its tasks are gone, but the address answers: an owner that checked only whether the
// worker answers would wait for them for ever.
test('tasks of a worker that restarted under the same address count as ended', async () => {
	create({workers: 1, getBehaviour: () => ({runTimeMs: 10_000})});
	await submitAll(['again'], {isIdempotent: true});
	await submitAll(['once'], {isIdempotent: false});
	await cluster.runUntil(() => cluster.getRunning().length === 2);
	cluster.workers.get('worker-0')!.restart();
	cluster.announce('worker-0');
	expect(await cluster.runUntil(() => areAll(['again'], JobState.Succeeded) && areAll(['once'], JobState.Failed), 20_000)).toBe(true);
	expect(cluster.starts.get('again/0')).toHaveLength(2);
	expect(cluster.starts.get('once/0')).toHaveLength(1);
	expect(cluster.getEntry().scheduler.getStatus('once')!.reason).toContain('unknown');
});

// Two entries own different shards, and each sees a worker as free. Both place tasks on it in the same cycle.
test('two owners do not overcommit a worker: it refuses starts, and the refused tasks run later', async () => {
	create({entries: 2, shards: 8, workers: 2});
	await cluster.runUntil(() => [...cluster.entries.values()].every(({scheduler}) => scheduler.ownership.owned.size > 1));
	await submitAll(getIds(12), {taskCount: 3});
	expect(await cluster.runUntil(() => areAll(getIds(12), JobState.Succeeded), 300_000)).toBe(true);
	expect(cluster.count('task_refusals.no-room')).toBeGreaterThan(0);
	expect(cluster.violations).toEqual([]);
	expect([...cluster.starts.values()].every(starts => starts.length === 1)).toBe(true);
});

// The log is down for an hour. Tasks run and end meanwhile, and other accepted tasks wait for capacity. Entries can't renew their
// leases and can't record ends.
test('tasks run, end and start during an outage of the log of an hour', async () => {
	create({
		entries: 2,
		workers: 4,
		settings: {jobs: {renewEveryMs: 4000}},
		getBehaviour: ({taskId}) => ({runTimeMs: taskId.startsWith('long') ? 4_000_000 : 400_000}),
	});
	await submitAll(['long-1', 'long-2']);
	await submitAll(getIds(10), {taskCount: 4});
	await submitAll(['once'], {isIdempotent: false});
	await cluster.runUntil(() => cluster.getRunning().length === 16, 60_000);
	cluster.log.faults.isDown = true;
	await cluster.clock.advance(3_600_000);
	expect(cluster.getRunning().toSorted()).toEqual(['long-1/0', 'long-2/0']);
	const atEnd = [...cluster.starts.values()].flat().length;
	expect(atEnd).toBe(42);
	cluster.log.faults.isDown = false;
	expect(await cluster.runUntil(() => areAll([...getIds(10), 'long-1', 'long-2', 'once'], JobState.Succeeded), 2_400_000, 1000)).toBe(true);
	expect([...cluster.starts.values()].every(starts => starts.length === 1)).toBe(true);
	expect(cluster.violations).toEqual([]);
}, 120_000);

// The owner of many running jobs crashes. While another entry acquires the shards and lists the workers, callers cancel half of
// the jobs.
test('no cancellation is lost while shards move to another owner', async () => {
	create({
		entries: 2, shards: 4, workers: 8, getBehaviour: () => ({runTimeMs: 120_000}),
	});
	await submitAll(getIds(30));
	await cluster.runUntil(() => cluster.getRunning().length === 30);
	const [first, second] = [cluster.getEntry(0), cluster.getEntry(1)];
	first.crash();
	const cancelled = getIds(30).filter((_, index) => index % 2 === 0);
	await cluster.clock.advance(9000);
	for (const [index, id] of cancelled.entries()) {
		void second.scheduler.cancel(id);
		await cluster.clock.advance(index * 40);
	}

	expect(await cluster.runUntil(() => second.scheduler.ownership.owned.size === 4)).toBe(true);
	expect(await cluster.runUntil(() => cluster.getRunning().length === 15, 60_000)).toBe(true);
	expect(cluster.getRunning().every(taskId => !cancelled.includes(taskId.split('/')[0]!))).toBe(true);
	const left = getIds(30).filter(id => !cancelled.includes(id));
	expect(await cluster.runUntil(() => areAll(left, JobState.Succeeded), 300_000)).toBe(true);
	expect([...cluster.starts.values()].every(starts => starts.length === 1)).toBe(true);
	expect(areAll(cancelled, JobState.Cancelled)).toBe(true);
});

// The owner crashes, and the new owner can't reach one worker, whose tasks run until their leases expire. A held task might be one
// of those.
test('a new owner waits until the leases on an unreachable worker have expired', async () => {
	create({
		entries: 2, shards: 1, workers: 4, getBehaviour: () => ({runTimeMs: 100_000}),
	});
	await submitAll(getIds(8), {resources: {processors: 2, memoryMb: 1, accelerators: 0}});
	await cluster.runUntil(() => cluster.getRunning().length === 8);
	const owner = cluster.getOwner('job-0')!;
	const other = [...cluster.entries.values()].find(entry => entry !== owner)!;
	const cut = cluster.workers.get(cluster.getRunningWorkers('job-0/0')[0]!)!;
	owner.crash();
	cut.faults.isUnreachable = true;
	await cluster.clock.advance(25_000);
	expect(other.scheduler.ownership.owned.size).toBe(1);
	expect(cluster.getRunning()).toHaveLength(8);
	expect(await cluster.runUntil(() => areAll(getIds(8), JobState.Succeeded), 400_000)).toBe(true);
	expect(cluster.violations).toEqual([]);
	expect([...cluster.starts.values()].filter(starts => starts.length === 2)).toHaveLength(2);
});

// As before, but with tasks that must not run twice: a task that ran on the lost worker is reported as unknown, one that did not
// is started.
test('under a new owner a non-idempotent task of a lost worker is unknown, and one that never started runs', async () => {
	create({
		entries: 2, shards: 1, workers: 3, capacity: {processors: 1, memoryMb: 4096, accelerators: 0}, getBehaviour: () => ({runTimeMs: 30_000}),
	});
	await submitAll(getIds(5), {isIdempotent: false});
	await cluster.runUntil(() => cluster.getRunning().length === 3);
	const lost = cluster.getRunning()[0]!;
	const owner = cluster.getOwner('job-0')!;
	owner.crash();
	cluster.workers.get(cluster.getRunningWorkers(lost)[0]!)!.faults.isUnreachable = true;
	const lostId = lost.split('/')[0]!;
	expect(await cluster.runUntil(() => areAll([lostId], JobState.Failed), 200_000)).toBe(true);
	expect(cluster.getEntry().scheduler.getStatus(lostId)!.reason).toContain('unknown');
	expect(await cluster.runUntil(() => areAll(getIds(5).filter(id => id !== lostId), JobState.Succeeded), 200_000)).toBe(true);
	expect([...cluster.starts.values()].every(starts => starts.length === 1)).toBe(true);
});

test('tasks of a lost failure domain run elsewhere once their leases have expired', async () => {
	create({
		entries: 2, shards: 4, workers: 11, getBehaviour: () => ({runTimeMs: 60_000}),
	});
	await submitAll(getIds(20));
	await cluster.runUntil(() => cluster.getRunning().length === 20);
	const places = new Set(cluster.getRunning().map(taskId => cluster.getRunningWorkers(taskId)[0]!));
	const lost = [...places].slice(0, 4);
	for (const workerId of lost) {
		cluster.workers.get(workerId)!.faults.isUnreachable = true;
		cluster.announced.delete(workerId);
	}

	cluster.getEntry(0).crash();
	expect(await cluster.runUntil(() => areAll(getIds(20), JobState.Succeeded), 600_000)).toBe(true);
	expect(cluster.violations).toEqual([]);
});

test('old tasks on a worker that becomes reachable again are removed', async () => {
	create({workers: 2, getBehaviour: () => ({runTimeMs: 50_000})});
	await submitAll(getIds(3));
	await cluster.runUntil(() => cluster.getRunning().length === 3);
	const workerId = cluster.getRunningWorkers('job-0/0')[0]!;
	const worker = cluster.workers.get(workerId)!;
	worker.faults.isUnreachable = true;
	await cluster.clock.advance(60_000);
	worker.faults.isUnreachable = false;
	expect(await cluster.runUntil(() => areAll(getIds(3), JobState.Succeeded), 200_000)).toBe(true);
	await cluster.clock.advance(30_000);
	expect((await worker.list()).tasks).toEqual([]);
	expect(cluster.violations).toEqual([]);
});

// An entry with many shards crashes. The next owner has to seal each worker for each shard, and must not make all calls at once.
test('acquiring many shards makes a bounded number of concurrent calls to workers', async () => {
	create({
		entries: 2, shards: 16, workers: 40, settings: {jobs: {maxCalls: 8}}, getBehaviour: () => ({runTimeMs: 200_000}),
	});
	await submitAll(getIds(16));
	await cluster.runUntil(() => cluster.getRunning().length === 16);
	const [first, second] = [cluster.getEntry(0), cluster.getEntry(1)];
	for (const worker of cluster.workers.values()) {
		worker.faults.delayMs = 20;
	}

	first.crash();
	await cluster.clock.advance(8000);
	second.gate.maxConcurrentCalls = 0;
	expect(await cluster.runUntil(() => second.scheduler.ownership.owned.size === 16)).toBe(true);
	await cluster.clock.advance(20_000);
	expect(second.gate.maxConcurrentCalls).toBeGreaterThan(4);
	expect(second.gate.maxConcurrentCalls).toBeLessThan(8 + 16);
	expect([...cluster.starts.values()].every(starts => starts.length === 1)).toBe(true);
});
