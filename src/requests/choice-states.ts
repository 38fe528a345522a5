/**
State that a chooser keeps for each upstream: requests in flight, start of its slow start, and since when it has been unresponsive.
*/
import {type UpstreamAnnouncement} from '../types/announcements.ts';
import {type Clock} from '../types/clock.ts';
import {RequestClass} from '../types/requests.ts';

/** State of one upstream. */
export type UpstreamState = {
	serviceName: string;
	incarnation: number;
	/** When its slow start began. */
	startedMs: number;
	lastSeenMs: number;
	inFlight: Record<RequestClass, number>;
	/** Number of requests sent to an earlier incarnation whose ends have not been recorded. */
	staleEnds: number;
	/** When the first check in flight started or the latest check ended, whichever is later. */
	checksUnresponsiveSinceMs: number;
};

/** Number of requests in flight, of both classes. */
export const getTotalInFlight = ({inFlight}: UpstreamState): number => inFlight.check + inFlight.long;

/** States of all upstreams that were candidates recently. */
export class UpstreamStates {
	readonly #clock: Clock;
	readonly #forgetAfterMs: number;
	readonly #onForget: (upstreamId: string) => void;
	readonly #states = new Map<string, UpstreamState>();
	#lastSweepAtMs: number;

	constructor(clock: Clock, forgetAfterMs: number, onForget: (upstreamId: string) => void) {
		this.#clock = clock;
		this.#forgetAfterMs = forgetAfterMs;
		this.#onForget = onForget;
		this.#lastSweepAtMs = clock.monotonicMs();
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

	/** Records that the upstream is a candidate and returns its state, which is new for a new incarnation. */
	observe({upstreamId, service, incarnation}: UpstreamAnnouncement): UpstreamState {
		const nowMs = this.#clock.monotonicMs();
		let state = this.#states.get(upstreamId);
		if (state?.incarnation !== incarnation) {
			state = this.#create(upstreamId, service, incarnation, state);
		}

		state.lastSeenMs = nowMs;
		return state;
	}

	recordStart(upstreamId: string, requestClass: RequestClass): void {
		const state = this.#states.get(upstreamId);
		if (!state) {
			return;
		}

		if (requestClass === RequestClass.Check && state.inFlight.check === 0) {
			state.checksUnresponsiveSinceMs = this.#clock.monotonicMs();
		}

		state.inFlight[requestClass]++;
	}

	/** Records the end of a request; returns the state, or undefined if there is none or the end is attributed to an earlier incarnation. */
	recordEnd(upstreamId: string, requestClass: RequestClass): UpstreamState | undefined {
		const state = this.#states.get(upstreamId);
		if (!state) {
			return undefined;
		}

		state.inFlight[requestClass] = Math.max(0, state.inFlight[requestClass] - 1);
		if (requestClass === RequestClass.Check) {
			state.checksUnresponsiveSinceMs = this.#clock.monotonicMs();
		}

		// A restart breaks the requests of the earlier incarnation. Counted against the new one, these failures would eject it.
		if (state.staleEnds > 0) {
			state.staleEnds--;
			return undefined;
		}

		return state;
	}

	/** For how long the upstream has had checks in flight without ending one. */
	getUnresponsiveMs({inFlight, checksUnresponsiveSinceMs}: UpstreamState): number {
		return inFlight.check > 0 ? this.#clock.monotonicMs() - checksUnresponsiveSinceMs : 0;
	}

	/** Deletes the state of upstreams that are no longer candidates, so that memory stays bounded when hosts are replaced. */
	sweep(): void {
		const nowMs = this.#clock.monotonicMs();
		if (nowMs - this.#lastSweepAtMs < this.#forgetAfterMs) {
			return;
		}

		this.#lastSweepAtMs = nowMs;
		for (const [upstreamId, {lastSeenMs}] of this.#states) {
			if (nowMs - lastSeenMs >= this.#forgetAfterMs) {
				this.#states.delete(upstreamId);
				this.#onForget(upstreamId);
			}
		}
	}

	#create(upstreamId: string, serviceName: string, incarnation: number, earlier: UpstreamState | undefined): UpstreamState {
		// Estimates of the earlier incarnation do not apply to this one, but its requests in flight still end.
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
			checksUnresponsiveSinceMs: nowMs,
		};
		this.#states.set(upstreamId, state);
		return state;
	}
}
