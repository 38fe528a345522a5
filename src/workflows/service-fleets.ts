/**
Workers of an owner by service. Services whose names hash to one partition share its owner, but no task of one may run on a worker of another.
*/
import {type FleetWorker} from './fleet-view.ts';

/** Workers of one owner. */
export class ServiceFleets {
	readonly #workers = new Map<string, FleetWorker>();
	readonly #byService = new Map<string, Map<string, FleetWorker>>();

	/** Workers of all services, by host. */
	get workers(): ReadonlyMap<string, FleetWorker> {
		return this.#workers;
	}

	/** Services that have or had a worker. */
	get services(): Iterable<string> {
		return this.#byService.keys();
	}

	/** Gets the workers of a service by host; the result follows later changes. */
	get(service: string): ReadonlyMap<string, FleetWorker> {
		return this.#get(service);
	}

	/** Adds a worker, or moves it to the fleet of the service that it has now. */
	add(worker: FleetWorker): void {
		this.remove(worker);
		this.#workers.set(worker.host, worker);
		this.#get(worker.service).set(worker.host, worker);
	}

	/** Removes the worker of this host. */
	remove({host}: FleetWorker): void {
		this.#workers.delete(host);
		for (const fleet of this.#byService.values()) {
			fleet.delete(host);
		}
	}

	#get(service: string): Map<string, FleetWorker> {
		let fleet = this.#byService.get(service);
		if (!fleet) {
			fleet = new Map();
			this.#byService.set(service, fleet);
		}

		return fleet;
	}
}
