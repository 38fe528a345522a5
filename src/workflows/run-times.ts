/**
Predicts how long tasks run, learned from earlier runs: callers' estimates vary by more than the jobs themselves.

Times are compared as logarithms, in which an estimate that is wrong by a factor has the same error in both directions.
Each estimate is combined with the mean of its queue, weighted by the variance of both so far. Tasks of one step hardly
differ: once one of them has been measured, only measurements of the step count.
*/
import {type LiveRun, type LiveStep} from './live-model.ts';

/** Run times of a queue's steps, and the errors of their estimates; both as logarithms. */
type QueueTimes = {
	/** Number of measured steps. */
	count: number;
	mean: number;
	/** Sum of squared deviations from the mean. */
	squaredDeviations: number;
	meanError: number;
	squaredErrorDeviations: number;
};

/** Prior variances of logarithms: jobs of a queue differ by half of their run time, and callers' estimates are rougher. */
const priorVariance = 0.5 ** 2;
const priorErrorVariance = 0.9 ** 2;
/** Prior variances count as this many steps. */
const priorSteps = 4;
/** With fewer steps, the mean of a queue is not used. */
const minSteps = 3;
/** From this progress on, the speed of an active run predicts its total time. */
const minProgressPercent = 25;
const minTaskMs = 20;
const fullPercent = 100;

/** Learned run times. */
export class RunTimes {
	readonly #isLearning: boolean;
	readonly #queues = new Map<string, QueueTimes>();
	readonly #steps = new WeakMap<LiveStep, {count: number; sum: number}>();

	/** Without learning, callers' estimates are used unchanged. */
	constructor(isLearning = true) {
		this.#isLearning = isLearning;
	}

	/** Predicts the run time of a task of the step at full speed. */
	getTaskMs(step: LiveStep): number {
		const measured = this.#steps.get(step);
		if (measured) {
			return Math.exp(measured.sum / measured.count);
		}

		const {estimateMs} = step.spec;
		const times = this.#queues.get(step.workflow.spec.queue);
		if (!times || times.count < minSteps) {
			return Math.max(minTaskMs, estimateMs);
		}

		if (estimateMs <= 0) {
			return Math.exp(times.mean);
		}

		const variance = getVariance(times.squaredDeviations, times.count, priorVariance);
		const errorVariance = getVariance(times.squaredErrorDeviations, times.count, priorErrorVariance);
		const weight = variance / (variance + errorVariance);
		return Math.exp((weight * (Math.log(estimateMs) - times.meanError)) + ((1 - weight) * times.mean));
	}

	/** Learns from a run that ended, or that progressed far enough. */
	observe(run: LiveRun, {isDone}: {isDone: boolean}): void {
		const {task: {step}, percent, basePercent, workedMs} = run;
		const donePercent = (isDone ? fullPercent : percent) - basePercent;
		if (!this.#isLearning || step.spec.isLasting || step.spec.isGang || donePercent < minProgressPercent || (!isDone && this.#steps.has(step))) {
			return;
		}

		this.#observeStep(step, Math.log(Math.max(minTaskMs, workedMs * fullPercent / donePercent)));
	}

	#observeStep(step: LiveStep, logMs: number): void {
		const known = this.#steps.get(step);
		this.#steps.set(step, {count: (known?.count ?? 0) + 1, sum: (known?.sum ?? 0) + logMs});
		if (!known) {
			this.#observeQueue(step, logMs);
		}
	}

	#observeQueue({workflow, spec}: LiveStep, logMs: number): void {
		const {queue} = workflow.spec;
		const times = this.#queues.get(queue) ?? {
			count: 0, mean: 0, squaredDeviations: 0, meanError: 0, squaredErrorDeviations: 0,
		};
		this.#queues.set(queue, times);
		times.count++;
		const distance = logMs - times.mean;
		times.mean += distance / times.count;
		times.squaredDeviations += distance * (logMs - times.mean);
		const error = Math.log(Math.max(1, spec.estimateMs)) - logMs;
		const errorDistance = error - times.meanError;
		times.meanError += errorDistance / times.count;
		times.squaredErrorDeviations += errorDistance * (error - times.meanError);
	}
}

const getVariance = (squaredDeviations: number, count: number, prior: number): number =>
	(squaredDeviations + (prior * priorSteps)) / (count + priorSteps - 1);
