/**
Decides which waiting tasks start now, and where. Pure: it is given the tasks, the workers and the time.
*/
import {type WorkflowStep} from '../types/workflows.ts';
import {
	getFreeRoom, getMilliCpu, getRack, isFitting, isSuited, type FleetWorker, type Room,
} from './fleet-view.ts';
import {type LiveStep, type LiveTask} from './live-model.ts';
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
	/** Processors that tasks that fill would share, and how many such tasks there are. */
	fillers: number;
	servers: number;
};

/** What is decided with. */
export type PlacementInput = {
	waiting: Iterable<LiveTask>;
	workers: Iterable<FleetWorker>;
	wallMs: number;
	nowMs: number;
};

/** Decides starts, most urgent first. */
export const place = ({waiting, workers, wallMs}: PlacementInput): Start[] => {
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
	for (const {task} of ranked) {
		const {step} = task;
		if (stuck.has(step) || gangs.has(step)) {
			continue;
		}

		if (step.spec.isGang) {
			gangs.add(step);
			starts.push(...placeGang(step, candidates));
			continue;
		}

		const candidate = choose(step, candidates);
		if (candidate) {
			take(candidate, step);
			starts.push({task, worker: candidate.worker});
		} else {
			stuck.add(step);
		}
	}

	return starts;
};

const createCandidate = (worker: FleetWorker): Candidate => {
	const ofStep = new Map<LiveStep, number>();
	let fillers = 0;
	let servers = 0;
	for (const {task: {step}} of worker.runs) {
		ofStep.set(step, (ofStep.get(step) ?? 0) + 1);
		fillers += step.spec.isFilling ? 1 : 0;
		servers += step.spec.targetMs > 0 ? 1 : 0;
	}

	return {
		worker, free: getFreeRoom(worker), rack: getRack(worker.report!), ofStep, fillers, servers,
	};
};

const take = (candidate: Candidate, step: LiveStep): void => {
	candidate.free.milliCpu -= getMilliCpu(step.spec);
	candidate.free.memoryMb -= step.spec.memoryMb;
	candidate.free.accelerators -= step.spec.accelerators;
	candidate.ofStep.set(step, (candidate.ofStep.get(step) ?? 0) + 1);
	candidate.fillers += step.spec.isFilling ? 1 : 0;
	candidate.servers += step.spec.targetMs > 0 ? 1 : 0;
};

const choose = (step: LiveStep, candidates: Candidate[]): Candidate | undefined => {
	let best: Candidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		if (canTake(step, candidate)) {
			const cost = getCost(step, candidate);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
	}

	return best;
};

const canTake = (step: LiveStep, {worker, free, ofStep}: Candidate): boolean =>
	isFitting(step.spec, free) && isSuited(step.spec, worker.report!)
	&& (step.spec.maxPerWorker === 0 || (ofStep.get(step) ?? 0) < step.spec.maxPerWorker);

// Far from its data a task takes `farFactor` times as long: that outweighs how well it fits.
const farCost = 10;
// A lasting step that loses one worker should lose few of its tasks.
const spreadCost = 2;
// A task that fills slows what serves beside it; another worker with room is always the better one.
const disturbCost = 3;

const getCost = (step: LiveStep, candidate: Candidate): number => {
	const {spec} = step;
	const {worker: {report}, free, rack, ofStep, fillers, servers} = candidate;
	const farness = spec.dataRack !== undefined && spec.dataRack !== rack ? farCost : 0;
	const usedShare = 1 - (free.milliCpu / Math.max(1, report!.milliCpu));
	if (spec.isLasting) {
		return farness + (spreadCost * (ofStep.get(step) ?? 0)) + usedShare + (spec.targetMs > 0 ? fillers * disturbCost : 0);
	}

	if (spec.isFilling) {
		// Each gets a part of what others leave unused.
		const sharePerTask = Math.max(0, free.milliCpu) / ((fillers + 1) * Math.max(1, spec.milliCpu));
		return farness + (servers * disturbCost) - Math.min(1, sharePerTask);
	}

	// Filling up the fullest first keeps room for wide tasks elsewhere.
	return farness - usedShare + (fillers > 0 ? 0.2 : 0);
};

/** All members or none; on one rack if the step asks for it and one has the room. */
const placeGang = (step: LiveStep, candidates: Candidate[]): Start[] => {
	if (step.tasks.some(task => task.runs.length > 0)) {
		return [];
	}

	const racks = step.spec.isSameRack ? [...new Set(candidates.map(candidate => candidate.rack))] : [];
	for (const rack of [...racks, undefined]) {
		const starts = tryGang(step, rack === undefined ? candidates : candidates.filter(candidate => candidate.rack === rack));
		if (starts.length > 0) {
			return starts;
		}
	}

	return [];
};

const tryGang = (step: LiveStep, candidates: Candidate[]): Start[] => {
	const trial = candidates.map(candidate => ({...candidate, free: {...candidate.free}, ofStep: new Map(candidate.ofStep)}));
	const starts: Start[] = [];
	for (const task of step.tasks) {
		const candidate = choose(step, trial);
		if (!candidate) {
			return [];
		}

		take(candidate, step);
		starts.push({task, worker: candidate.worker});
	}

	for (const [index, candidate] of candidates.entries()) {
		Object.assign(candidate, trial[index]);
	}

	return starts;
};

/** Whether any worker could ever run a task of the step. */
export const isPlaceable = (step: WorkflowStep, workers: Iterable<FleetWorker>): boolean => {
	for (const {report} of workers) {
		if (report && isSuited(step, report)) {
			return true;
		}
	}

	return false;
};
