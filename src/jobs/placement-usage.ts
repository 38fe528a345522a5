/**
Processes usage reports: updates learned interference and sizes, the allocation of the task, and which tasks count as slowed.
*/
import {TaskClass} from '../types/jobs.ts';
import {type TaskUsage} from '../types/platform.ts';
import {getExpectedProcessors} from './residency-history.ts';
import {type PlacementContext} from './placement-cycle.ts';
import {TaskPhase, type TaskEntry, type WorkerEntry} from './placement-state.ts';

const slowdownSmoothing = 0.3;
// Usage above this multiple of the allocation is not measurement noise.
const excessRatio = 1.05;

/** Learns interference from a report, which may describe a residency that has ended. */
export const observeInterference = (context: PlacementContext, {taskId, entry, usage}: {taskId: string; entry: TaskEntry | undefined; usage: TaskUsage}): void => {
	const {settings, residencyHistory, interferenceModel} = context;
	if (!settings.isHarmAware) {
		return;
	}

	const colocation = residencyHistory.getColocation(taskId, entry, usage.measuredAtMs);
	if (!colocation) {
		return;
	}

	interferenceModel.observe({...colocation, slowdown: usage.slowdown});
	if (colocation.taskClass === TaskClass.LatencyCritical) {
		interferenceModel.observeBatchInterference(usage.slowdown, colocation.batchProcessors);
	}
};

/** Processes a report on a run that is still on its worker. */
export const recordRunningUsage = (context: PlacementContext, entry: TaskEntry, usage: TaskUsage): void => {
	const {settings, residencyHistory, sizes, slowedTasks} = context;
	const {job: {kindId, spec}} = entry;
	const worker: WorkerEntry = entry.worker!;
	entry.slowdown += slowdownSmoothing * (usage.slowdown - entry.slowdown);
	worker.expectedProcessors += usage.processors - getExpectedProcessors(entry);
	entry.measuredProcessors = usage.processors;
	residencyHistory.updateProcessors(entry);
	if (entry.throttleShare === 1) {
		sizes.observeUsage(kindId, spec.resources, usage);
	}

	raiseAllocation(context, entry, usage);
	if (!settings.isHarmAware || spec.taskClass !== TaskClass.LatencyCritical) {
		return;
	}

	if (entry.slowdown >= settings.harmThreshold) {
		slowedTasks.add(entry);
	} else {
		slowedTasks.delete(entry);
	}
};

/** Raises the allocation to the measured usage, so that no more is started on a host that is fuller than declared. */
const raiseAllocation = ({fleet}: PlacementContext, entry: TaskEntry, usage: TaskUsage): void => {
	const {reserved, phase} = entry;
	const isCovered = usage.processors <= reserved.processors * excessRatio && usage.memoryMb <= reserved.memoryMb * excessRatio;
	if (isCovered || phase !== TaskPhase.Placed) {
		return;
	}

	fleet.resize(entry, {
		processors: Math.max(reserved.processors, usage.processors),
		memoryMb: Math.max(reserved.memoryMb, usage.memoryMb),
		accelerators: reserved.accelerators,
	});
};
