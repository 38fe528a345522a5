/**
In which order waiting tasks are served.
*/
import {type Workflow} from '../types/workflows.ts';
import {getDueAtMs, type LiveStep, type LiveTask} from './live-model.ts';

/** Estimated time of the longest chain of steps from this one on, itself included. */
export const getChainMs = (workflow: Workflow, from: number): number => {
	const {steps} = workflow;
	const chains = Array.from({length: steps.length}, () => 0);
	for (let index = steps.length - 1; index >= from; index--) {
		let longestMs = 0;
		for (let later = index + 1; later < steps.length; later++) {
			if (steps[later]!.after.includes(index)) {
				longestMs = Math.max(longestMs, chains[later]!);
			}
		}

		chains[index] = steps[index]!.estimateMs + longestMs;
	}

	return chains[from] ?? 0;
};

/** Estimated time of the longest chain of the whole job. */
export const getJobChainMs = (workflow: Workflow): number => {
	let longestMs = 0;
	for (const [index, {after}] of workflow.steps.entries()) {
		if (after.length === 0) {
			longestMs = Math.max(longestMs, getChainMs(workflow, index));
		}
	}

	return longestMs;
};

/** Wall time by which an occurrence of the job has to be complete to meet its objective. */
export const getObjectiveAtMs = (workflow: Workflow, occurrence: number): number =>
	(workflow.repeatCount > 0 ? getDueAtMs(workflow, occurrence) : workflow.receivedAtMs)
	+ (workflow.stretch * getJobChainMs(workflow)) + workflow.targetLatencyMs;

// A job that cannot meet its objective earns less: it waits for those that can. Larger than any slack.
const hopelessRankMs = 1e7;
const lastingRankMs = -1e7;

/**
Creates the rank of a task at a time; lower goes first. Tasks that last come first: users are without them at once.
Then comes what has the least time to spare before its objective can no longer be met, then what cannot meet it.
*/
export const createRank = (wallMs: number): ((task: LiveTask) => number) => {
	const ranks = new Map<LiveStep, number>();
	return ({step}) => {
		let rank = ranks.get(step);
		if (rank === undefined) {
			rank = getRank(step, wallMs);
			ranks.set(step, rank);
		}

		return rank;
	};
};

const getRank = (step: LiveStep, wallMs: number): number => {
	const {workflow: {spec}, occurrence, index} = step;
	if (step.spec.isLasting) {
		return lastingRankMs;
	}

	const slackMs = getObjectiveAtMs(spec, occurrence) - wallMs - getChainMs(spec, index);
	return slackMs >= 0 ? slackMs : hopelessRankMs - slackMs;
};
