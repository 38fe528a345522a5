/**
A thin queue for a slot, for measuring the choice of upstreams by itself: two classes, in order of arrival.
*/
import {RefusalReason, RequestClass} from '../types/requests.ts';

/** A request that waits for a slot. */
export type QueuedRequest = {
	requestClass: RequestClass;
	deadlineAtMs: number;
	/** Takes a slot and starts; false when no slot is free. */
	tryStart(): boolean;
	refuse(refusal: {reason: RefusalReason}): void;
};

const queueLimit = 400;
/** Share of the slots that long requests may hold. */
const longShare = 0.8;

/** Queue of one entry. */
export class ThinQueue {
	readonly #getNowMs: () => number;
	readonly #getFreeSlots: () => number;
	readonly #queues: Record<RequestClass, QueuedRequest[]> = {[RequestClass.Check]: [], [RequestClass.Long]: []};
	readonly #inFlight: Record<RequestClass, number> = {[RequestClass.Check]: 0, [RequestClass.Long]: 0};

	constructor(getFreeSlots: () => number, getNowMs: () => number) {
		this.#getFreeSlots = getFreeSlots;
		this.#getNowMs = getNowMs;
	}

	submit(request: QueuedRequest): void {
		const queue = this.#queues[request.requestClass];
		if (queue.length === 0 && this.#tryStart(request)) {
			return;
		}

		if (queue.length >= queueLimit) {
			request.refuse({reason: RefusalReason.QueueFull});
			return;
		}

		queue.push(request);
	}

	resubmit(request: QueuedRequest): void {
		this.#queues[request.requestClass].unshift(request);
		this.wake();
	}

	noteEnd(requestClass: RequestClass, _heldMs: number): void {
		this.#inFlight[requestClass]--;
		this.wake();
	}

	wake(): void {
		while (this.#startNext()) {
			// Each round starts one.
		}
	}

	#tryStart(request: QueuedRequest): boolean {
		const isLong = request.requestClass === RequestClass.Long;
		if ((isLong && this.#inFlight.long >= longShare * this.#getSlots()) || !request.tryStart()) {
			return false;
		}

		this.#inFlight[request.requestClass]++;
		return true;
	}

	#getSlots(): number {
		return this.#getFreeSlots() + this.#inFlight.check + this.#inFlight.long;
	}

	#startNext(): boolean {
		const {check, long} = this.#queues;
		return this.#startFirst(check) || this.#startFirst(long);
	}

	#startFirst(queue: QueuedRequest[]): boolean {
		const first = queue[0];
		if (!first) {
			return false;
		}

		if (first.deadlineAtMs <= this.#getNowMs()) {
			queue.shift();
			first.refuse({reason: RefusalReason.DeadlinePassed});
			return true;
		}

		if (!this.#tryStart(first)) {
			return false;
		}

		queue.shift();
		return true;
	}
}
