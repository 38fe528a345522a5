import {afterEach, expect, test} from 'vitest';
import {JobState} from '../src/types/jobs.ts';
import {createSpec, SimulatedCluster} from './jobs-harness.ts';

let cluster: SimulatedCluster;

afterEach(async () => {
	await cluster.stop();
});

test('a task whose worker restarts soon after each start fails after three starts', async () => {
	cluster = new SimulatedCluster({workers: 6});
	await cluster.submit(createSpec('poison'));
	for (let steps = 0; steps < 1200; steps++) {
		await cluster.clock.advance(50);
		const workerId = cluster.getRunningWorkers('poison/0')[0];
		if (workerId !== undefined) {
			cluster.workers.get(workerId)!.restart();
			cluster.announce(workerId);
		}
	}

	expect(cluster.getState('poison')).toBe(JobState.Failed);
	expect(cluster.starts.get('poison/0')!.length).toBeLessThanOrEqual(3);
});
