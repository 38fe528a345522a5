/**
What an owner decides or learns from the fleet of one service as a whole: which workers may get tasks, which are held for their health, and how
suspects of crashes are quarantined. Limits that are shares of a fleet count the workers of one service.
*/
import {type Clock} from '../types/clock.ts';
import {type Features} from '../core/site-features.ts';
import {type Evacuations} from '../types/site.ts';
import {createOnce} from '../utils/create-once.ts';
import {groupBy} from '../utils/group-by.ts';
import {createColdWorkerUpdate, type ColdWorkerUpdate} from './cold-workers.ts';
import {FleetHealth} from './fleet-health.ts';
import {type FleetWorker} from './fleet-view.ts';
import {forecastUpdateIntervalMs, type ForecastPublisher} from './forecast-publisher.ts';
import {type LiveTask} from './live-model.ts';
import {type Policy} from './policy.ts';
import {Quarantine} from './quarantine.ts';
import {type RunTimes} from './run-times.ts';
import {getSchedulableWorkers} from './schedulable-workers.ts';
import {type ServiceFleets} from './service-fleets.ts';
import {SlowWorkers} from './slow-runs.ts';

/** Options of the pools. */
export type ServicePoolsOptions = {
	clock: Clock;
	features: Features;
	policy: Policy;
	fleets: ServiceFleets;
	times: RunTimes;
	getEvacuations: () => Evacuations;
	/** Undefined: admission is off. */
	createForecasts: (pool: ServicePool) => ForecastPublisher | undefined;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Pool of one service. */
export class ServicePool {
	readonly service: string;
	/** Workers by host. */
	readonly workers: ReadonlyMap<string, FleetWorker>;
	readonly quarantine: Quarantine;
	readonly health: FleetHealth;
	readonly slowWorkers: SlowWorkers;
	readonly forecasts: ForecastPublisher | undefined;
	readonly #options: ServicePoolsOptions;
	readonly #updateColdWorkers: ColdWorkerUpdate;

	constructor(service: string, options: ServicePoolsOptions) {
		const {clock, note, fleets, createForecasts} = options;
		this.service = service;
		this.workers = fleets.get(service);
		this.#options = options;
		this.quarantine = new Quarantine({workers: this.workers, note});
		this.health = new FleetHealth({clock, note, getFleetSize: () => this.workers.size});
		this.slowWorkers = new SlowWorkers(options);
		this.#updateColdWorkers = createColdWorkerUpdate(options);
		this.forecasts = createForecasts(this);
	}

	/** Workers that may get new tasks. */
	getSchedulable(nowMs: number): FleetWorker[] {
		const {policy, getEvacuations} = this.#options;
		const schedulable = getSchedulableWorkers(this.workers.values(), {nowMs, policy, evacuated: getEvacuations().failureDomains});
		return this.slowWorkers.leaveOut(this.#updateColdWorkers(this.workers.values(), schedulable, nowMs), nowMs);
	}

	/** Workers that may get new tasks of any job, suspects of crashes excepted. */
	getOpen(nowMs: number): FleetWorker[] {
		return this.getSchedulable(nowMs).filter(worker => !this.quarantine.isClosed(worker));
	}
}

/** Pools of one owner, created on first use. */
export class ServicePools {
	readonly #options: ServicePoolsOptions;
	readonly #pools = new Map<string, ServicePool>();
	#forecastsUpdatedAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: ServicePoolsOptions) {
		this.#options = options;
	}

	/** Gets the pools of all services that have or had a worker, and of those that were asked for; creates them if need be. */
	getAll(): ServicePool[] {
		for (const service of this.#options.fleets.services) {
			this.get(service);
		}

		return [...this.#pools.values()];
	}

	get(service: string): ServicePool {
		let pool = this.#pools.get(service);
		if (!pool) {
			pool = new ServicePool(service, this.#options);
			this.#pools.set(service, pool);
		}

		return pool;
	}

	/** Releases workers whose hold for their health has expired, and updates the forecasts if they are due; to be called periodically. */
	update(): void {
		const pools = this.getAll();
		for (const {health} of pools) {
			health.releaseHeld();
		}

		const nowMs = this.#options.clock.monotonicMs();
		if (nowMs - this.#forecastsUpdatedAtMs >= forecastUpdateIntervalMs) {
			this.#forecastsUpdatedAtMs = nowMs;
			for (const {forecasts} of pools) {
				forecasts?.update();
			}
		}
	}

	/** Creates a function that applies to each task the function of its service's pool, which is created on first use. */
	dispatch<Result>(create: (pool: ServicePool) => (task: LiveTask) => Result): (task: LiveTask) => Result {
		const getFunction = createOnce((service: string) => create(this.get(service)));
		return task => getFunction(task.step.workflow.service)(task);
	}
}

/** Groups tasks by the service that runs their jobs. */
export const groupByService = (tasks: Iterable<LiveTask>): Map<string, LiveTask[]> => groupBy(tasks, ({step: {workflow}}) => workflow.service);
