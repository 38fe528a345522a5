/**
Capacity reserved for waiting tasks: for urgent work until evictions are confirmed, for gangs and large tasks until running
tasks end.

A reservation names a worker for each of its tasks at once; no job reserves a part and waits for the rest. So two gangs
cannot deadlock by each holding half of what they need.
*/
import {type Resources} from '../types/platform.ts';
import {type Fleet} from './placement-fleet.ts';
import {addTo, createNoResources} from './placement-resources.ts';
import {
	isAvailable, TaskPhase, type JobEntry, type TaskEntry, type WorkerEntry,
} from './placement-state.ts';
import {type WaitingQueue} from './placement-queue.ts';
import {type QuotaLedger} from './quota-ledger.ts';

const expiryAvoidMs = 5000;

/** A task and the worker that is to run it. */
export type Place = {
	entry: TaskEntry;
	worker: WorkerEntry;
};

/** Tasks that start together, each on a named worker. */
export type Reservation = {
	job: JobEntry;
	places: Place[];
	deadlineMs: number;
	/** Waits until running tasks end without eviction; urgent work takes precedence. */
	isPassive: boolean;
};

/** All reservations, in order of creation. */
export class Reservations {
	readonly #fleet: Fleet;
	readonly #queue: WaitingQueue;
	readonly #quotas: QuotaLedger;
	readonly #all = new Set<Reservation>();

	constructor({fleet, queue, quotas}: {fleet: Fleet; queue: WaitingQueue; quotas: QuotaLedger}) {
		this.#fleet = fleet;
		this.#queue = queue;
		this.#quotas = quotas;
	}

	get size(): number {
		return this.#all.size;
	}

	has(job: JobEntry): boolean {
		return [...this.#all].some(reservation => reservation.job === job);
	}

	/** Reserves the capacity; the tasks leave the queue. */
	reserve(reservation: Reservation): void {
		const {places} = reservation;
		for (const {entry, worker} of places) {
			this.#queue.remove(entry);
			entry.phase = TaskPhase.Reserved;
			this.#changeClaim({entry, worker}, 1);
		}

		this.#all.add(reservation);
	}

	/** Starts the tasks of each reservation, passive or not as given, whose capacity is free now. */
	startReady(isPassive: boolean, start: (entry: TaskEntry, worker: WorkerEntry) => void): void {
		for (const reservation of this.#all) {
			if (reservation.isPassive === isPassive && this.#allocateAll(reservation)) {
				this.#all.delete(reservation);
				for (const {entry, worker} of reservation.places) {
					start(entry, worker);
				}
			}
		}
	}

	/** Releases reservations past their deadline or with an unavailable worker; their tasks return to the front of their jobs. */
	releaseExpired(nowMs: number): void {
		for (const reservation of this.#all) {
			if (reservation.deadlineMs <= nowMs) {
				this.#avoid(reservation, nowMs);
				this.#release(reservation);
			} else if (reservation.places.some(({worker}) => !isAvailable(worker))) {
				this.#release(reservation);
			}
		}
	}

	/** Tells whether there is any passive reservation. */
	hasPassive(): boolean {
		return [...this.#all].some(({isPassive}) => isPassive);
	}

	/** Releases all passive reservations; returns whether there were any. */
	cancelPassive(): boolean {
		const passive = [...this.#all].filter(({isPassive}) => isPassive);
		for (const reservation of passive) {
			this.#release(reservation);
		}

		return passive.length > 0;
	}

	/** Releases the reservations of the job; its tasks return to the queue. */
	cancelJob(job: JobEntry): void {
		for (const reservation of this.#all) {
			if (reservation.job === job) {
				this.#release(reservation);
			}
		}
	}

	/** Releases the reservation that contains the task; all of its tasks return to the queue. */
	cancelTask(entry: TaskEntry): void {
		for (const reservation of this.#all) {
			if (reservation.places.some(place => place.entry === entry)) {
				this.#release(reservation);
				return;
			}
		}
	}

	/** Avoids workers whose capacity was not freed in time, so that the next attempt goes elsewhere. */
	#avoid({places}: Reservation, nowMs: number): void {
		for (const {entry, worker} of places) {
			if (!this.#fleet.fitsNow(worker, entry.reserved)) {
				worker.avoidUntilMs = Math.max(worker.avoidUntilMs, nowMs + expiryAvoidMs);
			}
		}
	}

	#release(reservation: Reservation): void {
		this.#all.delete(reservation);
		for (const {entry, worker} of reservation.places.toReversed()) {
			this.#changeClaim({entry, worker}, -1);
			this.#queue.putBack(entry);
		}
	}

	#changeClaim({entry, worker}: Place, times: 1 | -1): void {
		this.#fleet.claim(worker, entry.reserved, times);
		this.#quotas.changeClaimed(entry.job.spec.team, entry.reserved, times);
	}

	#allocateAll({places}: Reservation): boolean {
		const needs = new Map<WorkerEntry, Resources>();
		for (const {entry, worker} of places) {
			const need = needs.get(worker) ?? createNoResources();
			addTo(need, entry.reserved);
			needs.set(worker, need);
		}

		for (const [worker, need] of needs) {
			if (!this.#fleet.fitsNow(worker, need)) {
				return false;
			}
		}

		for (const {entry, worker} of places) {
			this.#changeClaim({entry, worker}, -1);
			this.#fleet.allocate(worker, entry);
		}

		return true;
	}
}
