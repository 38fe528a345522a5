/**
Simulated behaviour of a run on a stand-in worker.
*/

/** Simulated behaviour of a run, set when it starts. */
export type RunPlan = {
	/** Run time; undefined: the run continues until it is stopped. */
	workMs: number | undefined;
	/** Time in which a run without a run time starts up. */
	startupMs?: number;
	isFailing?: boolean;
	/** Time after which the run crashes the whole worker. */
	crashAfterMs?: number;
	/** Number of the members of its gang; undefined: the task works by itself. */
	gangSize?: number;
	/** Work between two checkpoints; undefined: it writes none. */
	checkpointMs?: number;
};

/** Gets the work that the checkpoint stands for. */
export const getSavedMs = ({checkpointMs = 0}: RunPlan, checkpoint: string): number => checkpoint === '' ? 0 : Number(checkpoint.split('@')[0]) * checkpointMs;

/** Gets the checkpoint of a task after that much work: each task writes values of its own. */
export const getCheckpoint = ({checkpointMs}: RunPlan, {taskId, checkpoint}: {taskId: string; checkpoint: string}, workedMs: number): string =>
	checkpointMs === undefined || workedMs < checkpointMs ? checkpoint : `${Math.floor(workedMs / checkpointMs)}@${taskId}`;

/** Gets the progress that a run reports. A run that continues until it is stopped is at 100 percent once it has started up. */
export const getPercent = ({workMs, startupMs = 0}: RunPlan, elapsedMs: number): number => workMs === undefined
	? Math.floor(100 * Math.min(1, elapsedMs / Math.max(1, startupMs)))
	: Math.min(99, Math.floor(elapsedMs * 100 / workMs));
