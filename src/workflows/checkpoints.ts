/**
Checkpoints that tasks resume from. A checkpoint belongs to the unit: a value from any member of a gang is valid for all of them, and all must start
with the same one.
*/
import {type LiveTask} from './live-model.ts';

/** A checkpoint as a listing or an end tells it. */
export type ReportedCheckpoint = {
	run: number;
	/** Empty: there is none. */
	checkpoint: string;
	/** Progress of the run in the same listing; undefined: the run has ended, and no later value follows. */
	percent?: number;
};

/**
Takes the checkpoint of a run for the task's unit, unless there is one of a later run or of later progress: hosts that were cut off report earlier runs
late, and members of a gang are listed at different moments. Returns whether it is taken.
*/
export const takeCheckpoint = ({checkpoint: known}: LiveTask, {run, checkpoint, percent = Number.POSITIVE_INFINITY}: ReportedCheckpoint): boolean => {
	if (checkpoint === '' || run < known.run || (run === known.run && percent < known.percent)) {
		return false;
	}

	Object.assign(known, {value: checkpoint, run, percent});
	return true;
};
