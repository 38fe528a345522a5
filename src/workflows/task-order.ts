/**
Order in which waiting tasks are placed.

While there is capacity for all jobs, each should meet its objective: the job with the least slack goes first. Under
overload that order makes every job slightly late, one after the other. What counts then is the value that completes in
time for the capacity that it takes: nearly finished jobs go before jobs that have hardly begun, and jobs that can no
longer meet their objective wait for those that can.

One rank covers both: the expected value per remaining core-second, which falls exponentially with the slack. The longer
the backlog, the more slowly it falls, so that slack counts for little under overload.
*/
import {type Workflow} from '../types/workflows.ts';
import {
	getDueAtMs, type LiveStep, type LiveTask, type LiveWorkflow,
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
	/** Length of the critical path over its steps at full speed, and what remains of it. */
	criticalPathMs: number;
	remainingCriticalPathMs: number;
};

/** Share of its value that a late result keeps, up to this many times the objective: callers can still use it. */
const lateValueShare = 0.15;
const lateLimitFactor = 3;
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

/** Computes the total and remaining work of an occurrence. */
export const getRemainingWork = (steps: LiveStep[], times: RunTimes): RemainingWork => {
	const work: RemainingWork = {
		totalCoreMs: 0, remainingCoreMs: 0, criticalPathMs: 0, remainingCriticalPathMs: 0,
	};
	// Steps are listed after the steps that they depend on, so one pass finds the longest path to each.
	const endsMs: number[] = [];
	const remainingEndsMs: number[] = [];
	for (const step of steps) {
		const {spec: {count, milliCpu, after}, tasks} = step;
		const taskMs = times.getTaskMs(step);
		let remainingTasks = 0;
		let longestShare = 0;
		for (const task of tasks) {
			const share = getRemainingShare(task);
			remainingTasks += share;
			longestShare = Math.max(longestShare, share);
		}

		work.totalCoreMs += count * taskMs * milliCpu / 1000;
		work.remainingCoreMs += remainingTasks * taskMs * milliCpu / 1000;
		let fromMs = 0;
		let remainingFromMs = 0;
		for (const earlier of after) {
			fromMs = Math.max(fromMs, endsMs[earlier]!);
			remainingFromMs = Math.max(remainingFromMs, remainingEndsMs[earlier]!);
		}

		endsMs.push(fromMs + (count > 0 ? taskMs : 0));
		remainingEndsMs.push(remainingFromMs + (taskMs * longestShare));
		work.criticalPathMs = Math.max(work.criticalPathMs, endsMs.at(-1)!);
		work.remainingCriticalPathMs = Math.max(work.remainingCriticalPathMs, remainingEndsMs.at(-1)!);
	}

	return work;
};

/** Fields of the log line for a finished job: the time it took, and the time its objective allows by the learned run times. */
export const describeFinishedJob = ({spec, folded, receivedAtMs, occurrences}: LiveWorkflow, times: RunTimes, nowMs: number): Record<string, unknown> => {
	const {criticalPathMs, totalCoreMs} = getRemainingWork(occurrences.get(0) ?? [], times);
	return {
		id: spec.id, queue: spec.queue, end: folded.state, tookMs: Math.round(nowMs - receivedAtMs), allowedMs: Math.round((spec.stretch * criticalPathMs) + spec.targetLatencyMs), coreMs: Math.round(totalCoreMs),
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
			const work = remainingWork.get(steps) ?? getRemainingWork(steps, options.times);
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
	const {spec: {stretch, targetLatencyMs}} = workflow;
	const slackMs = (stretch * criticalPathMs) + targetLatencyMs - getAgeMs(workflow, occurrence, {nowMs, wallMs}) - remainingCriticalPathMs;
	return slackMs >= 0 ? slackMs : 1e7 - slackMs;
};

const getExpectedValue = (
	steps: LiveStep[],
	{totalCoreMs, remainingCoreMs, criticalPathMs, remainingCriticalPathMs}: RemainingWork,
	{nowMs, wallMs, lookaheadMs, meanCoreMs}: {nowMs: number; wallMs: number; lookaheadMs: number; meanCoreMs: number},
): number => {
	const {workflow, occurrence} = steps[0]!;
	const {spec} = workflow;
	const allowedMs = (spec.stretch * criticalPathMs) + spec.targetLatencyMs;
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
