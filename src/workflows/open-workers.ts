/**
Which workers may be given something: those that are heard, do not drain, are not evacuated, and do not fail what others do
well.
*/
import {type FleetWorker} from './fleet-view.ts';
import {Mechanism, type Policy} from './policy.ts';

/** An agent that was not heard for so long gets no orders. */
const reachableMs = 1500;

const isReached = ({isListed, isAnswering, silentSinceMs, heardAtMs, lostSession, blockedUntilMs}: FleetWorker, nowMs: number): boolean =>
	isListed && isAnswering && silentSinceMs === undefined && nowMs - heardAtMs < reachableMs && lostSession === undefined && blockedUntilMs <= nowMs;

/** Whether the worker failed what others did well, and is held down, or has its one task already that shows whether it recovered. */
const isHeldDown = ({health: {isHeld, isProbing}, runs}: FleetWorker): boolean =>
	isHeld || (isProbing && [...runs].some(run => !run.task.step.spec.isLasting));

/** What workers are judged by. */
export type OpenTerms = {
	nowMs: number;
	policy: Policy;
	/** Failure domains in which nothing may start. */
	evacuated: readonly string[];
};

/** Gets the workers that may be given something. */
export const getOpenWorkers = (workers: Iterable<FleetWorker>, {nowMs, policy, evacuated}: OpenTerms): FleetWorker[] =>
	[...workers].filter(worker => worker.report !== undefined && worker.report.milliCpu > 0 && !worker.report.isDraining
		&& !evacuated.includes(worker.report.failureDomain) && isReached(worker, nowMs)
		&& !(policy[Mechanism.WorkerHealth] && isHeldDown(worker)));
