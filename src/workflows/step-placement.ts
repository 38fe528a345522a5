/**
Selects workers for the tasks of one step in a cycle. The cost of each worker is computed once, and again only after a
task was assigned to it: with hundreds of workers and hundreds of waiting tasks, a cycle that computes the cost of each
pair takes longer than the tasks run.
*/
import {type WorkflowStep} from '../types/workflows.ts';
import {getColdCost} from './cold-workers.ts';
import {isFitting, isSuited} from './fleet-view.ts';
import {type BestEffortInterference} from './best-effort-interference.ts';
import {
	getRequestedShare, getShareAtSpeeds, planSpeeds, type BestEffortDemand,
} from './interference-throttling.ts';
import {type LiveStep, type LiveTask} from './live-model.ts';
import {addDemand, reserve, type Candidate} from './placement-candidates.ts';
import {Mechanism, type Policy} from './policy.ts';
import {getRefusalCause, type RefusalCause} from './interference-refusals.ts';
import {type InterferenceTrials} from './interference-trials.ts';

/** Tells whether tasks of the step may run on the worker. */
export type IsAllowed = (step: LiveStep, workerId: string) => boolean;

/** Constraints and models that worker costs are computed from. */
export type StepPlacementOptions = {
	interference: BestEffortInterference;
	/** Whether a queue's policy lets the step run on the worker. */
	isAllowed: IsAllowed;
	policy: Policy;
	trials: InterferenceTrials;
	/** Best-effort tasks start even where they interfere with latency-critical tasks. */
	isInterferenceAllowed: boolean;
	/** Waiting best-effort tasks request more CPU than is free on workers without latency-critical tasks. */
	isInterferenceFreeCpuShort: boolean;
};

/** Why a waiting task does not start, ordered from the furthest from a start to the nearest. */
export enum WaitReason {
	/** No schedulable worker of the service has the required label, size or advice ticket. */
	NoWorker = 'no-worker',
	NoCapacity = 'room',
	/** Every worker with capacity already has the maximum number of tasks of the step. */
	Spread = 'spread',
	/** A latency-critical task on the worker exceeded its target for too long: no best-effort task may run there. */
	BestEffortStopped = 'fill-stopped',
	/** The image is throttled too much on the worker. */
	Throttled = 'paced',
	/** It would interfere with a latency-critical task, or run too slowly. */
	Interference = 'harm',
	/** Enough workers already run the image to measure its unknown interference with the latency-critical images there. */
	Trial = 'trial',
	/** The worker would accept the step, but another run of the task is already on its host. */
	OtherRun = 'other',
	/** A worker has capacity, but the starts that agents have not answered yet fill the congestion window. */
	OrderWindow = 'order-window',
}

const waitReasons = Object.values(WaitReason);

/** Workers on which tasks of one step may start. */
export class StepPlacement {
	readonly #step: LiveStep;
	readonly #candidates: Candidate[];
	readonly #options: StepPlacementOptions;
	/** Cost by candidate index; infinity: not allowed. */
	readonly #costs: Float64Array;
	/** By candidate index: position in `waitReasons` of what rules the candidate out. */
	readonly #nearness: Uint8Array;

	constructor(step: LiveStep, candidates: Candidate[], options: StepPlacementOptions) {
		this.#step = step;
		this.#candidates = candidates;
		this.#options = options;
		this.#costs = new Float64Array(candidates.length);
		this.#nearness = new Uint8Array(candidates.length);
		for (const index of candidates.keys()) {
			this.#updateCost(index);
		}
	}

	/** Whether a worker that the task does not avoid can run it. */
	canPlace(task: LiveTask): boolean {
		return this.#candidates.some(({worker: {host}}, index) =>
			this.#costs[index]! < Number.POSITIVE_INFINITY && !task.avoidedHosts.has(host) && task.runs.every(run => run.host !== host));
	}

	/** Assigns the task to the candidate with the lowest cost; undefined: there is none. */
	assign(task: LiveTask): Candidate | undefined {
		for (let index = this.#findBest(task); index !== -1; index = this.#findBest(task)) {
			const candidate = this.#candidates[index]!;
			const isStillAllowed = this.#isStillAllowed(candidate);
			if (isStillAllowed) {
				this.#reserve(candidate, task);
			}

			this.#updateCost(index);
			if (isStillAllowed) {
				return candidate;
			}
		}

		return undefined;
	}

	/** Gets the reason of the candidate that is nearest to a start. */
	getWaitReason(): WaitReason {
		return waitReasons[Math.max(0, ...this.#nearness)]!;
	}

	/** Counts the workers that are ruled out for interference, by cause. */
	countRefusals(): Map<RefusalCause, number> {
		const counts = new Map<RefusalCause, number>();
		for (const [index, candidate] of this.#candidates.entries()) {
			if (waitReasons[this.#nearness[index]!] === WaitReason.Interference) {
				const cause = getRefusalCause(this.#step.spec, candidate, {interference: this.#options.interference, minGain: minBestEffortGain});
				counts.set(cause, (counts.get(cause) ?? 0) + 1);
			}
		}

		return counts;
	}

	/** Trials that began after the cost was computed may have ruled the candidate out. */
	#isStillAllowed(candidate: Candidate): boolean {
		const {spec} = this.#step;
		return !spec.isFilling || getBestEffortObstacle(spec, candidate, this.#options) === undefined;
	}

	#reserve(candidate: Candidate, task: LiveTask): void {
		const {spec} = this.#step;
		const {interference, trials} = this.#options;
		reserve(candidate, task, interference);
		if (spec.isFilling) {
			trials.add(candidate, spec.image ?? '');
		}
	}

	#updateCost(index: number): void {
		const candidate = this.#candidates[index]!;
		const obstacle = getObstacle(this.#step, candidate, this.#options);
		this.#costs[index] = obstacle === undefined ? getCost(this.#step, candidate, this.#options) : Number.POSITIVE_INFINITY;
		this.#nearness[index] = waitReasons.indexOf(obstacle ?? WaitReason.OtherRun);
	}

	#findBest({avoidedHosts, runs}: LiveTask): number {
		const isUnconstrained = avoidedHosts.size === 0 && runs.length === 0;
		let best = -1;
		let bestCost = Number.POSITIVE_INFINITY;
		for (let index = 0; index < this.#costs.length; index++) {
			let cost = this.#costs[index]!;
			if (cost >= bestCost) {
				continue;
			}

			if (!isUnconstrained) {
				const {host} = this.#candidates[index]!.worker;
				cost += avoidedHosts.has(host) ? avoidedCost : 0;
				if (cost >= bestCost || runs.some(run => run.host === host)) {
					continue;
				}
			}

			best = index;
			bestCost = cost;
		}

		return best;
	}
}

/** A best-effort task waits if its gain, less what it takes from other best-effort tasks, is below this share of its full speed. */
const minBestEffortGain = 0.7;
/** An image whose throttle percentage on a worker is below this gets no more tasks there. */
const minThrottlePercent = 50;

/** Gets the reason why no task of the step may start on the worker; undefined: it may. */
const getObstacle = (step: LiveStep, candidate: Candidate, options: StepPlacementOptions): WaitReason | undefined => {
	const {spec} = step;
	const {worker, freeCapacity, taskCounts} = candidate;
	if (worker.service !== step.workflow.service || !isSuited(spec, worker.report!) || !options.isAllowed(step, worker.report!.workerId)) {
		return WaitReason.NoWorker;
	}

	if (!isFitting(spec, freeCapacity)) {
		return WaitReason.NoCapacity;
	}

	if (spec.maxPerWorker > 0 && (taskCounts.get(step) ?? 0) >= spec.maxPerWorker) {
		return WaitReason.Spread;
	}

	return spec.isFilling ? getBestEffortObstacle(spec, candidate, options) : undefined;
};

const getBestEffortObstacle = (spec: WorkflowStep, candidate: Candidate, {interference, isInterferenceAllowed, policy, trials}: StepPlacementOptions): WaitReason | undefined => {
	const {worker} = candidate;
	if (worker.isBestEffortStopped) {
		return WaitReason.BestEffortStopped;
	}

	if (isInterferenceAllowed || !policy[Mechanism.BestEffortWait]) {
		return undefined;
	}

	if ((worker.throttles.get(spec.image ?? '')?.percent ?? 100) < minThrottlePercent) {
		return WaitReason.Throttled;
	}

	if (getMaxBestEffortGain(spec, candidate, interference) < minBestEffortGain || getBestEffortGain(spec, candidate, interference) < minBestEffortGain) {
		return WaitReason.Interference;
	}

	return policy[Mechanism.FewTrials] && !trials.mayStart(candidate, spec.image ?? '') ? WaitReason.Trial : undefined;
};

/** Upper bound of the speed from unused CPU alone: avoids computing throttles for a worker that is full. */
const getMaxBestEffortGain = (spec: WorkflowStep, candidate: Candidate, interference: BestEffortInterference): number => {
	const {demands, unusedShare, worker: {report}} = candidate;
	candidate.bestEffortShare ??= getBestEffortShare(candidate, demands, interference);
	return (unusedShare - candidate.bestEffortShare) * report!.milliCpu / spec.milliCpu;
};

/** Gain from one more task on the worker, as a share of its full speed, less what it takes from other best-effort tasks. */
const getBestEffortGain = (spec: WorkflowStep, candidate: Candidate, interference: BestEffortInterference): number => {
	const {demands, bestEffortGains, worker: {report}} = candidate;
	const key = `${spec.image} ${spec.milliCpu}`;
	let gain = bestEffortGains.get(key);
	if (gain === undefined) {
		candidate.bestEffortShare ??= getBestEffortShare(candidate, demands, interference);
		const demandsWithTask = addDemand(demands, spec, report!.milliCpu);
		gain = (getBestEffortShare(candidate, demandsWithTask, interference) - candidate.bestEffortShare) * report!.milliCpu / spec.milliCpu;
		bestEffortGains.set(key, gain);
	}

	return gain;
};

const getBestEffortShare = ({latencyCriticalLoads, unusedShare}: Candidate, demands: BestEffortDemand[], interference: BestEffortInterference): number =>
	Math.min(unusedShare, getShareAtSpeeds(
		demands,
		planSpeeds(latencyCriticalLoads, demands, (latencyCriticalImage, bestEffortImage) => interference.getEffect(latencyCriticalImage, bestEffortImage)),
	));

// Last choice: a worker on which the task failed or stalled.
const avoidedCost = 20;
// Remote data multiplies the run time by `farFactor`, which outweighs how well the task fits.
const remoteDataCost = 10;
// Colocates latency-critical tasks, which leaves other workers to best-effort tasks.
const colocationGain = 2;
// Weight of the load that a best-effort task adds to a latency-critical task.
const interferenceWeight = 3;
// Reserves workers without latency-critical tasks, while they are short, for images that would interfere elsewhere.
const interferenceFreeCost = 0.5;
// Latency-critical images differ in what interferes with them: a best-effort image is placed more easily where all are of one image.
const mixedImagesCost = 3;
// Spreads best-effort tasks: a full worker has no capacity for an image that interferes with others elsewhere.
const crowdingCost = 0.3;

const getCost = (step: LiveStep, candidate: Candidate, {interference, policy, isInterferenceFreeCpuShort}: StepPlacementOptions): number => {
	const {spec} = step;
	const {worker: {report}, freeCapacity, rack, latencyCriticalLoads, demands} = candidate;
	const dataCost = (spec.dataRack !== undefined && spec.dataRack !== rack ? remoteDataCost : 0) + getColdCost(candidate.worker, spec);
	const usedShare = 1 - (freeCapacity.milliCpu / Math.max(1, report!.milliCpu));
	if (spec.isFilling) {
		const addedLoad = Math.max(0, ...latencyCriticalLoads.map(({image}) => interference.getEffect(image, spec.image ?? ''))) * spec.milliCpu / report!.milliCpu;
		const reservation = policy[Mechanism.InterferenceFreeReserve] && isInterferenceFreeCpuShort && latencyCriticalLoads.length === 0 ? interferenceFreeCost : 0;
		return dataCost + (interferenceWeight * addedLoad) - getBestEffortGain(spec, candidate, interference) + (crowdingCost * getRequestedShare(demands)) + reservation;
	}

	const colocation = latencyCriticalLoads.length > 0 && policy[Mechanism.LatencyCriticalPacking] ? colocationGain : 0;
	if (spec.targetMs > 0) {
		const mixedImages = policy[Mechanism.SameImageColocation] && latencyCriticalLoads.some(({image}) => image !== (spec.image ?? '')) ? mixedImagesCost : 0;
		return dataCost - colocation - usedShare + (interferenceWeight * getAddedLoad(spec, demands, interference)) + mixedImages;
	}

	// Using the fullest worker first keeps capacity for large tasks, and whole workers for best-effort tasks.
	return dataCost - usedShare - colocation;
};

/** Load that the best-effort tasks on the worker already add to a latency-critical task of the step. */
const getAddedLoad = (spec: WorkflowStep, demands: BestEffortDemand[], interference: BestEffortInterference): number => {
	let addedLoad = 0;
	for (const {image, share} of demands) {
		addedLoad += interference.getEffect(spec.image ?? '', image) * share;
	}

	return addedLoad;
};

