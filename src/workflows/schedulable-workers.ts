/**
Selects the workers that may get new tasks: they are reachable, do not drain, are not evacuated, and do not fail tasks that
succeed elsewhere.
*/
import {hasDeparted, type FleetWorker} from './fleet-view.ts';
import {Mechanism, type Policy} from './policy.ts';

/** An agent without a reply for this long gets no orders. */
const maxReplyAgeMs = 1500;

const isReachable = (worker: FleetWorker, nowMs: number): boolean => {
	const {isListed, isAnswering, unresponsiveSinceMs, lastReplyAtMs, loss, blockedUntilMs} = worker;
	return isListed && isAnswering && unresponsiveSinceMs === undefined && nowMs - lastReplyAtMs < maxReplyAgeMs && loss === undefined && !hasDeparted(worker) && blockedUntilMs <= nowMs;
};

/**
Whether the worker is held down because it failed tasks that succeed elsewhere, or already runs the one task that probes
its recovery.
*/
const isHeldDown = ({health: {isHeld, isProbing}, runs}: FleetWorker): boolean =>
	isHeld || (isProbing && [...runs].some(run => !run.task.step.spec.isLasting));

/** Criteria for schedulable workers. */
export type SchedulableWorkersOptions = {
	nowMs: number;
	policy: Policy;
	/** Failure domains in which nothing may start. */
	evacuated: readonly string[];
};

/** Gets the workers that may get new tasks. */
export const getSchedulableWorkers = (workers: Iterable<FleetWorker>, {nowMs, policy, evacuated}: SchedulableWorkersOptions): FleetWorker[] =>
	[...workers].filter(worker => worker.report !== undefined && worker.report.milliCpu > 0 && !worker.report.isDraining
		&& !evacuated.includes(worker.report.failureDomain) && isReachable(worker, nowMs)
		&& !(policy[Mechanism.WorkerHealth] && isHeldDown(worker)));
