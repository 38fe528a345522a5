/**
Decides which waiting tasks start now, and where. Pure: it is given the tasks, the workers and the time.
*/
import {type FleetWorker} from './fleet-view.ts';
import {type FillHarm} from './fill-harm.ts';
import {getAskedShare} from './harm-pacing.ts';
import {
	isIdleWithin, type LiveStep, type LiveTask, type LiveWorkflow,
} from './live-model.ts';
import {createCandidate, getSpareMilliCpu, type Candidate} from './placement-candidates.ts';
import {Mechanism, type Policy} from './policy.ts';
import {
	StepPlaces, type IsAllowed, type PlaceTerms, type WaitReason,
} from './step-places.ts';
import {type RankTask} from './task-order.ts';
import {Trials} from './trials.ts';

/** A start that was decided. */
export type Start = {
	task: LiveTask;
	worker: FleetWorker;
};

/** What is decided with. */
export type PlacementInput = {
	waiting: Iterable<LiveTask>;
	workers: Iterable<FleetWorker>;
	nowMs: number;
	/** In how long starts of the next cycle may begin: what ends before leaves its job idle until then. */
	nextStartMs: number;
	harm: FillHarm;
	/** In which order tasks are served, given the processors that nothing else uses, in thousandths of a core. */
	createRank: (spareMilliCpu: number) => RankTask;
	/** Whether a queue's policy lets the step run on the worker. */
	isAllowed: IsAllowed;
	policy: Policy;
};

/** What was decided in a cycle. */
export type PlacementResult = {
	starts: Start[];
	/** Tasks that wait on, by reason. */
	waits: Map<WaitReason, number>;
	/** Processors that nothing but filling tasks uses, in thousandths of a core. */
	spareMilliCpu: number;
};

/** Decides starts, most urgent first. */
export const place = ({waiting, workers, nowMs, nextStartMs, harm, createRank, isAllowed, policy}: PlacementInput): PlacementResult => {
	const tasks = [...waiting];
	const waits = new Map<WaitReason, number>();
	if (tasks.length === 0) {
		return {starts: [], waits, spareMilliCpu: 0};
	}

	const candidates = [...workers].map(worker => createCandidate(worker, harm));
	const spareMilliCpu = getSpareMilliCpu(candidates);
	const rank = createRank(spareMilliCpu);
	const terms: PlaceTerms = {
		harm, isAllowed, policy, trials: new Trials(harm, candidates), mustRun: false, isUnservedShort: isUnservedShort(tasks, candidates),
	};
	const findPlaces = createPlacesFinder(candidates, terms);
	const starts: Start[] = [];
	const started = new Set<LiveWorkflow>();
	for (const [step, waitingTasks] of rankSteps(tasks, rank)) {
		if (step.spec.isGang) {
			starts.push(...placeGang(step, candidates, terms));
			continue;
		}

		const isIdleStart = policy[Mechanism.IdleStart] && !started.has(step.workflow) && isStarving(step, waitingTasks, {nowMs, nextStartMs});
		for (const [index, task] of waitingTasks.entries()) {
			// A job that starves starts one task where it disturbs.
			const places = findPlaces(step, isIdleStart && !started.has(step.workflow));
			const candidate = places.take(task);
			if (!candidate) {
				// A step of which one task found no place has none for its equals either.
				const reason = places.getWaitReason();
				waits.set(reason, (waits.get(reason) ?? 0) + waitingTasks.length - index);
				break;
			}

			started.add(step.workflow);
			starts.push({task, worker: candidate.worker});
		}
	}

	return {starts, waits, spareMilliCpu};
};

/** Groups tasks by step, most urgent first: tasks of a step have one rank. */
const rankSteps = (tasks: LiveTask[], rank: RankTask): Array<[LiveStep, LiveTask[]]> => {
	const groups = new Map<LiveStep, LiveTask[]>();
	for (const task of tasks) {
		const group = groups.get(task.step);
		if (group) {
			group.push(task);
		} else {
			groups.set(task.step, [task]);
		}
	}

	const ranks = new Map([...groups].map(([step, group]) => [step, rank(group[0]!)]));
	return [...groups].toSorted(([a], [b]) => ranks.get(a)! - ranks.get(b)!);
};

/** Tasks of a step come one after the other: its places are kept until another step's turn changes what is free. */
const createPlacesFinder = (candidates: Candidate[], terms: PlaceTerms): ((step: LiveStep, mustRun: boolean) => StepPlaces) => {
	let last: {step: LiveStep; mustRun: boolean; places: StepPlaces} | undefined;
	return (step, mustRun) => {
		if (last?.step !== step || last.mustRun !== mustRun) {
			last = {step, mustRun, places: new StepPlaces(step, candidates, {...terms, mustRun})};
		}

		return last.places;
	};
};

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
			freeMilliCpu += Math.max(0, unusedShare - getAskedShare(demands)) * report!.milliCpu;
		}
	}

	return askedMilliCpu > freeMilliCpu;
};

const isStarving = ({spec, workflow}: LiveStep, waitingTasks: LiveTask[], {nowMs, nextStartMs}: Pick<PlacementInput, 'nowMs' | 'nextStartMs'>): boolean =>
	spec.isFilling && waitingTasks.some(({waitsSinceMs}) => nowMs - waitsSinceMs > maxWaitMs) && isIdleWithin(workflow, nextStartMs, nowMs);

/**
Creates the question whether a task would find a place on a worker that it does not avoid. The workers are looked at once,
for all tasks that are asked about: each look takes about as long as a scheduling cycle.
*/
export const createPlaceFinder = (workers: Iterable<FleetWorker>, {harm, isAllowed, policy}: Pick<PlacementInput, 'harm' | 'isAllowed' | 'policy'>): ((task: LiveTask) => boolean) => {
	// Whether there is a place does not depend on which one would be best.
	const known = new Map<LiveStep, StepPlaces>();
	let candidates: Candidate[] | undefined;
	let trials: Trials | undefined;
	return task => {
		candidates ??= [...workers].map(worker => createCandidate(worker, harm));
		trials ??= new Trials(harm, candidates);
		const places = known.get(task.step) ?? new StepPlaces(task.step, candidates, {
			harm, isAllowed, policy, trials, mustRun: false, isUnservedShort: false,
		});
		known.set(task.step, places);
		return places.hasPlace(task);
	};
};

/** All members or none; on one rack if the step asks for it and one has the room. */
const placeGang = (step: LiveStep, candidates: Candidate[], terms: PlaceTerms): Start[] => {
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

const tryGang = (step: LiveStep, candidates: Candidate[], terms: PlaceTerms): Start[] => {
	const trial = candidates.map(candidate => ({
		...candidate, free: {...candidate.free}, ofStep: new Map(candidate.ofStep), fillSpeeds: new Map(candidate.fillSpeeds),
	}));
	const places = new StepPlaces(step, trial, terms);
	const starts: Start[] = [];
	for (const task of step.tasks) {
		const candidate = places.take(task);
		if (!candidate) {
			return [];
		}

		starts.push({task, worker: candidate.worker});
	}

	for (const [index, candidate] of candidates.entries()) {
		Object.assign(candidate, trial[index]);
	}

	return starts;
};
