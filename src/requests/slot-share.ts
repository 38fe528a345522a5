/**
One entry's share of the slots of one upstream.
*/
import {type Clock} from '../types/clock.ts';
import {type SlotHold} from '../types/services.ts';

/** How the use of an upstream's slots is limited. */
export enum SlotMode {
	/** A guard next to the upstream admits requests; the share is only a local limit. */
	Guarded = 'guarded',
	/** The upstream does not echo a sponsor: each configured entry has an equal share. */
	Static = 'static',
	/** Its sponsor grants shares under leases. */
	Sponsored = 'sponsored',
}

/** Slots of one upstream incarnation at this entry. */
export class SlotShare {
	readonly incarnation: number;
	readonly mode: SlotMode;
	readonly slots: number;
	readonly connections: number;
	/** Sponsor that granted the share, or from which it is requested. */
	sponsorId = '';
	/** Grows with each change of the sponsor: answers to messages of an earlier generation are ignored. */
	generation = 0;
	share = 0;
	leaseEndMs = Number.NEGATIVE_INFINITY;
	#peak = 0;
	#misses = 0;
	/** Slots held, integrated over the time since the period began. */
	#heldMs = 0;
	#accountedMs: number;
	#periodStartMs: number;
	#meanHeld = 0;
	readonly #holds = new Set<{endMs: number}>();
	readonly #clock: Clock;

	constructor(clock: Clock, shape: Pick<SlotShare, 'incarnation' | 'mode' | 'slots' | 'connections'>) {
		this.#clock = clock;
		this.incarnation = shape.incarnation;
		this.mode = shape.mode;
		this.slots = shape.slots;
		this.connections = shape.connections;
		this.#accountedMs = clock.monotonicMs();
		this.#periodStartMs = this.#accountedMs;
	}

	/** Number of slots held. */
	get held(): number {
		return this.#holds.size;
	}

	/** Number of slots that may be taken now. */
	get free(): number {
		// Compared with the clock at each use, so that a process that was paused past its lease takes no slot.
		return this.#clock.monotonicMs() < this.leaseEndMs ? Math.max(0, this.share - this.held) : 0;
	}

	/** Takes a slot when one is free. */
	tryTake(holdMs: number, onRelease: () => void): SlotHold | undefined {
		if (this.free === 0) {
			this.#misses++;
			return undefined;
		}

		this.#account();
		const hold = {endMs: this.#clock.monotonicMs() + holdMs};
		this.#holds.add(hold);
		this.#peak = Math.max(this.#peak, this.held);
		return {
			release: () => {
				this.#account();
				if (this.#holds.delete(hold)) {
					onRelease();
				}
			},
		};
	}

	/** Gets the maximum number of slots that this entry may be using. */
	getLimit(): number {
		const nowMs = this.#clock.monotonicMs();
		let bounded = 0;
		for (const {endMs} of this.#holds) {
			// A hold past its time limit is no longer counted by the sponsor either: an entry resumed after a pause must not report it.
			bounded += endMs > nowMs ? 1 : 0;
		}

		return Math.max(nowMs < this.leaseEndMs ? this.share : 0, bounded);
	}

	/**
	Ends a measurement period and returns the number of slots wanted. While requests of the service wait, or after a request
	found no slot free, that is the peak of the slots held and what waits for this upstream; else the recent mean, because
	requesting the peak at every upstream would keep slots from entries whose requests wait. `rounding` differs between the
	upstreams of a service, from 0 to 1, so that the sum is no more than is in use: rounding the mean up at each of eleven
	upstreams kept a tenth of all slots idle.
	*/
	measureWanted(waiting: number, hasWaiting: boolean, rounding: number): number {
		this.#account();
		const durationMs = this.#accountedMs - this.#periodStartMs;
		const mean = durationMs > 0 ? this.#heldMs / durationMs : this.held;
		this.#meanHeld = (this.#meanHeld + mean) / 2;
		const missCount = !hasWaiting && this.#misses > 0 ? 1 : 0;
		const wanted = hasWaiting || missCount > 0 ? this.#peak + waiting + missCount : Math.floor(this.#meanHeld + rounding);
		this.#peak = this.held;
		this.#misses = 0;
		this.#heldMs = 0;
		this.#periodStartMs = this.#accountedMs;
		return Math.min(this.slots, wanted);
	}

	/** Changes the sponsor; the share stays as it is until its lease ends or the new sponsor changes it. */
	setSponsor(sponsorId: string): void {
		if (sponsorId !== this.sponsorId) {
			this.sponsorId = sponsorId;
			this.generation++;
		}
	}

	#account(): void {
		const nowMs = this.#clock.monotonicMs();
		this.#heldMs += this.held * (nowMs - this.#accountedMs);
		this.#accountedMs = nowMs;
	}
}
