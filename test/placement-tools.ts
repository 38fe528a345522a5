/**
Creates workers, tasks and engines for the tests of placement.
*/
import {createSettings} from '../src/core/settings.ts';
import {type Settings} from '../src/core/settings-schema.ts';
import {createPlacementEngine} from '../src/jobs/placement-engine.ts';
import {TaskClass, type JobSpec} from '../src/types/jobs.ts';
import {
	DecisionType, type Decision, type PendingTask, type PlacementEngine, type PlacementWorker,
} from '../src/types/placement.ts';
import {createRandom} from '../src/utils/seeded-random.ts';

export const createEngine = (settings: Partial<Settings['placement']> = {}, seed = 1): PlacementEngine =>
	createPlacementEngine({settings: {...createSettings().placement, ...settings}, random: createRandom(seed)});

export const createWorker = (number: number, changes: Partial<PlacementWorker> = {}): PlacementWorker => ({
	workerId: `w${number}`,
	region: 'scot-central',
	failureDomain: ['leith-hall', 'govan-hall', 'grange-hall'][Math.floor(number / 3) % 3]!,
	rack: `rack-${Math.floor(number / 3)}`,
	capacity: {processors: 16, memoryMb: 61_440, accelerators: 0},
	isSchedulable: true,
	...changes,
});

export const createSpec = (jobId: string, changes: Partial<JobSpec> = {}): JobSpec => ({
	jobId,
	team: 'team-a',
	kind: 'rebuild',
	taskClass: TaskClass.Batch,
	priority: 100,
	taskCount: 1,
	isGang: false,
	isIdempotent: true,
	resources: {processors: 4, memoryMb: 8192, accelerators: 0},
	declaredRunTimeMs: 60_000,
	...changes,
});

export const createTask = (spec: JobSpec, index = 0, changes: Partial<PendingTask> = {}): PendingTask => ({
	taskId: `${spec.jobId}/${index}`, attempt: 0, spec, queuedAtMs: 0, ...changes,
});

export const enqueueJob = (engine: PlacementEngine, spec: JobSpec, changes: Partial<PendingTask> = {}): PendingTask[] => {
	const tasks = Array.from({length: spec.taskCount}, (_, index) => createTask(spec, index, changes));
	for (const task of tasks) {
		engine.enqueue(task);
	}

	return tasks;
};

export const getStarts = (decisions: Decision[]) => decisions.filter(decision => decision.type === DecisionType.Start);
export const getEvictions = (decisions: Decision[]) => decisions.filter(decision => decision.type === DecisionType.Evict);
export const getUnplaceable = (decisions: Decision[]) => decisions.filter(decision => decision.type === DecisionType.Unplaceable);
