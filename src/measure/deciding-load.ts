/**
Loads for simulating the owner's scheduling decisions: kinds of jobs with their sizes, run times, estimates and arrivals, and
the interference between them. The numbers are those that the users' sheets give for their sites.
*/
import {type Random} from '../types/random.ts';
import {type WorkflowSpec, type WorkflowStep} from '../types/workflows.ts';

/** A log-normal quantity with an upper bound. */
export type Spread = {mean: number; spread: number; max: number};

/** A kind of job. */
export type JobKind = {
	name: string;
	perS: number;
	/** Jobs submitted at the start of the load. */
	early: number;
	/** Credit for a job of mean size; for latency-critical jobs, for each window in which all tasks meet their target. */
	worth: number;
	priority: number;
	stretch: number;
	targetLatencyMs: number;
	maxAttempts: number;
	steps: Spread;
	width: Spread;
	workMs: Spread;
	milliCpu: Spread;
	memoryMb: number;
	/** Standard deviation of the logarithm of estimate over work. */
	estimateSpread: number;
	/** Standard deviation of the logarithm of the work of a step's tasks. */
	unevenness: number;
	errorShare: number;
	isCheckpointing: boolean;
	/** Best-effort: uses only processors that other tasks leave idle. */
	isFilling: boolean;
	/** Set for latency-critical jobs, which run until they are cancelled. The load varies periodically; a share of the jobs limits its tasks per worker. */
	serving?: {stayS: Spread; targetMs: number; load: number; swing: number; periodS: number; apartShare: number; apartMost: number[]};
	images: number;
};

/** A period in which jobs of one kind arrive more often. */
export type Burst = {kind: string; atS: number; forS: number; times: number};

/** Workers, kinds of jobs and events of one simulation. */
export type DecidingLoad = {
	name: string;
	workers: number[];
	restMs: number;
	/** Loads that a best-effort image with a whole worker may add to a latency-critical image; one is drawn for each pair of images. */
	effects: number[];
	kinds: JobKind[];
	bursts: Burst[];
	lengthS: number;
	/** Time of an outage in which all workers, agents and the owner lose their state; undefined: none. */
	darkAtS?: number;
};

/** A job as submitted, with the true work of its tasks. */
export type OfferedJob = {
	id: string;
	kind: JobKind;
	atMs: number;
	spec: WorkflowSpec;
	/** By step and index. */
	workMs: number[][];
	/** Length of the critical path at full speed. */
	chainMs: number;
	coreMs: number;
	/** When it is cancelled; infinite for jobs that complete. */
	cancelAtMs: number;
	/** Phase of its load, 0 to 1. */
	phase: number;
};

const secondMs = 1000;

const drawNormal = (random: Random): number => Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

/** Draws a value; the mean of the values before they are bounded is `mean`. */
const draw = (random: Random, {mean, spread, max}: Spread): number =>
	Math.min(max, mean * Math.exp((spread * drawNormal(random)) - (spread * spread / 2)));

const pick = (random: Random, values: number[]): number => values.length === 1 ? values[0]! : values[random.below(values.length)]!;

const createJob = (random: Random, kind: JobKind, atMs: number): OfferedJob => {
	const {serving} = kind;
	const steps: WorkflowStep[] = [];
	const workMs: number[][] = [];
	let chainMs = 0;
	let coreMs = 0;
	const stepCount = Math.max(1, Math.round(draw(random, kind.steps)));
	for (let index = 0; index < stepCount; index++) {
		const count = Math.max(1, Math.round(draw(random, kind.width)));
		const milliCpu = Math.max(50, Math.round(draw(random, kind.milliCpu) / 50) * 50);
		const stepMs = draw(random, kind.workMs);
		const works = Array.from({length: count}, () => stepMs * Math.exp(kind.unevenness * drawNormal(random)));
		steps.push({
			count,
			milliCpu,
			memoryMb: kind.memoryMb,
			accelerators: 0,
			estimateMs: Math.round(stepMs * Math.exp(kind.estimateSpread * drawNormal(random))),
			after: index === 0 ? [] : [index - 1],
			isCheckpointing: kind.isCheckpointing,
			isGang: false,
			isSameRack: false,
			maxPerWorker: serving && random.next() < serving.apartShare ? pick(random, serving.apartMost) : 0,
			isSpeculative: false,
			isLasting: serving !== undefined,
			...(kind.images > 0 && {image: `${kind.name}-${random.below(kind.images)}`}),
			targetMs: serving?.targetMs ?? 0,
			isFilling: kind.isFilling,
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
		chainMs,
		coreMs,
		cancelAtMs: serving ? atMs + (draw(random, serving.stayS) * secondMs) : Number.POSITIVE_INFINITY,
		phase: random.next(),
	};
};

/** Draws all jobs of a load, in the order of their arrival. */
export const offerJobs = ({kinds, bursts, lengthS}: DecidingLoad, random: Random): OfferedJob[] => {
	const jobs: OfferedJob[] = [];
	for (const kind of kinds) {
		for (let index = 0; index < kind.early; index++) {
			jobs.push(createJob(random, kind, 0));
		}

		const kindBursts = bursts.filter(burst => burst.kind === kind.name);
		const peak = Math.max(1, ...kindBursts.map(({times}) => times));
		for (let atS = 0; ;) {
			atS -= Math.log(1 - random.next()) / (kind.perS * peak);
			if (atS >= lengthS) {
				break;
			}

			const now = atS;
			const times = kindBursts.find(({atS: fromS, forS}) => now >= fromS && now < fromS + forS)?.times ?? 1;
			if (random.next() < times / peak) {
				jobs.push(createJob(random, kind, atS * secondMs));
			}
		}
	}

	return jobs.toSorted((a, b) => a.atMs - b.atMs);
};

const match: JobKind = {
	name: 'match', perS: 3.8, early: 0, worth: 0.33, priority: 0, stretch: 1.5, targetLatencyMs: 250, maxAttempts: 3, steps: {mean: 1.6, spread: 0.4, max: 4}, width: {mean: 6, spread: 0.8, max: 36}, workMs: {mean: 1429, spread: 0.5, max: 3570}, milliCpu: {mean: 240, spread: 0.45, max: 720}, memoryMb: 480, estimateSpread: 0.9, unevenness: 0.3, errorShare: 0.05, isCheckpointing: false, isFilling: false, images: 0,
};

const build: JobKind = {
	name: 'build', perS: 0.8, early: 3, worth: 7.73, priority: 2, stretch: 2, targetLatencyMs: 1000, maxAttempts: 4, steps: {mean: 2, spread: 0.4, max: 5}, width: {mean: 8, spread: 0.6, max: 32}, workMs: {mean: 3857, spread: 0.5, max: 9700}, milliCpu: {mean: 1800, spread: 0.3, max: 3500}, memoryMb: 1600, estimateSpread: 0.9, unevenness: 0.15, errorShare: 0.05, isCheckpointing: true, isFilling: true, images: 9,
};

const relay: JobKind = {
	name: 'relay', perS: 0.06, early: 9, worth: 1.31, priority: 0, stretch: 2.2, targetLatencyMs: 2500, maxAttempts: 2, steps: {mean: 1, spread: 0, max: 1}, width: {mean: 5.2, spread: 0.3, max: 12}, workMs: {mean: 400, spread: 0, max: 400}, milliCpu: {mean: 3200, spread: 0.25, max: 5100}, memoryMb: 4000, estimateSpread: 0, unevenness: 0, errorShare: 0, isCheckpointing: false, isFilling: false, images: 5, serving: {
		stayS: {mean: 70, spread: 0.5, max: 210}, targetMs: 18, load: 0.42, swing: 0.5, periodS: 10, apartShare: 0.15, apartMost: [3],
	},
};

// As observed on the users' sites: a third of the pairs interferes little, a third moderately, a third severely.
const effects = [0, 0, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 1.1, 1.4, 1.8, 2.2, 2.6, 3];
const workers = [16_000, 16_000, 24_000, 16_000, 16_000, 24_000, 16_000, 16_000, 24_000, 16_000, 16_000];

/** A service with many workers: best-effort jobs with many tasks and images run beside many latency-critical tasks. */
const large: DecidingLoad = {
	name: 'large',
	workers: Array.from({length: 160}, (_, index) => index % 3 === 2 ? 24_000 : 16_000),
	restMs: 4,
	effects,
	kinds: [
		{
			...match, perS: 7.3, width: {mean: 9, spread: 0.8, max: 56}, milliCpu: {mean: 950, spread: 0.45, max: 2900}, memoryMb: 1900, unevenness: 0.15,
		},
		{
			...build, perS: 3.2, early: 8, worth: 4.18, width: {mean: 39, spread: 0.6, max: 160}, workMs: {mean: 2429, spread: 0.5, max: 6100}, memoryMb: 3200, unevenness: 0.3, images: 30,
		},
		{
			...relay, perS: 0.12, early: 35, worth: 1, width: {mean: 24, spread: 0.4, max: 48}, memoryMb: 6400, images: 16, serving: {
				stayS: {mean: 70, spread: 0.5, max: 210}, targetMs: 25, load: 0.48, swing: 0.5, periodS: 20, apartShare: 0.5, apartMost: [1, 2, 3],
			},
		},
	],
	bursts: [{
		kind: 'build', atS: 9, forS: 6, times: 1.4,
	}],
	lengthS: 30,
};

/** A service with large workers: a best-effort task takes a ninth of one, and latency-critical tasks use about half of what they reserve. */
const shifted: DecidingLoad = {
	name: 'shifted',
	workers: Array.from({length: 73}, (_, index) => index % 3 === 2 ? 96_000 : 64_000),
	restMs: 25,
	effects,
	kinds: [
		{
			...match, perS: 6.9, worth: 0.27, targetLatencyMs: 305, width: {mean: 9.5, spread: 0.8, max: 57}, milliCpu: {mean: 1500, spread: 0.45, max: 4600}, memoryMb: 3000, estimateSpread: 0.2, unevenness: 0.15,
		},
		{
			...build, perS: 2.7, early: 6, worth: 6.03, width: {mean: 20, spread: 0.6, max: 80}, workMs: {mean: 3143, spread: 0.5, max: 7714}, milliCpu: {mean: 7000, spread: 0.3, max: 14_000}, memoryMb: 13_000, estimateSpread: 0.5, errorShare: 0.02, images: 18,
		},
		{
			...relay, perS: 0.08, early: 24, worth: 1.08, width: {mean: 14, spread: 0.4, max: 28}, milliCpu: {mean: 13_000, spread: 0.25, max: 20_000}, memoryMb: 26_000, images: 10, serving: {
				stayS: {mean: 70, spread: 0.5, max: 210}, targetMs: 150, load: 0.48, swing: 0.6, periodS: 20, apartShare: 0.5, apartMost: [1, 2, 3],
			},
		},
	],
	bursts: [{
		kind: 'build', atS: 10, forS: 6, times: 1.5,
	}],
	lengthS: 34,
};

/** A load below capacity, a load above capacity, the same with an outage of all hosts for a second, a large service, and a service with large workers. */
export const decidingLoads: DecidingLoad[] = [
	{
		name: 'light', workers, restMs: 4, effects, kinds: [match, {...build, perS: 0.25, early: 1}, {...relay, early: 7}], bursts: [{
			kind: 'build', atS: 12, forS: 6, times: 1.4,
		}], lengthS: 34,
	},
	{
		name: 'heavy', workers, restMs: 4, effects, kinds: [match, build, relay], bursts: [{
			kind: 'build', atS: 9, forS: 6, times: 1.5,
		}], lengthS: 45,
	},
	{
		name: 'dark', workers, restMs: 4, effects, kinds: [match, build, relay], bursts: [{
			kind: 'build', atS: 9, forS: 6, times: 1.5,
		}], lengthS: 45, darkAtS: 30,
	},
	large,
	shifted,
];
