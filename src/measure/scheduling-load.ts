/**
Loads for simulating the owner's scheduling decisions: kinds of jobs with their sizes, run times, estimates and arrivals, and
the interference between them. The numbers are those that the users' sheets give for their sites.
*/
import {type Random} from '../types/random.ts';
import {type WorkflowSpec, type WorkflowStep} from '../types/workflows.ts';
import {OutageKind, type HostOutage} from './host-outages.ts';

/** A log-normal quantity with an upper bound. */
export type LogNormal = {mean: number; sigma: number; max: number};

/** A kind of job. */
export type JobKind = {
	name: string;
	arrivalsPerS: number;
	/** Jobs submitted at the start of the load. */
	initialCount: number;
	/** Credit for a job of mean size; for latency-critical jobs, for each window in which all tasks meet their target. */
	credit: number;
	priority: number;
	stretch: number;
	targetLatencyMs: number;
	maxAttempts: number;
	steps: LogNormal;
	tasksPerStep: LogNormal;
	workMs: LogNormal;
	/** Share of the jobs whose work is several times as long, which estimates do not show. */
	tail?: {share: number; factor: number};
	milliCpu: LogNormal;
	memoryMb: number;
	/** Standard deviation of the logarithm of estimate over work. */
	estimateSigma: number;
	/** Standard deviation of the logarithm of the work of a step's tasks. */
	taskSigma: number;
	errorShare: number;
	/** Share of the jobs whose tasks may have copies. */
	copyShare?: number;
	isCheckpointing: boolean;
	/** Best-effort: uses only processors that other tasks leave idle. */
	isBestEffort: boolean;
	/** Set for latency-critical jobs, which run until they are cancelled. The load varies periodically; a share of the jobs limits its tasks per worker. */
	latencyCritical?: {lifetimeS: LogNormal; targetMs: number; load: number; loadAmplitude: number; periodS: number; perWorkerLimitShare: number; perWorkerLimits: number[]};
	images: number;
};

/** A period in which jobs of one kind arrive more often. */
export type Burst = {kind: string; atS: number; durationS: number; factor: number};

/** Workers, kinds of jobs and events of one simulation. */
export type SchedulingLoad = {
	name: string;
	workers: number[];
	baseLatencyMs: number;
	/** Loads that a best-effort image with a whole worker may add to a latency-critical image; one is drawn for each pair of images. */
	addedLoads: number[];
	/** Share of the best-effort images that add no load to any latency-critical image. */
	harmlessShare?: number;
	kinds: JobKind[];
	bursts: Burst[];
	lengthS: number;
	/** Time of an outage in which all workers, agents and the owner lose their state; undefined: none. */
	outageAtS?: number;
	/** Every so many workers, one runs all tasks at a fraction of its speed for a time. */
	slowWorkers?: {every: number; speed: number; fromS: number; untilS: number};
	/** Times at which another owner takes over. */
	takeoversAtS?: number[];
	/** Outages of single hosts. */
	outages?: HostOutage[];
};

/** A job as submitted, with the true work of its tasks. */
export type GeneratedJob = {
	id: string;
	kind: JobKind;
	atMs: number;
	spec: WorkflowSpec;
	/** By step and index. */
	workMs: number[][];
	/** Length of the critical path at full speed. */
	criticalPathMs: number;
	coreMs: number;
	/** When it is cancelled; infinite for jobs that complete. */
	cancelAtMs: number;
	/** Phase of its load, 0 to 1. */
	loadPhase: number;
};

const secondMs = 1000;

const drawNormal = (random: Random): number => Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

/** Draws a value; the mean of the values before they are bounded is `mean`. */
const draw = (random: Random, {mean, sigma, max}: LogNormal): number =>
	Math.min(max, mean * Math.exp((sigma * drawNormal(random)) - (sigma * sigma / 2)));

const pick = (random: Random, values: number[]): number => values.length === 1 ? values[0]! : values[random.below(values.length)]!;

const createJob = (random: Random, kind: JobKind, atMs: number): GeneratedJob => {
	const {latencyCritical} = kind;
	const steps: WorkflowStep[] = [];
	const workMs: number[][] = [];
	let chainMs = 0;
	let coreMs = 0;
	const isLong = kind.tail !== undefined && random.next() < kind.tail.share;
	const stepCount = Math.max(1, Math.round(draw(random, kind.steps)));
	for (let index = 0; index < stepCount; index++) {
		const count = Math.max(1, Math.round(draw(random, kind.tasksPerStep)));
		const milliCpu = Math.max(50, Math.round(draw(random, kind.milliCpu) / 50) * 50);
		const expectedMs = draw(random, kind.workMs);
		const stepMs = isLong ? Math.min(kind.workMs.max, expectedMs * kind.tail!.factor) : expectedMs;
		const works = Array.from({length: count}, () => stepMs * Math.exp(kind.taskSigma * drawNormal(random)));
		steps.push({
			count,
			milliCpu,
			memoryMb: kind.memoryMb,
			accelerators: 0,
			estimateMs: Math.round(expectedMs * Math.exp(kind.estimateSigma * drawNormal(random))),
			after: index === 0 ? [] : [index - 1],
			isCheckpointing: kind.isCheckpointing,
			isGang: false,
			isSameRack: false,
			maxPerWorker: latencyCritical && random.next() < latencyCritical.perWorkerLimitShare ? pick(random, latencyCritical.perWorkerLimits) : 0,
			isSpeculative: kind.copyShare !== undefined && random.next() < kind.copyShare,
			isLasting: latencyCritical !== undefined,
			...(kind.images > 0 && {image: `${kind.name}-${random.below(kind.images)}`}),
			targetMs: latencyCritical?.targetMs ?? 0,
			isFilling: kind.isBestEffort,
		});
		workMs.push(works);
		chainMs += Math.max(...works);
		for (const work of works) {
			coreMs += work * milliCpu / 1000;
		}
	}

	return {
		id: random.id(),
		kind,
		atMs,
		spec: {
			input: '', steps, firstDueMs: 0, intervalMs: 0, repeatCount: 0,
		},
		workMs,
		criticalPathMs: chainMs,
		coreMs,
		cancelAtMs: latencyCritical ? atMs + (draw(random, latencyCritical.lifetimeS) * secondMs) : Number.POSITIVE_INFINITY,
		loadPhase: random.next(),
	};
};

/** Draws all jobs of a load, in the order of their arrival. */
export const generateJobs = ({kinds, bursts, lengthS}: SchedulingLoad, random: Random): GeneratedJob[] => {
	const jobs: GeneratedJob[] = [];
	for (const kind of kinds) {
		for (let index = 0; index < kind.initialCount; index++) {
			jobs.push(createJob(random, kind, 0));
		}

		const kindBursts = bursts.filter(burst => burst.kind === kind.name);
		const peak = Math.max(1, ...kindBursts.map(({factor}) => factor));
		for (let atS = 0; ;) {
			atS -= Math.log(1 - random.next()) / (kind.arrivalsPerS * peak);
			if (atS >= lengthS) {
				break;
			}

			const now = atS;
			const times = kindBursts.find(({atS: fromS, durationS}) => now >= fromS && now < fromS + durationS)?.factor ?? 1;
			if (random.next() < times / peak) {
				jobs.push(createJob(random, kind, atS * secondMs));
			}
		}
	}

	return jobs.toSorted((a, b) => a.atMs - b.atMs);
};

/** Speed of a worker at a time since the start of the load, 0 to 1. */
export const getWorkerSpeed = ({slowWorkers}: SchedulingLoad, index: number, ageMs: number): number =>
	slowWorkers && index % slowWorkers.every === 0 && ageMs >= slowWorkers.fromS * secondMs && ageMs < slowWorkers.untilS * secondMs ? slowWorkers.speed : 1;

const match: JobKind = {
	name: 'match', arrivalsPerS: 3.8, initialCount: 0, credit: 0.33, priority: 0, stretch: 1.5, targetLatencyMs: 250, maxAttempts: 3, steps: {mean: 1.6, sigma: 0.4, max: 4}, tasksPerStep: {mean: 6, sigma: 0.8, max: 36}, workMs: {mean: 1429, sigma: 0.5, max: 3570}, milliCpu: {mean: 240, sigma: 0.45, max: 720}, memoryMb: 480, estimateSigma: 0.9, taskSigma: 0.3, errorShare: 0.05, isCheckpointing: false, isBestEffort: false, images: 0,
};

const build: JobKind = {
	name: 'build', arrivalsPerS: 0.8, initialCount: 3, credit: 7.73, priority: 2, stretch: 2, targetLatencyMs: 1000, maxAttempts: 4, steps: {mean: 2, sigma: 0.4, max: 5}, tasksPerStep: {mean: 8, sigma: 0.6, max: 32}, workMs: {mean: 3857, sigma: 0.5, max: 9700}, milliCpu: {mean: 1800, sigma: 0.3, max: 3500}, memoryMb: 1600, estimateSigma: 0.9, taskSigma: 0.15, errorShare: 0.05, isCheckpointing: true, isBestEffort: true, images: 9,
};

const relay: JobKind = {
	name: 'relay', arrivalsPerS: 0.06, initialCount: 9, credit: 1.31, priority: 0, stretch: 2.2, targetLatencyMs: 2500, maxAttempts: 2, steps: {mean: 1, sigma: 0, max: 1}, tasksPerStep: {mean: 5.2, sigma: 0.3, max: 12}, workMs: {mean: 400, sigma: 0, max: 400}, milliCpu: {mean: 3200, sigma: 0.25, max: 5100}, memoryMb: 4000, estimateSigma: 0, taskSigma: 0, errorShare: 0, isCheckpointing: false, isBestEffort: false, images: 5, latencyCritical: {
		lifetimeS: {mean: 70, sigma: 0.5, max: 210}, targetMs: 18, load: 0.42, loadAmplitude: 0.5, periodS: 10, perWorkerLimitShare: 0.15, perWorkerLimits: [3],
	},
};

/** Latency-critical jobs of services with many workers: half of them limit their tasks on one worker. */
const manyWorkersProfile = {
	lifetimeS: {mean: 70, sigma: 0.5, max: 210}, load: 0.48, loadAmplitude: 0.5, periodS: 20, perWorkerLimitShare: 0.5, perWorkerLimits: [1, 2, 3],
};

// As observed on the users' sites: a third of the pairs interferes little, a third moderately, a third severely.
const effects = [0, 0, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 1.1, 1.4, 1.8, 2.2, 2.6, 3];
// As on a day on which images without interference were done first, and nearly all that waited disturbed all others.
const severeEffects = [1.5, 2, 2.5, 3, 3.5, 4];
const workers = [16_000, 16_000, 24_000, 16_000, 16_000, 24_000, 16_000, 16_000, 24_000, 16_000, 16_000];

/** A service with many workers: best-effort jobs with many tasks and images run beside many latency-critical tasks. */
const large: SchedulingLoad = {
	name: 'large',
	workers: Array.from({length: 160}, (_, index) => index % 3 === 2 ? 24_000 : 16_000),
	baseLatencyMs: 4,
	addedLoads: effects,
	kinds: [
		{
			...match, arrivalsPerS: 7.3, tasksPerStep: {mean: 9, sigma: 0.8, max: 56}, milliCpu: {mean: 950, sigma: 0.45, max: 2900}, memoryMb: 1900, taskSigma: 0.15,
		},
		{
			...build, arrivalsPerS: 3.2, initialCount: 8, credit: 4.18, tasksPerStep: {mean: 39, sigma: 0.6, max: 160}, workMs: {mean: 2429, sigma: 0.5, max: 6100}, memoryMb: 3200, taskSigma: 0.3, images: 30,
		},
		{
			...relay, arrivalsPerS: 0.12, initialCount: 35, credit: 1, tasksPerStep: {mean: 24, sigma: 0.4, max: 48}, memoryMb: 6400, images: 16, latencyCritical: {...manyWorkersProfile, targetMs: 25},
		},
	],
	bursts: [{
		kind: 'build', atS: 9, durationS: 6, factor: 1.4,
	}],
	lengthS: 30,
};

/** A service with large workers: a best-effort task takes a ninth of one, and latency-critical tasks use about half of what they reserve. */
const shifted: SchedulingLoad = {
	name: 'shifted',
	workers: Array.from({length: 73}, (_, index) => index % 3 === 2 ? 96_000 : 64_000),
	baseLatencyMs: 25,
	addedLoads: effects,
	kinds: [
		{
			...match, arrivalsPerS: 6.9, credit: 0.27, targetLatencyMs: 305, tasksPerStep: {mean: 9.5, sigma: 0.8, max: 57}, milliCpu: {mean: 1500, sigma: 0.45, max: 4600}, memoryMb: 3000, estimateSigma: 0.2, taskSigma: 0.15,
		},
		{
			...build, arrivalsPerS: 2.7, initialCount: 6, credit: 6.03, tasksPerStep: {mean: 20, sigma: 0.6, max: 80}, workMs: {mean: 3143, sigma: 0.5, max: 7714}, milliCpu: {mean: 7000, sigma: 0.3, max: 14_000}, memoryMb: 13_000, estimateSigma: 0.5, errorShare: 0.02, images: 18,
		},
		{
			...relay, arrivalsPerS: 0.08, initialCount: 24, credit: 1.08, tasksPerStep: {mean: 14, sigma: 0.4, max: 28}, milliCpu: {mean: 13_000, sigma: 0.25, max: 20_000}, memoryMb: 26_000, images: 10, latencyCritical: {...manyWorkersProfile, targetMs: 150, loadAmplitude: 0.6},
		},
	],
	bursts: [{
		kind: 'build', atS: 10, durationS: 6, factor: 1.5,
	}],
	lengthS: 34,
};

/** A service with small workers and too little capacity at times: best-effort jobs come in bursts, and estimates of checks are far off. */
const crowded: SchedulingLoad = {
	name: 'crowded',
	workers: Array.from({length: 55}, (_, index) => index % 3 === 2 ? 24_000 : 16_000),
	baseLatencyMs: 25,
	addedLoads: effects,
	kinds: [
		{
			...match, arrivalsPerS: 12.7, credit: 0.32, targetLatencyMs: 303, tasksPerStep: {mean: 9.5, sigma: 0.8, max: 57}, workMs: {mean: 914, sigma: 0.5, max: 2286}, milliCpu: {mean: 290, sigma: 0.45, max: 860}, memoryMb: 580, taskSigma: 0.15, errorShare: 0.005,
		},
		{
			...build, arrivalsPerS: 1.68, initialCount: 5, credit: 12.2, tasksPerStep: {mean: 20, sigma: 0.6, max: 80}, workMs: {mean: 3143, sigma: 0.5, max: 7714}, memoryMb: 3200, estimateSigma: 0.5, taskSigma: 0.3, errorShare: 0.005, images: 18, maxAttempts: 2,
		},
		{
			...relay, arrivalsPerS: 0.07, initialCount: 18, credit: 2.6, tasksPerStep: {mean: 14, sigma: 0.4, max: 28}, memoryMb: 6400, images: 10, latencyCritical: {...manyWorkersProfile, targetMs: 150},
		},
	],
	bursts: [{
		kind: 'build', atS: 5, durationS: 5.5, factor: 2.4,
	}, {
		kind: 'match', atS: 13, durationS: 4, factor: 1.5,
	}],
	lengthS: 34,
};

/** A service with uneven demand: arrivals rise and fall, estimates of wide jobs are far off, and a few jobs have several times the work of the others. */
const uneven: SchedulingLoad = {
	name: 'uneven',
	workers: Array.from({length: 54}, (_, index) => index % 3 === 2 ? 96_000 : 64_000),
	baseLatencyMs: 25,
	addedLoads: effects,
	kinds: [
		{
			...match, arrivalsPerS: 7.87, credit: 0.37, targetLatencyMs: 251, tasksPerStep: {mean: 9.5, sigma: 0.8, max: 57}, workMs: {mean: 971, sigma: 0.5, max: 10_286}, milliCpu: {mean: 1300, sigma: 0.45, max: 3800}, memoryMb: 2600, estimateSigma: 0.2, taskSigma: 0.15, tail: {share: 0.03, factor: 7},
		},
		{
			...build, arrivalsPerS: 1.49, initialCount: 5, credit: 9.85, tasksPerStep: {mean: 20, sigma: 0.6, max: 80}, workMs: {mean: 2714, sigma: 0.5, max: 28_571}, milliCpu: {mean: 7000, sigma: 0.3, max: 14_000}, memoryMb: 13_000, errorShare: 0.005, images: 18, maxAttempts: 3, tail: {share: 0.03, factor: 7},
		},
		{
			...relay, arrivalsPerS: 0.062, initialCount: 18, credit: 2.12, tasksPerStep: {mean: 14, sigma: 0.4, max: 28}, milliCpu: {mean: 13_000, sigma: 0.25, max: 20_000}, memoryMb: 26_000, images: 10, latencyCritical: {...manyWorkersProfile, targetMs: 150},
		},
	],
	bursts: [
		{
			kind: 'match', atS: 3, durationS: 6, factor: 1.55,
		}, {
			kind: 'build', atS: 5, durationS: 5.5, factor: 2,
		}, {
			kind: 'match', atS: 16, durationS: 6, factor: 1.55,
		},
	],
	lengthS: 34,
};

/** Small workers of which one in seven turns slow for a while; some of the checks allow copies. */
const slow: SchedulingLoad = {
	...crowded,
	name: 'slow',
	kinds: crowded.kinds.map(kind => kind.name === 'match' ? {...kind, arrivalsPerS: 8, copyShare: 0.3} : kind),
	bursts: [],
	slowWorkers: {
		every: 7, speed: 0.125, fromS: 12, untilS: 19,
	},
};

/** A load below capacity, a load above capacity, the same with an outage of all hosts for a second, a large service, a service with large workers, one with too little capacity, the same with outages of hosts and with severe interference, one with uneven demand, and one with slow workers. */
export const schedulingLoads: SchedulingLoad[] = [
	{
		name: 'light', workers, baseLatencyMs: 4, addedLoads: effects, kinds: [match, {...build, arrivalsPerS: 0.25, initialCount: 1}, {...relay, initialCount: 7}], bursts: [{
			kind: 'build', atS: 12, durationS: 6, factor: 1.4,
		}], lengthS: 34,
	},
	{
		name: 'heavy', workers, baseLatencyMs: 4, addedLoads: effects, kinds: [match, build, relay], bursts: [{
			kind: 'build', atS: 9, durationS: 6, factor: 1.5,
		}], lengthS: 45,
	},
	{
		name: 'dark', workers, baseLatencyMs: 4, addedLoads: effects, kinds: [match, build, relay], bursts: [{
			kind: 'build', atS: 9, durationS: 6, factor: 1.5,
		}], lengthS: 45, outageAtS: 30,
	},
	large,
	shifted,
	crowded,
	{
		...crowded, name: 'short', harmlessShare: 0.5, outages: [
			{
				kind: OutageKind.CutOff, atS: 1, durationS: 12, share: 0.35,
			},
			{
				kind: OutageKind.PowerLoss, atS: 13.3, durationS: 4.2, share: 0.15,
			},
		],
	},
	{
		...crowded, name: 'disturbed', harmlessShare: 0.5, addedLoads: severeEffects, takeoversAtS: [14.7, 18.9],
	},
	uneven,
	slow,
];
