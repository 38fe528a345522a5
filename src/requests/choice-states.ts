/**
What a chooser knows of each upstream by itself: requests in flight, since when it is known, since when it is silent.
*/
import {type UpstreamAnnouncement} from '../types/announcements.ts';
import {type Clock} from '../types/clock.ts';
import {RequestClass} from '../types/requests.ts';

/** State of one upstream. */
export type UpstreamState = {
	serviceName: string;
	incarnation: number;
	/** Start of its slow start. */
	startedMs: number;
	lastSeenMs: number;
	inFlight: Record<RequestClass, number>;
	/** Ends still to come of requests that an earlier incarnation took. */
	staleEnds: number;
	/** When checks came to be in flight, or the last of them ended. */
	checkSilentSinceMs: number;
};

/** Sum of both classes. */
export const getTotalInFlight = ({inFlight}: UpstreamState): number => inFlight.check + inFlight.long;

/** States of all upstreams offered of late. */
export class UpstreamStates {
	readonly #clock: Clock;
	readonly #forgetAfterMs: number;
	readonly #onForget: (upstreamId: string) => void;
	readonly #states = new Map<string, UpstreamState>();
	#sweptAtMs: number;

	constructor(clock: Clock, forgetAfterMs: number, onForget: (upstreamId: string) => void) {
		this.#clock = clock;
		this.#forgetAfterMs = forgetAfterMs;
		this.#onForget = onForget;
		this.#sweptAtMs = clock.monotonicMs();
	}

	get size(): number {
		return this.#states.size;
	}

	get(upstreamId: string): UpstreamState | undefined {
		return this.#states.get(upstreamId);
	}

	[Symbol.iterator](): IterableIterator<[string, UpstreamState]> {
		return this.#states.entries();
	}

	/** Notes that the upstream is offered; gets its state. */
	see({upstreamId, service, incarnation}: UpstreamAnnouncement): UpstreamState {
		const nowMs = this.#clock.monotonicMs();
		let state = this.#states.get(upstreamId);
		if (state?.incarnation !== incarnation) {
			state = this.#create(upstreamId, service, incarnation, state);
		}

		state.lastSeenMs = nowMs;
		return state;
	}

	noteStart(upstreamId: string, requestClass: RequestClass): void {
		const state = this.#states.get(upstreamId);
		if (!state) {
			return;
		}

		if (requestClass === RequestClass.Check && state.inFlight.check === 0) {
			state.checkSilentSinceMs = this.#clock.monotonicMs();
		}

		state.inFlight[requestClass]++;
	}

	/** Gets the state that the end speaks of; undefined when it speaks of an earlier incarnation. */
	noteEnd(upstreamId: string, requestClass: RequestClass): UpstreamState | undefined {
		const state = this.#states.get(upstreamId);
		if (!state) {
			return undefined;
		}

		state.inFlight[requestClass] = Math.max(0, state.inFlight[requestClass] - 1);
		if (requestClass === RequestClass.Check) {
			state.checkSilentSinceMs = this.#clock.monotonicMs();
		}

		// A restart breaks the requests that the earlier incarnation held; counted against the new one they would eject it.
		if (state.staleEnds > 0) {
			state.staleEnds--;
			return undefined;
		}

		return state;
	}

	/** For how long the upstream has had checks in flight and ended none. */
	getSilentMs({inFlight, checkSilentSinceMs}: UpstreamState): number {
		return inFlight.check > 0 ? this.#clock.monotonicMs() - checkSilentSinceMs : 0;
	}

	/** Forgets upstreams that are no longer offered, so that replaced hosts leave nothing behind. */
	sweep(): void {
		const nowMs = this.#clock.monotonicMs();
		if (nowMs - this.#sweptAtMs < this.#forgetAfterMs) {
			return;
		}

		this.#sweptAtMs = nowMs;
		for (const [upstreamId, {lastSeenMs}] of this.#states) {
			if (nowMs - lastSeenMs >= this.#forgetAfterMs) {
				this.#states.delete(upstreamId);
				this.#onForget(upstreamId);
			}
		}
	}

	#create(upstreamId: string, serviceName: string, incarnation: number, earlier: UpstreamState | undefined): UpstreamState {
		// What was learnt of an earlier incarnation says nothing of this one; its requests still end.
		if (earlier) {
			this.#onForget(upstreamId);
		}

		const nowMs = this.#clock.monotonicMs();
		const state = {
			serviceName,
			incarnation,
			startedMs: nowMs,
			lastSeenMs: nowMs,
			inFlight: earlier?.inFlight ?? {[RequestClass.Check]: 0, [RequestClass.Long]: 0},
			staleEnds: earlier ? getTotalInFlight(earlier) : 0,
			checkSilentSinceMs: nowMs,
		};
		this.#states.set(upstreamId, state);
		return state;
	}
}
