/**
In which order waiting tasks are served.

While there is room for all, what matters is that each job meets its objective: the one with the least time to spare goes
first. When more is asked for than there is room, that order makes every job just late, one after the other. Then what
counts is how much of value ends in time for the room that it takes: jobs of which little is left, before jobs that have
hardly begun; and what cannot be in time any more waits for what can.

Both are one rank: value in prospect for each core-second that is left, falling with the time to spare. How fast it falls
depends on the backlog: beside a long one, time to spare counts for little.
*/
import {type Workflow} from '../types/workflows.ts';
import {
	getDueAtMs, type LiveStep, type LiveTask, type LiveWorkflow,
} from './live-model.ts';
import {Mechanism, type Policy} from './policy.ts';
import {type RunTimes} from './run-times.ts';

/** Lower goes first. */
export type RankTask = (task: LiveTask) => number;

/** What is left of an occurrence of a job. */
export type Remainder = {
	/** Processor time of all its tasks, in ms of a core, and of what is left of them. */
	totalCoreMs: number;
	leftCoreMs: number;
	/** Longest chain of steps at full speed, and what is left of it. */
	chainMs: number;
	leftChainMs: number;
};

/** Worth of a late answer, up to so many times the objective: callers can still use it. */
const lateShare = 0.15;
const lateTimes = 3;
/** What earns nothing any more is still worked on where nothing else is. */
const overdueShare = 0.01;
/** How far the time that is left may be off: a share of it, and a part for all that happens between tasks. */
const doubtShare = 0.25;
const doubtMs = 500;
/** A job is worth a part for being done at all, beside its work: this share of the mean work of its queue. */
const fixedShare = 0.3 / 0.7;
/** With less of a backlog than this, the time to spare decides. */
const minLookaheadMs = 1000;
/** Tasks that last come first: users are without them at once. */
const lastingRank = -1e9;
/** Larger than any difference within a priority. */
const priorityStep = 1e6;
const whole = 100;

/** How much of a task is left, by its run that is furthest on. */
const getLeftShare = ({isDone, runs}: LiveTask): number => {
	if (isDone) {
		return 0;
	}

	let percent = 0;
	for (const run of runs) {
		percent = Math.max(percent, run.percent);
	}

	return 1 - (percent / whole);
};

/** Works out what is left of an occurrence. */
export const getRemainder = (steps: LiveStep[], times: RunTimes): Remainder => {
	const remainder: Remainder = {
		totalCoreMs: 0, leftCoreMs: 0, chainMs: 0, leftChainMs: 0,
	};
	// Steps come after those that they wait for: one pass finds the longest way to the end of each.
	const endsMs: number[] = [];
	const leftEndsMs: number[] = [];
	for (const step of steps) {
		const {spec: {count, milliCpu, after}, tasks} = step;
		const taskMs = times.getTaskMs(step);
		let leftTasks = 0;
		let longestShare = 0;
		for (const task of tasks) {
			const share = getLeftShare(task);
			leftTasks += share;
			longestShare = Math.max(longestShare, share);
		}

		remainder.totalCoreMs += count * taskMs * milliCpu / 1000;
		remainder.leftCoreMs += leftTasks * taskMs * milliCpu / 1000;
		let fromMs = 0;
		let leftFromMs = 0;
		for (const earlier of after) {
			fromMs = Math.max(fromMs, endsMs[earlier]!);
			leftFromMs = Math.max(leftFromMs, leftEndsMs[earlier]!);
		}

		endsMs.push(fromMs + (count > 0 ? taskMs : 0));
		leftEndsMs.push(leftFromMs + (taskMs * longestShare));
		remainder.chainMs = Math.max(remainder.chainMs, endsMs.at(-1)!);
		remainder.leftChainMs = Math.max(remainder.leftChainMs, leftEndsMs.at(-1)!);
	}

	return remainder;
};

/** What the log tells of a job that is over: what it took, and what it was allowed by what is known of its run times. */
export const describeEnd = ({spec, folded, receivedAtMs, occurrences}: LiveWorkflow, times: RunTimes, nowMs: number): Record<string, unknown> => {
	const {chainMs, totalCoreMs} = getRemainder(occurrences.get(0) ?? [], times);
	return {
		id: spec.id, queue: spec.queue, end: folded.state, tookMs: Math.round(nowMs - receivedAtMs), allowedMs: Math.round((spec.stretch * chainMs) + spec.targetLatencyMs), coreMs: Math.round(totalCoreMs),
	};
};

/** What an order is decided with. */
export type OrderTerms = {
	nowMs: number;
	/** Time of day, by which occurrences are due. */
	wallMs: number;
	times: RunTimes;
	/** Remainders of what is open, by occurrence. */
	remainders: Map<LiveStep[], Remainder>;
	/** Processors that are left to what waits, in thousandths of a core. */
	spareMilliCpu: number;
	policy: Policy;
};

/** Creates the rank of tasks at a time. */
export const createRank = (terms: OrderTerms): RankTask => {
	const {remainders, spareMilliCpu, policy} = terms;
	let backlogCoreMs = 0;
	const totals = new Map<string, {sum: number; count: number}>();
	for (const [steps, {totalCoreMs, leftCoreMs}] of remainders) {
		backlogCoreMs += leftCoreMs;
		const {queue} = steps[0]!.workflow.spec;
		const total = totals.get(queue) ?? {sum: 0, count: 0};
		totals.set(queue, {sum: total.sum + totalCoreMs, count: total.count + 1});
	}

	const lookaheadMs = Math.max(minLookaheadMs, backlogCoreMs * 1000 / Math.max(1000, spareMilliCpu));
	const ranks = new Map<LiveStep[], number>();
	return ({step}) => {
		const {workflow: {spec, occurrences}, occurrence} = step;
		if (step.spec.isLasting) {
			return lastingRank;
		}

		const steps = occurrences.get(occurrence)!;
		let rank = ranks.get(steps);
		if (rank === undefined) {
			const remainder = remainders.get(steps) ?? getRemainder(steps, terms.times);
			const total = totals.get(spec.queue);
			rank = policy[Mechanism.ValueOrder]
				? (spec.priority * priorityStep) - Math.log(getIndex(steps, remainder, {
					...terms, lookaheadMs, meanCoreMs: total ? total.sum / total.count : remainder.totalCoreMs,
				}))
				: getSlackRank(steps, remainder, terms);
			ranks.set(steps, rank);
		}

		return rank;
	};
};

/** Least time to spare first; what is too late waits for the others. */
const getSlackRank = (steps: LiveStep[], {chainMs, leftChainMs}: Remainder, {nowMs, wallMs}: {nowMs: number; wallMs: number}): number => {
	const {workflow, occurrence} = steps[0]!;
	const {spec: {stretch, targetLatencyMs}} = workflow;
	const slackMs = (stretch * chainMs) + targetLatencyMs - getAgeMs(workflow, occurrence, {nowMs, wallMs}) - leftChainMs;
	return slackMs >= 0 ? slackMs : 1e7 - slackMs;
};

const getIndex = (
	steps: LiveStep[],
	{totalCoreMs, leftCoreMs, chainMs, leftChainMs}: Remainder,
	{nowMs, wallMs, lookaheadMs, meanCoreMs}: {nowMs: number; wallMs: number; lookaheadMs: number; meanCoreMs: number},
): number => {
	const {workflow, occurrence} = steps[0]!;
	const {spec} = workflow;
	const allowedMs = (spec.stretch * chainMs) + spec.targetLatencyMs;
	const endsAfterMs = getAgeMs(workflow, occurrence, {nowMs, wallMs}) + leftChainMs;
	const doubt = (doubtShare * leftChainMs) + doubtMs;
	const inTime = getLikelihood((allowedMs - endsAfterMs) / doubt);
	const late = getLikelihood(((lateTimes * allowedMs) - endsAfterMs) / doubt);
	const prospect = ((1 - lateShare) * inTime) + (lateShare * late) + overdueShare;
	const spareMs = Math.max(0, allowedMs - endsAfterMs);
	const value = totalCoreMs + (fixedShare * meanCoreMs);
	return prospect * value / Math.max(1, leftCoreMs) * Math.exp(-spareMs / lookaheadMs);
};

const getLikelihood = (ratio: number): number => 1 / (1 + Math.exp(-ratio));

const getAgeMs = ({spec, receivedAtMs}: LiveWorkflow, occurrence: number, {nowMs, wallMs}: {nowMs: number; wallMs: number}): number =>
	isTimed(spec) ? wallMs - getDueAtMs(spec, occurrence) : nowMs - receivedAtMs;

const isTimed = ({repeatCount}: Workflow): boolean => repeatCount > 0;
