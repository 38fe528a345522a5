/**
Detects stalled runs: the worker replies and the throttle allows work, but progress does not change.
*/
import {RunPhase, type LiveRun} from './live-model.ts';

/** A healthy task reports progress many times a second, and restores a checkpoint in less than this. */
const minStallMs = 1500;
/** Progress is reported in percent, and each percent of a long task takes longer. */
const stallShareOfEstimate = 0.1;
/** Time within which a long-running task has started up. */
const startupMs = 3500;
/** Below this throttle percentage, missing progress does not mean that a run has stalled. */
const minThrottlePercent = 50;

/** Tells whether a run has stalled. */
export const isStalled = ({phase, progressAtMs, percent, throttlePercent, task: {step: {spec}}}: LiveRun, nowMs: number): boolean => {
	if (phase !== RunPhase.Running || (throttlePercent ?? 0) < (spec.isFilling ? minThrottlePercent : 0)) {
		return false;
	}

	if (spec.isLasting) {
		return percent < 100 && nowMs - progressAtMs > startupMs;
	}

	return nowMs - progressAtMs > Math.max(minStallMs, stallShareOfEstimate * spec.estimateMs);
};
