/**
Admission control for one service: two request classes, bounded fair queues, and early refusal of requests that cannot meet their deadline.
*/
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';
import {RefusalReason, RequestClass} from '../types/requests.ts';
import {ClassScheduler} from './class-scheduler.ts';
import {createClassCounts, MeanHoldTime, type ClassCounts} from './admission-load.ts';
import {DeadlineHeap} from './deadline-heap.ts';
import {FairQueue, type GetWeight} from './fair-queue.ts';

/** Why a request is refused, and after how long the caller may retry. */
export type Refusal = {
	reason: RefusalReason;
	retryAfterMs: number;
};

/** Attributes of a request that decide its admission. Times are on the monotonic clock. */
export type AdmissionRequest = {
	requestClass: RequestClass;
	callerId: string;
	arrivedAtMs: number;
	deadlineAtMs: number;
};

/** A request to be dispatched. */
export type Ticket = AdmissionRequest & {
	/** Takes a slot and starts the request; false when no slot is free. */
	tryStart(): boolean;
	/** Called when the request leaves the queue, or is not queued at all, without being started. */
	refuse(refusal: Refusal): void;
};

/** Queue limits and shares; shares are from 0 to 1. */
export type AdmissionLimits = {
	/** Maximum number of queued checks. */
	queueLimit: number;
	/** Maximum number of queued long requests; `queueLimit` if not set. */
	longQueueLimit?: number;
	/** Share of the slots reserved for long requests while any are waiting. */
	longShare: number;
	/** Share of the time until the deadline, less the expected run time, that a request may spend in the queue. */
	waitShare: number;
};

/** Dependencies and limits of an admission. */
export type AdmissionOptions = {
	clock: Clock;
	random: Random;
	limits: AdmissionLimits;
	getWeight?: GetWeight;
	/** Slots of the service's upstreams that this entry can take now. */
	getFreeSlots(): number;
	/** Called whenever the number of waiting requests changes. */
	onWaitingChange?(waiting: number): void;
};

const minRetryAfterMs = 50;
/** Upper bound of the expected run time, as a share of the time between a request's arrival and its deadline. */
const maxRunShare = 0.5;

/** Admits the requests of one service. */
export class Admission {
	readonly #options: AdmissionOptions;
	readonly #queues: Record<RequestClass, FairQueue<Ticket>>;
	readonly #holdTimes = {[RequestClass.Check]: new MeanHoldTime(), [RequestClass.Long]: new MeanHoldTime()};
	readonly #classScheduler: ClassScheduler;
	readonly #deadlines: DeadlineHeap<Ticket>;
	/** Requests that wait for another attempt; they start before all others. */
	readonly #resubmitted = new Set<Ticket>();
	readonly #queued = new Set<Ticket>();
	/** Queue places reserved for requests that will be submitted shortly. */
	readonly #reserved: ClassCounts = createClassCounts();
	#reportedWaiting = 0;
	#isStartingWaiting = false;
	#isClosed = false;

	constructor(options: AdmissionOptions) {
		const {clock, getWeight} = options;
		this.#options = options;
		this.#queues = {[RequestClass.Check]: new FairQueue(getWeight), [RequestClass.Long]: new FairQueue(getWeight)};
		this.#classScheduler = new ClassScheduler({clock, longShare: options.limits.longShare, getFreeSlots: () => options.getFreeSlots()});
		this.#deadlines = new DeadlineHeap<Ticket>({
			clock,
			isWaiting: ticket => this.#queued.has(ticket),
			onDue: ticket => {
				this.#expire(ticket);
			},
		});
	}

	/** Returns why the request would be refused now, or undefined if it would be started or queued. */
	findRefusal(request: AdmissionRequest): Refusal | undefined {
		if (this.#isClosed) {
			return {reason: RefusalReason.ShuttingDown, retryAfterMs: minRetryAfterMs};
		}

		if (request.deadlineAtMs <= this.#options.clock.monotonicMs()) {
			return this.#createRefusal(RefusalReason.DeadlinePassed, 0);
		}

		return this.#isStartable(request.requestClass) ? undefined : this.#findQueueRefusal(request);
	}

	/** Reserves (1) or releases (-1) a queue place for a request that cannot be submitted yet, for example until its claim is stored. */
	reserve(requestClass: RequestClass, count: 1 | -1): void {
		this.#reserved[requestClass] += count;
	}

	/** Starts, queues or refuses the request immediately. */
	submit(ticket: Ticket): void {
		const isOpen = !this.#isClosed && ticket.deadlineAtMs > this.#options.clock.monotonicMs();
		// Fast path: the queues are empty.
		if (isOpen && this.#isStartable(ticket.requestClass) && this.#start(ticket)) {
			return;
		}

		const refusal = isOpen ? this.#findQueueRefusal(ticket) : this.findRefusal(ticket);
		if (refusal) {
			ticket.refuse(refusal);
			return;
		}

		this.#queues[ticket.requestClass].push(ticket);
		this.#trackWaiting(ticket);
		this.startWaiting();
	}

	/** Queues a request for another attempt, ahead of all requests that have not been attempted. */
	resubmit(ticket: Ticket): void {
		if (this.#isClosed) {
			ticket.refuse({reason: RefusalReason.ShuttingDown, retryAfterMs: minRetryAfterMs});
			return;
		}

		this.#resubmitted.add(ticket);
		this.#trackWaiting(ticket);
		this.startWaiting();
	}

	/** Removes a waiting request without refusing it, for example when its caller has disconnected. */
	cancel(ticket: Ticket): void {
		if (this.#queued.has(ticket)) {
			this.#dequeue(ticket);
			this.#reportWaiting();
		}
	}

	/** Records that a started request released its slot after `heldMs`, and starts waiting requests. */
	recordEnd(requestClass: RequestClass, heldMs: number): void {
		this.#classScheduler.recordEnd(requestClass);
		this.#holdTimes[requestClass].add(heldMs);
		this.startWaiting();
	}

	/** Starts as many waiting requests as possible; called when slots or upstreams may have become available. */
	startWaiting(): void {
		if (this.#isStartingWaiting) {
			return;
		}

		this.#isStartingWaiting = true;
		try {
			while (this.#startNext()) {
				// Each iteration starts one request.
			}
		} finally {
			this.#isStartingWaiting = false;
		}

		this.#reportWaiting();
	}

	/** Refuses all waiting requests and all later ones. */
	close(): void {
		this.#isClosed = true;
		this.#deadlines.stop();
		for (const ticket of this.#queued) {
			this.#dequeue(ticket);
			ticket.refuse({reason: RefusalReason.ShuttingDown, retryAfterMs: minRetryAfterMs});
		}

		this.#reportWaiting();
	}

	/** Queue lengths, requests in flight and mean hold times for the status page. */
	getStatus() {
		return {
			waiting: {check: this.#queues.check.size, long: this.#queues.long.size, again: this.#resubmitted.size},
			inFlight: {...this.#classScheduler.inFlight},
			meanHoldMs: {check: this.#holdTimes.check.meanMs, long: this.#holdTimes.long.meanMs},
		};
	}

	/** Estimates how long another request of the caller would wait. */
	estimateWaitMs(requestClass: RequestClass, callerId: string): number {
		const ahead = this.#queues[requestClass].countAhead(callerId) + this.#resubmitted.size + this.#reserved[requestClass];
		return (ahead + 1) * this.#holdTimes[requestClass].meanMs / this.#classScheduler.getAvailableSlots(requestClass);
	}

	#isStartable(requestClass: RequestClass): boolean {
		return this.#queued.size === 0 && this.#classScheduler.mayStart(requestClass);
	}

	#findQueueRefusal(ticket: AdmissionRequest): Refusal | undefined {
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

		if (!queue.mayPush(callerId, queueLimit - this.#reserved[requestClass])) {
			const reason = queue.size < queueLimit ? RefusalReason.CallerShare : RefusalReason.QueueFull;
			return this.#createRefusal(reason, waitMs / 2);
		}

		return undefined;
	}

	#createRefusal(reason: RefusalReason, retryAfterMs: number): Refusal {
		// Jitter: requests that are refused together must not be retried together.
		const spread = 1 + (this.#options.random.next() / 2);
		return {reason, retryAfterMs: Math.max(minRetryAfterMs, retryAfterMs) * spread};
	}

	/**
	Expected run time of the request, capped at a share of the time between its arrival and its deadline. Without the cap,
	a mean above the deadlines that callers set would refuse every request, and no shorter run would be measured to correct it.
	*/
	#getRunMs({requestClass, arrivedAtMs, deadlineAtMs}: AdmissionRequest): number {
		return Math.min(this.#holdTimes[requestClass].meanMs, maxRunShare * (deadlineAtMs - arrivedAtMs));
	}

	#trackWaiting(ticket: Ticket): void {
		this.#queued.add(ticket);
		// A request started after this time is expected to miss its deadline.
		this.#deadlines.add(ticket, ticket.deadlineAtMs - this.#getRunMs(ticket), this.#queued.size);
		this.#updateWaiting();
	}

	#dequeue(ticket: Ticket, isServed = false): void {
		this.#queued.delete(ticket);
		if (!this.#resubmitted.delete(ticket)) {
			this.#queues[ticket.requestClass].remove(ticket, isServed);
		}

		this.#updateWaiting();
	}

	#expire(ticket: Ticket): void {
		this.#dequeue(ticket);
		const waitMs = this.estimateWaitMs(ticket.requestClass, ticket.callerId);
		ticket.refuse(this.#createRefusal(RefusalReason.DeadlinePassed, waitMs));
		this.#reportWaiting();
	}

	#startNext(): boolean {
		for (const ticket of this.#resubmitted) {
			if (this.#startQueued(ticket)) {
				return true;
			}
		}

		return this.#classScheduler.getNextClasses().some(requestClass => {
			const ticket = this.#queues[requestClass].peek();
			return ticket !== undefined && this.#startQueued(ticket);
		});
	}

	#startQueued(ticket: Ticket): boolean {
		// After a pause of the process, this may run before the timer of the deadline.
		if (ticket.deadlineAtMs <= this.#options.clock.monotonicMs()) {
			this.#expire(ticket);
			return true;
		}

		if (!this.#start(ticket)) {
			return false;
		}

		this.#dequeue(ticket, true);
		return true;
	}

	#start(ticket: Ticket): boolean {
		this.#classScheduler.beginStart(ticket.requestClass);
		if (ticket.tryStart()) {
			this.#classScheduler.confirmStart(ticket.requestClass);
			return true;
		}

		this.#classScheduler.undoStart(ticket.requestClass);
		return false;
	}

	#updateWaiting(): void {
		this.#classScheduler.setWaiting({check: this.#queues.check.size, long: this.#queues.long.size});
	}

	#reportWaiting(): void {
		if (this.#reportedWaiting !== this.#queued.size) {
			this.#reportedWaiting = this.#queued.size;
			this.#options.onWaitingChange?.(this.#reportedWaiting);
		}
	}
}
