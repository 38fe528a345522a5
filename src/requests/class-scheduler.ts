/**
Decides which class may take the next slot: checks first, with slots reserved for long requests that checks may use while no long request waits.
*/
import {type Clock} from '../types/clock.ts';
import {RequestClass} from '../types/requests.ts';
import {createClassCounts, TimeWeightedMean, type ClassCounts} from './admission-load.ts';

/** Dependencies and settings of a class scheduler. */
export type ClassSchedulerOptions = {
	clock: Clock;
	/** Share of the slots reserved for long requests while any are waiting. */
	longShare: number;
	/** Slots of the service's upstreams that this entry can take now. */
	getFreeSlots(): number;
};

/** With fewer slots than this, long requests leave none free for checks. */
const minSlotsForHeadroom = 4;
const capacityRefreshMs = 20;

/** Shares the slots of one service between the classes. */
export class ClassScheduler {
	readonly inFlight: ClassCounts = createClassCounts();
	readonly #options: ClassSchedulerOptions;
	readonly #checkLoad: TimeWeightedMean;
	#waiting: ClassCounts = createClassCounts();
	#freeSlots = 0;
	#freeSlotsAtMs = Number.NEGATIVE_INFINITY;
	#longCredit = 0;

	constructor(options: ClassSchedulerOptions) {
		this.#options = options;
		this.#checkLoad = new TimeWeightedMean(options.clock.monotonicMs());
	}

	setWaiting(waiting: ClassCounts): void {
		this.#waiting = waiting;
		this.#updateCheckLoad();
	}

	/** Counts a request before it starts, because it may end within the call that starts it. */
	beginStart(requestClass: RequestClass): void {
		this.inFlight[requestClass]++;
		this.#freeSlots--;
		this.#updateCheckLoad();
	}

	/** Updates the credit of long requests after a request has started. */
	confirmStart(requestClass: RequestClass): void {
		if (requestClass === RequestClass.Long) {
			this.#longCredit = 0;
		} else if (this.#waiting.long > 0) {
			this.#longCredit += this.#options.longShare;
		}
	}

	/** Reverts `beginStart` when the request found no free slot. */
	undoStart(requestClass: RequestClass): void {
		this.inFlight[requestClass]--;
		this.#freeSlots++;
		this.#updateCheckLoad();
	}

	recordEnd(requestClass: RequestClass): void {
		this.inFlight[requestClass]--;
		this.#freeSlots++;
		this.#updateCheckLoad();
	}

	/**
	Classes that may start, by priority: long requests within their reserve, then checks, then long requests on other free slots.
	The second class is used when no upstream with a free slot is acceptable for the first.
	*/
	getNextClasses(): RequestClass[] {
		const isLongWaiting = this.#waiting.long > 0;
		const classes: RequestClass[] = [];
		if (this.#waiting.check > 0 && this.mayStart(RequestClass.Check)) {
			classes.push(RequestClass.Check);
		}

		if (isLongWaiting && this.#isWithinReserve()) {
			classes.unshift(RequestClass.Long);
		} else if (isLongWaiting && this.mayStart(RequestClass.Long)) {
			classes.push(RequestClass.Long);
		}

		return classes;
	}

	mayStart(requestClass: RequestClass): boolean {
		if (requestClass === RequestClass.Long) {
			return this.#isWithinReserve() || this.inFlight.long < this.#getSlots() - this.#getHeadroom();
		}

		if (this.#waiting.long === 0) {
			return true;
		}

		const unusedReserve = Math.max(0, this.#getReserve() - this.inFlight.long);
		return unusedReserve === 0 || this.#getSlots() - this.inFlight.long - this.inFlight.check > unusedReserve;
	}

	/** Slots available to the class while the other class takes as many as it may. */
	getAvailableSlots(requestClass: RequestClass): number {
		const slots = this.#getSlots();
		const available = requestClass === RequestClass.Long
			? Math.max(this.#getReserve(), slots - this.#getHeadroom())
			: slots - Math.max(this.inFlight.long, this.#waiting.long > 0 ? this.#getReserve() : 0);
		return Math.max(1, available);
	}

	#isWithinReserve(): boolean {
		const reserve = this.#getReserve();
		// With too few slots to reserve one, a share of the starts goes to long requests, so that they do not wait for ever.
		return reserve === 0 ? this.#longCredit >= 1 : this.inFlight.long < reserve;
	}

	#getReserve(): number {
		return Math.floor(this.#getSlots() * this.#options.longShare);
	}

	/** Slots that long requests leave free for checks: the mean number that checks occupy, plus its square root for fluctuations. */
	#getHeadroom(): number {
		const slots = this.#getSlots();
		if (slots < minSlotsForHeadroom) {
			return 0;
		}

		const load = this.#checkLoad.getMean(this.#options.clock.monotonicMs());
		return Math.min(slots - Math.max(1, this.#getReserve()), Math.max(1, Math.ceil(load + Math.sqrt(load))));
	}

	#getSlots(): number {
		const nowMs = this.#options.clock.monotonicMs();
		if (nowMs - this.#freeSlotsAtMs >= capacityRefreshMs) {
			this.#freeSlots = this.#options.getFreeSlots();
			this.#freeSlotsAtMs = nowMs;
		}

		return Math.max(0, this.#freeSlots) + this.inFlight.check + this.inFlight.long;
	}

	#updateCheckLoad(): void {
		this.#checkLoad.set(this.inFlight.check + this.#waiting.check, this.#options.clock.monotonicMs());
	}
}
