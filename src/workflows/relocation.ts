/**
Which runs are stopped so that their tasks go on elsewhere: those that stand still, those that would be lost with a worker
that drains, and those that fill and may not work where they are. Of a step that allows copies, a second run starts beside the one that stands still.
*/
import {type FleetWorker} from './fleet-view.ts';
import {RunPhase, type LiveRun, type LiveTask} from './live-model.ts';
import {Mechanism, type Policy} from './policy.ts';
import {isStalled} from './stalls.ts';

/** What is decided with. */
export type RelocationInput = {
	workers: Iterable<FleetWorker>;
	nowMs: number;
	/** Whether a worker with room for the task is open, other than those that it avoids. */
	hasPlace: (task: LiveTask) => boolean;
	policy: Policy;
};

/** A task that fills and was held at this pace or below does not move on. */
const heldPercent = 10;
/** Harm shows within a second and may pass; a stop costs work that was not saved, and the time to restore. */
const heldMs = 1200;
/** From here on the speed so far tells more than the caller's estimate. */
const knownFromPercent = 20;
/** States come every half second at the least. */
const heardMs = 800;
/** Stops in one look at the fleet: each changes what the others would find. */
const maxMoves = 4;

/** Chooses runs to stop. Each task is told to avoid the worker that it leaves. */
export const chooseMoves = ({workers, nowMs, hasPlace, policy}: RelocationInput): Array<{worker: FleetWorker; run: LiveRun}> => {
	const moves: Array<{worker: FleetWorker; run: LiveRun}> = [];
	for (const worker of workers) {
		// What is not heard says nothing about progress.
		if (worker.silentSinceMs !== undefined || !worker.isAnswering || nowMs - worker.heardAtMs > heardMs) {
			continue;
		}

		for (const run of worker.runs) {
			if (moves.length >= maxMoves) {
				return moves;
			}

			const {task} = run;
			const {spec} = task.step;
			const mustMove = (policy[Mechanism.StallMoves] && isStalled(run, nowMs))
				|| (policy[Mechanism.HeldMoves] && isHeld(worker, run, nowMs))
				|| (policy[Mechanism.DrainMoves] && isLosing(worker, run, nowMs));
			if (task.isDone || spec.isGang || !mustMove) {
				continue;
			}

			task.avoidedHosts.add(worker.host);
			if (!spec.isSpeculative && hasPlace(task)) {
				moves.push({worker, run});
			}
		}
	}

	return moves;
};

const isHeld = (worker: FleetWorker, {phase, task: {step: {spec}}}: LiveRun, nowMs: number): boolean => {
	const pace = worker.paces.get(spec.image ?? '');
	return phase === RunPhase.Running && spec.isFilling && pace !== undefined && pace.percent <= heldPercent && nowMs - pace.changedAtMs >= heldMs;
};

/**
Whether the run would be lost with a worker that drains. A lasting task is better moved at once than cut off; any other
stays if it can still end there.
*/
const isLosing = (worker: FleetWorker, {phase, percent, sentAtMs, task: {step: {spec}}}: LiveRun, nowMs: number): boolean => {
	if (phase !== RunPhase.Running || !worker.report?.isDraining) {
		return false;
	}

	const elapsedMs = nowMs - sentAtMs;
	const remainingMs = percent >= knownFromPercent ? elapsedMs * (100 - percent) / percent : Math.max(0, spec.estimateMs - elapsedMs);
	return spec.isLasting || remainingMs > (worker.report.remainingMs ?? 0);
};

/** Whether a second run of the task may start: of a step that allows copies, while all others stand still. */
export const wantsCopy = ({step: {spec}, runs}: LiveTask, nowMs: number): boolean =>
	spec.isSpeculative && runs.length === 1 && isStalled(runs[0]!, nowMs);
