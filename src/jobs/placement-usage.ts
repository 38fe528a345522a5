/**
What usage reports change: learned harm and sizes, the room held for the task, and which services count as harmed.
*/
import {TaskClass} from '../types/jobs.ts';
import {type TaskUsage} from '../types/platform.ts';
import {getExpectedProcessors} from './harm-history.ts';
import {type PlacementContext} from './placement-round.ts';
import {TaskPhase, type TaskEntry, type WorkerEntry} from './placement-state.ts';

const smoothing = 0.3;
// Measured use this far above what is held is no noise.
const excessRatio = 1.05;

/** Learns harm from a report, which may speak of a stay that has ended. */
export const learnHarm = (context: PlacementContext, {taskId, entry, usage}: {taskId: string; entry: TaskEntry | undefined; usage: TaskUsage}): void => {
	const {settings, history, model} = context;
	if (!settings.isHarmAware) {
		return;
	}

	const surroundings = history.getSurroundings(taskId, entry, usage.measuredAtMs);
	if (!surroundings) {
		return;
	}

	model.note({...surroundings, slowdown: usage.slowdown});
	if (surroundings.taskClass === TaskClass.LatencyCritical) {
		model.noteUsualHarm(usage.slowdown, surroundings.batchProcessors);
	}
};

/** Takes a report of the stay that goes on. */
export const noteRunningUsage = (context: PlacementContext, entry: TaskEntry, usage: TaskUsage): void => {
	const {settings, history, sizes, harmed} = context;
	const {job: {kindId, spec}} = entry;
	const worker: WorkerEntry = entry.worker!;
	entry.slowdown += smoothing * (usage.slowdown - entry.slowdown);
	worker.expectedProcessors += usage.processors - getExpectedProcessors(entry);
	entry.usedProcessors = usage.processors;
	history.measure(entry);
	if (entry.throttleShare === 1) {
		sizes.noteUsage(kindId, spec.resources, usage);
	}

	coverExcess(context, entry, usage);
	if (!settings.isHarmAware || spec.taskClass !== TaskClass.LatencyCritical) {
		return;
	}

	if (entry.slowdown >= settings.harmThreshold) {
		harmed.add(entry);
	} else {
		harmed.delete(entry);
	}
};

/** A host that is in truth fuller than what is held on it gets nothing more. */
const coverExcess = ({fleet}: PlacementContext, entry: TaskEntry, usage: TaskUsage): void => {
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
