/**
Chooses an upstream: two random choices on own requests in flight and a decaying latency estimate, the own failure
domain first, without outliers, and with slow start.
*/
import {type UpstreamAnnouncement} from '../types/announcements.ts';
import {type ChoiceContext, type Chooser, type RequestEnd} from '../types/choice.ts';
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';
import {RequestClass} from '../types/requests.ts';
import {drawFailureDomain, type FailureDomainWeights} from './choice-weights.ts';
import {defaultLatencyTuning, LatencyBook, type LatencyTuning} from './latency.ts';
import {
	defaultOutlierTuning, OutlierBook, Standing, type OutlierTuning,
} from './outlier.ts';
import {defaultSlowStartTuning, getSlowStartFactor, type SlowStartTuning} from './slow-start.ts';

/** Numbers of the choice. */
export type ChoiceTuning = {
	/** How many upstreams are compared in each group. */
	choices: number;
	/** Another failure domain is used when the own one's best costs more than this many times as much. */
	spillRatio: number;
	/** A check rather waits than goes to an upstream this many times slower than the mean. */
	waitRatio: number;
	/** State of an upstream not offered for so long is forgotten. */
	forgetAfterMs: number;
	latency: LatencyTuning;
	outlier: OutlierTuning;
	slowStart: SlowStartTuning;
};

/** Tuning that the measurements chose. */
export const defaultChoiceTuning: ChoiceTuning = {
	choices: 2,
	spillRatio: 1.3,
	waitRatio: 3,
	forgetAfterMs: 60_000,
	latency: defaultLatencyTuning,
	outlier: defaultOutlierTuning,
	slowStart: defaultSlowStartTuning,
};

/** What a chooser works with. */
export type ChooserOptions = {
	clock: Clock;
	random: Random;
	/** Failure domain of this process. */
	failureDomain: string;
	/** Weights in force for the service, if its section has any. */
	getFailureDomainWeights?: (serviceName: string) => FailureDomainWeights | undefined;
	tuning?: Partial<ChoiceTuning>;
	/** Takes a measurement to the estimates; for measurements that arrive late. */
	deliver?: (record: () => void) => void;
};

type UpstreamState = {
	serviceName: string;
	incarnation: number;
	firstSeenMs: number;
	lastSeenMs: number;
	inFlight: number;
	/** Ends still to come of requests that an earlier incarnation took. */
	staleEnds: number;
};

/** Creates the product's chooser. */
export const createChooser = (options: ChooserOptions): Chooser => new LoadChooser(options);

class LoadChooser implements Chooser {
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #options: ChooserOptions;
	readonly #tuning: ChoiceTuning;
	readonly #latencies: LatencyBook;
	readonly #outliers: OutlierBook;
	readonly #states = new Map<string, UpstreamState>();
	readonly #upstreamCounts = new Map<string, number>();
	#sweptAtMs: number;

	constructor(options: ChooserOptions) {
		this.#clock = options.clock;
		this.#random = options.random;
		this.#options = options;
		this.#tuning = {...defaultChoiceTuning, ...options.tuning};
		this.#latencies = new LatencyBook(options.clock, this.#tuning.latency);
		this.#outliers = new OutlierBook(options.clock, options.random, this.#tuning.outlier);
		this.#sweptAtMs = options.clock.monotonicMs();
	}

	choose(serviceName: string, candidates: readonly UpstreamAnnouncement[], context: ChoiceContext): UpstreamAnnouncement | undefined {
		this.#upstreamCounts.set(serviceName, candidates.length);
		this.#sweep();
		const admitted: UpstreamAnnouncement[] = [];
		const probing: UpstreamAnnouncement[] = [];
		const ejected: UpstreamAnnouncement[] = [];
		for (const candidate of candidates) {
			const {upstreamId} = candidate;
			const state = this.#see(candidate);
			if (context.excluded.has(upstreamId) || !context.hasSlot(upstreamId)) {
				continue;
			}

			const standing = this.#outliers.getStanding(upstreamId);
			if (standing === Standing.Admitted) {
				admitted.push(candidate);
			} else if (standing === Standing.Probing && state.inFlight === 0) {
				probing.push(candidate);
			} else {
				ejected.push(candidate);
			}
		}

		// A probe is a check: it ends soon and may be tried again elsewhere.
		if (probing.length > 0 && (context.requestClass === RequestClass.Check || admitted.length === 0)) {
			return probing[this.#random.below(probing.length)];
		}

		if (admitted.length > 0) {
			return this.#chooseAdmitted(serviceName, admitted, context);
		}

		// With every admitted upstream merely busy, waiting is better than an upstream known to fail.
		const isAnyAdmitted = candidates.some(({upstreamId}) =>
			!context.excluded.has(upstreamId) && this.#outliers.getStanding(upstreamId) === Standing.Admitted);
		return isAnyAdmitted ? undefined : ejected[this.#random.below(ejected.length)];
	}

	noteStart(upstreamId: string): void {
		const state = this.#states.get(upstreamId);
		if (state) {
			state.inFlight++;
		}
	}

	noteEnd(upstreamId: string, end: RequestEnd): void {
		const state = this.#states.get(upstreamId);
		if (!state) {
			return;
		}

		state.inFlight = Math.max(0, state.inFlight - 1);
		// A restart breaks the requests that the earlier incarnation held; counted against the new one they would eject it.
		if (state.staleEnds > 0) {
			state.staleEnds--;
			return;
		}

		const record = () => {
			if (this.#states.get(upstreamId) === state) {
				this.#record(state, upstreamId, end);
			}
		};

		if (this.#options.deliver) {
			this.#options.deliver(record);
		} else {
			record();
		}
	}

	#record(state: UpstreamState, upstreamId: string, {requestClass, latencyMs, isSuccess, isAbandoned}: RequestEnd): void {
		const {serviceName} = state;
		// A deadline that came while the request was young says nothing of the upstream: counted as failures, the short
		// rests that queueing leaves under overload would eject one healthy upstream after the other.
		if (isAbandoned) {
			this.#latencies.recordAtLeast(serviceName, upstreamId, requestClass, latencyMs);
			return;
		}

		if (isSuccess) {
			this.#latencies.recordSuccess(serviceName, upstreamId, requestClass, latencyMs);
		} else {
			this.#latencies.recordFailure(serviceName, upstreamId, requestClass, latencyMs);
		}

		const wasProbing = this.#outliers.getStanding(upstreamId) === Standing.Probing;
		this.#outliers.record(serviceName, upstreamId, isSuccess, this.#upstreamCounts.get(serviceName) ?? 0);
		if (wasProbing && this.#outliers.getStanding(upstreamId) === Standing.Admitted) {
			state.firstSeenMs = this.#clock.monotonicMs();
		}
	}

	#chooseAdmitted(serviceName: string, admitted: UpstreamAnnouncement[], context: ChoiceContext): UpstreamAnnouncement | undefined {
		const best = this.#chooseAmong(serviceName, admitted, context);
		if (context.requestClass !== RequestClass.Check || !this.#isSlow(serviceName, best.upstreamId)) {
			return best;
		}

		const fast = admitted.filter(({upstreamId}) => !this.#isSlow(serviceName, upstreamId));
		if (fast.length > 0) {
			return this.#chooseAmong(serviceName, fast, context);
		}

		return this.#isWorthWaiting(serviceName, context) ? undefined : best;
	}

	#chooseAmong(serviceName: string, group: UpstreamAnnouncement[], context: ChoiceContext): UpstreamAnnouncement {
		const weights = this.#options.getFailureDomainWeights?.(serviceName);
		return weights && weights.size > 0
			? this.#sample(drawFailureDomain(group, weights, this.#random), context)
			: this.#chooseNear(group, context);
	}

	#chooseNear(admitted: UpstreamAnnouncement[], context: ChoiceContext): UpstreamAnnouncement {
		const near: UpstreamAnnouncement[] = [];
		const far: UpstreamAnnouncement[] = [];
		for (const candidate of admitted) {
			(candidate.failureDomain === this.#options.failureDomain ? near : far).push(candidate);
		}

		if (near.length === 0 || far.length === 0) {
			return this.#sample(admitted, context);
		}

		const nearest = this.#sample(near, context);
		const other = this.#sample(far, context);
		return this.#getCost(nearest, context) > this.#tuning.spillRatio * this.#getCost(other, context) ? other : nearest;
	}

	/** Cheapest of a few upstreams drawn at random: the best of all would draw every entry to the same one. */
	#sample(group: UpstreamAnnouncement[], context: ChoiceContext): UpstreamAnnouncement {
		const draws = Math.min(this.#tuning.choices, group.length);
		let best: UpstreamAnnouncement | undefined;
		for (let draw = 0; draw < draws; draw++) {
			// Each draw swaps its upstream to the front, so that none is drawn twice.
			const index = draw + this.#random.below(group.length - draw);
			const drawn = group[index]!;
			group[index] = group[draw]!;
			group[draw] = drawn;
			if (!best || this.#getCost(drawn, context) < this.#getCost(best, context)) {
				best = drawn;
			}
		}

		return best!;
	}

	#getCost({upstreamId, slots}: UpstreamAnnouncement, {requestClass}: ChoiceContext): number {
		const {serviceName, inFlight, firstSeenMs} = this.#states.get(upstreamId)!;
		const factor = getSlowStartFactor(this.#clock.monotonicMs() - firstSeenMs, this.#tuning.slowStart);
		return this.#latencies.getRatio(serviceName, upstreamId, requestClass) * (inFlight + 1) / (slots * factor);
	}

	#isSlow(serviceName: string, upstreamId: string): boolean {
		return this.#latencies.getRatio(serviceName, upstreamId, RequestClass.Check) >= this.#tuning.waitRatio;
	}

	// A slow host has free slots just because it is slow; a check sent there would take longer than the wait for the next
	// slot elsewhere. Waiting is safe only while this process has requests under way elsewhere, whose slots come free.
	#isWorthWaiting(serviceName: string, {excluded}: ChoiceContext): boolean {
		for (const [upstreamId, state] of this.#states) {
			const isBusyElsewhere = state.serviceName === serviceName && state.inFlight > 0 && !excluded.has(upstreamId);
			if (isBusyElsewhere && !this.#isSlow(serviceName, upstreamId) && this.#outliers.getStanding(upstreamId) === Standing.Admitted) {
				return true;
			}
		}

		return false;
	}

	#see({upstreamId, service, incarnation}: UpstreamAnnouncement): UpstreamState {
		const nowMs = this.#clock.monotonicMs();
		let state = this.#states.get(upstreamId);
		if (state?.incarnation !== incarnation) {
			// What was learnt of an earlier incarnation says nothing of this one; its requests still end.
			this.#latencies.forget(upstreamId);
			this.#outliers.forget(upstreamId);
			const inFlight = state?.inFlight ?? 0;
			state = {
				serviceName: service, incarnation, firstSeenMs: nowMs, lastSeenMs: nowMs, inFlight, staleEnds: inFlight,
			};
			this.#states.set(upstreamId, state);
		}

		state.lastSeenMs = nowMs;
		return state;
	}

	/** Forgets upstreams and services that are no longer offered, so that replaced hosts leave nothing behind. */
	#sweep(): void {
		const nowMs = this.#clock.monotonicMs();
		const {forgetAfterMs} = this.#tuning;
		if (nowMs - this.#sweptAtMs < forgetAfterMs) {
			return;
		}

		this.#sweptAtMs = nowMs;
		const services = new Set<string>();
		for (const [upstreamId, {serviceName, lastSeenMs}] of this.#states) {
			if (nowMs - lastSeenMs < forgetAfterMs) {
				services.add(serviceName);
				continue;
			}

			this.#states.delete(upstreamId);
			this.#latencies.forget(upstreamId);
			this.#outliers.forget(upstreamId);
		}

		for (const serviceName of this.#upstreamCounts.keys()) {
			if (!services.has(serviceName)) {
				this.#upstreamCounts.delete(serviceName);
				this.#latencies.forgetService(serviceName);
			}
		}
	}
}
