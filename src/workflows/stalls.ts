/**
Runs that stand still although nothing slows them: their worker gives answers, and their work does not go on.
*/
import {RunPhase, type LiveRun} from './live-model.ts';

/** A sound task shows progress many times a second; restoring a checkpoint takes less than this. */
const stallMs = 1500;
/** Progress is told in hundredths: of a long task each takes longer. */
const stallShareOfEstimate = 0.1;
/** A lasting task is at work after a short startup. */
const startupMs = 3500;
/** Slower than this by order, standing still says nothing. */
const minPacePercent = 50;

/** Tells whether a run stands still. */
export const isStalled = ({phase, progressAtMs, percent, pacePercent, task: {step: {spec}}}: LiveRun, nowMs: number): boolean => {
	if (phase !== RunPhase.Running || (pacePercent ?? 0) < (spec.isFilling ? minPacePercent : 0)) {
		return false;
	}

	if (spec.isLasting) {
		return percent < 100 && nowMs - progressAtMs > startupMs;
	}

	return nowMs - progressAtMs > Math.max(stallMs, stallShareOfEstimate * spec.estimateMs);
};
