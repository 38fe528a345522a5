/**
Decides at an entry whether a job is accepted, or refused at once because it is known not to be served.

Answers jobs that no worker can hold, and bursts in which a job cannot end while its result is of use to its caller. Where anything
is not known, the job is accepted: a job that waits and is still served is worth more to its caller than a refusal.
*/
import {
	type BacklogForecast, type EstimatedWork, type QueueForecast, type WorkerShape,
} from '../types/admission.ts';
import {type Random} from '../types/random.ts';
import {type WorkflowSpec, type WorkflowStep} from '../types/workflows.ts';
import {getLongestPathMs, getObjectiveMs, lateLimitFactor} from './job-objective.ts';

/** Why a job is refused. */
export enum JobRefusalReason {
	NoWorker = 'no worker can hold a task of it',
	TooLate = 'it would end too late to be of use',
}

/** A refusal. */
export type Refusal = {
	reason: JobRefusalReason;
	retryAfterMs: number;
	/** Only `TooLate`: earliest end by the forecast less its error, and the last one of use, both from now. */
	earliestEndMs?: number;
	usefulUntilMs?: number;
};

/** What the decision depends on. */
export type AdmissionInput = {
	spec: WorkflowSpec;
	queue: {name: string; stretch: number; targetLatencyMs: number};
	/** Undefined: there is none. */
	forecast: BacklogForecast | undefined;
	forecastAgeMs: number;
	/** Time since the job was first refused; 0: it was not. */
	waitedMs: number;
	/** Whether workers of other services may join this one. */
	mayFleetGrow: boolean;
	/** Whether jobs are refused that would end too late. */
	refusesLate: boolean;
	random: Pick<Random, 'next'>;
};

/** Owners publish at least every 5 s; one that has missed two of these may be gone. */
const maxForecastAgeMs = 12_000;
/** With fewer jobs the lowest ratio says little of the one in a hundred that goes best. */
const minMeasuredJobs = 50;
/** Backlogs change within seconds; an earlier return meets the same forecast. */
const minRetryMs = 2000;
const maxRetryMs = 10_000;
/** Workers of another size do not come within less. */
const noWorkerRetryMs = 30_000;

/** Computes the work of a job by its caller's estimates. */
export const getEstimatedWork = ({steps}: Pick<WorkflowSpec, 'steps'>): EstimatedWork => {
	let coreMs = 0;
	for (const {count, milliCpu, estimateMs} of steps) {
		coreMs += count * estimateMs * milliCpu / 1000;
	}

	return {coreMs, chainMs: getLongestPathMs(steps, index => steps[index]!.count > 0 ? steps[index]!.estimateMs : 0)};
};

/** Forecasts the time from acceptance to the end of a job of that work. */
export const getForecastEndMs = ({waits}: Pick<QueueForecast, 'waits'>, {coreMs, chainMs}: EstimatedWork): number =>
	(waits.findLast(({fromCoreMs}) => fromCoreMs <= coreMs)?.waitMs ?? 0) + chainMs;

/** Decides on a job; undefined: it is accepted. */
export const decideAdmission = (input: AdmissionInput): Refusal | undefined => {
	const {spec, forecast, forecastAgeMs, mayFleetGrow, random} = input;
	if (!forecast || forecastAgeMs > maxForecastAgeMs) {
		return undefined;
	}

	// A repeated job may be due long after the workers have changed.
	return forecast.fleet && !mayFleetGrow && spec.repeatCount === 0 && !isHoldable(spec, forecast.fleet)
		? {reason: JobRefusalReason.NoWorker, retryAfterMs: spread(noWorkerRetryMs, random)}
		: getLateRefusal(input, forecast);
};

const getLateRefusal = ({spec, queue, waitedMs, refusesLate, random}: AdmissionInput, {queues}: BacklogForecast): Refusal | undefined => {
	const forecast = queues.find(({queue: name}) => name === queue.name);
	const work = getEstimatedWork(spec);
	const objectiveMs = getObjectiveMs(queue, work.chainMs);
	const isJudged = refusesLate && spec.repeatCount === 0 && spec.steps.every(({isLasting}) => !isLasting)
		&& work.chainMs > 0 && objectiveMs > 0 && queue.stretch > 0;
	if (!isJudged || !forecast || forecast.measuredJobs < minMeasuredJobs) {
		return undefined;
	}

	const endMs = getForecastEndMs(forecast, work);
	const earliestEndMs = forecast.lowestRatio * endMs;
	const usefulUntilMs = (lateLimitFactor * objectiveMs) - waitedMs;
	if (earliestEndMs <= usefulUntilMs) {
		return undefined;
	}

	// The backlog shrinks by as much as a job of this size may wait and still be served in time.
	const surplusMs = (forecast.medianRatio * endMs) - objectiveMs;
	return {
		reason: JobRefusalReason.TooLate,
		retryAfterMs: spread(Math.min(maxRetryMs, Math.max(minRetryMs, surplusMs)), random),
		earliestEndMs: Math.round(earliestEndMs),
		usefulUntilMs: Math.round(usefulUntilMs),
	};
};

/** Spreads returns over as long again as the wait, so that they come at about the rate at which the backlog shrinks. */
const spread = (waitMs: number, random: Pick<Random, 'next'>): number => Math.round(waitMs * (1 + random.next()));

/** Whether workers of these sizes can ever run the job; of a long-running job, at least a part of it. */
const isHoldable = ({steps}: WorkflowSpec, fleet: WorkerShape[]): boolean => {
	const isStepHoldable = (step: WorkflowStep) => step.count === 0 || countHeld(step, fleet) >= (step.isGang ? step.count : 1);
	return steps.some(({isLasting}) => isLasting) ? steps.some(step => isStepHoldable(step)) : steps.every(step => isStepHoldable(step));
};

/** Number of tasks of the step that empty workers hold at a time, at most. */
const countHeld = ({milliCpu, memoryMb, accelerators, requiredLabel, maxPerWorker, isFilling}: WorkflowStep, fleet: WorkerShape[]): number => {
	let count = 0;
	for (const shape of fleet) {
		if (requiredLabel !== undefined && !shape.labels.includes(requiredLabel)) {
			continue;
		}

		const perWorker = Math.min(
			maxPerWorker > 0 ? maxPerWorker : Number.POSITIVE_INFINITY,
			getTimes(shape.milliCpu, isFilling ? 0 : milliCpu),
			getTimes(shape.memoryMb, memoryMb),
			getTimes(shape.accelerators, accelerators),
		);
		count += perWorker * shape.workers;
	}

	return count;
};

const getTimes = (capacity: number, need: number): number => need > 0 ? Math.floor(capacity / need) : Number.POSITIVE_INFINITY;
