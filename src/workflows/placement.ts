/**
Decides which waiting tasks start now, and where. Pure: it is given the tasks, the workers and the time.
*/
import {type WorkflowStep} from '../types/workflows.ts';
import {
	getFreeRoom, getMilliCpu, getRack, isFitting, isSuited, type FleetWorker, type Room,
} from './fleet-view.ts';
import {
	getFillers, getServers, getServingJob, type FillHarm,
} from './fill-harm.ts';
import {
	getWorkingShare, planSpeeds, type FillDemand, type ServingTask,
} from './harm-pacing.ts';
import {
	isIdle, type LiveStep, type LiveTask, type LiveWorkflow,
} from './live-model.ts';
import {createRank} from './task-order.ts';

/** A start that was decided. */
export type Start = {
	task: LiveTask;
	worker: FleetWorker;
};

type Candidate = {
	worker: FleetWorker;
	free: Room;
	rack: string | undefined;
	/** Tasks of each step here, by step. */
	ofStep: Map<LiveStep, number>;
	/** Share of the processors that is left to tasks that fill, and what they ask for. */
	unusedShare: number;
	demands: FillDemand[];
	servers: ServingTask[];
	/** What one task more of an image and size would get, as far as asked; empty after each change. */
	fillSpeeds: Map<string, number>;
};

/** Tells whether tasks of the step may run on the worker. */
export type IsAllowed = (step: LiveStep, workerId: string) => boolean;

type Terms = Pick<PlacementInput, 'harm' | 'isAllowed'> & {
	/** A task that fills starts also where it disturbs. */
	mustRun?: boolean;
};

/** What is decided with. */
export type PlacementInput = {
	waiting: Iterable<LiveTask>;
	workers: Iterable<FleetWorker>;
	wallMs: number;
	nowMs: number;
	harm: FillHarm;
	/** Whether a queue's policy lets the step run on the worker. */
	isAllowed: IsAllowed;
};

/** Decides starts, most urgent first. */
export const place = ({waiting, workers, wallMs, nowMs, harm, isAllowed}: PlacementInput): Start[] => {
	const tasks = [...waiting];
	if (tasks.length === 0) {
		return [];
	}

	const candidates = [...workers].map(worker => createCandidate(worker, harm));
	const rank = createRank(wallMs);
	const ranked = tasks.map(task => ({task, rank: rank(task)})).toSorted((a, b) => a.rank - b.rank);
	const starts: Start[] = [];
	const gangs = new Set<LiveStep>();
	// A step of which one task found no place has none for its equals either.
	const stuck = new Set<LiveStep>();
	const started = new Set<LiveWorkflow>();
	for (const {task} of ranked) {
		const {step} = task;
		if (stuck.has(step) || gangs.has(step)) {
			continue;
		}

		if (step.spec.isGang) {
			gangs.add(step);
			starts.push(...placeGang(step, candidates, {harm, isAllowed}));
			continue;
		}

		const mustRun = !started.has(step.workflow) && isStarving(task, nowMs);
		const candidate = choose(task, candidates, {harm, isAllowed, mustRun});
		if (candidate) {
			started.add(step.workflow);
			take(candidate, task, harm);
			starts.push({task, worker: candidate.worker});
		} else {
			stuck.add(step);
		}
	}

	return starts;
};

/** A task that fills waits rather than start where it, and what it slows down, would get less than this share of its speed. */
const minFillSpeed = 0.7;
/** An image that is held at less than this on a worker gets no more tasks there. */
const minPercent = 50;
/** Waves raise the load of serving tasks by about so much in the time that a task that fills takes. */
const waveMargin = 0.08;

/**
A job of which nothing runs waits at most so long for a place where it disturbs nobody. Where serving tasks are on every
worker there may never be one, and callers would wait for ever beside free room; the paces then decide what it gets.
*/
const maxWaitMs = 1500;

const isStarving = ({step, waitsSinceMs}: LiveTask, nowMs: number): boolean =>
	step.spec.isFilling && nowMs - waitsSinceMs > maxWaitMs && isIdle(step.workflow);

const createCandidate = (worker: FleetWorker, harm: FillHarm): Candidate => {
	const ofStep = new Map<LiveStep, number>();
	for (const {task: {step}} of worker.runs) {
		ofStep.set(step, (ofStep.get(step) ?? 0) + 1);
	}

	const {milliCpu} = worker.report!;
	return {
		worker,
		free: getFreeRoom(worker),
		rack: getRack(worker.report!),
		ofStep,
		unusedShare: getUnusedShare(worker, harm),
		demands: getFillers(worker.runs, worker.paces, {milliCpu, nowMs: 0}),
		servers: getServers(worker.runs).map(({image, job}) => ({image, load: harm.getLoad(job) + waveMargin})),
		fillSpeeds: new Map(),
	};
};

/** A serving task uses its processors in the measure of its load, any other task all of them. */
const getUnusedShare = ({report, runs}: FleetWorker, harm: FillHarm): number => {
	let usedMilliCpu = 0;
	for (const {task: {ref, step: {spec}}} of runs) {
		usedMilliCpu += getMilliCpu(spec) * (spec.targetMs > 0 ? harm.getLoad(getServingJob(ref)) : 1);
	}

	return 1 - (usedMilliCpu / report!.milliCpu);
};

const take = (candidate: Candidate, {ref, step}: LiveTask, harm: FillHarm): void => {
	const {spec} = step;
	const {milliCpu} = candidate.worker.report!;
	candidate.free.milliCpu -= getMilliCpu(spec);
	candidate.free.memoryMb -= spec.memoryMb;
	candidate.free.accelerators -= spec.accelerators;
	candidate.ofStep.set(step, (candidate.ofStep.get(step) ?? 0) + 1);
	candidate.fillSpeeds.clear();
	if (candidate.worker.health.isProbing) {
		// One task shows whether the worker has recovered.
		candidate.free.milliCpu = -1;
	}

	if (spec.isFilling) {
		candidate.demands = addDemand(candidate.demands, spec, milliCpu);
	} else if (spec.targetMs > 0) {
		const load = harm.getLoad(getServingJob(ref));
		candidate.unusedShare -= load * spec.milliCpu / milliCpu;
		candidate.servers = [...candidate.servers, {image: spec.image ?? '', load: load + waveMargin}];
	} else {
		candidate.unusedShare -= spec.milliCpu / milliCpu;
	}
};

const addDemand = (demands: FillDemand[], spec: WorkflowStep, milliCpu: number): FillDemand[] => {
	const image = spec.image ?? '';
	const share = spec.milliCpu / milliCpu;
	return demands.some(demand => demand.image === image)
		? demands.map(demand => demand.image === image ? {image, share: demand.share + share} : demand)
		: [...demands, {image, share}];
};

const choose = (task: LiveTask, candidates: Candidate[], terms: Terms): Candidate | undefined => {
	const {step} = task;
	let best: Candidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		if (canTake(step, candidate, terms) && !task.runs.some(run => run.host === candidate.worker.host)) {
			const cost = getCost(step, candidate, terms.harm) + (task.avoidedHosts.has(candidate.worker.host) ? avoidedCost : 0);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
	}

	return best;
};

const canTake = (step: LiveStep, candidate: Candidate, {harm, isAllowed, mustRun}: Terms): boolean => {
	const {spec} = step;
	const {worker, free, ofStep} = candidate;
	return isFitting(spec, free) && isSuited(spec, worker.report!)
		&& (spec.maxPerWorker === 0 || (ofStep.get(step) ?? 0) < spec.maxPerWorker)
		&& isAllowed(step, worker.report!.workerId)
		&& (!spec.isFilling || (!worker.isFillStopped && (mustRun === true || canFill(spec, candidate, harm))));
};

const canFill = (spec: WorkflowStep, candidate: Candidate, harm: FillHarm): boolean =>
	(candidate.worker.paces.get(spec.image ?? '')?.percent ?? 100) >= minPercent && getFillSpeed(spec, candidate, harm) >= minFillSpeed;

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
// Tasks that fill spread: a full worker leaves no room for what is harmful elsewhere.
const crowdCost = 0.3;

const getCost = (step: LiveStep, candidate: Candidate, harm: FillHarm): number => {
	const {spec} = step;
	const {worker: {report}, free, rack, servers, demands} = candidate;
	const farness = spec.dataRack !== undefined && spec.dataRack !== rack ? farCost : 0;
	const usedShare = 1 - (free.milliCpu / Math.max(1, report!.milliCpu));
	if (spec.isFilling) {
		const rise = Math.max(0, ...servers.map(({image}) => harm.getEffect(image, spec.image ?? ''))) * spec.milliCpu / report!.milliCpu;
		return farness + (harmCost * rise) - getFillSpeed(spec, candidate, harm) + (crowdCost * getWorkingShare(demands, new Map()));
	}

	if (spec.targetMs > 0) {
		return farness - (servers.length > 0 ? companyGain : 0) - usedShare + (harmCost * getHarmOf(spec, demands, harm));
	}

	// Filling up the fullest first keeps room for wide tasks elsewhere, and leaves whole workers to what fills.
	return farness - usedShare - (servers.length > 0 ? companyGain : 0);
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
export const createPlaceFinder = (workers: Iterable<FleetWorker>, terms: Terms): ((task: LiveTask) => boolean) => {
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
