/**
Workers as a scheduling cycle sees them: free capacity and active runs, including what the cycle has assigned so far.
*/
import {type WorkflowStep} from '../types/workflows.ts';
import {limitFreeCapacity, type OpenCapacity} from './cold-workers.ts';
import {getBestEffortGroups, getLatencyCriticalTasks, type BestEffortInterference} from './best-effort-interference.ts';
import {
	getFreeCapacity, getReservedMilliCpu, getRack, type FleetWorker,
} from './fleet-view.ts';
import {type BestEffortDemand, type LatencyCriticalLoad} from './interference-throttling.ts';
import {type LiveStep, type LiveTask} from './live-model.ts';

/** One worker in a cycle. */
export type Candidate = OpenCapacity & {
	worker: FleetWorker;
	rack: string | undefined;
	/** Number of tasks on the worker, for steps that limit it. */
	taskCounts: Map<LiveStep, number>;
	/** Share of the CPU available to best-effort tasks, and what those on the worker request. */
	unusedShare: number;
	demands: BestEffortDemand[];
	/** One entry for each latency-critical job on the worker: its tasks have the same load. */
	latencyCriticalLoads: LatencyCriticalLoad[];
	/** Cached share of the CPU that the best-effort tasks on the worker can use, and gain from one more task by image and size. Cleared by an assignment. */
	bestEffortShare: number | undefined;
	bestEffortGains: Map<string, number>;
};

/** Load of latency-critical tasks may rise by this much while a best-effort task runs. */
const loadRiseMargin = 0.08;

/** Creates the candidate for the current state of a worker. */
export const createCandidate = (worker: FleetWorker, interference: BestEffortInterference): Candidate => {
	const taskCounts = new Map<LiveStep, number>();
	for (const {task: {step}} of worker.runs) {
		if (step.spec.maxPerWorker > 0) {
			taskCounts.set(step, (taskCounts.get(step) ?? 0) + 1);
		}
	}

	const {milliCpu} = worker.report!;
	return {
		worker,
		...limitFreeCapacity(worker, getFreeCapacity(worker)),
		rack: getRack(worker.report!),
		taskCounts,
		unusedShare: getUnusedShare(worker, interference) * (worker.openShare ?? 1),
		demands: getBestEffortGroups(worker.runs, worker.throttles, {milliCpu, nowMs: 0}),
		latencyCriticalLoads: getLatencyCriticalJobs(worker, interference),
		bestEffortShare: undefined,
		bestEffortGains: new Map(),
	};
};

const getLatencyCriticalJobs = ({runs}: FleetWorker, interference: BestEffortInterference): LatencyCriticalLoad[] => {
	const jobs = new Map(getLatencyCriticalTasks(runs).map(({image, job}) => [job, image]));
	return [...jobs].map(([job, image]) => ({image, load: interference.getBaseLoadWithRise(job, loadRiseMargin)}));
};

/** Latency-critical tasks use their CPU in proportion to their load, other tasks all of it. */
const getUnusedShare = ({report, runs}: FleetWorker, interference: BestEffortInterference): number => {
	let usedMilliCpu = 0;
	for (const {task: {step: {spec, loadKey}}} of runs) {
		usedMilliCpu += getReservedMilliCpu(spec) * (spec.targetMs > 0 ? interference.getBaseLoad(loadKey) : 1);
	}

	return 1 - (usedMilliCpu / report!.milliCpu);
};

/** CPU used by no task other than best-effort tasks, in thousandths of a core. */
export const getSpareMilliCpu = (candidates: Candidate[]): number => {
	let spareMilliCpu = 0;
	for (const {unusedShare, worker: {report}} of candidates) {
		spareMilliCpu += Math.max(0, unusedShare) * report!.milliCpu;
	}

	return spareMilliCpu;
};

/** Reserves the capacity of a task that starts on the worker. */
export const reserve = (candidate: Candidate, {step}: LiveTask, interference: BestEffortInterference): void => {
	const {spec} = step;
	const {milliCpu} = candidate.worker.report!;
	candidate.freeCapacity.milliCpu -= getReservedMilliCpu(spec) + candidate.heldBackMilliCpu;
	candidate.heldBackMilliCpu = 0;
	candidate.freeCapacity.memoryMb -= spec.memoryMb;
	candidate.freeCapacity.accelerators -= spec.accelerators;
	candidate.taskCounts.set(step, (candidate.taskCounts.get(step) ?? 0) + 1);
	candidate.bestEffortShare = undefined;
	candidate.bestEffortGains.clear();
	if (candidate.worker.health.isProbing) {
		// A single task shows whether the worker has recovered.
		candidate.freeCapacity.milliCpu = -1;
	}

	if (spec.isFilling) {
		candidate.demands = addDemand(candidate.demands, spec, milliCpu);
	} else if (spec.targetMs > 0) {
		const load = interference.getBaseLoad(step.loadKey);
		candidate.unusedShare -= load * spec.milliCpu / milliCpu;
		candidate.latencyCriticalLoads = [...candidate.latencyCriticalLoads, {image: spec.image ?? '', load: interference.getBaseLoadWithRise(step.loadKey, loadRiseMargin)}];
	} else {
		candidate.unusedShare -= spec.milliCpu / milliCpu;
	}
};

/** Adds the demand of one more task. */
export const addDemand = (demands: BestEffortDemand[], spec: WorkflowStep, milliCpu: number): BestEffortDemand[] => {
	const image = spec.image ?? '';
	const share = spec.milliCpu / milliCpu;
	return demands.some(demand => demand.image === image)
		? demands.map(demand => demand.image === image ? {image, share: demand.share + share} : demand)
		: [...demands, {image, share}];
};
