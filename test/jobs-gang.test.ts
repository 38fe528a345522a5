import {afterEach, expect, test} from 'vitest';
import {JobState} from '../src/types/jobs.ts';
import {createSpec, World} from './jobs-harness.ts';

let world: World;
afterEach(async () => {
	await world.stop();
});

const gang = createSpec('gang', {taskCount: 3, isGang: true, resources: {processors: 4, memoryMb: 512, accelerators: 0}});

test('a gang starts whole or not at all', async () => {
	world = new World({workers: 2, getBehaviour: () => ({runTimeMs: 10_000})});
	await world.submit(gang);
	await world.clock.advance(10_000);
	expect(world.getRunning()).toEqual([]);
	world.addWorker('worker-2');
	expect(await world.until(() => world.getRunning().length === 3)).toBe(true);
	expect(await world.until(() => world.getState('gang') === JobState.Succeeded)).toBe(true);
	expect([...world.starts.values()].every(starts => starts.length === 1)).toBe(true);
});

// One worker of a running gang restarts. The other two tasks would hold their workers and compute nothing, perhaps for ever.
test('a gang that loses a task starts again as a whole, the others from their checkpoints', async () => {
	world = new World({workers: 3, getBehaviour: () => ({runTimeMs: 20_000})});
	await world.submit(gang);
	await world.until(() => world.getRunning().length === 3);
	const workerId = world.getPlaces('gang/1')[0]!;
	await world.clock.advance(5000);
	world.workers.get(workerId)!.restart();
	world.announce(workerId);
	expect(await world.until(() => world.getState('gang') === JobState.Succeeded, 90_000)).toBe(true);
	expect([...world.orders.values()].map(orders => orders.length)).toEqual([2, 2, 2]);
	expect(world.orders.get('gang/0')![1]!.checkpointId).toBeDefined();
	expect(world.violations).toEqual([]);
});

test('a gang whose owner dies runs on under the next one', async () => {
	world = new World({workers: 3, entries: 2, getBehaviour: () => ({runTimeMs: 90_000})});
	await world.submit(gang);
	await world.until(() => world.getRunning().length === 3);
	world.getOwner('gang')!.crash();
	expect(await world.until(() => world.getState('gang') === JobState.Succeeded, 200_000)).toBe(true);
	expect([...world.starts.values()].every(starts => starts.length === 1)).toBe(true);
});
