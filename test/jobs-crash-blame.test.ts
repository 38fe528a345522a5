/**
Which tasks the job scheduler holds responsible for restarts of workers.
*/
import {afterEach, expect, it} from 'vitest';
import {JobState} from '../src/types/jobs.ts';
import {createSpec, SimulatedCluster} from './jobs-harness.ts';

let cluster: SimulatedCluster;

afterEach(async () => {
	await cluster.stop();
});

const restartUnder = (taskId: string): void => {
	const workerId = cluster.getRunningWorkers(taskId)[0];
	if (workerId !== undefined) {
		cluster.workers.get(workerId)!.restart();
		cluster.announce(workerId);
	}
};

/** Guards against failing tasks for crashes that a task started later on the same worker causes. */
it('does not fail tasks that ran before the task that crashes their workers', async () => {
	cluster = new SimulatedCluster({workers: 3});
	await cluster.submit(createSpec('innocent', {taskCount: 3, declaredRunTimeMs: 60_000}));
	await cluster.clock.advance(3000);
	await cluster.submit(createSpec('poison'));
	for (let steps = 0; steps < 600; steps++) {
		await cluster.clock.advance(50);
		restartUnder('poison/0');
	}

	expect(cluster.getState('poison')).toBe(JobState.Failed);
	expect(cluster.getState('innocent')).not.toBe(JobState.Failed);
});

/** Guards against failing tasks for a worker that restarts whatever task it gets. */
it('attributes a few restarts of a single worker to the worker itself', async () => {
	cluster = new SimulatedCluster({workers: 1});
	await cluster.submit(createSpec('innocent'));
	for (let restarts = 0; restarts < 5; restarts++) {
		for (let steps = 0; steps < 100 && cluster.getRunningWorkers('innocent/0').length === 0; steps++) {
			await cluster.clock.advance(50);
		}

		restartUnder('innocent/0');
		await cluster.clock.advance(50);
	}

	expect(cluster.getState('innocent')).not.toBe(JobState.Failed);
});
