/**
Tells whether a job is about to have no active run.
*/
import {
	getActiveRuns, type LiveRun, type LiveStep, type LiveWorkflow,
} from './live-model.ts';

const fullPercent = 100;

/** A job has at most this many active runs that are expected to have ended, however late their ends are reported. */
const maxUnreportedEnds = 2;

/**
Whether the run is expected to end within the given time, by its speed since `basePercent`: it may have been resumed or adopted.
On a busy owner the first report may come after the end: a run without progress counts as ended after the usual run time, unless
it is throttled to 0.
*/
const isEndingWithin = ({percent, basePercent, workedMs, progressAtMs, orderedAtMs, throttlePercent, task: {step}}: LiveRun, withinMs: number, {nowMs, getTaskMs}: IdleOptions): boolean =>
	percent > basePercent
		? (workedMs * (fullPercent - percent) / (percent - basePercent)) - (nowMs - progressAtMs) < withinMs
		: throttlePercent !== 0 && nowMs - orderedAtMs > getTaskMs(step);

/** What `isIdleWithin` depends on. */
export type IdleOptions = {
	nowMs: number;
	/** Predicts the run time of a task of the step at full speed. */
	getTaskMs: (step: LiveStep) => number;
};

/** Whether the job has no active run, or only a few that are expected to end within the given time. */
export const isIdleWithin = (workflow: LiveWorkflow, withinMs: number, options: IdleOptions): boolean => {
	let ending = 0;
	for (const run of getActiveRuns(workflow)) {
		ending++;
		if (ending > maxUnreportedEnds || !isEndingWithin(run, withinMs, options)) {
			return false;
		}
	}

	return true;
};
