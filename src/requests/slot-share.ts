/**
One entry's share of the slots of one upstream.
*/
import {type Clock} from '../types/clock.ts';
import {type SlotHold} from '../types/services.ts';

/** How the slots of an upstream are bounded. */
export enum SlotMode {
	/** A guard beside the upstream admits; the share is only a local bound. */
	Guarded = 'guarded',
	/** The upstream echoes no sponsor: equal shares of the configured entries. */
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
	/** Sponsor from which the share came or is asked. */
	sponsorId = '';
	/** Grows with each change of the sponsor: answers to earlier questions no longer count. */
	generation = 0;
	share = 0;
	leaseEndMs = Number.NEGATIVE_INFINITY;
	#peak = 0;
	#misses = 0;
	/** Slots held, summed over the time since the period began. */
	#heldMs = 0;
	#accountedMs: number;
	#periodStartMs: number;
	#meanHeld = 0;
	readonly #holdEndsMs = new Set<{endMs: number}>();
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

	/** Slots held. */
	get held(): number {
		return this.#holdEndsMs.size;
	}

	/** Slots that may be taken now. */
	get free(): number {
		// A process that was paused past its lease finds it ended here, before it takes anything.
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
		this.#holdEndsMs.add(hold);
		this.#peak = Math.max(this.#peak, this.held);
		return {
			release: () => {
				this.#account();
				if (this.#holdEndsMs.delete(hold)) {
					onRelease();
				}
			},
		};
	}

	/** The most that this entry may be using. */
	getLimit(): number {
		const nowMs = this.#clock.monotonicMs();
		let bounded = 0;
		for (const {endMs} of this.#holdEndsMs) {
			// Past its bound, the sponsor no longer counts it either: an entry back from a pause must not report it.
			bounded += endMs > nowMs ? 1 : 0;
		}

		return Math.max(nowMs < this.leaseEndMs ? this.share : 0, bounded);
	}

	/**
	Slots wanted. Ends a period of measurement. While requests of the service wait, the most that was held and this
	upstream's part of what waits; else the mean of late: a peak asked for at every upstream would keep slots from entries
	whose requests wait. The rounding differs between the upstreams of a service, from 0 to 1, so that the sum is no more
	than is in use: rounded up at each of eleven upstreams, the mean kept a tenth of all slots idle.
	*/
	takeWanted(waiting: number, isShort: boolean, rounding: number): number {
		this.#account();
		const durationMs = this.#accountedMs - this.#periodStartMs;
		const mean = durationMs > 0 ? this.#heldMs / durationMs : this.held;
		this.#meanHeld = (this.#meanHeld + mean) / 2;
		const missed = !isShort && this.#misses > 0 ? 1 : 0;
		const wanted = isShort || missed > 0 ? this.#peak + waiting + missed : Math.floor(this.#meanHeld + rounding);
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
