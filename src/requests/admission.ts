/**
Admission of one service's requests: two classes, bounded fair queues, and refusal at the door of what cannot be met.
*/
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';
import {RefusalReason, RequestClass} from '../types/requests.ts';
import {ClassTurns} from './admission-turns.ts';
import {createClassCounts, HoldTime, type ClassCounts} from './admission-load.ts';
import {DeadlineHeap} from './deadline-heap.ts';
import {FairQueue, type GetWeight} from './fair-queue.ts';

/** A refusal: why, and when to come back. */
export type Refusal = {
	reason: RefusalReason;
	retryAfterMs: number;
};

/** What admission judges a request by. Times are on the monotonic clock. */
export type Admissible = {
	requestClass: RequestClass;
	callerId: string;
	arrivedAtMs: number;
	deadlineAtMs: number;
};

/** One request that asks to be dispatched. */
export type Ticket = Admissible & {
	/** Takes a slot and starts; false when no slot is free. */
	tryStart(): boolean;
	/** The request was not run and will not be. */
	refuse(refusal: Refusal): void;
};

/** Bounds and shares; fractions are from 0 to 1. */
export type AdmissionLimits = {
	/** Longest queue of checks. */
	queueLimit: number;
	/** Longest queue of long requests; without it, that of checks. */
	longQueueLimit?: number;
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

const minRetryAfterMs = 50;
/** Largest part of a request's whole time that its expected run may count as. */
const maxRunShare = 0.5;

/** Admits the requests of one service. */
export class Admission {
	readonly #options: AdmissionOptions;
	readonly #queues: Record<RequestClass, FairQueue<Ticket>>;
	readonly #holds = {[RequestClass.Check]: new HoldTime(), [RequestClass.Long]: new HoldTime()};
	readonly #turns: ClassTurns;
	readonly #deadlines: DeadlineHeap<Ticket>;
	/** Requests to be tried again; they were admitted before and go first. */
	readonly #again = new Set<Ticket>();
	readonly #queued = new Set<Ticket>();
	/** Places kept for requests that will be submitted shortly. */
	readonly #reserved: ClassCounts = createClassCounts();
	#toldWaiting = 0;
	#isPumping = false;
	#isClosed = false;

	constructor(options: AdmissionOptions) {
		const {clock, getWeight} = options;
		this.#options = options;
		this.#queues = {[RequestClass.Check]: new FairQueue(getWeight), [RequestClass.Long]: new FairQueue(getWeight)};
		this.#turns = new ClassTurns({clock, longShare: options.limits.longShare, getFreeSlots: () => options.getFreeSlots()});
		this.#deadlines = new DeadlineHeap<Ticket>({
			clock,
			isWaiting: ticket => this.#queued.has(ticket),
			onDue: ticket => {
				this.#expire(ticket);
			},
		});
	}

	/** Tells why the request would be refused now, or undefined when it would be started or queued. */
	findRefusal(request: Admissible): Refusal | undefined {
		if (this.#isClosed) {
			return {reason: RefusalReason.ShuttingDown, retryAfterMs: minRetryAfterMs};
		}

		if (request.deadlineAtMs <= this.#options.clock.monotonicMs()) {
			return this.#createRefusal(RefusalReason.DeadlinePassed, 0);
		}

		return this.#isStartable(request.requestClass) ? undefined : this.#judge(request);
	}

	/** Keeps a place in the queue, or gives it back: for requests that have something to wait for before they are submitted. */
	reserve(requestClass: RequestClass, count: 1 | -1): void {
		this.#reserved[requestClass] += count;
	}

	/** Starts the request, queues it, or refuses it, at once. */
	submit(ticket: Ticket): void {
		const isOpen = !this.#isClosed && ticket.deadlineAtMs > this.#options.clock.monotonicMs();
		// Fast path: nobody waits.
		if (isOpen && this.#isStartable(ticket.requestClass) && this.#start(ticket)) {
			return;
		}

		const refusal = isOpen ? this.#judge(ticket) : this.findRefusal(ticket);
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
		this.#turns.noteEnd(requestClass);
		this.#holds[requestClass].add(heldMs);
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
			inFlight: {...this.#turns.inFlight},
			meanHoldMs: {check: this.#holds.check.meanMs, long: this.#holds.long.meanMs},
		};
	}

	/** Estimates how long one more request of the caller would wait. */
	estimateWaitMs(requestClass: RequestClass, callerId: string): number {
		const ahead = this.#queues[requestClass].getAhead(callerId) + this.#again.size + this.#reserved[requestClass];
		return (ahead + 1) * this.#holds[requestClass].meanMs / this.#turns.getServingSlots(requestClass);
	}

	#isStartable(requestClass: RequestClass): boolean {
		return this.#queued.size === 0 && this.#turns.mayStart(requestClass);
	}

	#judge(ticket: Admissible): Refusal | undefined {
		const {requestClass, callerId} = ticket;
		const {limits} = this.#options;
		const queueLimit = requestClass === RequestClass.Long ? limits.longQueueLimit ?? limits.queueLimit : limits.queueLimit;
		const queue = this.#queues[requestClass];
		const waitMs = this.estimateWaitMs(requestClass, callerId);
		const spareMs = ticket.deadlineAtMs - this.#options.clock.monotonicMs() - this.#getRunMs(ticket);
		const allowedMs = spareMs * limits.waitShare;
		if (spareMs <= 0 || waitMs > allowedMs) {
			return this.#createRefusal(RefusalReason.DeadlineUnmeetable, waitMs - Math.max(0, allowedMs));
		}

		if (!queue.hasRoom(callerId, queueLimit - this.#reserved[requestClass])) {
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
	#getRunMs({requestClass, arrivedAtMs, deadlineAtMs}: Admissible): number {
		return Math.min(this.#holds[requestClass].meanMs, maxRunShare * (deadlineAtMs - arrivedAtMs));
	}

	#wait(ticket: Ticket): void {
		this.#queued.add(ticket);
		// After this instant the request would be given up before its answer came.
		this.#deadlines.add(ticket, ticket.deadlineAtMs - this.#getRunMs(ticket), this.#queued.size);
		this.#noteWaiting();
	}

	#unqueue(ticket: Ticket, isServed = false): void {
		this.#queued.delete(ticket);
		if (!this.#again.delete(ticket)) {
			this.#queues[ticket.requestClass].remove(ticket, isServed);
		}

		this.#noteWaiting();
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

		return this.#turns.getNextClasses().some(requestClass => {
			const ticket = this.#queues[requestClass].peek();
			return ticket !== undefined && this.#startQueued(ticket);
		});
	}

	#startQueued(ticket: Ticket): boolean {
		// A process that was paused may get here before the timer of the deadline fires.
		if (ticket.deadlineAtMs <= this.#options.clock.monotonicMs()) {
			this.#expire(ticket);
			return true;
		}

		if (!this.#start(ticket)) {
			return false;
		}

		this.#unqueue(ticket, true);
		return true;
	}

	#start(ticket: Ticket): boolean {
		this.#turns.beginStart(ticket.requestClass);
		if (ticket.tryStart()) {
			this.#turns.noteStart(ticket.requestClass);
			return true;
		}

		this.#turns.undoStart(ticket.requestClass);
		return false;
	}

	#noteWaiting(): void {
		this.#turns.setWaiting({check: this.#queues.check.size, long: this.#queues.long.size});
	}

	#tellWaiting(): void {
		if (this.#toldWaiting !== this.#queued.size) {
			this.#toldWaiting = this.#queued.size;
			this.#options.onWaiting?.(this.#toldWaiting);
		}
	}
}
