/**
Workers as a scheduling cycle sees them: free capacity and active runs, including what the cycle has assigned so far.
*/
import {type Capacity} from '../types/fleet.ts';
import {type WorkflowStep} from '../types/workflows.ts';
import {getFillers, getServers, type FillHarm} from './fill-harm.ts';
import {
	getFreeRoom, getMilliCpu, getRack, type FleetWorker,
} from './fleet-view.ts';
import {type FillDemand, type ServingTask} from './harm-pacing.ts';
import {type LiveStep, type LiveTask} from './live-model.ts';

/** One worker in a cycle. */
export type Candidate = {
	worker: FleetWorker;
	free: Capacity;
	rack: string | undefined;
	/** Number of tasks on the worker, for steps that limit it. */
	ofStep: Map<LiveStep, number>;
	/** Share of the CPU available to best-effort tasks, and what those on the worker request. */
	unusedShare: number;
	demands: FillDemand[];
	/** One entry for each latency-critical job on the worker: its tasks have the same load. */
	servers: ServingTask[];
	/** Cached share of the CPU at work for best-effort tasks, and gain from one more task by image and size. Cleared by an assignment. */
	filledShare: number | undefined;
	fillSpeeds: Map<string, number>;
};

/** Load of latency-critical tasks may rise by this much while a best-effort task runs. */
const loadRiseMargin = 0.08;

/** Creates the candidate for the current state of a worker. */
export const createCandidate = (worker: FleetWorker, harm: FillHarm): Candidate => {
	const ofStep = new Map<LiveStep, number>();
	for (const {task: {step}} of worker.runs) {
		if (step.spec.maxPerWorker > 0) {
			ofStep.set(step, (ofStep.get(step) ?? 0) + 1);
		}
	}

	const {milliCpu} = worker.report!;
	return {
		worker,
		free: getFreeRoom(worker),
		rack: getRack(worker.report!),
		ofStep,
		unusedShare: getUnusedShare(worker, harm),
		demands: getFillers(worker.runs, worker.paces, {milliCpu, nowMs: 0}),
		servers: getLatencyCriticalJobs(worker, harm),
		filledShare: undefined,
		fillSpeeds: new Map(),
	};
};

const getLatencyCriticalJobs = ({runs}: FleetWorker, harm: FillHarm): ServingTask[] => {
	const jobs = new Map(getServers(runs).map(({image, job}) => [job, image]));
	return [...jobs].map(([job, image]) => ({image, load: harm.getRisenLoad(job, loadRiseMargin)}));
};

/** Latency-critical tasks use their CPU in proportion to their load, other tasks all of it. */
const getUnusedShare = ({report, runs}: FleetWorker, harm: FillHarm): number => {
	let usedMilliCpu = 0;
	for (const {task: {step: {spec, servingName}}} of runs) {
		usedMilliCpu += getMilliCpu(spec) * (spec.targetMs > 0 ? harm.getLoad(servingName) : 1);
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

/** Books the capacity of a task that starts on the worker. */
export const take = (candidate: Candidate, {step}: LiveTask, harm: FillHarm): void => {
	const {spec} = step;
	const {milliCpu} = candidate.worker.report!;
	candidate.free.milliCpu -= getMilliCpu(spec);
	candidate.free.memoryMb -= spec.memoryMb;
	candidate.free.accelerators -= spec.accelerators;
	candidate.ofStep.set(step, (candidate.ofStep.get(step) ?? 0) + 1);
	candidate.filledShare = undefined;
	candidate.fillSpeeds.clear();
	if (candidate.worker.health.isProbing) {
		// A single task shows whether the worker has recovered.
		candidate.free.milliCpu = -1;
	}

	if (spec.isFilling) {
		candidate.demands = addDemand(candidate.demands, spec, milliCpu);
	} else if (spec.targetMs > 0) {
		const load = harm.getLoad(step.servingName);
		candidate.unusedShare -= load * spec.milliCpu / milliCpu;
		candidate.servers = [...candidate.servers, {image: spec.image ?? '', load: harm.getRisenLoad(step.servingName, loadRiseMargin)}];
	} else {
		candidate.unusedShare -= spec.milliCpu / milliCpu;
	}
};

/** Adds the demand of one more task. */
export const addDemand = (demands: FillDemand[], spec: WorkflowStep, milliCpu: number): FillDemand[] => {
	const image = spec.image ?? '';
	const share = spec.milliCpu / milliCpu;
	return demands.some(demand => demand.image === image)
		? demands.map(demand => demand.image === image ? {image, share: demand.share + share} : demand)
		: [...demands, {image, share}];
};
