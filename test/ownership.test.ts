import {afterEach, expect, test} from 'vitest';
import {OwnershipFold} from '../src/jobs/ownership-fold.ts';
import {OwnershipRecordType} from '../src/jobs/ownership-records.ts';
import {getShard, rankOwners} from '../src/jobs/shard-hash.ts';
import {JobState} from '../src/types/jobs.ts';
import {createSpec, SimulatedCluster, type SimulatedClusterOptions} from './jobs-harness.ts';

let cluster: SimulatedCluster;
const create = (options: SimulatedClusterOptions = {}): SimulatedCluster => {
	cluster = new SimulatedCluster(options);
	return cluster;
};

afterEach(async () => {
	await cluster?.stop();
});

const getOwned = () => [...cluster.entries.values()].map(({scheduler}) => scheduler.ownership.owned.size);
const sum = (numbers: number[]) => numbers.reduce((a, b) => a + b, 0);

test('of two claims on the same token the first in the log wins, for every reader', () => {
	const fold = new OwnershipFold(10_000);
	const claim = (processId: string, fencingToken: number, offset: number) => fold.apply({
		type: OwnershipRecordType.Claim, processId, incarnation: 1, sequence: 0, shards: [{shard: 3, fencingToken}],
	}, offset, 0);
	expect(claim('a', -1, 4)).toEqual([3]);
	expect(claim('b', -1, 5)).toEqual([]);
	expect(fold.getOwner(3)?.processId).toBe('a');
	expect(claim('b', 4, 6)).toEqual([3]);
	expect(fold.getToken(3)).toBe(6);
	expect(claim('a', 4, 7)).toEqual([]);
});

test('a late record of an earlier incarnation neither claims a shard nor extends a lease', () => {
	const fold = new OwnershipFold(10_000);
	const write = (type: OwnershipRecordType, incarnation: number, offset: number, fencingToken = -1) => fold.apply({
		type, processId: 'a', incarnation, sequence: 0, shards: [{shard: 0, fencingToken}],
	}, offset, 0);
	write(OwnershipRecordType.Claim, 1, 0);
	write(OwnershipRecordType.Renew, 2, 1);
	expect(write(OwnershipRecordType.Claim, 1, 2, 0)).toEqual([]);
	expect(fold.isLeaseExpired(0, 1)).toBe(true);
});

test('jobs and owners spread evenly, and an additional entry moves only its own shards', () => {
	const shards = Array.from({length: 64}, (_, shard) => shard);
	const perShard = new Map<number, number>();
	for (let index = 0; index < 6400; index++) {
		const shard = getShard(`job-${index}`, 64);
		perShard.set(shard, (perShard.get(shard) ?? 0) + 1);
	}

	expect(Math.max(...perShard.values())).toBeLessThan(150);
	const before = shards.map(shard => rankOwners(shard, ['a', 'b', 'c'])[0]);
	const after = shards.map(shard => rankOwners(shard, ['a', 'b', 'c', 'd'])[0]);
	expect(before.every((owner, shard) => owner === after[shard] || after[shard] === 'd')).toBe(true);
	expect(after.filter(owner => owner === 'd').length).toBeLessThan(32);
});

test('entries share the shards, and a new entry gets its part only after `settleMs`', async () => {
	create({entries: 2, shards: 16});
	expect(await cluster.runUntil(() => sum(getOwned()) === 16, 60_000)).toBe(true);
	await cluster.clock.advance(30_000);
	expect(Math.min(...getOwned())).toBeGreaterThan(2);
	cluster.startEntry('entry-c');
	await cluster.clock.advance(3000);
	expect(getOwned()[2]).toBe(0);
	expect(await cluster.runUntil(() => getOwned()[2]! > 1 && sum(getOwned()) === 16, 60_000)).toBe(true);
});

test('tasks keep running while their shard moves to another entry', async () => {
	create({entries: 1, shards: 8, getBehaviour: () => ({runTimeMs: 60_000})});
	for (let index = 0; index < 6; index++) {
		await cluster.submit(createSpec(`job-${index}`));
	}

	await cluster.runUntil(() => cluster.getRunning().length === 6);
	cluster.startEntry('entry-b');
	await cluster.runUntil(() => getOwned()[1]! > 1, 60_000);
	const ids = Array.from({length: 6}, (_, index) => `job-${index}`);
	expect(await cluster.runUntil(() => ids.every(id => cluster.getState(id) === JobState.Succeeded), 120_000)).toBe(true);
	expect([...cluster.starts.values()].every(starts => starts.length === 1)).toBe(true);
});

test('an entry that leaves releases its shards, and no other entry waits for its lease to expire', async () => {
	create({entries: 2, shards: 8});
	await cluster.runUntil(() => sum(getOwned()) === 8);
	await cluster.clock.advance(20_000);
	const beginMs = cluster.clock.monotonicMs();
	const leaving = cluster.getEntry(0).leave();
	expect(await cluster.runUntil(() => getOwned().at(-1) === 8, 8000)).toBe(true);
	expect(cluster.clock.monotonicMs() - beginMs).toBeLessThan(8000);
	await leaving;
});

// An owner is paused (a stopped process, a stalled host) while it has tasks to start. Another entry acquires its shards and starts
// them. Then the first resumes and still considers itself the owner: its orders must start nothing.
test('a paused owner that resumes starts nothing, and its tasks run once', async () => {
	create({
		entries: 2, shards: 8, workers: 4, getBehaviour: () => ({runTimeMs: 15_000}),
	});
	await cluster.runUntil(() => sum(getOwned()) === 8);
	await cluster.clock.advance(10_000);
	const paused = cluster.getEntry(0);
	const other = cluster.getEntry(1);
	for (let index = 0; index < 12; index++) {
		await cluster.submit(createSpec(`job-${index}`, {taskCount: 2, isIdempotent: index % 2 === 0}), other);
	}

	await cluster.clock.advance(300);
	paused.gate.pause();
	expect(await cluster.runUntil(() => other.scheduler.ownership.owned.size === 8, 60_000)).toBe(true);
	await cluster.clock.advance(1000);
	paused.gate.resume();
	const ids = Array.from({length: 12}, (_, index) => `job-${index}`);
	expect(await cluster.runUntil(() => ids.every(id => other.scheduler.getStatus(id)!.state === JobState.Succeeded), 300_000)).toBe(true);
	expect(cluster.violations).toEqual([]);
	expect([...cluster.starts.values()].every(starts => starts.length === 1)).toBe(true);
});

// One owner can't reach the log but reaches a worker, the other can't reach that worker but reaches the log: both may consider
// themselves the owner. The first must stop renewing before the second starts the task elsewhere, also if no worker can report the
// new owner to the first.
test.each([
	['and notified by a sealed worker', false],
	['and reaching only the worker that the other does not', true],
])('two owners, one cut off from the log %s, never run a task in two places', async (_, isAlone) => {
	create({
		entries: 2, shards: 4, workers: 5, getBehaviour: () => ({runTimeMs: 300_000}),
	});
	await cluster.runUntil(() => sum(getOwned()) === 4);
	await cluster.clock.advance(10_000);
	const ids = Array.from({length: 6}, (_, index) => `job-${index}`);
	for (const id of ids) {
		await cluster.submit(createSpec(id, {resources: {processors: 2, memoryMb: 512, accelerators: 0}}));
	}

	await cluster.runUntil(() => cluster.getRunning().length === 6);
	const [first, second] = [cluster.getEntry(0), cluster.getEntry(1)];
	const held = cluster.getRunningWorkers(`${ids.find(id => first.scheduler.isOwnerOf(id))!}/0`)[0]!;
	first.gate.isLogCut = true;
	second.gate.cutWorkers.add(held);
	for (const workerId of cluster.workers.keys()) {
		if (isAlone && workerId !== held) {
			first.gate.cutWorkers.add(workerId);
		}
	}

	await cluster.clock.advance(200_000);
	expect(second.scheduler.ownership.owned.size).toBe(4);
	expect(cluster.violations).toEqual([]);
	expect(cluster.getRunning()).toHaveLength(6);
	first.gate.isLogCut = false;
	await cluster.clock.advance(20_000);
	expect(cluster.violations).toEqual([]);
});

// The log is down for ten minutes and recovers. If each entry decided by the time since the others' last records whether they are
// alive, all entries would claim the shards of all others at once.
test('owners stay the same after an outage of the log', async () => {
	create({entries: 3, shards: 12});
	await cluster.runUntil(() => sum(getOwned()) === 12);
	await cluster.clock.advance(30_000);
	const takeovers = cluster.count('shard_takeovers');
	cluster.log.faults.isDown = true;
	await cluster.clock.advance(600_000);
	cluster.log.faults.isDown = false;
	await cluster.clock.advance(30_000);
	expect(cluster.count('shard_takeovers')).toBe(takeovers);
	expect(sum(getOwned())).toBe(12);
});
