/**
The two users' fleets, services, batch work and weights, for measuring placement.
*/
import {createSettings} from '../core/settings.ts';
import {type Settings} from '../core/settings-schema.ts';
import {TaskClass} from '../types/jobs.ts';
import {type PlacementWorker} from '../types/placement.ts';

/** Weights of the results in the cost of a run. */
export type ResultWeights = {
	tail: number;
	batch: number;
	evictions: number;
};

/** A kind of task with its true properties. */
export type SimulatedTaskKind = {
	name: string;
	taskClass: TaskClass;
	processors: number;
	memoryMb: number;
	runTimeMs: number;
	/** Declared size over true size, and declared run time over true run time. */
	declaredRatio: number;
	declaredTimeRatio: number;
	/** Mean slowdown that a task of this kind causes to another task on a full host. */
	interference: number;
	replicas: number;
	isCheckpointable: boolean;
};

/** One user in the measurement. */
export type MeasuredUser = {
	name: string;
	weights: ResultWeights;
	placement: Settings['placement'];
	kinds: SimulatedTaskKind[];
	workers: PlacementWorker[];
};

const workerCount = 11;
const rackSize = 3;
const capacity = {processors: 16, memoryMb: 61_440, accelerators: 0};

/** Settings of placement as shipped for Clydeside: tail latency first. */
export const clydesidePlacement: Partial<Settings['placement']> = {
	tailWeight: 8, throughputWeight: 1, evictionWeight: 0.5, deferMs: 60_000,
};

/** Settings of placement as shipped for the Authority: batch throughput and few evictions first. */
export const authorityPlacement: Partial<Settings['placement']> = {
	tailWeight: 1, throughputWeight: 1, evictionWeight: 3, deferMs: 60_000,
};

const createWorkers = (region: string, domains: string[]): PlacementWorker[] => Array.from({length: workerCount}, (_, index) => {
	const rack = Math.floor(index / rackSize);
	return {
		workerId: `worker-${String(index).padStart(2, '0')}`,
		region,
		failureDomain: domains[rack % domains.length]!,
		rack: `rack-${rack}`,
		capacity,
		isSchedulable: true,
	};
});

const createService = (name: string, processors: number, replicas: number): SimulatedTaskKind => ({
	name,
	taskClass: TaskClass.LatencyCritical,
	processors,
	memoryMb: processors * 2048,
	runTimeMs: Number.POSITIVE_INFINITY,
	declaredRatio: 1.2,
	declaredTimeRatio: 1,
	interference: 0.02,
	replicas,
	isCheckpointable: false,
});

const createBatch = (name: string, changes: Partial<SimulatedTaskKind>): SimulatedTaskKind => ({
	name,
	taskClass: TaskClass.Batch,
	processors: 2,
	memoryMb: 4096,
	runTimeMs: 60_000,
	declaredRatio: 1,
	declaredTimeRatio: 1,
	interference: 0.02,
	replicas: 0,
	isCheckpointable: true,
	...changes,
});

// Kinds with little and with much interference, small and large, some with sizes declared too large or too small, or run times declared too short or too long.
const batchKinds = (names: [string, string, string, string, string, string]): SimulatedTaskKind[] => [
	createBatch(names[0], {declaredRatio: 1.5}),
	createBatch(names[1], {processors: 3, runTimeMs: 90_000, declaredTimeRatio: 0.4}),
	createBatch(names[2], {
		processors: 1, memoryMb: 6144, runTimeMs: 40_000, declaredRatio: 0.8, isCheckpointable: false,
	}),
	createBatch(names[3], {processors: 2, runTimeMs: 50_000, interference: 0.12}),
	createBatch(names[4], {
		processors: 4, memoryMb: 8192, runTimeMs: 120_000, interference: 0.2, declaredTimeRatio: 3,
	}),
	createBatch(names[5], {
		processors: 2, runTimeMs: 70_000, interference: 0.3, isCheckpointable: false,
	}),
];

/** Both current users. */
export const createUsers = (): MeasuredUser[] => [
	{
		name: 'clydeside',
		weights: {tail: 3, batch: 1, evictions: 1},
		placement: {...createSettings().placement, ...clydesidePlacement},
		kinds: [
			createService('lading-desk', 3, 11),
			createService('tracking', 2, 5),
			...batchKinds(['issue-title', 'rebuild-records', 'archive', 'render', 'reconcile', 'index']),
		],
		workers: createWorkers('scot-central', ['leith-hall', 'govan-hall', 'grange-hall']),
	},
	{
		name: 'authority',
		weights: {tail: 1, batch: 3, evictions: 3},
		placement: {...createSettings().placement, ...authorityPlacement},
		kinds: [
			createService('tariff-relief', 3, 11),
			createService('ward-desk', 2, 5),
			...batchKinds(['compute-relief', 'rebuild-cases', 'notify', 'check-income', 'settle', 'audit']),
		],
		workers: createWorkers('bagmati', ['hall-ktm', 'hall-ltp', 'hall-bkt', 'hall-hetauda']),
	},
];
