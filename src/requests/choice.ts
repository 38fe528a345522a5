/**
Chooses an upstream: the cheaper of two drawn at random, by this process's requests in flight and a decaying latency
estimate. Prefers the own failure domain, excludes outliers, and applies slow start.
*/
import {type UpstreamAnnouncement} from '../types/announcements.ts';
import {type ChoiceContext, type Chooser, type RequestEnd} from '../types/choice.ts';
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';
import {RequestClass} from '../types/requests.ts';
import {getTotalInFlight, UpstreamStates, type UpstreamState} from './choice-states.ts';
import {drawFailureDomain, type FailureDomainWeights} from './choice-weights.ts';
import {defaultLatencyTuning, LatencyEstimator, type LatencyTuning} from './latency.ts';
import {
	defaultOutlierTuning, OutlierDetector, EjectionState, type OutlierTuning,
} from './outlier.ts';
import {defaultSlowStartTuning, getSlowStartFactor, type SlowStartTuning} from './slow-start.ts';

/** Parameters of the choice. */
export type ChoiceTuning = {
	/** How many upstreams are compared in each group. */
	choices: number;
	/** Another failure domain is used when the best upstream of the own one costs more than this many times as much. */
	spillRatio: number;
	/** A check avoids an upstream that is at least this many times slower than the mean. */
	slowRatio: number;
	/** The same for a long request. Higher, because its deadline is later, and on a moderately slow host it leaves faster slots to checks. */
	longSlowRatio: number;
	/** An upstream with checks in flight that has ended none for this many times their mean latency counts as unresponsive. */
	unresponsiveRatio: number;
	/** Requests wait for a healthy upstream only while at most this share of a service's upstreams is avoided. */
	maxAvoidedShare: number;
	/** Weight of a long request in flight, relative to a check. */
	longWeight: number;
	/** State of an upstream that has not been a candidate for this long is deleted. */
	forgetAfterMs: number;
	latency: LatencyTuning;
	outlier: OutlierTuning;
	slowStart: SlowStartTuning;
};

/** Tuning used unless another is passed. */
export const defaultChoiceTuning: ChoiceTuning = {
	choices: 2,
	spillRatio: 1.3,
	slowRatio: 3,
	longSlowRatio: 6,
	unresponsiveRatio: 5,
	maxAvoidedShare: 0.5,
	longWeight: 1,
	forgetAfterMs: 60_000,
	latency: defaultLatencyTuning,
	outlier: defaultOutlierTuning,
	slowStart: defaultSlowStartTuning,
};

/** Dependencies and settings of a chooser. */
export type ChooserOptions = {
	clock: Clock;
	random: Random;
	/** Failure domain of this process. */
	failureDomain: string;
	/** Current weights of the service, if its configuration section has any. */
	getFailureDomainWeights?: (serviceName: string, requestClass: RequestClass) => FailureDomainWeights | undefined;
	tuning?: Partial<ChoiceTuning>;
	/** Runs the callback that records a result; lets simulations delay results. */
	deliverResult?: (record: () => void) => void;
};

/** Creates the chooser that production uses. */
export const createChooser = (options: ChooserOptions): Chooser => new LoadChooser(options);

/** Upstreams with a free slot that are not excluded, by ejection state. */
type Groups = Record<EjectionState, UpstreamAnnouncement[]>;

class LoadChooser implements Chooser {
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #options: ChooserOptions;
	readonly #tuning: ChoiceTuning;
	readonly #latencies: LatencyEstimator;
	readonly #outliers: OutlierDetector;
	readonly #states: UpstreamStates;
	readonly #upstreamCounts = new Map<string, number>();

	constructor(options: ChooserOptions) {
		this.#clock = options.clock;
		this.#random = options.random;
		this.#options = options;
		this.#tuning = {...defaultChoiceTuning, ...options.tuning};
		this.#latencies = new LatencyEstimator(options.clock, this.#tuning.latency);
		this.#outliers = new OutlierDetector(options.clock, options.random, this.#tuning.outlier);
		this.#states = new UpstreamStates(options.clock, this.#tuning.forgetAfterMs, upstreamId => {
			this.#latencies.forget(upstreamId);
			this.#outliers.forget(upstreamId);
		});
	}

	choose(serviceName: string, candidates: readonly UpstreamAnnouncement[], context: ChoiceContext): UpstreamAnnouncement | undefined {
		this.#upstreamCounts.set(serviceName, candidates.length);
		this.#states.sweep();
		const {admitted, probing, ejected} = this.#group(candidates, context);
		// Checks are preferred as probes: they end soon and can be retried elsewhere.
		if (probing.length > 0 && (context.requestClass === RequestClass.Check || admitted.length === 0)) {
			return probing[this.#random.below(probing.length)];
		}

		if (admitted.length > 0) {
			return this.#chooseAdmitted(serviceName, admitted, context);
		}

		// While admitted upstreams are only busy, waiting is better than an upstream that is known to fail.
		const isAnyAdmitted = candidates.some(({upstreamId}) =>
			!context.excluded.has(upstreamId) && this.#outliers.getEjectionState(upstreamId) === EjectionState.Admitted);
		return isAnyAdmitted ? undefined : ejected[this.#random.below(ejected.length)];
	}

	recordStart(upstreamId: string, requestClass: RequestClass): void {
		this.#states.recordStart(upstreamId, requestClass);
	}

	recordEnd(upstreamId: string, end: RequestEnd): void {
		const state = this.#states.recordEnd(upstreamId, end.requestClass);
		if (!state) {
			return;
		}

		const record = () => {
			if (this.#states.get(upstreamId) === state) {
				this.#record(state, upstreamId, end);
			}
		};

		if (this.#options.deliverResult) {
			this.#options.deliverResult(record);
		} else {
			record();
		}
	}

	#group(candidates: readonly UpstreamAnnouncement[], {excluded, hasSlot}: ChoiceContext): Groups {
		const groups: Groups = {[EjectionState.Admitted]: [], [EjectionState.Probing]: [], [EjectionState.Ejected]: []};
		for (const candidate of candidates) {
			const {upstreamId} = candidate;
			const state = this.#states.observe(candidate);
			if (excluded.has(upstreamId) || !hasSlot(upstreamId)) {
				continue;
			}

			const ejectionState = this.#outliers.getEjectionState(upstreamId);
			const hasProbeInFlight = ejectionState === EjectionState.Probing && getTotalInFlight(state) > 0;
			groups[hasProbeInFlight ? EjectionState.Ejected : ejectionState].push(candidate);
		}

		return groups;
	}

	#record(state: UpstreamState, upstreamId: string, {requestClass, latencyMs, isSuccess, isAbandoned}: RequestEnd): void {
		const {serviceName} = state;
		// A request that was abandoned early is no evidence against the upstream: under overload, queueing leaves little time
		// to run, and counting these timeouts as failures would eject healthy upstreams one after another.
		if (isAbandoned) {
			this.#latencies.recordLowerBound(serviceName, upstreamId, requestClass, latencyMs);
			return;
		}

		if (isSuccess) {
			this.#latencies.recordSuccess(serviceName, upstreamId, requestClass, latencyMs);
		} else {
			this.#latencies.recordFailure(serviceName, upstreamId, requestClass, latencyMs);
		}

		const wasProbing = this.#outliers.getEjectionState(upstreamId) === EjectionState.Probing;
		this.#outliers.record(serviceName, upstreamId, isSuccess, this.#upstreamCounts.get(serviceName) ?? 0);
		if (wasProbing && this.#outliers.getEjectionState(upstreamId) === EjectionState.Admitted) {
			state.startedMs = this.#clock.monotonicMs();
		}
	}

	#chooseAdmitted(serviceName: string, admitted: UpstreamAnnouncement[], context: ChoiceContext): UpstreamAnnouncement | undefined {
		// Fast path: few hosts are to be avoided.
		const best = this.#chooseAmong(serviceName, admitted, context);
		if (!this.#isAvoided(best.upstreamId, context.requestClass)) {
			return best;
		}

		const healthy = admitted.filter(({upstreamId}) => !this.#isAvoided(upstreamId, context.requestClass));
		if (healthy.length > 0) {
			return this.#chooseAmong(serviceName, healthy, context);
		}

		return this.#isWorthWaiting(serviceName, context) ? undefined : best;
	}

	#chooseAmong(serviceName: string, group: UpstreamAnnouncement[], context: ChoiceContext): UpstreamAnnouncement {
		const weights = this.#options.getFailureDomainWeights?.(serviceName, context.requestClass);
		return weights && weights.size > 0
			? this.#sample(drawFailureDomain(group, weights, this.#random), context)
			: this.#chooseNear(group, context);
	}

	#chooseNear(group: UpstreamAnnouncement[], context: ChoiceContext): UpstreamAnnouncement {
		const near: UpstreamAnnouncement[] = [];
		const far: UpstreamAnnouncement[] = [];
		for (const candidate of group) {
			(candidate.failureDomain === this.#options.failureDomain ? near : far).push(candidate);
		}

		if (near.length === 0 || far.length === 0) {
			return this.#sample(group, context);
		}

		const nearest = this.#sample(near, context);
		const other = this.#sample(far, context);
		return this.#getCost(nearest, context) > this.#tuning.spillRatio * this.#getCost(other, context) ? other : nearest;
	}

	/** Returns the cheapest of a few upstreams drawn at random; if all were compared, every entry would choose the same one. */
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
		const {serviceName, inFlight, startedMs} = this.#states.get(upstreamId)!;
		const factor = getSlowStartFactor(this.#clock.monotonicMs() - startedMs, this.#tuning.slowStart);
		const load = inFlight.check + (this.#tuning.longWeight * inFlight.long) + 1;
		return this.#latencies.getRatio(serviceName, upstreamId, requestClass) * load / (slots * factor);
	}

	/** Whether the upstream is slow or unresponsive or, for a long request, failed the last one: checks test it first, because they can be retried. */
	#isAvoided(upstreamId: string, requestClass: RequestClass): boolean {
		const state = this.#states.get(upstreamId)!;
		const {serviceName} = state;
		const {slowRatio, longSlowRatio} = this.#tuning;
		// The latency of checks is used for both classes: it shows a slow host long before its first long request ends.
		if (this.#latencies.getRatio(serviceName, upstreamId, RequestClass.Check) >= (requestClass === RequestClass.Check ? slowRatio : longSlowRatio)) {
			return true;
		}

		const meanMs = this.#latencies.getMeanMs(serviceName, RequestClass.Check) ?? Number.POSITIVE_INFINITY;
		return this.#states.getUnresponsiveMs(state) > this.#tuning.unresponsiveRatio * meanMs
			|| (requestClass === RequestClass.Long && this.#outliers.isLastResultFailure(upstreamId));
	}

	// A slow host often has free slots because it is slow, and a request sent there would take longer than the wait for the
	// next slot elsewhere. Waiting is safe only while this process has requests in flight at healthy hosts, whose slots become
	// free, and while few hosts are avoided: when many are slow, the healthy ones cannot carry the load, and all would queue.
	#isWorthWaiting(serviceName: string, {excluded, requestClass}: ChoiceContext): boolean {
		let avoidedCount = 0;
		let isBusyElsewhere = false;
		for (const [upstreamId, state] of this.#states) {
			if (state.serviceName !== serviceName || this.#outliers.getEjectionState(upstreamId) !== EjectionState.Admitted) {
				continue;
			}

			if (this.#isAvoided(upstreamId, requestClass)) {
				avoidedCount++;
			} else {
				isBusyElsewhere ||= getTotalInFlight(state) > 0 && !excluded.has(upstreamId);
			}
		}

		return isBusyElsewhere && avoidedCount <= this.#tuning.maxAvoidedShare * this.#upstreamCounts.get(serviceName)!;
	}
}
