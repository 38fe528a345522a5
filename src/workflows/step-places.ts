/**
Where the tasks of one step may run in a cycle, and which place is best. What each worker costs is worked out once, and
again only for a worker that was given something: on a service of hundreds of workers, with hundreds of tasks waiting, a
cycle that weighs each pair anew takes longer than the tasks.
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

/** What places are weighed by. */
export type PlaceTerms = {
	harm: FillHarm;
	/** Whether a queue's policy lets the step run on the worker. */
	isAllowed: IsAllowed;
	policy: Policy;
	trials: Trials;
	/** A task that fills starts also where it disturbs. */
	mustRun: boolean;
	/** What fills and waits asks for more than is free where nobody serves. */
	isUnservedShort: boolean;
};

/** What keeps a task that waits from starting; the last one is the nearest to a start. */
export enum WaitReason {
	/** No worker has the label, the size or the advice that it needs, or none is open. */
	NoWorker = 'no-worker',
	Room = 'room',
	/** As many of its step as may be are on every worker with room. */
	Spread = 'spread',
	/** A serving task there was over its target for too long: nothing may fill. */
	FillStopped = 'fill-stopped',
	/** Its image is paced down there. */
	Paced = 'paced',
	/** It would disturb, or get too little. */
	Harm = 'harm',
	/** Other workers are trying what its image does to what serves there. */
	Trial = 'trial',
	/** A worker would take it, but another run of the task is there already. */
	Other = 'other',
}

const waitReasons = Object.values(WaitReason);

/** Places of one step. */
export class StepPlaces {
	readonly #step: LiveStep;
	readonly #candidates: Candidate[];
	readonly #terms: PlaceTerms;
	/** By candidate; infinity: no place. */
	readonly #costs: Float64Array;
	/** By candidate: how near it came to taking a task. */
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

	/** Whether a worker that the task does not avoid has a place for it. */
	hasPlace(task: LiveTask): boolean {
		return this.#candidates.some(({worker: {host}}, index) =>
			this.#costs[index]! < Number.POSITIVE_INFINITY && !task.avoidedHosts.has(host) && task.runs.every(run => run.host !== host));
	}

	/** Takes the best place for the task; undefined: there is none. */
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

	/** Of all workers, the reason of the one that came nearest to taking a task. */
	getWaitReason(): WaitReason {
		return waitReasons[Math.max(0, ...this.#nearness)]!;
	}

	/** Trials that began since the place was weighed may have closed it. */
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

/** A task that fills waits rather than start where it, and what it slows down, would get less than this share of its speed. */
const minFillSpeed = 0.7;
/** An image that is held at less than this on a worker gets no more tasks there. */
const minPercent = 50;

/** What keeps a task of the step off the worker; undefined: nothing. */
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

/** What the processors that nothing uses allow at most: spares planning the speeds on a worker that is full. */
const getMostFillSpeed = (spec: WorkflowStep, candidate: Candidate, harm: FillHarm): number => {
	const {demands, unusedShare, worker: {report}} = candidate;
	candidate.filledShare ??= getFilledShare(candidate, demands, harm);
	return (unusedShare - candidate.filledShare) * report!.milliCpu / spec.milliCpu;
};

/** Work that a task more would add on the worker, as a share of its full speed: what it would take from others is taken off. */
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

// A worker on which the task failed or stood still is the last choice.
const avoidedCost = 20;
// Far from its data a task takes `farFactor` times as long: that outweighs how well it fits.
const farCost = 10;
// Tasks that serve go together, so that other workers are left to what fills.
const companyGain = 2;
// Weight of the load that a task that fills adds to a serving task.
const harmCost = 3;
// Room on workers where nobody serves is kept for images that would disturb elsewhere, while it is short.
const unservedCost = 0.5;
// Serving tasks of another image bring other sensitivities: what fills finds a place more easily where all are alike.
const otherImageCost = 3;
// Tasks that fill spread: a full worker leaves no room for what is harmful elsewhere.
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

	// Filling up the fullest first keeps room for wide tasks elsewhere, and leaves whole workers to what fills.
	return farness - usedShare - company;
};

/** Load that what fills there already adds to a serving task. */
const getHarmOf = (spec: WorkflowStep, demands: FillDemand[], harm: FillHarm): number => {
	let rise = 0;
	for (const {image, share} of demands) {
		rise += harm.getEffect(spec.image ?? '', image) * share;
	}

	return rise;
};

