/**
Decides which waiting tasks start now, and where. Pure: it is given the tasks, the workers and the time.
*/
import {type WorkflowStep} from '../types/workflows.ts';
import {
	getFreeRoom, getMilliCpu, getRack, isFitting, isSuited, type FleetWorker, type Room,
} from './fleet-view.ts';
import {getServers, type FillHarm, type Server} from './fill-harm.ts';
import {
	isIdle, type LiveRun, type LiveStep, type LiveTask, type LiveWorkflow,
} from './live-model.ts';
import {createRank} from './task-order.ts';

const milli = 1000;

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
	/** Processors that tasks that fill share, and those that they ask for. */
	unusedMilliCpu: number;
	fillMilliCpu: number;
	servers: Server[];
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

	const candidates = [...workers].map(worker => createCandidate(worker));
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
			take(candidate, step, harm);
			starts.push({task, worker: candidate.worker});
		} else {
			stuck.add(step);
		}
	}

	return starts;
};

/** A serving task uses about half of what it declares, on the average of its waves; the rest is left to what fills. */
const serverUseShare = 0.5;
/** A task that fills waits rather than start where it would get less than this share of its speed. */
const minFillSpeed = 0.75;
/** Nothing is set to fill where a serving task is foreseen above this share of its target. */
const maxForeseenRatio = 0.8;

/**
A job of which nothing runs waits at most so long for a place where it disturbs nobody. Where serving tasks are on every
worker there may never be one, and callers would wait for ever beside free room; the paces then decide what it gets.
*/
const maxWaitMs = 1500;

const isStarving = ({step, waitsSinceMs}: LiveTask, nowMs: number): boolean =>
	step.spec.isFilling && nowMs - waitsSinceMs > maxWaitMs && isIdle(step.workflow);

const createCandidate = (worker: FleetWorker): Candidate => {
	const ofStep = new Map<LiveStep, number>();
	let unusedMilliCpu = worker.report!.milliCpu;
	let fillMilliCpu = 0;
	for (const {task: {step}} of worker.runs) {
		ofStep.set(step, (ofStep.get(step) ?? 0) + 1);
		unusedMilliCpu -= getUsedMilliCpu(step.spec);
		fillMilliCpu += step.spec.isFilling ? step.spec.milliCpu : 0;
	}

	return {
		worker, free: getFreeRoom(worker), rack: getRack(worker.report!), ofStep, unusedMilliCpu, fillMilliCpu, servers: getServers(worker.runs),
	};
};

const getUsedMilliCpu = (spec: WorkflowStep): number => getMilliCpu(spec) * (spec.targetMs > 0 ? serverUseShare : 1);

const take = (candidate: Candidate, step: LiveStep, harm: FillHarm): void => {
	const {spec} = step;
	candidate.free.milliCpu -= getMilliCpu(spec);
	candidate.free.memoryMb -= spec.memoryMb;
	candidate.free.accelerators -= spec.accelerators;
	candidate.ofStep.set(step, (candidate.ofStep.get(step) ?? 0) + 1);
	candidate.unusedMilliCpu -= getUsedMilliCpu(spec);
	if (candidate.worker.health.isProbing) {
		// One task shows whether the worker has recovered.
		candidate.free.milliCpu = -1;
	}

	if (spec.isFilling) {
		candidate.fillMilliCpu += spec.milliCpu;
		candidate.servers = candidate.servers.map(server => ({...server, ratio: foresee(server, spec, harm)}));
	} else if (spec.targetMs > 0) {
		candidate.servers = [...candidate.servers, {image: spec.image ?? '', ratio: harm.getQuietRatio(spec.image ?? '')}];
	}
};

/** Ratio of a server with one task more that fills beside it. */
const foresee = ({image, ratio}: Server, spec: WorkflowStep, harm: FillHarm): number =>
	Math.max(ratio, harm.getQuietRatio(image)) + (harm.getEffect(image, spec.image ?? '') * spec.milliCpu / milli);

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
		&& (!spec.isFilling || mustRun === true || canFill(spec, candidate, harm));
};

const canFill = (spec: WorkflowStep, candidate: Candidate, harm: FillHarm): boolean => {
	const {worker, unusedMilliCpu, fillMilliCpu, servers} = candidate;
	const isRoomy = fillMilliCpu === 0 || (fillMilliCpu + spec.milliCpu) * minFillSpeed <= unusedMilliCpu;
	return isRoomy && (worker.paces.get(spec.image ?? '')?.percent ?? 100) === 100
		&& servers.every(server => foresee(server, spec, harm) <= maxForeseenRatio);
};

// A worker on which the task failed or stood still is the last choice.
const avoidedCost = 20;
// Far from its data a task takes `farFactor` times as long: that outweighs how well it fits.
const farCost = 10;
// Tasks that serve go together, so that other workers are left to what fills.
const companyGain = 2;
// Weight of the rise of a serving task's ratio that is foreseen.
const harmCost = 3;

const getCost = (step: LiveStep, candidate: Candidate, harm: FillHarm): number => {
	const {spec} = step;
	const {worker: {report, runs}, free, rack, servers, unusedMilliCpu, fillMilliCpu} = candidate;
	const farness = spec.dataRack !== undefined && spec.dataRack !== rack ? farCost : 0;
	const usedShare = 1 - (free.milliCpu / Math.max(1, report!.milliCpu));
	if (spec.isFilling) {
		const rise = Math.max(0, ...servers.map(server => foresee(server, spec, harm) - server.ratio));
		const speed = Math.min(1, unusedMilliCpu / (fillMilliCpu + spec.milliCpu));
		return farness + (harmCost * rise) - speed + (fillMilliCpu / report!.milliCpu);
	}

	if (spec.targetMs > 0) {
		return farness - (servers.length > 0 ? companyGain : 0) - usedShare + (harmCost * getHarmOf(spec, runs, harm));
	}

	// Filling up the fullest first keeps room for wide tasks elsewhere, and leaves whole workers to what fills.
	return farness - usedShare - (servers.length > 0 ? companyGain : 0);
};

/** Rise of the ratio of a serving task beside what fills there already. */
const getHarmOf = (spec: WorkflowStep, runs: Iterable<LiveRun>, harm: FillHarm): number => {
	let rise = 0;
	for (const {task: {step}} of runs) {
		if (step.spec.isFilling) {
			rise += harm.getEffect(spec.image ?? '', step.spec.image ?? '') * step.spec.milliCpu / milli;
		}
	}

	return rise;
};

/** Whether the task would find a place on a worker that it does not avoid. */
export const hasPlace = (task: LiveTask, workers: Iterable<FleetWorker>, terms: Terms): boolean => {
	const candidates = [...workers].filter(worker => !task.avoidedHosts.has(worker.host)).map(worker => createCandidate(worker));
	return choose(task, candidates, terms) !== undefined;
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
	const trial = candidates.map(candidate => ({...candidate, free: {...candidate.free}, ofStep: new Map(candidate.ofStep)}));
	const starts: Start[] = [];
	for (const task of step.tasks) {
		const candidate = choose(task, trial, terms);
		if (!candidate) {
			return [];
		}

		take(candidate, step, terms.harm);
		starts.push({task, worker: candidate.worker});
	}

	for (const [index, candidate] of candidates.entries()) {
		Object.assign(candidate, trial[index]);
	}

	return starts;
};
