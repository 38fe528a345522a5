/**
Computes the owner's forecast from its model, and publishes it to the entries when it has changed enough.
*/
import {Feature} from '../core/site-features.ts';
import {type BacklogForecast, type QueueForecast, type WorkerShape} from '../types/admission.ts';
import {type Clock} from '../types/clock.ts';
import {WorkflowState} from '../types/workflows.ts';
import {BacklogForecaster, type JobBacklog} from './backlog-forecast.ts';
import {type FleetWorker} from './fleet-view.ts';
import {FleetInventory} from './fleet-inventory.ts';
import {getEstimatedWork, getForecastEndMs} from './job-admission.ts';
import {getObjectiveMs, lateLimitFactor} from './job-objective.ts';
import {type LiveModel, type LiveStep, type LiveWorkflow} from './live-model.ts';
import {type OwnerOptions} from './owner-options.ts';
import {encodeRecord, RecordType} from './records.ts';
import {type RunTimes} from './run-times.ts';
import {getRemainingWork} from './task-order.ts';

/** Options of the publisher. */
export type ForecastPublisherOptions = {
	clock: Clock;
	epoch: number;
	model: LiveModel;
	times: RunTimes;
	/** Service that the forecast is for: the capacity and the backlog of another service of the partition are of no use to its jobs. */
	service: string;
	/** Whether the forecast waits are published; otherwise only the sizes of the workers. */
	publishesWaits: boolean;
	/** Workers of the service. */
	getWorkers: () => Iterable<FleetWorker>;
	/** Whether all workers of the service are known. */
	isFleetKnown: () => boolean;
	/** Time since the owner last read the stream to its end; undefined: it has not. */
	getStalenessMs: () => number | undefined;
	/** Resolves once the store has taken the forecast or refuses it. */
	store: (forecast: BacklogForecast) => Promise<boolean>;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Interval at which the forecasts of all services of an owner are updated. */
export const forecastUpdateIntervalMs = 1000;
/** Interval of the forecast where it is only logged: it takes a pass over all open jobs. */
const loggedForecastIntervalMs = 5000;
/** Entries ignore older forecasts, so one is published even if nothing has changed. */
const maxIntervalMs = 5000;
/** An owner with an older view does not reach the store, and its forecasts would only be stored when they are old. */
const maxStalenessMs = 1500;
/** Entries on slow links read each record. */
const maxRecordBytes = 1000;
/** Queues with the longest waits. */
const maxQueues = 6;
/** A task that waits longer has found no capacity. */
const waitingAfterMs = 500;
/** Changes below both do not change a decision by much. */
const minWaitChangeMs = 500;
const minChangeShare = 0.2;

/** Publisher of one owner for one service. */
export class ForecastPublisher {
	readonly #options: ForecastPublisherOptions;
	readonly #forecaster = new BacklogForecaster();
	readonly #inventory: FleetInventory;
	/** What was forecast for a job when it came; undefined: it came before this owner. */
	readonly #forecastsMs = new WeakMap<LiveWorkflow, number | undefined>();
	#forecastAtMs = Number.NEGATIVE_INFINITY;
	#publishedAtMs = Number.NEGATIVE_INFINITY;
	#published: BacklogForecast | undefined;
	#isStoring = false;

	constructor(options: ForecastPublisherOptions) {
		this.#options = options;
		this.#inventory = new FleetInventory(options.clock.monotonicMs());
	}

	/** Updates the forecast; to be called every `forecastUpdateIntervalMs`. */
	update(): void {
		const {clock, getWorkers, isFleetKnown, publishesWaits} = this.#options;
		const nowMs = clock.monotonicMs();
		if (publishesWaits || nowMs - this.#forecastAtMs >= loggedForecastIntervalMs) {
			this.#updateForecast(nowMs);
		}

		this.#inventory.update([...getWorkers()].map(({host, report}) => [host, report] as const), nowMs);
		this.#publish(isFleetKnown() ? this.#inventory.getShapes(nowMs) : undefined, nowMs);
	}

	/** Measures the forecast of a job that has completed. */
	recordEnd(workflow: LiveWorkflow): void {
		const {spec, folded, receivedAtMs} = workflow;
		if (folded.state !== WorkflowState.Completed || spec.repeatCount > 0) {
			return;
		}

		// A job may come and end between two updates.
		const forecastMs = this.#forecastsMs.has(workflow) ? this.#forecastsMs.get(workflow) : this.#getForecastMs(workflow);
		if (forecastMs !== undefined) {
			this.#forecaster.recordEnd(spec.queue, {forecastMs, tookMs: this.#options.clock.monotonicMs() - receivedAtMs - (spec.waitedMs ?? 0)});
		}
	}

	#updateForecast(nowMs: number): void {
		const isFirst = this.#forecastAtMs === Number.NEGATIVE_INFINITY;
		this.#forecastAtMs = nowMs;
		const {model, service} = this.#options;
		for (const workflow of model.workflows.values()) {
			if (workflow.service === service && !this.#forecastsMs.has(workflow)) {
				this.#forecastsMs.set(workflow, isFirst ? undefined : this.#getForecastMs(workflow));
			}
		}

		this.#forecaster.update(this.#getBacklogs(nowMs), nowMs);
	}

	#getForecastMs({spec}: LiveWorkflow): number {
		return getForecastEndMs(this.#forecaster.getForecast(spec.queue) ?? {waits: []}, getEstimatedWork(spec));
	}

	#getBacklogs(nowMs: number): JobBacklog[] {
		const {model, times, service} = this.#options;
		return model.getOpenOccurrences().filter(([step]) => step!.workflow.service === service).map(steps => {
			const {workflow: {spec, receivedAtMs}} = steps[0]!;
			const {totalCoreMs, remainingCoreMs, criticalPathMs} = getRemainingWork(steps, times);
			return {
				key: steps,
				queue: spec.queue,
				isBestEffort: spec.steps.some(({isFilling}) => isFilling),
				priority: spec.priority,
				totalCoreMs,
				remainingCoreMs,
				isOverdue: nowMs - receivedAtMs > lateLimitFactor * getObjectiveMs(spec, criticalPathMs),
				isWaiting: isWaiting(steps, nowMs),
			};
		});
	}

	#publish(fleet: WorkerShape[] | undefined, nowMs: number): void {
		const {epoch, service, publishesWaits, getStalenessMs, note} = this.#options;
		const forecast = fitToRecord({
			epoch, service, fleet, queues: publishesWaits ? this.#forecaster.forecasts.slice(0, maxQueues) : [],
		});
		const isDue = nowMs - this.#publishedAtMs >= maxIntervalMs || !this.#published || hasChanged(this.#published, forecast);
		const isEmpty = !forecast.fleet && forecast.queues.length === 0;
		if (!isDue || isEmpty || this.#isStoring || (getStalenessMs() ?? Number.POSITIVE_INFINITY) > maxStalenessMs) {
			return;
		}

		this.#published = forecast;
		this.#publishedAtMs = nowMs;
		void this.#store(forecast);
		note('backlog forecast', {
			epoch,
			service,
			shapes: forecast.fleet?.length,
			queues: this.#forecaster.forecasts.slice(0, maxQueues).map(({queue, waits, measuredJobs, lowestRatio, medianRatio}) => ({
				queue, waitsMs: waits.map(({waitMs}) => waitMs), measuredJobs, lowestRatio, medianRatio,
			})),
		});
	}

	async #store(forecast: BacklogForecast): Promise<void> {
		this.#isStoring = true;
		await this.#options.store(forecast);
		this.#isStoring = false;
	}
}

/** Creates the publisher of an owner for one service; undefined: admission is off. */
export const createForecastPublisher = (
	{clock, epoch, features, follower, note}: Pick<OwnerOptions, 'clock' | 'epoch' | 'features' | 'follower' | 'note'>,
	parts: Pick<ForecastPublisherOptions, 'service' | 'model' | 'times' | 'getWorkers' | 'isFleetKnown' | 'store'>,
): ForecastPublisher | undefined => features[Feature.Admission]
	? new ForecastPublisher({
		...parts, clock, epoch, note, getStalenessMs: () => follower.stalenessMs, publishesWaits: features[Feature.LateRefusals],
	})
	: undefined;

const isWaiting = (steps: LiveStep[], nowMs: number): boolean => steps.some(({isReady, remaining, tasks}) => isReady && remaining > 0
	&& tasks.some(({isDone, runs, waitingSinceMs}) => !isDone && runs.length === 0 && nowMs - waitingSinceMs > waitingAfterMs));

/** Leaves out what makes the record too large: queues with short waits, then the sizes of the workers. */
const fitToRecord = (forecast: BacklogForecast): BacklogForecast => {
	const isTooLarge = (candidate: BacklogForecast) => encodeRecord({type: RecordType.Forecast, forecast: candidate}).byteLength > maxRecordBytes;
	let fitted = forecast;
	while (isTooLarge(fitted) && fitted.queues.length > 0) {
		fitted = {...fitted, queues: fitted.queues.slice(0, -1)};
	}

	return isTooLarge(fitted) ? {...forecast, fleet: undefined} : fitted;
};

const hasChanged = (published: BacklogForecast, forecast: BacklogForecast): boolean =>
	JSON.stringify(published.fleet) !== JSON.stringify(forecast.fleet)
	|| forecast.queues.some(queue => hasQueueChanged(published.queues.find(({queue: name}) => name === queue.queue), queue));

const hasQueueChanged = (published: QueueForecast | undefined, {waits, lowestRatio}: QueueForecast): boolean =>
	published?.waits.length !== waits.length
	|| Math.abs(published.lowestRatio - lowestRatio) > minChangeShare * lowestRatio
	|| waits.some(({waitMs}, index) => Math.abs(published.waits[index]!.waitMs - waitMs) > Math.max(minWaitChangeMs, minChangeShare * waitMs));
