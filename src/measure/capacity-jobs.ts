/**
Measures the cost of jobs: appends to the log, processor time of a start, calls to workers and state of a task.
*/
import {createSettings} from '../core/settings.ts';
import {JobScheduler} from '../jobs/job-scheduler.ts';
import {createPlacementEngine} from '../jobs/placement-engine.ts';
import {MemoryLog} from '../standin/memory-log.ts';
import {MemoryWorker} from '../standin/memory-worker.ts';
import {HostState, type WorkerAnnouncement} from '../types/announcements.ts';
import {TaskClass} from '../types/jobs.ts';
import {type Metrics} from '../types/metrics.ts';
import {type Resources, type WorkerClient} from '../types/platform.ts';
import {ManualClock} from '../utils/manual-clock.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {getCpuUs, getHeapBytes} from './process-cost.ts';
import {fitSlope, type Sample, type Slope} from './slope.ts';

type JobMeasurements = {
	appends: number;
	startUs: number;
	taskBytes: number;
	restUsPerSecond: number;
	restCallsPerSecond: number;
};

const taskSizes = [1000, 2000, 4000];
const workerSizes = [25, 50, 100];
const defaultWorkers = 50;
const defaultTasks = 2000;
const tasksPerJob = 50;
const runTimeMs = 3_600_000;
const warmUpMs = 30_000;
const placingMs = 15_000;
const restMs = 10_000;
const stepMs = 100;

/** Measures one entry that owns all shards, at several numbers of tasks and workers. */
export const measureJobScheduling = async (seed: number): Promise<Slope[]> => {
	const byTasks: Array<[number, JobMeasurements]> = [];
	for (const tasks of taskSizes) {
		byTasks.push([tasks, await runScheduler(defaultWorkers, tasks, seed)]);
	}

	const byWorkers: Array<[number, JobMeasurements]> = [];
	for (const workers of workerSizes) {
		byWorkers.push([workers, await runScheduler(workers, defaultTasks, seed)]);
	}

	const fit = (name: string, per: string, figures: Array<[number, JobMeasurements]>, pick: (figures: JobMeasurements) => number) =>
		fitSlope(name, per, figures.map(([size, value]): Sample => ({size, value: pick(value)})));
	return [
		fit('appends while the tasks are accepted and started', 'task', byTasks, ({appends}) => appends),
		fit('processor time of one start, us', 'task', byTasks, ({startUs}) => startUs),
		fit('state of a running task, bytes', 'task', byTasks, ({taskBytes}) => taskBytes),
		fit('processor time at rest, us a second', 'task', byTasks, ({restUsPerSecond}) => restUsPerSecond),
		fit('calls to workers at rest, a second', 'worker', byWorkers, ({restCallsPerSecond}) => restCallsPerSecond),
	];
};

const runScheduler = async (workerCount: number, taskCount: number, seed: number): Promise<JobMeasurements> => {
	const clock = new ManualClock();
	const random = createRandom(seed);
	const log = new MemoryLog(clock, random);
	const settings = createSettings();
	const calls = {count: 0};
	// The capacity just suffices, so that every worker has tasks.
	const capacity = {processors: Math.ceil(taskCount / workerCount), memoryMb: 1_048_576, accelerators: 0};
	const workers = createWorkers(workerCount, capacity, clock, calls);
	const metrics = createNoopMetrics();
	const scheduler = new JobScheduler({
		log,
		clock,
		random,
		metrics,
		self: {processId: 'entry-1', incarnation: 1},
		settings,
		workers: {list: () => [...workers.values()].map(({announcement}) => announcement), getClient: workerId => workers.get(workerId)?.client},
		engine: createPlacementEngine({settings: settings.placement, random}),
		getRegion: () => undefined,
	});
	const aborter = new AbortController();
	const running = scheduler.run(aborter.signal);
	await clock.advance(warmUpMs);
	const heapBefore = getHeapBytes();
	const appendsBefore = log.appends;
	const startUs = await getCpuUs(async () => {
		for (let index = 0; index < taskCount / tasksPerJob; index++) {
			void scheduler.submit(createSpec(index));
		}

		await advance(clock, placingMs);
	});
	const started = [...workers.values()].reduce((sum, {worker}) => sum + worker.used.processors, 0);
	if (started !== taskCount) {
		throw new Error(`${started} of ${taskCount} tasks were started`);
	}

	const appends = log.appends - appendsBefore;
	const taskBytes = (getHeapBytes() - heapBefore) / taskCount;
	calls.count = 0;
	const restUs = await getCpuUs(async () => advance(clock, restMs));
	const figures = {
		appends,
		// Running tasks also take processor time while others start; it is subtracted.
		startUs: Math.max(0, startUs - (restUs * placingMs / restMs)) / taskCount,
		taskBytes,
		restUsPerSecond: restUs / (restMs / 1000),
		restCallsPerSecond: calls.count / (restMs / 1000),
	};
	aborter.abort();
	await advance(clock, placingMs);
	await running;
	return figures;
};

const advance = async (clock: ManualClock, durationMs: number): Promise<void> => {
	for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
		await clock.advance(stepMs);
	}
};

const createSpec = (index: number) => ({
	jobId: `job-${index}`,
	team: `team-${index % 8}`,
	kind: `kind-${index % 20}`,
	taskClass: TaskClass.Batch,
	priority: 100,
	taskCount: tasksPerJob,
	isGang: false,
	isIdempotent: true,
	resources: {processors: 1, memoryMb: 1024, accelerators: 0},
	declaredRunTimeMs: runTimeMs,
});

const createWorkers = (count: number, capacity: Resources, clock: ManualClock, calls: {count: number}) => {
	const workers = new Map<string, {worker: MemoryWorker; client: WorkerClient; announcement: WorkerAnnouncement}>();
	for (let index = 0; index < count; index++) {
		const workerId = `worker-${index}`;
		const worker = new MemoryWorker({
			workerId, incarnation: 1, capacity, clock, getBehaviour: () => ({runTimeMs}),
		});
		workers.set(workerId, {
			worker,
			client: countCalls(worker, calls),
			announcement: {
				workerId,
				incarnation: 1,
				sequence: 1,
				state: HostState.Alive,
				address: '127.0.0.1:1',
				region: 'scot-central',
				failureDomain: `hall-${index % 3}`,
				rack: `rack-${Math.floor(index / 3)}`,
				capacity,
			},
		});
	}

	return workers;
};

const countCalls = (worker: MemoryWorker, calls: {count: number}): WorkerClient => new Proxy<WorkerClient>(worker, {
	get(target, name: keyof WorkerClient) {
		return (...args: unknown[]) => {
			calls.count++;
			return (target[name] as (...values: unknown[]) => unknown).apply(target, args);
		};
	},
});

const createNoopMetrics = (): Metrics => ({
	count() {
		// Not read in this measurement.
	},
	gauge() {
		// Not read in this measurement.
	},
	timing() {
		// Not read in this measurement.
	},
	getCounts: () => ({}),
});
