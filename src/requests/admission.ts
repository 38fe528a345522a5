/**
Admission of one service's requests: two classes, bounded fair queues, and refusal at the door of what cannot be met.
*/
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';
import {RefusalReason, RequestClass} from '../types/requests.ts';
import {
	createInFlight, HoldTime, LevelMean, type InFlight,
} from './admission-load.ts';
import {DeadlineHeap} from './deadline-heap.ts';
import {FairQueue, type GetWeight} from './fair-queue.ts';

/** A refusal: why, and when to come back. */
export type Refusal = {
	reason: RefusalReason;
	retryAfterMs: number;
};

/** One request that asks to be dispatched. */
export type Ticket = {
	requestClass: RequestClass;
	callerId: string;
	arrivedAtMs: number;
	/** On the monotonic clock. */
	deadlineAtMs: number;
	/** Takes a slot and starts; false when no slot is free. */
	tryStart(): boolean;
	/** The request was not run and will not be. */
	refuse(refusal: Refusal): void;
};

/** Bounds and shares; fractions are from 0 to 1. */
export type AdmissionLimits = {
	/** Longest queue of each class. */
	queueLimit: number;
	/** Share of the slots kept for long requests while any wait. */
	longShare: number;
	/** Share of the time left after the expected run that may be spent in the queue. */
	waitShare: number;
};

/** What admission is created with. */
export type AdmissionOptions = {
	clock: Clock;
	random: Random;
	limits: AdmissionLimits;
	getWeight?: GetWeight;
	/** Slots of the service's upstreams that are free for this entry now. */
	getFreeSlots(): number;
	/** Told whenever the number of waiting requests changes. */
	onWaiting?(waiting: number): void;
};

/** Below so many slots none is kept idle for checks. */
const smallestHeadroomSlots = 4;
const capacityRefreshMs = 20;
const minRetryAfterMs = 50;
/** Largest part of a request's whole time that its expected run may count as. */
const maxRunShare = 0.5;

/** Admits the requests of one service. */
export class Admission {
	readonly #options: AdmissionOptions;
	readonly #queues: Record<RequestClass, FairQueue<Ticket>>;
	readonly #holds = {[RequestClass.Check]: new HoldTime(), [RequestClass.Long]: new HoldTime()};
	readonly #inFlight: InFlight = createInFlight();
	readonly #checkLoad: LevelMean;
	readonly #deadlines: DeadlineHeap<Ticket>;
	/** Requests to be tried again; they were admitted before and go first. */
	readonly #again = new Set<Ticket>();
	readonly #queued = new Set<Ticket>();
	#freeSlots = 0;
	#freeSlotsAtMs = Number.NEGATIVE_INFINITY;
	#longTurns = 0;
	#toldWaiting = 0;
	#isPumping = false;
	#isClosed = false;

	constructor(options: AdmissionOptions) {
		const {clock, getWeight} = options;
		this.#options = options;
		this.#queues = {[RequestClass.Check]: new FairQueue(getWeight), [RequestClass.Long]: new FairQueue(getWeight)};
		this.#checkLoad = new LevelMean(clock.monotonicMs());
		this.#deadlines = new DeadlineHeap<Ticket>({
			clock,
			isWaiting: ticket => this.#queued.has(ticket),
			onDue: ticket => {
				this.#expire(ticket);
			},
		});
	}

	/** Starts the request, queues it, or refuses it, at once. */
	submit(ticket: Ticket): void {
		if (this.#isClosed) {
			ticket.refuse({reason: RefusalReason.ShuttingDown, retryAfterMs: minRetryAfterMs});
			return;
		}

		// Fast path: nobody waits.
		if (this.#queued.size === 0 && this.#mayStart(ticket.requestClass) && this.#start(ticket)) {
			return;
		}

		const refusal = this.#judge(ticket);
		if (refusal) {
			ticket.refuse(refusal);
			return;
		}

		this.#queues[ticket.requestClass].push(ticket);
		this.#wait(ticket);
		this.wake();
	}

	/** Queues a request whose earlier try provably did not run, before all others. */
	resubmit(ticket: Ticket): void {
		if (this.#isClosed) {
			ticket.refuse({reason: RefusalReason.ShuttingDown, retryAfterMs: minRetryAfterMs});
			return;
		}

		this.#again.add(ticket);
		this.#wait(ticket);
		this.wake();
	}

	/** Drops a waiting request, as when its caller is gone. */
	leave(ticket: Ticket): void {
		if (this.#queued.has(ticket)) {
			this.#unqueue(ticket);
			this.#tellWaiting();
		}
	}

	/** A started request gave its slot back after so long. */
	noteEnd(requestClass: RequestClass, heldMs: number): void {
		this.#inFlight[requestClass]--;
		this.#holds[requestClass].add(heldMs);
		this.#freeSlots++;
		this.#noteCheckLevel();
		this.wake();
	}

	/** Starts what can be started; to be called when slots or upstreams may have come. */
	wake(): void {
		if (this.#isPumping) {
			return;
		}

		this.#isPumping = true;
		try {
			while (this.#startNext()) {
				// Each round starts one.
			}
		} finally {
			this.#isPumping = false;
		}

		this.#tellWaiting();
	}

	/** Refuses all that wait, and all that will come. */
	close(): void {
		this.#isClosed = true;
		this.#deadlines.stop();
		for (const ticket of this.#queued) {
			this.#unqueue(ticket);
			ticket.refuse({reason: RefusalReason.ShuttingDown, retryAfterMs: minRetryAfterMs});
		}

		this.#tellWaiting();
	}

	/** Figures for the status page. */
	getStatus() {
		return {
			waiting: {check: this.#queues.check.size, long: this.#queues.long.size, again: this.#again.size},
			inFlight: {...this.#inFlight},
			meanHoldMs: {check: this.#holds.check.meanMs, long: this.#holds.long.meanMs},
		};
	}

	/** Estimates how long one more request of the caller would wait. */
	estimateWaitMs(requestClass: RequestClass, callerId: string): number {
		const ahead = this.#queues[requestClass].getAhead(callerId) + this.#again.size;
		return (ahead + 1) * this.#holds[requestClass].meanMs / this.#getServingSlots(requestClass);
	}

	#judge(ticket: Ticket): Refusal | undefined {
		const {requestClass, callerId} = ticket;
		const {queueLimit, waitShare} = this.#options.limits;
		const queue = this.#queues[requestClass];
		const waitMs = this.estimateWaitMs(requestClass, callerId);
		const spareMs = ticket.deadlineAtMs - this.#options.clock.monotonicMs() - this.#getRunMs(ticket);
		const allowedMs = spareMs * waitShare;
		if (spareMs <= 0 || waitMs > allowedMs) {
			return this.#createRefusal(RefusalReason.DeadlineUnmeetable, waitMs - Math.max(0, allowedMs));
		}

		if (!queue.hasRoom(callerId, queueLimit)) {
			const reason = queue.size < queueLimit ? RefusalReason.CallerShare : RefusalReason.QueueFull;
			return this.#createRefusal(reason, waitMs / 2);
		}

		return undefined;
	}

	#createRefusal(reason: RefusalReason, retryAfterMs: number): Refusal {
		// Jitter: those refused together must not come back together.
		const spread = 1 + (this.#options.random.next() / 2);
		return {reason, retryAfterMs: Math.max(minRetryAfterMs, retryAfterMs) * spread};
	}

	/**
	Expected run of the request, but no more than a part of the time it came with. Guards against a shut door: with
	runs that once took longer than callers now allow, every request would be refused and no shorter run ever be measured.
	*/
	#getRunMs({requestClass, arrivedAtMs, deadlineAtMs}: Ticket): number {
		return Math.min(this.#holds[requestClass].meanMs, maxRunShare * (deadlineAtMs - arrivedAtMs));
	}

	#wait(ticket: Ticket): void {
		this.#queued.add(ticket);
		// After this instant the request would be given up before its answer came.
		this.#deadlines.add(ticket, ticket.deadlineAtMs - this.#getRunMs(ticket), this.#queued.size);
		this.#noteCheckLevel();
	}

	#unqueue(ticket: Ticket, isServed = false): void {
		this.#queued.delete(ticket);
		if (!this.#again.delete(ticket)) {
			this.#queues[ticket.requestClass].remove(ticket, isServed);
		}

		this.#noteCheckLevel();
	}

	#expire(ticket: Ticket): void {
		this.#unqueue(ticket);
		const waitMs = this.estimateWaitMs(ticket.requestClass, ticket.callerId);
		ticket.refuse(this.#createRefusal(RefusalReason.DeadlinePassed, waitMs));
		this.#tellWaiting();
	}

	#startNext(): boolean {
		for (const ticket of this.#again) {
			if (this.#startQueued(ticket)) {
				return true;
			}
		}

		const requestClass = this.#getNextClass();
		const ticket = requestClass && this.#queues[requestClass].peek();
		return ticket !== undefined && this.#startQueued(ticket);
	}

	#startQueued(ticket: Ticket): boolean {
		if (!this.#start(ticket)) {
			return false;
		}

		this.#unqueue(ticket, true);
		return true;
	}

	#start(ticket: Ticket): boolean {
		const {requestClass} = ticket;
		this.#inFlight[requestClass]++;
		if (!ticket.tryStart()) {
			this.#inFlight[requestClass]--;
			return false;
		}

		this.#freeSlots--;
		this.#noteCheckLevel();
		if (requestClass === RequestClass.Long) {
			this.#longTurns = 0;
		} else if (this.#queues.long.size > 0) {
			this.#longTurns += this.#options.limits.longShare;
		}

		return true;
	}

	/** Class whose turn it is: long requests within their reserve, then checks, then long requests on what is spare. */
	#getNextClass(): RequestClass | undefined {
		const isLongWaiting = this.#queues.long.size > 0;
		if (isLongWaiting && this.#isWithinReserve()) {
			return RequestClass.Long;
		}

		if (this.#queues.check.size > 0) {
			return this.#mayStart(RequestClass.Check) ? RequestClass.Check : undefined;
		}

		return isLongWaiting && this.#mayStart(RequestClass.Long) ? RequestClass.Long : undefined;
	}

	#isWithinReserve(): boolean {
		const reserve = this.#getReserve();
		// Too few slots to keep one aside: a share of the turns keeps long requests from waiting for ever.
		return reserve === 0 ? this.#longTurns >= 1 : this.#inFlight.long < reserve;
	}

	#mayStart(requestClass: RequestClass): boolean {
		if (requestClass === RequestClass.Long) {
			return this.#isWithinReserve() || this.#inFlight.long < this.#getSlots() - this.#getHeadroom();
		}

		if (this.#queues.long.size === 0) {
			return true;
		}

		const unusedReserve = Math.max(0, this.#getReserve() - this.#inFlight.long);
		return unusedReserve === 0 || this.#getSlots() - this.#inFlight.long - this.#inFlight.check > unusedReserve;
	}

	#getServingSlots(requestClass: RequestClass): number {
		const slots = this.#getSlots();
		const serving = requestClass === RequestClass.Long
			? Math.max(this.#getReserve(), slots - this.#getHeadroom())
			: slots - Math.max(this.#inFlight.long, this.#queues.long.size > 0 ? this.#getReserve() : 0);
		return Math.max(1, serving);
	}

	#getReserve(): number {
		return Math.floor(this.#getSlots() * this.#options.limits.longShare);
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

		return Math.max(0, this.#freeSlots) + this.#inFlight.check + this.#inFlight.long;
	}

	#noteCheckLevel(): void {
		this.#checkLoad.set(this.#inFlight.check + this.#queues.check.size, this.#options.clock.monotonicMs());
	}

	#tellWaiting(): void {
		if (this.#toldWaiting !== this.#queued.size) {
			this.#toldWaiting = this.#queued.size;
			this.#options.onWaiting?.(this.#toldWaiting);
		}
	}
}
