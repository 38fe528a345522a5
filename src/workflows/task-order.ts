/**
Order in which waiting tasks are placed.

While there is capacity for all jobs, each should meet its objective: the job with the least slack goes first. Under
overload that order makes every job slightly late, one after the other. What counts then is the value that completes in
time for the capacity that it takes: nearly finished jobs go before jobs that have hardly begun, and jobs that can no
longer meet their objective wait for those that can.

One rank covers both: the expected value per remaining core-second, which falls exponentially with the slack. The longer
the backlog, the more slowly it falls, so that slack counts for little under overload.
*/
import {type Capacity} from '../types/fleet.ts';
import {type Workflow} from '../types/workflows.ts';
import {
	countWaves, getLongestPathMs, getObjectiveMs, getObjectivePathMs, lateLimitFactor,
} from './job-objective.ts';
import {
	getDueAtMs, type LiveRun, type LiveStep, type LiveTask, type LiveWorkflow,
} from './live-model.ts';
import {Mechanism, type Policy} from './policy.ts';
import {type RunTimes} from './run-times.ts';

/** Rank of a task; lower goes first. */
export type GetRank = (task: LiveTask) => number;

/** Work of one occurrence of a job. */
export type RemainingWork = {
	/** CPU time of all its tasks, in core-milliseconds, and of their remaining work. */
	totalCoreMs: number;
	remainingCoreMs: number;
	/** Length of the critical path that its objective is computed from, and what remains of it at full speed. */
	criticalPathMs: number;
	remainingCriticalPathMs: number;
};

/** Share of its value that a late result keeps: callers can still use it. */
const lateValueShare = 0.15;
/** Value share of a result that is too late to count: such jobs still run when nothing else waits. */
const overdueValueShare = 0.01;
/** Uncertainty of the remaining time: a share of it, and a constant for delays between tasks. */
const uncertaintyShare = 0.25;
const baseUncertaintyMs = 500;
/** Value of completing a job at all, in addition to its work: this share of the mean work of a job in its queue. */
const completionValueShare = 0.3 / 0.7;
/** Lower bound for the time constant of the slack discount; with a shorter backlog, slack decides the order. */
const minLookaheadMs = 1000;
/** Long-running tasks come first: users notice at once when they are missing. */
const longRunningRank = -1e9;
/** Larger than any rank difference within a priority. */
const priorityRankStep = 1e6;
const fullPercent = 100;

/** Share of a task's work that remains, by the run with the most progress. */
const getRemainingShare = ({isDone, runs}: LiveTask): number => {
	if (isDone) {
		return 0;
	}

	let percent = 0;
	for (const run of runs) {
		percent = Math.max(percent, run.percent);
	}

	return 1 - (percent / fullPercent);
};

/** What the remaining work depends on, apart from the run times. */
export type WorkOptions = {
	nowMs: number;
	/** Total capacity of the service's workers; undefined: unlimited. */
	capacity?: Capacity;
};

/** Computes the total and remaining work of an occurrence. */
export const getRemainingWork = (steps: LiveStep[], times: RunTimes, {nowMs = 0, capacity}: Partial<WorkOptions> = {}): RemainingWork => {
	const work: RemainingWork = {
		totalCoreMs: 0, remainingCoreMs: 0, criticalPathMs: 0, remainingCriticalPathMs: 0,
	};
	const specs = steps.map(({spec}) => spec);
	const lengths = steps.map(step => times.hasTails ? getTailedStepWork(step, times, {nowMs, capacity}) : getMeanStepWork(step, times));
	for (const [index, {milliCpu}] of specs.entries()) {
		work.totalCoreMs += lengths[index]!.totalTaskMs * milliCpu / 1000;
		work.remainingCoreMs += lengths[index]!.remainingTaskMs * milliCpu / 1000;
	}

	work.criticalPathMs = getObjectivePathMs({steps: specs, getLongestTaskMs: index => lengths[index]!.longestMs, capacity: times.hasTails ? capacity : undefined});
	work.remainingCriticalPathMs = getLongestPathMs(specs, index => lengths[index]!.remainingMs);
	return work;
};

/** Work of one step. */
type StepWork = {
	/** Sum over its tasks. */
	totalTaskMs: number;
	remainingTaskMs: number;
	/** Longest task, and the remaining time of the step with as many workers as it needs. */
	longestMs: number;
	remainingMs: number;
};

/** Takes the mean of the step for each task. */
const getMeanStepWork = (step: LiveStep, times: RunTimes): StepWork => {
	const taskMs = times.getTaskMs(step);
	let remainingTasks = 0;
	let longestShare = 0;
	for (const task of step.tasks) {
		const share = getRemainingShare(task);
		remainingTasks += share;
		longestShare = Math.max(longestShare, share);
	}

	return {
		totalTaskMs: step.spec.count * taskMs, remainingTaskMs: remainingTasks * taskMs, longestMs: taskMs, remainingMs: taskMs * longestShare,
	};
};

/** Takes measured times of ended tasks, what the progress and the age of active runs tell, and the expected longest of the others. */
const getTailedStepWork = (step: LiveStep, times: RunTimes, {nowMs, capacity}: WorkOptions): StepWork => {
	const taskMs = times.getTaskMs(step);
	let waitingTasks = 0;
	let remainingTaskMs = 0;
	let longestMs = times.getLongestEndedMs(step);
	let remainingMs = 0;
	for (const task of step.tasks) {
		if (task.isDone) {
			continue;
		}

		const run = getFurthestRun(task);
		if (!run) {
			waitingTasks++;
			continue;
		}

		const totalMs = times.getTotalMs(run, nowMs);
		const remainingRunMs = totalMs * (1 - (run.percent / fullPercent));
		remainingTaskMs += remainingRunMs;
		longestMs = Math.max(longestMs, totalMs + times.getFailedMs(task));
		remainingMs = Math.max(remainingMs, remainingRunMs);
	}

	if (waitingTasks > 0) {
		const longestWaitingMs = times.getLongestOfMs(step, waitingTasks);
		remainingTaskMs += waitingTasks * taskMs;
		longestMs = Math.max(longestMs, longestWaitingMs);
		remainingMs = Math.max(remainingMs, longestWaitingMs * countWaves(step.spec, capacity, waitingTasks));
	}

	return {
		totalTaskMs: step.spec.count * taskMs, remainingTaskMs, longestMs: longestMs === 0 ? taskMs : longestMs, remainingMs,
	};
};

const getFurthestRun = ({runs}: LiveTask): LiveRun | undefined => {
	let furthest: LiveRun | undefined;
	for (const run of runs) {
		if (!furthest || run.percent > furthest.percent) {
			furthest = run;
		}
	}

	return furthest;
};

/** Fields of the log line for a finished job: the time it took, and the time its objective allows by the learned run times. */
export const describeFinishedJob = ({spec, folded, receivedAtMs, occurrences}: LiveWorkflow, times: RunTimes, options: WorkOptions): Record<string, unknown> => {
	const {criticalPathMs, totalCoreMs} = getRemainingWork(occurrences.get(0) ?? [], times, options);
	return {
		id: spec.id,
		queue: spec.queue,
		end: folded.state,
		tookMs: Math.round(options.nowMs - receivedAtMs),
		allowedMs: Math.round(getObjectiveMs(spec, criticalPathMs)),
		coreMs: Math.round(totalCoreMs),
	};
};

/** Input of the rank. */
export type RankOptions = {
	nowMs: number;
	/** Time of day, which determines the due times of occurrences. */
	wallMs: number;
	times: RunTimes;
	/** Work of open occurrences. */
	remainingWork: Map<LiveStep[], RemainingWork>;
	/** CPU available to waiting tasks, in thousandths of a core. */
	spareMilliCpu: number;
	policy: Policy;
};

/** Creates the rank of tasks for a point in time. */
export const createRank = (options: RankOptions): GetRank => {
	const {remainingWork, spareMilliCpu, policy} = options;
	let backlogCoreMs = 0;
	const totals = new Map<string, {sum: number; count: number}>();
	for (const [steps, {totalCoreMs, remainingCoreMs}] of remainingWork) {
		backlogCoreMs += remainingCoreMs;
		const {queue} = steps[0]!.workflow.spec;
		const total = totals.get(queue) ?? {sum: 0, count: 0};
		totals.set(queue, {sum: total.sum + totalCoreMs, count: total.count + 1});
	}

	const lookaheadMs = Math.max(minLookaheadMs, backlogCoreMs * 1000 / Math.max(1000, spareMilliCpu));
	const ranks = new Map<LiveStep[], number>();
	return ({step}) => {
		const {workflow: {spec, occurrences}, occurrence} = step;
		if (step.spec.isLasting) {
			return longRunningRank;
		}

		const steps = occurrences.get(occurrence)!;
		let rank = ranks.get(steps);
		if (rank === undefined) {
			const work = remainingWork.get(steps) ?? getRemainingWork(steps, options.times, options);
			const total = totals.get(spec.queue);
			rank = policy[Mechanism.ValueOrder]
				? (spec.priority * priorityRankStep) - Math.log(getExpectedValue(steps, work, {
					...options, lookaheadMs, meanCoreMs: total ? total.sum / total.count : work.totalCoreMs,
				}))
				: getSlackRank(steps, work, options);
			ranks.set(steps, rank);
		}

		return rank;
	};
};

/** Ranks by least slack first; jobs that can no longer meet their objective come last. */
const getSlackRank = (steps: LiveStep[], {criticalPathMs, remainingCriticalPathMs}: RemainingWork, {nowMs, wallMs}: {nowMs: number; wallMs: number}): number => {
	const {workflow, occurrence} = steps[0]!;
	const slackMs = getObjectiveMs(workflow.spec, criticalPathMs) - getAgeMs(workflow, occurrence, {nowMs, wallMs}) - remainingCriticalPathMs;
	return slackMs >= 0 ? slackMs : 1e7 - slackMs;
};

const getExpectedValue = (
	steps: LiveStep[],
	{totalCoreMs, remainingCoreMs, criticalPathMs, remainingCriticalPathMs}: RemainingWork,
	{nowMs, wallMs, lookaheadMs, meanCoreMs}: {nowMs: number; wallMs: number; lookaheadMs: number; meanCoreMs: number},
): number => {
	const {workflow, occurrence} = steps[0]!;
	const {spec} = workflow;
	const allowedMs = getObjectiveMs(spec, criticalPathMs);
	const endsAfterMs = getAgeMs(workflow, occurrence, {nowMs, wallMs}) + remainingCriticalPathMs;
	const uncertaintyMs = (uncertaintyShare * remainingCriticalPathMs) + baseUncertaintyMs;
	const inTimeLikelihood = getLikelihood((allowedMs - endsAfterMs) / uncertaintyMs);
	const lateLikelihood = getLikelihood(((lateLimitFactor * allowedMs) - endsAfterMs) / uncertaintyMs);
	const expectedShare = ((1 - lateValueShare) * inTimeLikelihood) + (lateValueShare * lateLikelihood) + overdueValueShare;
	const positiveSlackMs = Math.max(0, allowedMs - endsAfterMs);
	const value = totalCoreMs + (completionValueShare * meanCoreMs);
	return expectedShare * value / Math.max(1, remainingCoreMs) * Math.exp(-positiveSlackMs / lookaheadMs);
};

const getLikelihood = (ratio: number): number => 1 / (1 + Math.exp(-ratio));

const getAgeMs = ({spec, receivedAtMs}: LiveWorkflow, occurrence: number, {nowMs, wallMs}: {nowMs: number; wallMs: number}): number =>
	isRepeated(spec) ? wallMs - getDueAtMs(spec, occurrence) : nowMs - receivedAtMs;

const isRepeated = ({repeatCount}: Workflow): boolean => repeatCount > 0;

/** Describes the task that has waited longest, for the log. */
export const describeLongestWait = (waiting: LiveTask[], nowMs: number): Record<string, unknown> => {
	const [longest] = waiting.toSorted((a, b) => a.waitingSinceMs - b.waitingSinceMs);
	return longest ? {longestWait: {taskId: longest.taskId, waitedMs: Math.round(nowMs - longest.waitingSinceMs)}} : {};
};
