/**
Decides which waiting tasks start now, and on which workers. Pure: tasks, workers and the time are arguments.
*/
import {groupBy} from '../utils/group-by.ts';
import {type FleetWorker} from './fleet-view.ts';
import {type BestEffortInterference} from './best-effort-interference.ts';
import {getRequestedShare} from './interference-throttling.ts';
import {isIdleWithin, type IdleOptions} from './job-idleness.ts';
import {type LiveStep, type LiveTask, type LiveWorkflow} from './live-model.ts';
import {createCandidate, getSpareMilliCpu, type Candidate} from './placement-candidates.ts';
import {Mechanism, type Policy} from './policy.ts';
import {
	StepPlacement, WaitReason, type IsAllowed, type StepPlacementOptions,
} from './step-placement.ts';
import {type GetRank} from './task-order.ts';
import {InterferenceTrials} from './interference-trials.ts';

/** A decision to start a task on a worker. */
export type Start = {
	task: LiveTask;
	worker: FleetWorker;
	/** Whether it starts because its job has waited too long without an active run. */
	isIdleStart: boolean;
};

/** Input of a placement. */
export type PlacementInput = {
	waiting: Iterable<LiveTask>;
	workers: Iterable<FleetWorker>;
	nowMs: number;
	/** Delay until starts of the next cycle may begin: a job whose last run ends sooner is idle until then. */
	nextStartDelayMs: number;
	interference: BestEffortInterference;
	/** Predicts the run time of a task of the step at full speed. */
	getTaskMs: (step: LiveStep) => number;
	/** Creates the order in which tasks are placed, given the spare CPU in thousandths of a core. */
	createRank: (spareMilliCpu: number) => GetRank;
	/** Whether a queue's policy lets the step run on the worker. */
	isAllowed: IsAllowed;
	policy: Policy;
};

/** Result of a placement. */
export type PlacementResult = {
	starts: Start[];
	/** Number of tasks that were not placed, by reason. */
	waits: Map<WaitReason, number>;
	/** CPU used by no task other than best-effort tasks, in thousandths of a core. */
	spareMilliCpu: number;
	/** Placements of the steps that wait for interference, in order of rank. */
	refused: StepPlacement[];
};

/** Decides which tasks start, in order of rank. */
export const place = ({waiting, workers, nowMs, nextStartDelayMs, interference, getTaskMs, createRank, isAllowed, policy}: PlacementInput): PlacementResult => {
	const tasks = [...waiting];
	const waits = new Map<WaitReason, number>();
	if (tasks.length === 0) {
		return {
			starts: [], waits, spareMilliCpu: 0, refused: [],
		};
	}

	const candidates = [...workers].map(worker => createCandidate(worker, interference));
	const spareMilliCpu = getSpareMilliCpu(candidates);
	const rank = createRank(spareMilliCpu);
	const options: StepPlacementOptions = {
		interference,
		isAllowed,
		policy,
		trials: new InterferenceTrials(interference, candidates),
		isInterferenceAllowed: false,
		isInterferenceFreeCpuShort: isInterferenceFreeCpuShort(tasks, candidates),
	};
	const getStepPlacement = createStepPlacementCache(candidates, options);
	const starts: Start[] = [];
	const refused: StepPlacement[] = [];
	const started = new Set<LiveWorkflow>();
	for (const [step, waitingTasks] of rankSteps(tasks, rank)) {
		if (step.spec.isGang) {
			starts.push(...placeGang(step, candidates, options));
			continue;
		}

		const isStarvingStep = policy[Mechanism.IdleStart] && !started.has(step.workflow) && isStarving(step, waitingTasks, nextStartDelayMs, {nowMs, getTaskMs});
		for (const [index, task] of waitingTasks.entries()) {
			// A starved job starts one task even where it interferes with latency-critical tasks.
			const isIdleStart = isStarvingStep && !started.has(step.workflow);
			const placement = getStepPlacement(step, isIdleStart);
			const candidate = placement.assign(task);
			if (!candidate) {
				// If one task of a step finds no worker, no other task of the step does.
				const reason = placement.getWaitReason();
				waits.set(reason, (waits.get(reason) ?? 0) + waitingTasks.length - index);
				if (reason === WaitReason.Interference) {
					refused.push(placement);
				}

				break;
			}

			started.add(step.workflow);
			starts.push({task, worker: candidate.worker, isIdleStart});
		}
	}

	return {
		starts, waits, spareMilliCpu, refused,
	};
};

/** Groups tasks by step. */
export const groupBySteps = (tasks: Iterable<LiveTask>): Map<LiveStep, LiveTask[]> => groupBy(tasks, ({step}) => step);

/** Groups tasks by step and orders the steps by rank; all tasks of a step have the same rank. */
const rankSteps = (tasks: LiveTask[], rank: GetRank): Array<[LiveStep, LiveTask[]]> => {
	const groups = groupBySteps(tasks);
	const ranks = new Map([...groups].map(([step, group]) => [step, rank(group[0]!)]));
	return [...groups].toSorted(([a], [b]) => ranks.get(a)! - ranks.get(b)!);
};

/** Creates a lookup that reuses the worker costs of a step until the next step is placed, which changes the free capacity. */
const createStepPlacementCache = (candidates: Candidate[], options: StepPlacementOptions): ((step: LiveStep, isInterferenceAllowed: boolean) => StepPlacement) => {
	let last: {step: LiveStep; isInterferenceAllowed: boolean; placement: StepPlacement} | undefined;
	return (step, isInterferenceAllowed) => {
		if (last?.step !== step || last.isInterferenceAllowed !== isInterferenceAllowed) {
			last = {step, isInterferenceAllowed, placement: new StepPlacement(step, candidates, {...options, isInterferenceAllowed})};
		}

		return last.placement;
	};
};

/**
A job without an active run waits at most this long for a worker where its tasks interfere with no other. If all workers
run latency-critical tasks, there may never be such a worker, and the job would never start although CPU is idle. The
throttle controller then limits what the task uses.
*/
const maxStarvationMs = 1500;

/** Whether waiting best-effort tasks request more CPU than is free on workers without latency-critical tasks. */
const isInterferenceFreeCpuShort = (tasks: LiveTask[], candidates: Candidate[]): boolean => {
	let requestedMilliCpu = 0;
	for (const {step: {spec}} of tasks) {
		requestedMilliCpu += spec.isFilling ? spec.milliCpu : 0;
	}

	let freeMilliCpu = 0;
	for (const {latencyCriticalLoads, unusedShare, demands, worker: {report}} of candidates) {
		if (latencyCriticalLoads.length === 0) {
			freeMilliCpu += Math.max(0, unusedShare - getRequestedShare(demands)) * report!.milliCpu;
		}
	}

	return requestedMilliCpu > freeMilliCpu;
};

const isStarving = ({spec, workflow}: LiveStep, waitingTasks: LiveTask[], nextStartDelayMs: number, options: IdleOptions): boolean =>
	spec.isFilling
	&& (workflow.isStarved || waitingTasks.some(({waitingSinceMs}) => options.nowMs - waitingSinceMs > maxStarvationMs))
	&& isIdleWithin(workflow, nextStartDelayMs, options);

/**
Creates a check whether a task would find a worker among those that it does not avoid. The workers are scanned once
for all tasks that are checked, because a scan takes about as long as a scheduling cycle.
*/
export const createPlacementCheck = (
	workers: Iterable<FleetWorker>,
	{interference, isAllowed, policy}: Pick<PlacementInput, 'interference' | 'isAllowed' | 'policy'>,
): ((task: LiveTask) => boolean) => {
	// The result does not depend on the cost of the workers, so rank and shortage of free CPU are left out.
	const placements = new Map<LiveStep, StepPlacement>();
	let candidates: Candidate[] | undefined;
	let trials: InterferenceTrials | undefined;
	return task => {
		candidates ??= [...workers].map(worker => createCandidate(worker, interference));
		trials ??= new InterferenceTrials(interference, candidates);
		const placement = placements.get(task.step) ?? new StepPlacement(task.step, candidates, {
			interference, isAllowed, policy, trials, isInterferenceAllowed: false, isInterferenceFreeCpuShort: false,
		});
		placements.set(task.step, placement);
		return placement.canPlace(task);
	};
};

/** Starts all members of a gang or none; on one rack if the step asks for it and a rack has the capacity. */
const placeGang = (step: LiveStep, candidates: Candidate[], options: StepPlacementOptions): Start[] => {
	if (step.tasks.some(task => task.runs.length > 0)) {
		return [];
	}

	const racks = step.spec.isSameRack ? [...new Set(candidates.map(candidate => candidate.rack))] : [];
	for (const rack of [...racks, undefined]) {
		const starts = tryPlaceGang(step, rack === undefined ? candidates : candidates.filter(candidate => candidate.rack === rack), options);
		if (starts.length > 0) {
			return starts;
		}
	}

	return [];
};

const tryPlaceGang = (step: LiveStep, candidates: Candidate[], options: StepPlacementOptions): Start[] => {
	const copies = candidates.map(candidate => ({
		...candidate, freeCapacity: {...candidate.freeCapacity}, taskCounts: new Map(candidate.taskCounts), bestEffortGains: new Map(candidate.bestEffortGains),
	}));
	const placement = new StepPlacement(step, copies, options);
	const starts: Start[] = [];
	for (const task of step.tasks) {
		const candidate = placement.assign(task);
		if (!candidate) {
			return [];
		}

		starts.push({task, worker: candidate.worker, isIdleStart: false});
	}

	for (const [index, candidate] of candidates.entries()) {
		Object.assign(candidate, copies[index]);
	}

	return starts;
};
