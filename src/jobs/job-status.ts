/**
Status of a job as reported to callers, from the log and from the owner's state of its tasks.
*/
import {
	JobState, type JobSpec, type JobStatus, type TaskStatus,
} from '../types/jobs.ts';
import {TaskState, type Resources} from '../types/platform.ts';
import {type FoldedJob} from './job-fold.ts';

/** Id of a task, from the id of its job and its index. */
export const getTaskId = (jobId: string, index: number): string => `${jobId}/${index}`;

/** Describes which resources no worker has; undefined if some worker has all of them or no worker is known. */
export const getMissingResources = (wanted: Resources, capacities: Iterable<Resources>): string | undefined => {
	const best: Resources = {processors: 0, memoryMb: 0, accelerators: 0};
	let isEmpty = true;
	for (const capacity of capacities) {
		isEmpty = false;
		if (hasCapacity(capacity, wanted)) {
			return undefined;
		}

		best.processors = Math.max(best.processors, capacity.processors);
		best.memoryMb = Math.max(best.memoryMb, capacity.memoryMb);
		best.accelerators = Math.max(best.accelerators, capacity.accelerators);
	}

	if (isEmpty) {
		return undefined;
	}

	const lacking = (['processors', 'memoryMb', 'accelerators'] as const)
		.filter(name => best[name] < wanted[name])
		.map(name => `${name}: wants ${wanted[name]}, largest worker has ${best[name]}`);
	return lacking.length > 0 ? lacking.join('; ') : 'no worker has all of it together';
};

/** Tells whether the capacity covers the required resources. */
export const hasCapacity = (capacity: Resources, wanted: Resources): boolean =>
	capacity.processors >= wanted.processors && capacity.memoryMb >= wanted.memoryMb && capacity.accelerators >= wanted.accelerators;

/** Builds the status of a job. `getTask`: status of a task by the owner of its shard; `missing`: resources that no worker has. */
export const getJobStatus = (job: FoldedJob, getTask?: (index: number) => TaskStatus | undefined, missing?: string): JobStatus => {
	const tasks = Array.from({length: job.spec.taskCount}, (_, index): TaskStatus => {
		const end = job.ends.get(index);
		if (!end) {
			return getTask?.(index) ?? {taskId: getTaskId(job.spec.jobId, index), attempt: 0, evictions: 0};
		}

		const {attempt, state, result, reason, evictions = 0} = end;
		return {
			taskId: getTaskId(job.spec.jobId, index), attempt, state, evictions, result, ...(reason !== undefined && {reason}),
		};
	});
	const state = getJobState(job, tasks);
	if (state === JobState.Accepted && missing !== undefined) {
		return {
			jobId: job.spec.jobId, state: JobState.Unplaceable, reason: missing, tasks,
		};
	}

	const reason = tasks.find(task => task.reason !== undefined)?.reason;
	return {
		jobId: job.spec.jobId, state, ...(reason !== undefined && {reason}), tasks,
	};
};

const getJobState = (job: FoldedJob, tasks: TaskStatus[]): JobState => {
	if (job.ends.size === job.spec.taskCount && tasks.every(({state}) => state === TaskState.Succeeded)) {
		return JobState.Succeeded;
	}

	if (job.isCancelled) {
		return JobState.Cancelled;
	}

	if (tasks.some(({state}) => state === TaskState.Failed)) {
		return JobState.Failed;
	}

	return tasks.some(({state}) => state !== undefined) ? JobState.Running : JobState.Accepted;
};

/** Tells whether two submissions under the same id describe the same job. */
export const isSameSpec = (a: JobSpec, b: JobSpec): boolean => toCanonical(a) === toCanonical(b);

const toCanonical = (value: unknown): string => JSON.stringify(value, (_, inner: unknown) =>
	inner !== null && typeof inner === 'object' && !Array.isArray(inner)
		? Object.fromEntries(Object.entries(inner).toSorted(([a], [b]) => a < b ? -1 : 1))
		: inner);
