/**
Describes the workers and the demand of a simulated load to the capacity oracle.
*/
import {type InterferenceWorker} from '../standin/interference-worker.ts';
import {type Clock} from '../types/clock.ts';
import {parseTaskId} from '../types/workflows.ts';
import {type LiveModel} from '../workflows/live-model.ts';
import {type CapacityInput} from './capacity-oracle.ts';

/** Workers in reach, and what their tasks do to each other. */
export type SimulatedCapacity = {
	workers: InterferenceWorker[];
	clock: Clock;
	getEffect: CapacityInput['getEffect'];
	/** Load of a latency-critical task without interference. */
	getLoad: (taskId: string, nowMs: number) => number;
};

/** Describes the capacity for the best-effort tasks that are ready in the model. */
export const describeCapacity = ({workers, clock, getEffect, getLoad}: SimulatedCapacity, model: LiveModel): CapacityInput => {
	const demandMilliCpu = new Map<string, number>();
	for (const {isReady, spec: {isFilling, image = '', milliCpu}, tasks} of model.getOpenSteps()) {
		if (isReady && isFilling) {
			demandMilliCpu.set(image, (demandMilliCpu.get(image) ?? 0) + (milliCpu * tasks.filter(({isDone}) => !isDone).length));
		}
	}

	return {
		getEffect,
		demandMilliCpu,
		workers: workers.map(({milliCpu, runs}) => ({
			milliCpu,
			services: [...runs.values()].flatMap(({task: {spec}, start: {taskId}}) => spec.targetMs > 0
				? [{
					image: spec.image ?? '', step: parseTaskId(taskId)!.workflowId, load: getLoad(taskId, clock.monotonicMs()), milliCpu: spec.milliCpu, maxPerWorker: spec.maxPerWorker,
				}]
				: []),
		})),
	};
};
