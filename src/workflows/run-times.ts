/**
How long tasks run, learned from those that ran: callers' estimates are off by more than their jobs differ from each other.

Times are compared in logarithms, where an estimate that is off by a factor errs alike in both directions. Each estimate is
weighed against the mean of its queue by how far either has been off so far. Tasks of one step hardly differ: once one of
them is measured, nothing else counts.
*/
import {type LiveRun, type LiveStep} from './live-model.ts';

/** What a queue's steps took, and how far their estimates were off; both in logarithms. */
type QueueTimes = {
	/** Steps measured. */
	count: number;
	mean: number;
	/** Sum of squared distances from the mean. */
	spread: number;
	meanError: number;
	errorSpread: number;
};

/** In logarithms, before steps were seen: jobs of a queue differ by half of themselves, and callers' estimates are rough. */
const assumedVariance = 0.5 ** 2;
const assumedErrorVariance = 0.9 ** 2;
/** Assumed variances count like this many steps. */
const assumedSteps = 4;
/** Without so many steps the mean of a queue says too little. */
const minSteps = 3;
/** From here on, the progress of a run tells how long it takes in all. */
const minProgressPercent = 25;
const minTaskMs = 20;
const whole = 100;

/** Learned run times. */
export class RunTimes {
	readonly #isLearning: boolean;
	readonly #queues = new Map<string, QueueTimes>();
	readonly #steps = new WeakMap<LiveStep, {count: number; sum: number}>();

	/** Without learning, estimates are taken as they are. */
	constructor(isLearning = true) {
		this.#isLearning = isLearning;
	}

	/** Time of a task of the step at full speed. */
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

		const variance = getVariance(times.spread, times.count, assumedVariance);
		const errorVariance = getVariance(times.errorSpread, times.count, assumedErrorVariance);
		const weight = variance / (variance + errorVariance);
		return Math.exp((weight * (Math.log(estimateMs) - times.meanError)) + ((1 - weight) * times.mean));
	}

	/** Learns from a run that came to its end, or far enough to tell. */
	note(run: LiveRun, {isDone}: {isDone: boolean}): void {
		const {task: {step}, percent, basePercent, workedMs} = run;
		const donePercent = (isDone ? whole : percent) - basePercent;
		if (!this.#isLearning || step.spec.isLasting || step.spec.isGang || donePercent < minProgressPercent || (!isDone && this.#steps.has(step))) {
			return;
		}

		this.#noteStep(step, Math.log(Math.max(minTaskMs, workedMs * whole / donePercent)));
	}

	#noteStep(step: LiveStep, logMs: number): void {
		const known = this.#steps.get(step);
		this.#steps.set(step, {count: (known?.count ?? 0) + 1, sum: (known?.sum ?? 0) + logMs});
		if (!known) {
			this.#noteQueue(step, logMs);
		}
	}

	#noteQueue({workflow, spec}: LiveStep, logMs: number): void {
		const {queue} = workflow.spec;
		const times = this.#queues.get(queue) ?? {
			count: 0, mean: 0, spread: 0, meanError: 0, errorSpread: 0,
		};
		this.#queues.set(queue, times);
		times.count++;
		const distance = logMs - times.mean;
		times.mean += distance / times.count;
		times.spread += distance * (logMs - times.mean);
		const error = Math.log(Math.max(1, spec.estimateMs)) - logMs;
		const errorDistance = error - times.meanError;
		times.meanError += errorDistance / times.count;
		times.errorSpread += errorDistance * (error - times.meanError);
	}
}

const getVariance = (spread: number, count: number, assumed: number): number =>
	(spread + (assumed * assumedSteps)) / (count + assumedSteps - 1);
