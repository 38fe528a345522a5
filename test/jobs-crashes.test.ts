import {afterEach, expect, test} from 'vitest';
import {JobState} from '../src/types/jobs.ts';
import {createSpec, World} from './jobs-harness.ts';

let world: World;

afterEach(async () => {
	await world.stop();
});

test('a task that restarts each worker soon after its start is given up after three of them', async () => {
	world = new World({workers: 6});
	await world.submit(createSpec('poison'));
	for (let steps = 0; steps < 1200; steps++) {
		await world.clock.advance(50);
		const workerId = world.getPlaces('poison/0')[0];
		if (workerId !== undefined) {
			world.workers.get(workerId)!.restart();
			world.announce(workerId);
		}
	}

	expect(world.getState('poison')).toBe(JobState.Failed);
	expect(world.starts.get('poison/0')!.length).toBeLessThanOrEqual(3);
});
