/**
Chooses runs to stop so that their tasks restart on other workers: stalled runs, runs that would be lost with a draining
worker, and best-effort runs that are throttled to almost nothing. A step that allows copies gets a second run beside the
stalled one instead.
*/
import {StopCause} from './disruption-budget.ts';
import {type FleetWorker} from './fleet-view.ts';
import {RunPhase, type LiveRun, type LiveTask} from './live-model.ts';
import {Mechanism, type Policy} from './policy.ts';
import {type RunTimes} from './run-times.ts';
import {isCopyUseful, isMoveUseful} from './slow-runs.ts';
import {isStalled} from './stalls.ts';

/** Input of the choice. */
export type RelocationInput = {
	workers: Iterable<FleetWorker>;
	nowMs: number;
	/** Whether the task may start, and a schedulable worker that it does not avoid has free capacity for it. */
	canPlace: (task: LiveTask) => boolean;
	/** Whether the budget of the task's step allows the stop, which counts from then on; undefined: there are no budgets. */
	tryStop?: (task: LiveTask, cause: StopCause) => boolean;
	policy: Policy;
	/** Predicts remaining times; undefined or without tails: slow workers keep their runs. */
	times?: RunTimes;
};

/** A best-effort run at or below this throttle percentage makes no useful progress. */
const blockingThrottlePercent = 10;
/** Interference shows within a second and may pass; a stop loses unsaved work and costs the time to restore a checkpoint. */
const throttledMs = 1200;
/** From this progress on, the speed so far predicts the remaining time better than the caller's estimate. */
const minProgressPercent = 20;
/** Agents send their state at least every half second. */
const maxStateAgeMs = 800;
/** Limit of stops per scan of the fleet: each stop changes the capacity that the others would find. */
const maxMoves = 4;

/** Chooses runs to stop, and marks the workers that they leave as avoided by their tasks. */
export const chooseMoves = ({workers, nowMs, canPlace, tryStop, policy, times}: RelocationInput): Array<{worker: FleetWorker; run: LiveRun}> => {
	const moves: Array<{worker: FleetWorker; run: LiveRun}> = [];
	for (const worker of workers) {
		// Without a recent state, missing progress does not mean that a run has stalled.
		if (worker.unresponsiveSinceMs !== undefined || !worker.isAnswering || nowMs - worker.lastReplyAtMs > maxStateAgeMs) {
			continue;
		}

		for (const run of worker.runs) {
			if (moves.length >= maxMoves) {
				return moves;
			}

			const {task} = run;
			const {spec} = task.step;
			const cause = getCause(worker, run, {nowMs, policy, times});
			if (task.isDone || spec.isGang || cause === undefined) {
				continue;
			}

			task.avoidedHosts.add(worker.host);
			if (!spec.isSpeculative && canPlace(task) && (tryStop?.(task, cause) ?? true)) {
				moves.push({worker, run});
			}
		}
	}

	return moves;
};

const getCause = (worker: FleetWorker, run: LiveRun, {nowMs, policy, times}: Pick<RelocationInput, 'nowMs' | 'policy' | 'times'>): StopCause | undefined => {
	if (policy[Mechanism.StallMoves] && isStalled(run, nowMs)) {
		return StopCause.Stalled;
	}

	if (policy[Mechanism.ThrottledMoves] && isThrottledToStandstill(worker, run, nowMs)) {
		return StopCause.Throttled;
	}

	if (policy[Mechanism.DrainMoves] && isLostByDrain(worker, run, nowMs, times)) {
		return StopCause.Drain;
	}

	return times !== undefined && (isMoveUseful(run, {times, nowMs}) || isCopyUseful(run, {times, nowMs})) ? StopCause.SlowWorker : undefined;
};

const isThrottledToStandstill = (worker: FleetWorker, {phase, task: {step: {spec}}}: LiveRun, nowMs: number): boolean => {
	const throttle = worker.throttles.get(spec.image ?? '');
	return phase === RunPhase.Running && spec.isFilling && throttle !== undefined && throttle.percent <= blockingThrottlePercent && nowMs - throttle.changedAtMs >= throttledMs;
};

/**
Whether the run would be lost when its draining worker stops. A long-running task moves at once rather than be cut off; any
other task stays if it can end in the remaining time.
*/
const isLostByDrain = (worker: FleetWorker, run: LiveRun, nowMs: number, times: RunTimes | undefined): boolean =>
	run.phase === RunPhase.Running && worker.report !== undefined && worker.report.isDraining
	&& (run.task.step.spec.isLasting || estimateRemainingMs(run, nowMs, times) > (worker.report.remainingMs ?? 0));

/** Estimates how much longer a run takes that ends by itself. */
export const estimateRemainingMs = (run: LiveRun, nowMs: number, times?: RunTimes): number => {
	const {percent, orderedAtMs, task: {step: {spec}}} = run;
	const elapsedMs = nowMs - orderedAtMs;
	if (times?.hasTails && percent < minProgressPercent) {
		return times.getRemainingHereMs(run, nowMs);
	}

	return percent >= minProgressPercent ? elapsedMs * (100 - percent) / percent : Math.max(0, spec.estimateMs - elapsedMs);
};

/** Whether a second run of the task may start: its step allows copies, and its only run has stalled or is on a slow worker. */
export const wantsCopy = ({step: {spec}, runs}: LiveTask, nowMs: number, times?: RunTimes): boolean =>
	spec.isSpeculative && runs.length === 1 && (isStalled(runs[0]!, nowMs) || (times !== undefined && isCopyUseful(runs[0]!, {times, nowMs})));
