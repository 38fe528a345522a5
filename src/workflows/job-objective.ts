/**
Latency objective of a job as its caller counts it: a multiple of the longest path over its steps, plus a constant. A step counts
its longest task, as often as it has to run in waves.
*/
import {type Capacity} from '../types/fleet.ts';
import {type Workflow, type WorkflowStep} from '../types/workflows.ts';

/** A result counts as late, and no longer as missing, up to this many times the objective. */
export const lateLimitFactor = 3;
/** A step that requests more than this share of the service's capacity runs in waves. */
const waveCapacityShare = 0.25;

/** Steps of a job, and their lengths. */
export type StepLengths = {
	steps: readonly WorkflowStep[];
	/** Length of the longest task of the step with this index, with the work of its failed runs, on a sound worker near its data. */
	getLongestTaskMs: (index: number) => number;
	/** Total capacity of the service's workers; undefined: unlimited. */
	capacity?: Capacity;
};

/** Total capacity of workers. */
export const getTotalCapacity = (workers: Iterable<{report: Capacity | undefined}>): Capacity => {
	const capacity = {milliCpu: 0, memoryMb: 0, accelerators: 0};
	for (const {report} of workers) {
		capacity.milliCpu += report?.milliCpu ?? 0;
		capacity.memoryMb += report?.memoryMb ?? 0;
		capacity.accelerators += report?.accelerators ?? 0;
	}

	return capacity;
};

/** Number of waves in which so many tasks of a step run if they may use a quarter of the capacity. */
export const countWaves = ({milliCpu, memoryMb, accelerators}: WorkflowStep, capacity: Capacity | undefined, count: number): number => {
	if (!capacity || count === 0) {
		return 1;
	}

	const tasksAtOnce = Math.min(
		getTasksAtOnce(capacity.milliCpu, milliCpu),
		getTasksAtOnce(capacity.memoryMb, memoryMb),
		getTasksAtOnce(capacity.accelerators, accelerators),
	);
	return Math.ceil(count / tasksAtOnce);
};

const getTasksAtOnce = (available: number, requested: number): number =>
	requested > 0 && available > 0 ? Math.max(1, Math.floor(waveCapacityShare * available / requested)) : Number.POSITIVE_INFINITY;

/** Length of the longest path over the steps, in ms. Steps are listed after the steps that they depend on. */
export const getLongestPathMs = (steps: readonly WorkflowStep[], getStepMs: (index: number) => number): number => {
	const endsMs: number[] = [];
	let longestMs = 0;
	for (const [index, {after}] of steps.entries()) {
		let fromMs = 0;
		for (const earlier of after) {
			fromMs = Math.max(fromMs, endsMs[earlier]!);
		}

		const endMs = fromMs + getStepMs(index);
		endsMs.push(endMs);
		longestMs = Math.max(longestMs, endMs);
	}

	return longestMs;
};

/** Length of the path that the objective is computed from, in ms. */
export const getObjectivePathMs = ({steps, getLongestTaskMs, capacity}: StepLengths): number =>
	getLongestPathMs(steps, index => steps[index]!.count > 0 ? countWaves(steps[index]!, capacity, steps[index]!.count) * getLongestTaskMs(index) : 0);

/** Time that the objective allows from the submission of a job to its completion, in ms. */
export const getObjectiveMs = ({stretch, targetLatencyMs}: Pick<Workflow, 'stretch' | 'targetLatencyMs'>, pathMs: number): number =>
	(stretch * pathMs) + targetLatencyMs;
