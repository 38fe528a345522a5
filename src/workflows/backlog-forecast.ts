/**
Forecast of how long new jobs of a queue will take, with its measured error.

Answers bursts of wide jobs on a service that is mostly reserved: it tells which of them cannot end while their results are of use.
Best-effort and reserved work are forecast apart, because they use different processors of the same workers. The order by value starts
small remaining work first, so a new job waits for what has less work left than itself.
*/
import {type QueueForecast} from '../types/admission.ts';

/** One open occurrence of a job, as its owner sees it. */
export type JobBacklog = {
	/** Identifies the occurrence. */
	key: object;
	queue: string;
	isBestEffort: boolean;
	/** Lower values come first. */
	priority: number;
	totalCoreMs: number;
	remainingCoreMs: number;
	/** Its result is no longer of use: it runs only when nothing else waits. */
	isOverdue: boolean;
	/** Whether a ready task of it has waited for a while. */
	isWaiting: boolean;
};

/** Rates follow a change of load within this time. */
const rateMemoryMs = 4000;
const minRateCoreMsPerMs = 0.1;
/** Sizes for which a wait is forecast, as multiples of the queue's mean size. */
const sizeFactors = [0.25, 0.5, 1, 2];
/** Jobs that the measured error covers. */
const maxMeasured = 100;
/** Quantities of more digits only make the record larger. */
const waitUnitMs = 10;
const ratioDigits = 3;
const medianShare = 0.5;

type Throughput = {coreMs: number; elapsedMs: number};
type QueueState = {isBestEffort: boolean; priority: number; sizes: {sum: number; count: number}; ratios: number[]};

/** Forecasts of one owner, from what it measured itself. */
export class BacklogForecaster {
	#previous = new Map<object, JobBacklog>();
	#updatedAtMs: number | undefined;
	readonly #throughputs = new Map<boolean, Throughput>();
	readonly #queues = new Map<string, QueueState>();
	#forecasts = new Map<string, QueueForecast>();

	/** Updates the forecasts from all open occurrences; those that are gone count as ended. To be called about once a second. */
	update(jobs: JobBacklog[], nowMs: number): void {
		const elapsedMs = this.#updatedAtMs === undefined ? 0 : nowMs - this.#updatedAtMs;
		this.#updatedAtMs = nowMs;
		const current = new Map(jobs.map(job => [job.key, job]));
		for (const isBestEffort of [false, true]) {
			this.#measureThroughput(isBestEffort, current, elapsedMs);
		}

		for (const job of jobs) {
			if (!this.#previous.has(job.key)) {
				this.#addSize(job);
			}
		}

		this.#previous = current;
		this.#forecasts = new Map([...this.#queues].map(([queue, state]) => [queue, this.#forecast(queue, state, jobs)]));
	}

	/** Records how long a job took, and what was forecast for it when it came. */
	recordEnd(queue: string, {forecastMs, tookMs}: {forecastMs: number; tookMs: number}): void {
		const state = this.#queues.get(queue);
		if (!state || forecastMs <= 0) {
			return;
		}

		state.ratios.push(tookMs / forecastMs);
		if (state.ratios.length > maxMeasured) {
			state.ratios.shift();
		}
	}

	/** Forecasts by queue, those with the longest waits first. */
	get forecasts(): QueueForecast[] {
		return [...this.#forecasts.values()].toSorted((a, b) => getLongestWaitMs(b) - getLongestWaitMs(a));
	}

	getForecast(queue: string): QueueForecast | undefined {
		return this.#forecasts.get(queue);
	}

	#measureThroughput(isBestEffort: boolean, current: Map<object, JobBacklog>, elapsedMs: number): void {
		let servedCoreMs = 0;
		for (const job of this.#previous.values()) {
			const remainingCoreMs = current.get(job.key)?.remainingCoreMs ?? 0;
			servedCoreMs += job.isBestEffort === isBestEffort ? Math.max(0, job.remainingCoreMs - remainingCoreMs) : 0;
		}

		const known = this.#throughputs.get(isBestEffort) ?? {coreMs: 0, elapsedMs: 0};
		const keptShare = Math.exp(-elapsedMs / rateMemoryMs);
		this.#throughputs.set(isBestEffort, {coreMs: (known.coreMs * keptShare) + servedCoreMs, elapsedMs: (known.elapsedMs * keptShare) + elapsedMs});
	}

	#addSize({queue, isBestEffort, priority, totalCoreMs}: JobBacklog): void {
		const state = this.#queues.get(queue) ?? {
			isBestEffort, priority, sizes: {sum: 0, count: 0}, ratios: [],
		};
		this.#queues.set(queue, {
			...state, isBestEffort, priority, sizes: {sum: state.sizes.sum + totalCoreMs, count: state.sizes.count + 1},
		});
	}

	#forecast(queue: string, {isBestEffort, priority, sizes, ratios}: QueueState, jobs: JobBacklog[]): QueueForecast {
		const ahead = jobs.filter(job => job.isBestEffort === isBestEffort && job.priority <= priority && !job.isOverdue);
		const {coreMs, elapsedMs} = this.#throughputs.get(isBestEffort)!;
		const rate = Math.max(minRateCoreMsPerMs, elapsedMs > 0 ? coreMs / elapsedMs : 0);
		const meanCoreMs = sizes.sum / sizes.count;
		// Without a task that waits, the measured rate is what was asked for, not what could be served.
		const isShort = elapsedMs > 0 && ahead.some(({isWaiting}) => isWaiting);
		const waits = (isShort ? sizeFactors : []).map(factor => {
			const fromCoreMs = Math.round(factor * meanCoreMs);
			let backlogCoreMs = 0;
			for (const job of ahead) {
				backlogCoreMs += job.remainingCoreMs <= fromCoreMs || job.priority < priority ? job.remainingCoreMs : 0;
			}

			return {fromCoreMs, waitMs: Math.round(backlogCoreMs / rate / waitUnitMs) * waitUnitMs};
		});
		const sorted = ratios.toSorted((a, b) => a - b);
		return {
			queue, waits, measuredJobs: ratios.length, lowestRatio: round(sorted[0] ?? 0), medianRatio: round(sorted[Math.floor(sorted.length * medianShare)] ?? 1),
		};
	}
}

const round = (ratio: number): number => Number(ratio.toPrecision(ratioDigits));

const getLongestWaitMs = ({waits}: QueueForecast): number => waits.at(-1)?.waitMs ?? 0;
