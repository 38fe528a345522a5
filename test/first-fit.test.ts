import {expect, test} from 'vitest';
import {FirstFitEngine} from '../src/jobs/first-fit-engine.ts';
import {DecisionType, type PlacementWorker} from '../src/types/placement.ts';
import {createSpec, defaultCapacity} from './jobs-harness.ts';

const worker: PlacementWorker = {
	workerId: 'w', region: 'r', failureDomain: 'd', rack: 'k', capacity: defaultCapacity, isSchedulable: true,
};

// Tasks of another entry fill the only worker. A job that fits on the empty worker must wait,
// and not be reported as unplaceable.
test('capacity used by others delays a job and does not make it unplaceable', () => {
	const engine = new FirstFitEngine();
	engine.setWorker({...worker, usedByOthers: defaultCapacity});
	engine.enqueue({
		taskId: 'job/0', attempt: 0, spec: createSpec('job'), queuedAtMs: 0,
	});
	expect(engine.decide(0, 10)).toEqual([]);
	engine.setWorker({...worker, usedByOthers: {processors: 0, memoryMb: 0, accelerators: 0}});
	expect(engine.decide(1, 10)).toMatchObject([{type: DecisionType.Start, workerId: 'w'}]);
});
