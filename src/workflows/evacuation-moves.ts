/**
Chooses runs to move out of evacuated failure domains: long-running tasks first, a few at a time, and only into capacity that is found before they stop.
Answers a domain full of tasks that never end by themselves, while the other domains have work of their own.
*/
import {type BestEffortInterference} from './best-effort-interference.ts';
import {type FleetWorker} from './fleet-view.ts';
import {getRequestedShare} from './interference-throttling.ts';
import {InterferenceTrials} from './interference-trials.ts';
import {
	RunPhase, type LiveRun, type LiveStep, type LiveTask,
} from './live-model.ts';
import {groupBySteps} from './placement.ts';
import {createCandidate, type Candidate} from './placement-candidates.ts';
import {type Policy} from './policy.ts';
import {estimateRemainingMs} from './relocation.ts';
import {StepPlacement, type IsAllowed} from './step-placement.ts';

/** What keeps a run in an evacuated failure domain; the names of the counts in the log. */
export enum EvacuationHold {
	/** It stays until it ends: best-effort work, gangs, and tasks that would lose their work or end soon. */
	Ends = 'ends',
	/** It is starting up, or its agent does not answer. */
	NotAtWork = 'notAtWork',
	/** Its stop is ordered. */
	Moving = 'moving',
	/** It writes checkpoints, and none was seen since the evacuation began. */
	Checkpoint = 'checkpoint',
	/** Others are on their way. */
	Pace = 'pace',
	NoCapacity = 'noCapacity',
	Budget = 'budget',
	/** The owner may not know all runs, or could not start the task in time. */
	Owner = 'owner',
}

/** Counts of the runs that are held, by failure domain. */
export type EvacuationHolds = Map<string, Map<EvacuationHold, number>>;

/** Input of the choice. */
export type EvacuationMovesInput = {
	/** Workers of evacuated failure domains. */
	workers: FleetWorker[];
	nowMs: number;
	/** Tasks that were stopped and are not at work elsewhere yet. */
	moving: Iterable<LiveTask>;
	/** Whether the owner could start the task elsewhere at once. */
	mayStart: (task: LiveTask) => boolean;
	/** Whether the task wrote a checkpoint since the evacuation began. */
	hasNewCheckpoint: (task: LiveTask) => boolean;
	/** Whether there is capacity for the task that stays free; reserves it. */
	reserveCapacity: (task: LiveTask) => boolean;
	/** Whether the budget of the task's step allows the stop. */
	mayStop: (task: LiveTask) => boolean;
	/** Counts the task as away. */
	recordStop: (task: LiveTask) => void;
};

/** Limit of the tasks that are on their way at a time: each is away for its start-up time. */
const maxMoving = 3;
/** A task that ends within this time stays: a move costs its restart and the search for a place. */
const minRemainingMs = 10_000;
/** Agents send their state at least every half second. */
const maxStateAgeMs = 800;
const fullPercent = 100;

/** Chooses runs to stop, and counts what holds the others. */
export const chooseEvacuationMoves = (input: EvacuationMovesInput): {moves: Array<{worker: FleetWorker; run: LiveRun}>; holds: EvacuationHolds} => {
	const moving = new Set(input.moving);
	const movingSteps = new Set<LiveStep>([...moving].map(({step}) => step));
	const moves: Array<{worker: FleetWorker; run: LiveRun}> = [];
	const holds: EvacuationHolds = new Map();
	const runs = input.workers.flatMap(worker => [...worker.runs].map(run => ({worker, run})));
	// Tasks that end by themselves need a move less.
	for (const {worker, run} of runs.toSorted((a, b) => Number(b.run.task.step.spec.isLasting) - Number(a.run.task.step.spec.isLasting))) {
		const {task} = run;
		const hold = getHold(worker, run, input) ?? (moving.size >= maxMoving || movingSteps.has(task.step) ? EvacuationHold.Pace : undefined)
			?? (input.mayStop(task) ? undefined : EvacuationHold.Budget) ?? (input.reserveCapacity(task) ? undefined : EvacuationHold.NoCapacity);
		if (hold === undefined) {
			input.recordStop(task);
			moves.push({worker, run});
			moving.add(task);
			movingSteps.add(task.step);
		}

		countHold(holds, worker.report!.failureDomain, hold ?? EvacuationHold.Moving);
	}

	return {moves, holds};
};

const getHold = (worker: FleetWorker, run: LiveRun, {nowMs, mayStart, hasNewCheckpoint}: EvacuationMovesInput): EvacuationHold | undefined => {
	const {phase, percent, task} = run;
	const {spec, workflow} = task.step;
	if (phase === RunPhase.Stopping) {
		return EvacuationHold.Moving;
	}

	const canContinue = spec.isLasting || (spec.isCheckpointing && estimateRemainingMs(run, nowMs) >= minRemainingMs);
	if (workflow.isFinished || task.isDone || spec.isGang || spec.isSpeculative || spec.isFilling || !canContinue) {
		return EvacuationHold.Ends;
	}

	const isHeard = worker.isAnswering && worker.unresponsiveSinceMs === undefined && nowMs - worker.lastReplyAtMs <= maxStateAgeMs;
	// A draining worker is left for its own reason.
	if (!isHeard || worker.report!.isDraining || phase !== RunPhase.Running || (spec.isLasting && percent < fullPercent)) {
		return EvacuationHold.NotAtWork;
	}

	if (!spec.isLasting && !hasNewCheckpoint(task)) {
		return EvacuationHold.Checkpoint;
	}

	return mayStart(task) ? undefined : EvacuationHold.Owner;
};

const countHold = (holds: EvacuationHolds, failureDomain: string, hold: EvacuationHold): void => {
	const counts = holds.get(failureDomain) ?? new Map<EvacuationHold, number>();
	holds.set(failureDomain, counts.set(hold, (counts.get(hold) ?? 0) + 1));
};

/** What capacity is searched with. */
export type CapacitySearch = {
	workers: FleetWorker[];
	/** Tasks that get their capacity first: those that wait, and those on their way. */
	waiting: Iterable<LiveTask>;
	interference: BestEffortInterference;
	isAllowed: IsAllowed;
	policy: Policy;
};

/** Capacity is found twice: jobs that arrive until the task starts may take one place. */
const placesPerTask = 2;

/** Creates a search for capacity that stays free: beside waiting tasks, and on processors that best-effort tasks there do not use. */
export const createCapacitySearch = ({workers, waiting, interference, isAllowed, policy}: CapacitySearch): ((task: LiveTask) => boolean) => {
	let candidates: Candidate[] | undefined;
	const assign = (step: LiveStep, tasks: LiveTask[], eligible: Candidate[]): number => {
		const placement = new StepPlacement(step, eligible, {
			interference, isAllowed, policy, trials: new InterferenceTrials(interference, eligible), isInterferenceAllowed: false, isInterferenceFreeCpuShort: false,
		});
		return tasks.filter(task => placement.assign(task) !== undefined).length;
	};

	return task => {
		if (!candidates) {
			candidates = workers.map(worker => createCandidate(worker, interference));
			for (const [step, tasks] of groupBySteps(waiting)) {
				assign(step, tasks, candidates);
			}
		}

		const {step} = task;
		return assign(step, Array.from({length: placesPerTask}, () => task), candidates.filter(candidate => hasUnusedCpu(candidate, task))) === placesPerTask;
	};
};

/** Whether the processors that the task asks for are used by nothing on the worker, best-effort tasks included. */
const hasUnusedCpu = ({unusedShare, demands, worker: {report}}: Candidate, {step: {spec}}: LiveTask): boolean =>
	unusedShare - getRequestedShare(demands) >= spec.milliCpu / report!.milliCpu;
