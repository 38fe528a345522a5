/**
One lane per service, which queues and dispatches its requests, and what all lanes share: connections to upstreams, the choice
of an upstream, and deadline timers.
*/
import {type Kernel} from '../core/kernel.ts';
import {resetResponse, type StallWatch} from '../requests/answer.ts';
import {StallDetector} from '../requests/answer-stall-detector.ts';
import {createWeightsLookup} from '../requests/choice-weights.ts';
import {createChooser} from '../requests/choice.ts';
import {getServiceSection} from '../core/config-text.ts';
import {DeadlineHeap} from '../requests/deadline-heap.ts';
import {type Attempt} from '../requests/dispatch-attempt.ts';
import {type Call} from '../requests/dispatch-call.ts';
import {Lane, type ClaimedRun} from '../requests/dispatch-lane.ts';
import {UpstreamPools} from '../requests/dispatch-pools.ts';
import {AttemptFailure} from '../requests/retry.ts';
import {type UpstreamAnnouncement} from '../types/announcements.ts';
import {Metric} from '../types/metrics.ts';
import {RefusalReason} from '../types/requests.ts';
import {ServiceName} from '../types/services.ts';

/** Lanes by service. */
export type Lanes = {
	stalls: StallWatch;
	get(serviceName: string): Lane;
	/** Why no request of the service can be dispatched now. */
	findRefusalReason(serviceName: string): RefusalReason | undefined;
	/** Whether non-idempotent requests of the service may run in this region now. */
	isSettled(serviceName: string): boolean;
	getStatus(): unknown;
	/** Refuses all waiting requests. */
	close(): void;
	/** Frees timers and connections. */
	destroy(): Promise<void>;
};

type LaneEntry = {
	lane: Lane;
	candidates: readonly UpstreamAnnouncement[];
	candidatesAtMs: number;
};

const candidatesRefreshMs = 10;

/** Creates the lanes; `onRunDue` is called for a claimed request that is still running at its deadline. */
export const createLanes = (kernel: Kernel, onRunDue: (call: Call) => void): Lanes => {
	const {admission, retries, slots: slotSettings, answers} = kernel.get(ServiceName.Settings);
	const clock = kernel.get(ServiceName.Clock);
	const random = kernel.get(ServiceName.Random);
	const metrics = kernel.get(ServiceName.Metrics);
	const upstreams = kernel.get(ServiceName.Upstreams);
	const slots = kernel.get(ServiceName.Slots);
	const moves = kernel.has(ServiceName.Moves) ? kernel.get(ServiceName.Moves) : undefined;
	const laneEntries = new Map<string, LaneEntry>();

	const config = kernel.get(ServiceName.Config);
	const chooser = createChooser({
		clock,
		random,
		failureDomain: kernel.get(ServiceName.Identity).failureDomain,
		getFailureDomainWeights: createWeightsLookup(serviceName => config.getSection(getServiceSection(serviceName))?.values?.failureDomainWeights),
	});
	const pools = new UpstreamPools(retries.connectTimeoutMs, upstreamId => upstreams.get(upstreamId) !== undefined);
	const attemptDeadlines = new DeadlineHeap<Attempt>({
		clock,
		isWaiting: attempt => !attempt.isEnded,
		onDue(attempt) {
			attempt.abort(AttemptFailure.TimedOut);
		},
	});
	const stalls = new StallDetector(clock, answers.stalledCallerMs, response => {
		metrics.count(Metric.Refusals, RefusalReason.SlowCaller);
		resetResponse(response);
	});
	const claimedRunDeadlines = new DeadlineHeap<ClaimedRun>({
		clock,
		isWaiting: ({call, attempt}) => !call.isClosed && !attempt.isEnded,
		onDue({call, attempt}) {
			if (attempt.isWritten) {
				onRunDue(call);
			} else {
				attempt.abort(AttemptFailure.TimedOut);
			}
		},
	});
	const getCandidates = (serviceName: string): readonly UpstreamAnnouncement[] => {
		const entry = laneEntries.get(serviceName);
		const nowMs = clock.monotonicMs();
		if (entry && nowMs - entry.candidatesAtMs < candidatesRefreshMs) {
			return entry.candidates;
		}

		const region = moves?.getRegion(serviceName);
		const routable = upstreams.getRoutable(serviceName);
		const candidates = region === undefined ? routable : routable.filter(upstream => upstream.region === region);
		if (entry) {
			entry.candidates = candidates;
			entry.candidatesAtMs = nowMs;
		}

		return candidates;
	};

	const createLane = (serviceName: string): Lane => {
		const lane = new Lane({
			serviceName,
			clock,
			random,
			metrics,
			limits: admission,
			...retries,
			maxHoldMs: slotSettings.maxHoldMs,
			chooser,
			slots,
			pools,
			attemptDeadlines,
			claimedRunDeadlines,
			getCandidates: () => getCandidates(serviceName),
		});
		laneEntries.set(serviceName, {lane, candidates: [], candidatesAtMs: Number.NEGATIVE_INFINITY});
		return lane;
	};

	slots.onFree(() => {
		for (const {lane} of laneEntries.values()) {
			lane.admission.startWaiting();
		}
	});

	return {
		get: serviceName => laneEntries.get(serviceName)?.lane ?? createLane(serviceName),
		findRefusalReason(serviceName) {
			if (getCandidates(serviceName).length > 0) {
				return undefined;
			}

			return upstreams.getRoutable(serviceName).length > 0 ? RefusalReason.WrongRegion : RefusalReason.NoUpstream;
		},
		isSettled: serviceName => moves?.isMoveSettled(serviceName) ?? true,
		stalls,
		getStatus: () => Object.fromEntries([...laneEntries].map(([serviceName, {lane}]) => [serviceName, lane.admission.getStatus()])),
		close() {
			for (const {lane} of laneEntries.values()) {
				lane.admission.close();
			}
		},
		async destroy() {
			attemptDeadlines.stop();
			claimedRunDeadlines.stop();
			stalls.stop();
			await pools.close();
		},
	};
};
