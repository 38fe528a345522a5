/**
Which class may take the next slot: checks first, with a reserve for long requests that is lent while none waits.
*/
import {type Clock} from '../types/clock.ts';
import {RequestClass} from '../types/requests.ts';
import {createClassCounts, LevelMean, type ClassCounts} from './admission-load.ts';

/** What the turns depend on. */
export type TurnOptions = {
	clock: Clock;
	/** Share of the slots kept for long requests while any wait. */
	longShare: number;
	/** Slots of the service's upstreams that are free for this entry now. */
	getFreeSlots(): number;
};

/** Below so many slots none is kept idle for checks. */
const smallestHeadroomSlots = 4;
const capacityRefreshMs = 20;

/** Shares the slots of one service between the classes. */
export class ClassTurns {
	readonly inFlight: ClassCounts = createClassCounts();
	readonly #options: TurnOptions;
	readonly #checkLoad: LevelMean;
	#waiting: ClassCounts = createClassCounts();
	#freeSlots = 0;
	#freeSlotsAtMs = Number.NEGATIVE_INFINITY;
	#longTurns = 0;

	constructor(options: TurnOptions) {
		this.#options = options;
		this.#checkLoad = new LevelMean(options.clock.monotonicMs());
	}

	setWaiting(waiting: ClassCounts): void {
		this.#waiting = waiting;
		this.#noteCheckLevel();
	}

	/** A request is about to start: counted first, because it may end within the call that starts it. */
	beginStart(requestClass: RequestClass): void {
		this.inFlight[requestClass]++;
		this.#freeSlots--;
		this.#noteCheckLevel();
	}

	/** It has started, and used up a turn. */
	noteStart(requestClass: RequestClass): void {
		if (requestClass === RequestClass.Long) {
			this.#longTurns = 0;
		} else if (this.#waiting.long > 0) {
			this.#longTurns += this.#options.longShare;
		}
	}

	/** No slot was there after all. */
	undoStart(requestClass: RequestClass): void {
		this.inFlight[requestClass]--;
		this.#freeSlots++;
		this.#noteCheckLevel();
	}

	noteEnd(requestClass: RequestClass): void {
		this.inFlight[requestClass]--;
		this.#freeSlots++;
		this.#noteCheckLevel();
	}

	/**
	Classes in their turn: long requests within their reserve, then checks, then long requests on what is spare.
	The second is for when no upstream that is free now will do for the first.
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

	/** Slots that serve the class while the other takes all it may. */
	getServingSlots(requestClass: RequestClass): number {
		const slots = this.#getSlots();
		const serving = requestClass === RequestClass.Long
			? Math.max(this.#getReserve(), slots - this.#getHeadroom())
			: slots - Math.max(this.inFlight.long, this.#waiting.long > 0 ? this.#getReserve() : 0);
		return Math.max(1, serving);
	}

	#isWithinReserve(): boolean {
		const reserve = this.#getReserve();
		// Too few slots to keep one aside: a share of the turns keeps long requests from waiting for ever.
		return reserve === 0 ? this.#longTurns >= 1 : this.inFlight.long < reserve;
	}

	#getReserve(): number {
		return Math.floor(this.#getSlots() * this.#options.longShare);
	}

	/** Slots that long requests leave to checks: what these keep busy, and the square root of it for its swings. */
	#getHeadroom(): number {
		const slots = this.#getSlots();
		if (slots < smallestHeadroomSlots) {
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

	#noteCheckLevel(): void {
		this.#checkLoad.set(this.inFlight.check + this.#waiting.check, this.#options.clock.monotonicMs());
	}
}
