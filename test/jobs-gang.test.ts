import {afterEach, expect, test} from 'vitest';
import {JobState} from '../src/types/jobs.ts';
import {createSpec, SimulatedCluster} from './jobs-harness.ts';

let cluster: SimulatedCluster;
afterEach(async () => {
	await cluster.stop();
});

const gang = createSpec('gang', {taskCount: 3, isGang: true, resources: {processors: 4, memoryMb: 512, accelerators: 0}});

test('all tasks of a gang start together or none does', async () => {
	cluster = new SimulatedCluster({workers: 2, getBehaviour: () => ({runTimeMs: 10_000})});
	await cluster.submit(gang);
	await cluster.clock.advance(10_000);
	expect(cluster.getRunning()).toEqual([]);
	cluster.addWorker('worker-2');
	expect(await cluster.runUntil(() => cluster.getRunning().length === 3)).toBe(true);
	expect(await cluster.runUntil(() => cluster.getState('gang') === JobState.Succeeded)).toBe(true);
	expect([...cluster.starts.values()].every(starts => starts.length === 1)).toBe(true);
});

// One worker of a running gang restarts. Without a restart of the gang the other two tasks would occupy their workers and make
// no progress, perhaps for ever.
test('a gang that loses a task restarts as a whole, the other tasks from their checkpoints', async () => {
	cluster = new SimulatedCluster({workers: 3, getBehaviour: () => ({runTimeMs: 20_000})});
	await cluster.submit(gang);
	await cluster.runUntil(() => cluster.getRunning().length === 3);
	const workerId = cluster.getRunningWorkers('gang/1')[0]!;
	await cluster.clock.advance(5000);
	cluster.workers.get(workerId)!.restart();
	cluster.announce(workerId);
	expect(await cluster.runUntil(() => cluster.getState('gang') === JobState.Succeeded, 90_000)).toBe(true);
	expect([...cluster.orders.values()].map(orders => orders.length)).toEqual([2, 2, 2]);
	expect(cluster.orders.get('gang/0')![1]!.checkpointId).toBeDefined();
	expect(cluster.violations).toEqual([]);
});

test('a gang keeps running under the next owner after its owner crashes', async () => {
	cluster = new SimulatedCluster({workers: 3, entries: 2, getBehaviour: () => ({runTimeMs: 90_000})});
	await cluster.submit(gang);
	await cluster.runUntil(() => cluster.getRunning().length === 3);
	cluster.getOwner('gang')!.crash();
	expect(await cluster.runUntil(() => cluster.getState('gang') === JobState.Succeeded, 200_000)).toBe(true);
	expect([...cluster.starts.values()].every(starts => starts.length === 1)).toBe(true);
});
