/**
Creates the engine's state of jobs and tasks.
*/
import {type PendingTask} from '../types/placement.ts';
import {TaskPhase, type JobEntry, type TaskEntry} from './placement-state.ts';

/** Creates a job without waiting tasks. */
export const createJobEntry = ({spec, region, queuedAtMs}: PendingTask, kindId: number, order: number): JobEntry => {
	const job: JobEntry = {
		spec,
		kindId,
		region,
		shapeKey: '',
		waiting: [],
		head: 0,
		waitingCount: 0,
		placedCount: 0,
		queuedAtMs,
		sequence: order,
		need: spec.resources,
		needComputedAtMs: queuedAtMs,
		firstDeferredAtMs: Number.POSITIVE_INFINITY,
		retryAtMs: 0,
		nextReservationAtMs: 0,
		spread: undefined,
		checkedFleetVersion: -1,
		missing: undefined,
		isFailingEverywhere: false,
	};
	job.shapeKey = getShapeKey(job);
	return job;
};

/** Key that is equal for jobs whose search for a worker has the same result. */
export const getShapeKey = ({spec: {resources, taskClass, kind}, region = ''}: JobEntry): string =>
	`${resources.processors}/${resources.memoryMb}/${resources.accelerators}/${taskClass}/${region}/${kind}`;

/** Creates a task that neither waits nor holds capacity. */
export const createTaskEntry = (task: PendingTask, job: JobEntry): TaskEntry => ({
	task,
	job,
	phase: TaskPhase.Inactive,
	worker: undefined,
	reserved: job.need,
	startedAtMs: 0,
	isExcludedFromHealth: false,
	nextAttempt: undefined,
	slowdown: 1,
	measuredProcessors: -1,
	throttleShare: 1,
	throttledAtMs: 0,
	residency: undefined,
});
