/**
Run times of the steps of one queue: their mean, the errors of their estimates, their tail, and how much the tasks of a step differ.
All are logarithms.
*/
import {getExpectedMaximum, RunTimeDistribution} from './run-time-distribution.ts';

/** One measured step. */
export type MeasuredStep = {
	estimateMs: number;
	logMs: number;
	/** What was predicted before anything of it was measured, and what would have been without the earlier steps of its job. */
	priorLogMs: number;
	independentLogMs: number;
	/** How far earlier steps of its job were off from the latter; undefined: not known. */
	earlierError: number | undefined;
};

/** Prior variance of the logarithms of a queue's run times: jobs differ by half. */
export const priorVariance = 0.5 ** 2;
/** Callers' estimates are rougher. */
const priorErrorVariance = 0.9 ** 2;
/** Prior variance of the tasks of a step, which differ by a fifth. */
export const priorTaskVariance = 0.2 ** 2;
/** Prior variances count as this many steps or tasks. */
const priorSteps = 4;
const priorTasks = 20;
/** With fewer steps, the mean of a queue is not used. */
const minSteps = 3;
/** Weight of the prior that steps of one job are off independently of each other; a job with a long tail weighs more than this. */
const priorIndependence = 2;
const minTaskMs = 20;

/** Expected longest of so many tasks of a step, as a multiple of the step's mean. */
export const getLongestFactor = (count: number, taskVariance: number): number =>
	Math.exp(Math.sqrt(taskVariance) * getExpectedMaximum(count));

/** Learned run times of a queue. */
export class QueueTimes {
	readonly distribution = new RunTimeDistribution();
	#count = 0;
	#mean = 0;
	/** Sums of squared deviations from the means. */
	#squaredDeviations = 0;
	#meanError = 0;
	#squaredErrorDeviations = 0;
	#taskCount = 0;
	#squaredTaskDeviations = 0;
	#jointErrors = 0;
	#squaredEarlierErrors = 0;

	/** Variance of the tasks of a step. */
	get taskVariance(): number {
		return (this.#squaredTaskDeviations + (priorTaskVariance * priorTasks)) / (this.#taskCount + priorTasks);
	}

	/** Predicts the run time of a task of a step of which nothing was measured. */
	getTaskMs(estimateMs: number, earlierError: number | undefined): number {
		const factor = earlierError === undefined ? 1 : Math.exp(this.#errorCorrelation * earlierError);
		if (this.#count < minSteps) {
			return Math.max(minTaskMs, estimateMs * factor);
		}

		if (estimateMs <= 0) {
			return Math.exp(this.#mean) * factor;
		}

		const variance = getVariance(this.#squaredDeviations, this.#count, priorVariance);
		const errorVariance = getVariance(this.#squaredErrorDeviations, this.#count, priorErrorVariance);
		const weight = variance / (variance + errorVariance);
		return Math.exp((weight * (Math.log(estimateMs) - this.#meanError)) + ((1 - weight) * this.#mean)) * factor;
	}

	/** Learns from a step. */
	observeStep({estimateMs, logMs, priorLogMs, independentLogMs, earlierError}: MeasuredStep): void {
		this.#count++;
		const distance = logMs - this.#mean;
		this.#mean += distance / this.#count;
		this.#squaredDeviations += distance * (logMs - this.#mean);
		const error = Math.log(Math.max(1, estimateMs)) - logMs;
		const errorDistance = error - this.#meanError;
		this.#meanError += errorDistance / this.#count;
		this.#squaredErrorDeviations += errorDistance * (error - this.#meanError);
		this.distribution.add(logMs - priorLogMs);
		if (earlierError !== undefined) {
			this.#jointErrors += earlierError * (logMs - independentLogMs);
			this.#squaredEarlierErrors += earlierError ** 2;
		}
	}

	/** Learns how far a task was from the mean of so many other tasks of its step. */
	observeTask(distance: number, otherTasks: number): void {
		this.#taskCount++;
		this.#squaredTaskDeviations += (distance ** 2) * otherTasks / (otherTasks + 1);
	}

	/** Share of the error of a job's earlier steps that its next step has too. */
	get #errorCorrelation(): number {
		return Math.min(1, Math.max(0, this.#jointErrors / (this.#squaredEarlierErrors + priorIndependence)));
	}
}

const getVariance = (squaredDeviations: number, count: number, prior: number): number =>
	(squaredDeviations + (prior * priorSteps)) / (count + priorSteps - 1);
