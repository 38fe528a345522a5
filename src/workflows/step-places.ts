/**
Selects workers for the tasks of one step in a cycle. The cost of each worker is computed once, and again only after a
task was assigned to it: with hundreds of workers and hundreds of waiting tasks, a cycle that computes the cost of each
pair takes longer than the tasks run.
*/
import {type WorkflowStep} from '../types/workflows.ts';
import {isFitting, isSuited} from './fleet-view.ts';
import {type FillHarm} from './fill-harm.ts';
import {
	getAskedShare, getWorkingShare, planSpeeds, type FillDemand,
} from './harm-pacing.ts';
import {type LiveStep, type LiveTask} from './live-model.ts';
import {addDemand, take, type Candidate} from './placement-candidates.ts';
import {Mechanism, type Policy} from './policy.ts';
import {type Trials} from './trials.ts';

/** Tells whether tasks of the step may run on the worker. */
export type IsAllowed = (step: LiveStep, workerId: string) => boolean;

/** Constraints and models that worker costs are computed from. */
export type PlaceTerms = {
	harm: FillHarm;
	/** Whether a queue's policy lets the step run on the worker. */
	isAllowed: IsAllowed;
	policy: Policy;
	trials: Trials;
	/** Best-effort tasks start even where they disturb serving tasks. */
	mustRun: boolean;
	/** Waiting best-effort tasks request more CPU than is free on workers without serving tasks. */
	isUnservedShort: boolean;
};

/** Why a waiting task does not start, ordered from the furthest from a start to the nearest. */
export enum WaitReason {
	/** No eligible worker has the required label, size or advice ticket. */
	NoWorker = 'no-worker',
	Room = 'room',
	/** Every worker with capacity already has the maximum number of tasks of the step. */
	Spread = 'spread',
	/** A serving task on the worker exceeded its target for too long: no best-effort task may run there. */
	FillStopped = 'fill-stopped',
	/** The pace of its image on the worker is too low. */
	Paced = 'paced',
	/** It would disturb a serving task, or run too slowly. */
	Harm = 'harm',
	/** Enough workers already run the image to measure its unknown interference with the serving images there. */
	Trial = 'trial',
	/** The worker would accept the step, but another run of the task is already on its host. */
	Other = 'other',
}

const waitReasons = Object.values(WaitReason);

/** Workers on which tasks of one step may start. */
export class StepPlaces {
	readonly #step: LiveStep;
	readonly #candidates: Candidate[];
	readonly #terms: PlaceTerms;
	/** Cost by candidate index; infinity: not allowed. */
	readonly #costs: Float64Array;
	/** By candidate index: position in `waitReasons` of what rules the candidate out. */
	readonly #nearness: Uint8Array;

	constructor(step: LiveStep, candidates: Candidate[], terms: PlaceTerms) {
		this.#step = step;
		this.#candidates = candidates;
		this.#terms = terms;
		this.#costs = new Float64Array(candidates.length);
		this.#nearness = new Uint8Array(candidates.length);
		for (const index of candidates.keys()) {
			this.#weigh(index);
		}
	}

	/** Whether a worker that the task does not avoid can run it. */
	hasPlace(task: LiveTask): boolean {
		return this.#candidates.some(({worker: {host}}, index) =>
			this.#costs[index]! < Number.POSITIVE_INFINITY && !task.avoidedHosts.has(host) && task.runs.every(run => run.host !== host));
	}

	/** Assigns the task to the candidate with the lowest cost; undefined: there is none. */
	take(task: LiveTask): Candidate | undefined {
		for (let index = this.#findBest(task); index !== -1; index = this.#findBest(task)) {
			const candidate = this.#candidates[index]!;
			const isOpen = this.#isOpen(candidate);
			if (isOpen) {
				this.#give(candidate, task);
			}

			this.#weigh(index);
			if (isOpen) {
				return candidate;
			}
		}

		return undefined;
	}

	/** Gets the reason of the candidate that is nearest to a start. */
	getWaitReason(): WaitReason {
		return waitReasons[Math.max(0, ...this.#nearness)]!;
	}

	/** Trials that began after the cost was computed may have ruled the candidate out. */
	#isOpen(candidate: Candidate): boolean {
		const {spec} = this.#step;
		return !spec.isFilling || getFillObstacle(spec, candidate, this.#terms) === undefined;
	}

	#give(candidate: Candidate, task: LiveTask): void {
		const {spec} = this.#step;
		const {harm, trials} = this.#terms;
		take(candidate, task, harm);
		if (spec.isFilling) {
			trials.note(candidate, spec.image ?? '');
		}
	}

	#weigh(index: number): void {
		const candidate = this.#candidates[index]!;
		const obstacle = getObstacle(this.#step, candidate, this.#terms);
		this.#costs[index] = obstacle === undefined ? getCost(this.#step, candidate, this.#terms) : Number.POSITIVE_INFINITY;
		this.#nearness[index] = waitReasons.indexOf(obstacle ?? WaitReason.Other);
	}

	#findBest({avoidedHosts, runs}: LiveTask): number {
		const isPlain = avoidedHosts.size === 0 && runs.length === 0;
		let best = -1;
		let bestCost = Number.POSITIVE_INFINITY;
		for (let index = 0; index < this.#costs.length; index++) {
			let cost = this.#costs[index]!;
			if (cost >= bestCost) {
				continue;
			}

			if (!isPlain) {
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
const minFillSpeed = 0.7;
/** An image whose pace on a worker is below this percentage gets no more tasks there. */
const minPercent = 50;

/** Gets the reason why no task of the step may start on the worker; undefined: it may. */
const getObstacle = (step: LiveStep, candidate: Candidate, terms: PlaceTerms): WaitReason | undefined => {
	const {spec} = step;
	const {worker, free, ofStep} = candidate;
	if (!isSuited(spec, worker.report!) || !terms.isAllowed(step, worker.report!.workerId)) {
		return WaitReason.NoWorker;
	}

	if (!isFitting(spec, free)) {
		return WaitReason.Room;
	}

	if (spec.maxPerWorker > 0 && (ofStep.get(step) ?? 0) >= spec.maxPerWorker) {
		return WaitReason.Spread;
	}

	return spec.isFilling ? getFillObstacle(spec, candidate, terms) : undefined;
};

const getFillObstacle = (spec: WorkflowStep, candidate: Candidate, {harm, mustRun, policy, trials}: PlaceTerms): WaitReason | undefined => {
	const {worker} = candidate;
	if (worker.isFillStopped) {
		return WaitReason.FillStopped;
	}

	if (mustRun || !policy[Mechanism.FillWait]) {
		return undefined;
	}

	if ((worker.paces.get(spec.image ?? '')?.percent ?? 100) < minPercent) {
		return WaitReason.Paced;
	}

	if (getMostFillSpeed(spec, candidate, harm) < minFillSpeed || getFillSpeed(spec, candidate, harm) < minFillSpeed) {
		return WaitReason.Harm;
	}

	return policy[Mechanism.FewTrials] && !trials.mayStart(candidate, spec.image ?? '') ? WaitReason.Trial : undefined;
};

/** Upper bound of the speed from unused CPU alone: avoids computing paces for a worker that is full. */
const getMostFillSpeed = (spec: WorkflowStep, candidate: Candidate, harm: FillHarm): number => {
	const {demands, unusedShare, worker: {report}} = candidate;
	candidate.filledShare ??= getFilledShare(candidate, demands, harm);
	return (unusedShare - candidate.filledShare) * report!.milliCpu / spec.milliCpu;
};

/** Gain from one more task on the worker, as a share of its full speed, less what it takes from other best-effort tasks. */
const getFillSpeed = (spec: WorkflowStep, candidate: Candidate, harm: FillHarm): number => {
	const {demands, fillSpeeds, worker: {report}} = candidate;
	const key = `${spec.image} ${spec.milliCpu}`;
	let speed = fillSpeeds.get(key);
	if (speed === undefined) {
		candidate.filledShare ??= getFilledShare(candidate, demands, harm);
		const more = addDemand(demands, spec, report!.milliCpu);
		speed = (getFilledShare(candidate, more, harm) - candidate.filledShare) * report!.milliCpu / spec.milliCpu;
		fillSpeeds.set(key, speed);
	}

	return speed;
};

const getFilledShare = ({servers, unusedShare}: Candidate, demands: FillDemand[], harm: FillHarm): number =>
	Math.min(unusedShare, getWorkingShare(demands, planSpeeds(servers, demands, (server, filler) => harm.getEffect(server, filler))));

// Last choice: a worker on which the task failed or stalled.
const avoidedCost = 20;
// Remote data multiplies the run time by `farFactor`, which outweighs how well the task fits.
const farCost = 10;
// Colocates serving tasks, which leaves other workers to best-effort tasks.
const companyGain = 2;
// Weight of the load that a best-effort task adds to a serving task.
const harmCost = 3;
// Reserves workers without serving tasks, while they are short, for images that would disturb serving tasks elsewhere.
const unservedCost = 0.5;
// Serving images differ in what disturbs them: a best-effort image is placed more easily where all are of one image.
const otherImageCost = 3;
// Spreads best-effort tasks: a full worker has no capacity for an image that disturbs serving tasks elsewhere.
const crowdCost = 0.3;

const getCost = (step: LiveStep, candidate: Candidate, {harm, policy, isUnservedShort}: PlaceTerms): number => {
	const {spec} = step;
	const {worker: {report}, free, rack, servers, demands} = candidate;
	const farness = spec.dataRack !== undefined && spec.dataRack !== rack ? farCost : 0;
	const usedShare = 1 - (free.milliCpu / Math.max(1, report!.milliCpu));
	if (spec.isFilling) {
		const rise = Math.max(0, ...servers.map(({image}) => harm.getEffect(image, spec.image ?? ''))) * spec.milliCpu / report!.milliCpu;
		const unserved = policy[Mechanism.UnservedRoom] && isUnservedShort && servers.length === 0 ? unservedCost : 0;
		return farness + (harmCost * rise) - getFillSpeed(spec, candidate, harm) + (crowdCost * getAskedShare(demands)) + unserved;
	}

	const company = servers.length > 0 && policy[Mechanism.ServerCompany] ? companyGain : 0;
	if (spec.targetMs > 0) {
		const otherImages = policy[Mechanism.ServerGroups] && servers.some(({image}) => image !== (spec.image ?? '')) ? otherImageCost : 0;
		return farness - company - usedShare + (harmCost * getHarmOf(spec, demands, harm)) + otherImages;
	}

	// Filling the fullest worker first keeps capacity for large tasks, and whole workers for best-effort tasks.
	return farness - usedShare - company;
};

/** Load that the best-effort tasks on the worker already add to a serving task of the step. */
const getHarmOf = (spec: WorkflowStep, demands: FillDemand[], harm: FillHarm): number => {
	let rise = 0;
	for (const {image, share} of demands) {
		rise += harm.getEffect(spec.image ?? '', image) * share;
	}

	return rise;
};

