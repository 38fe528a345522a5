/**
A run on a stand-in worker, and what the worker lists of it.
*/
import {type Timer} from '../types/clock.ts';
import {type RunningRow, type WorkerStart} from '../types/fleet.ts';
import {
	getCheckpoint, getPercent, getSavedMs, type RunPlan,
} from './run-plan.ts';

/** One run. */
export type SimulatedRun = {
	start: WorkerStart;
	plan: RunPlan;
	/** Undefined while it waits for its gang. */
	worksSinceMs: number | undefined;
	timer?: Timer;
};

const getWorkedMs = ({start, plan, worksSinceMs}: SimulatedRun, nowMs: number): number =>
	getSavedMs(plan, start.checkpoint) + (worksSinceMs === undefined ? 0 : nowMs - worksSinceMs);

/** Gets the newest checkpoint of a run. */
export const getRunCheckpoint = (run: SimulatedRun, nowMs: number): string => getCheckpoint(run.plan, run.start, getWorkedMs(run, nowMs));

/** Lists a run. */
export const listRun = (run: SimulatedRun, nowMs: number, recent: number): RunningRow => ({
	taskId: run.start.taskId, run: run.start.run, checkpoint: getRunCheckpoint(run, nowMs), recent, percent: getPercent(run.plan, getWorkedMs(run, nowMs)),
});
