/**
Decides which waiting tasks start now, and where. Pure: it is given the tasks, the workers and the time.
*/
import {type WorkflowStep} from '../types/workflows.ts';
import {isFitting, isSuited, type FleetWorker} from './fleet-view.ts';
import {type FillHarm} from './fill-harm.ts';
import {getWorkingShare, planSpeeds, type FillDemand} from './harm-pacing.ts';
import {
	isIdle, type LiveStep, type LiveTask, type LiveWorkflow,
} from './live-model.ts';
import {
	addDemand, createCandidate, getSpareMilliCpu, take, type Candidate,
} from './placement-candidates.ts';
import {Mechanism, type Policy} from './policy.ts';
import {type RankTask} from './task-order.ts';

/** A start that was decided. */
export type Start = {
	task: LiveTask;
	worker: FleetWorker;
};

/** Tells whether tasks of the step may run on the worker. */
export type IsAllowed = (step: LiveStep, workerId: string) => boolean;

type Terms = Pick<PlacementInput, 'harm' | 'isAllowed' | 'policy'> & {
	/** A task that fills starts also where it disturbs. */
	mustRun?: boolean;
	/** What fills and waits asks for more than is free where nobody serves. */
	isUnservedShort: boolean;
};

/** What is decided with. */
export type PlacementInput = {
	waiting: Iterable<LiveTask>;
	workers: Iterable<FleetWorker>;
	nowMs: number;
	harm: FillHarm;
	/** In which order tasks are served, given the processors that nothing else uses, in thousandths of a core. */
	createRank: (spareMilliCpu: number) => RankTask;
	/** Whether a queue's policy lets the step run on the worker. */
	isAllowed: IsAllowed;
	policy: Policy;
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
	/** A worker would take it, but another run of the task is there already. */
	Other = 'other',
}

/** What was decided in a round. */
export type Round = {
	starts: Start[];
	/** Tasks that wait on, by reason. */
	waits: Map<WaitReason, number>;
	/** Processors that nothing but filling tasks uses, in thousandths of a core. */
	spareMilliCpu: number;
};

/** Decides starts, most urgent first. */
export const place = ({waiting, workers, nowMs, harm, createRank, isAllowed, policy}: PlacementInput): Round => {
	const tasks = [...waiting];
	const waits = new Map<WaitReason, number>();
	if (tasks.length === 0) {
		return {starts: [], waits, spareMilliCpu: 0};
	}

	const candidates = [...workers].map(worker => createCandidate(worker, harm));
	const spareMilliCpu = getSpareMilliCpu(candidates);
	const rank = createRank(spareMilliCpu);
	const ranked = tasks.map(task => ({task, rank: rank(task)})).toSorted((a, b) => a.rank - b.rank);
	const terms: Terms = {
		harm, isAllowed, policy, isUnservedShort: isUnservedShort(tasks, candidates),
	};
	const starts: Start[] = [];
	const gangs = new Set<LiveStep>();
	// A step of which one task found no place has none for its equals either.
	const stuck = new Map<LiveStep, WaitReason>();
	const noteWait = (reason: WaitReason) => {
		waits.set(reason, (waits.get(reason) ?? 0) + 1);
	};

	const started = new Set<LiveWorkflow>();
	for (const {task} of ranked) {
		const {step} = task;
		const stuckBy = stuck.get(step);
		if (stuckBy !== undefined) {
			noteWait(stuckBy);
			continue;
		}

		if (gangs.has(step)) {
			continue;
		}

		if (step.spec.isGang) {
			gangs.add(step);
			starts.push(...placeGang(step, candidates, terms));
			continue;
		}

		const mustRun = policy[Mechanism.IdleStart] && !started.has(step.workflow) && isStarving(task, nowMs);
		const candidate = choose(task, candidates, {...terms, mustRun});
		if (candidate) {
			started.add(step.workflow);
			take(candidate, task, harm);
			starts.push({task, worker: candidate.worker});
		} else {
			const reason = getWaitReason(step, candidates, {...terms, mustRun});
			stuck.set(step, reason);
			noteWait(reason);
		}
	}

	return {starts, waits, spareMilliCpu};
};

const waitReasons = Object.values(WaitReason);

/** Of all workers, the reason of the one that came nearest to taking the task. */
const getWaitReason = (step: LiveStep, candidates: Candidate[], terms: Terms): WaitReason => {
	let nearest = 0;
	for (const candidate of candidates) {
		nearest = Math.max(nearest, waitReasons.indexOf(getObstacle(step, candidate, terms) ?? WaitReason.Other));
	}

	return waitReasons[nearest]!;
};

/** A task that fills waits rather than start where it, and what it slows down, would get less than this share of its speed. */
const minFillSpeed = 0.7;
/** An image that is held at less than this on a worker gets no more tasks there. */
const minPercent = 50;

/**
A job of which nothing runs waits at most so long for a place where it disturbs nobody. Where serving tasks are on every
worker there may never be one, and callers would wait for ever beside free room; the paces then decide what it gets.
*/
const maxWaitMs = 1500;

/** Whether tasks that fill ask for more processors than are free on workers where nobody serves. */
const isUnservedShort = (tasks: LiveTask[], candidates: Candidate[]): boolean => {
	let askedMilliCpu = 0;
	for (const {step: {spec}} of tasks) {
		askedMilliCpu += spec.isFilling ? spec.milliCpu : 0;
	}

	let freeMilliCpu = 0;
	for (const {servers, unusedShare, demands, worker: {report}} of candidates) {
		if (servers.length === 0) {
			freeMilliCpu += Math.max(0, unusedShare - getWorkingShare(demands, new Map())) * report!.milliCpu;
		}
	}

	return askedMilliCpu > freeMilliCpu;
};

const isStarving = ({step, waitsSinceMs}: LiveTask, nowMs: number): boolean =>
	step.spec.isFilling && nowMs - waitsSinceMs > maxWaitMs && isIdle(step.workflow);

const choose = (task: LiveTask, candidates: Candidate[], terms: Terms): Candidate | undefined => {
	const {step} = task;
	let best: Candidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		if (getObstacle(step, candidate, terms) === undefined && !task.runs.some(run => run.host === candidate.worker.host)) {
			const cost = getCost(step, candidate, terms) + (task.avoidedHosts.has(candidate.worker.host) ? avoidedCost : 0);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
	}

	return best;
};

/** What keeps a task of the step off the worker; undefined: nothing. */
const getObstacle = (step: LiveStep, candidate: Candidate, {harm, isAllowed, mustRun, policy}: Terms): WaitReason | undefined => {
	const {spec} = step;
	const {worker, free, ofStep} = candidate;
	if (!isSuited(spec, worker.report!) || !isAllowed(step, worker.report!.workerId)) {
		return WaitReason.NoWorker;
	}

	if (!isFitting(spec, free)) {
		return WaitReason.Room;
	}

	if (spec.maxPerWorker > 0 && (ofStep.get(step) ?? 0) >= spec.maxPerWorker) {
		return WaitReason.Spread;
	}

	return spec.isFilling ? getFillObstacle(spec, candidate, {harm, mustRun: mustRun === true || !policy[Mechanism.FillWait]}) : undefined;
};

const getFillObstacle = (spec: WorkflowStep, candidate: Candidate, {harm, mustRun}: Pick<Terms, 'harm' | 'mustRun'>): WaitReason | undefined => {
	const {worker} = candidate;
	if (worker.isFillStopped) {
		return WaitReason.FillStopped;
	}

	if (mustRun) {
		return undefined;
	}

	if ((worker.paces.get(spec.image ?? '')?.percent ?? 100) < minPercent) {
		return WaitReason.Paced;
	}

	return getFillSpeed(spec, candidate, harm) < minFillSpeed ? WaitReason.Harm : undefined;
};

/** Work that a task more would add on the worker, as a share of its full speed: what it would take from others is taken off. */
const getFillSpeed = (spec: WorkflowStep, candidate: Candidate, harm: FillHarm): number => {
	const {demands, fillSpeeds, worker: {report}} = candidate;
	const key = `${spec.image} ${spec.milliCpu}`;
	let speed = fillSpeeds.get(key);
	if (speed === undefined) {
		const more = addDemand(demands, spec, report!.milliCpu);
		speed = (getFilledShare(candidate, more, harm) - getFilledShare(candidate, demands, harm)) * report!.milliCpu / spec.milliCpu;
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

const getCost = (step: LiveStep, candidate: Candidate, {harm, policy, isUnservedShort}: Terms): number => {
	const {spec} = step;
	const {worker: {report}, free, rack, servers, demands} = candidate;
	const farness = spec.dataRack !== undefined && spec.dataRack !== rack ? farCost : 0;
	const usedShare = 1 - (free.milliCpu / Math.max(1, report!.milliCpu));
	if (spec.isFilling) {
		const rise = Math.max(0, ...servers.map(({image}) => harm.getEffect(image, spec.image ?? ''))) * spec.milliCpu / report!.milliCpu;
		const unserved = policy[Mechanism.UnservedRoom] && isUnservedShort && servers.length === 0 ? unservedCost : 0;
		return farness + (harmCost * rise) - getFillSpeed(spec, candidate, harm) + (crowdCost * getWorkingShare(demands, new Map())) + unserved;
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

/**
Creates the question whether a task would find a place on a worker that it does not avoid. The workers are looked at once,
for all tasks that are asked about: with 72 workers each look takes about as long as a round of placement.
*/
export const createPlaceFinder = (workers: Iterable<FleetWorker>, {harm, isAllowed, policy}: Pick<PlacementInput, 'harm' | 'isAllowed' | 'policy'>): ((task: LiveTask) => boolean) => {
	// Whether there is a place does not depend on which one would be best.
	const terms: Terms = {
		harm, isAllowed, policy, isUnservedShort: false,
	};
	let candidates: Candidate[] | undefined;
	return task => {
		candidates ??= [...workers].map(worker => createCandidate(worker, terms.harm));
		return choose(task, candidates.filter(({worker}) => !task.avoidedHosts.has(worker.host)), terms) !== undefined;
	};
};

/** All members or none; on one rack if the step asks for it and one has the room. */
const placeGang = (step: LiveStep, candidates: Candidate[], terms: Terms): Start[] => {
	if (step.tasks.some(task => task.runs.length > 0)) {
		return [];
	}

	const racks = step.spec.isSameRack ? [...new Set(candidates.map(candidate => candidate.rack))] : [];
	for (const rack of [...racks, undefined]) {
		const starts = tryGang(step, rack === undefined ? candidates : candidates.filter(candidate => candidate.rack === rack), terms);
		if (starts.length > 0) {
			return starts;
		}
	}

	return [];
};

const tryGang = (step: LiveStep, candidates: Candidate[], terms: Terms): Start[] => {
	const trial = candidates.map(candidate => ({
		...candidate, free: {...candidate.free}, ofStep: new Map(candidate.ofStep), fillSpeeds: new Map(candidate.fillSpeeds),
	}));
	const starts: Start[] = [];
	for (const task of step.tasks) {
		const candidate = choose(task, trial, terms);
		if (!candidate) {
			return [];
		}

		take(candidate, task, terms.harm);
		starts.push({task, worker: candidate.worker});
	}

	for (const [index, candidate] of candidates.entries()) {
		Object.assign(candidate, trial[index]);
	}

	return starts;
};
