/**
Room kept for tasks that wait for it: urgent work behind evictions, gangs and large tasks behind ends.

A reservation names a worker for each of its tasks at once, and nothing waits while it holds only a part: two gangs
cannot block each other by each holding half of what they need.
*/
import {type Resources} from '../types/platform.ts';
import {type Fleet} from './placement-fleet.ts';
import {addTo, createNone} from './placement-resources.ts';
import {
	isAvailable, TaskPhase, type JobEntry, type TaskEntry, type WorkerEntry,
} from './placement-state.ts';
import {type WaitingQueue} from './placement-queue.ts';
import {type QuotaLedger} from './quota-ledger.ts';

const avoidMs = 5000;

/** A task and the worker that is to take it. */
export type Place = {
	entry: TaskEntry;
	worker: WorkerEntry;
};

/** Places kept together. They start together. */
export type Reservation = {
	job: JobEntry;
	places: Place[];
	deadlineMs: number;
	/** Waits for tasks to end by themselves; urgent work goes before it. */
	isPassive: boolean;
};

/** Reservations in the order in which they were made. */
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

	/** Keeps room for the tasks, which leave the queue. */
	reserve(reservation: Reservation): void {
		const {places} = reservation;
		for (const {entry, worker} of places) {
			this.#queue.remove(entry);
			entry.phase = TaskPhase.Claiming;
			this.#claim({entry, worker}, 1);
		}

		this.#all.add(reservation);
	}

	/** Starts the tasks of every reservation of the sort whose room is free by now. */
	startReady(isPassive: boolean, start: (entry: TaskEntry, worker: WorkerEntry) => void): void {
		for (const reservation of this.#all) {
			if (reservation.isPassive === isPassive && this.#takeAll(reservation)) {
				this.#all.delete(reservation);
				for (const {entry, worker} of reservation.places) {
					start(entry, worker);
				}
			}
		}
	}

	/** Gives up reservations past their deadline or with a worker that takes nothing; their tasks wait again, in front. */
	giveUp(nowMs: number): void {
		for (const reservation of this.#all) {
			if (reservation.deadlineMs <= nowMs) {
				this.#avoid(reservation, nowMs);
				this.#release(reservation);
			} else if (reservation.places.some(({worker}) => !isAvailable(worker))) {
				this.#release(reservation);
			}
		}
	}

	/** Tells whether any waits for tasks to end by themselves. */
	hasPassive(): boolean {
		return [...this.#all].some(({isPassive}) => isPassive);
	}

	/** Gives up all that waits for ends by themselves; returns whether there was any. */
	cancelPassive(): boolean {
		const passive = [...this.#all].filter(({isPassive}) => isPassive);
		for (const reservation of passive) {
			this.#release(reservation);
		}

		return passive.length > 0;
	}

	/** Gives up what is kept for the job; its tasks wait again. */
	cancelJob(job: JobEntry): void {
		for (const reservation of this.#all) {
			if (reservation.job === job) {
				this.#release(reservation);
			}
		}
	}

	/** Drops the task from its reservation; the others of it wait again. */
	cancel(entry: TaskEntry): void {
		for (const reservation of this.#all) {
			if (reservation.places.some(place => place.entry === entry)) {
				this.#release(reservation);
				return;
			}
		}
	}

	/** Evictions that were not confirmed in time hold up the next attempt just the same: it goes elsewhere. */
	#avoid({places}: Reservation, nowMs: number): void {
		for (const {entry, worker} of places) {
			if (!this.#fleet.hasRoomNow(worker, entry.reserved)) {
				worker.avoidUntilMs = Math.max(worker.avoidUntilMs, nowMs + avoidMs);
			}
		}
	}

	#release(reservation: Reservation): void {
		this.#all.delete(reservation);
		for (const {entry, worker} of reservation.places.toReversed()) {
			this.#claim({entry, worker}, -1);
			this.#queue.putBack(entry);
		}
	}

	#claim({entry, worker}: Place, times: 1 | -1): void {
		this.#fleet.claim(worker, entry.reserved, times);
		this.#quotas.changeClaimed(entry.job.spec.team, entry.reserved, times);
	}

	#takeAll({places}: Reservation): boolean {
		const needs = new Map<WorkerEntry, Resources>();
		for (const {entry, worker} of places) {
			const need = needs.get(worker) ?? createNone();
			addTo(need, entry.reserved);
			needs.set(worker, need);
		}

		for (const [worker, need] of needs) {
			if (!this.#fleet.hasRoomNow(worker, need)) {
				return false;
			}
		}

		for (const {entry, worker} of places) {
			this.#claim({entry, worker}, -1);
			this.#fleet.take(worker, entry);
		}

		return true;
	}
}
