/**
The workers with their allocated, reserved and free capacity, and what would fit on the whole fleet if it were empty.
*/
import {TaskClass} from '../types/jobs.ts';
import {type PlacementWorker} from '../types/placement.ts';
import {type Resources} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {WorkerIndex} from './worker-index.ts';
import {
	addTo, countFits, createNoResources, describeExcess, getDifference, getSum, isWithin,
} from './placement-resources.ts';
import {
	isAvailable, TaskPhase, type TaskEntry, type WorkerEntry,
} from './placement-state.ts';
import {type QuotaLedger} from './quota-ledger.ts';

type CapacityGroup = {
	region: string;
	capacity: Resources;
	count: number;
};

const noResources = createNoResources();
const maxCachedNeeds = 10_000;

/** Workers with their capacity. All allocations, reservations and releases of capacity go through this class. */
export class Fleet {
	readonly index = new WorkerIndex();
	/** Incremented when the total schedulable capacity changes. */
	version = 0;
	/** Incremented when free capacity may have increased. */
	freedVersion = 0;
	readonly #workers = new Map<string, WorkerEntry>();
	readonly #list: WorkerEntry[] = [];
	readonly #capacityGroups = new Map<string, CapacityGroup>();
	readonly #quotas: QuotaLedger;
	// Results of `describeMissing` for one version: many jobs ask the same of a fleet that seldom changes.
	readonly #missingByNeed = new Map<string, string | undefined>();
	#missingVersion = -1;
	#usedProcessors = 0;
	#schedulableProcessors = 0;

	constructor(quotas: QuotaLedger) {
		this.#quotas = quotas;
	}

	/** Number of workers known. */
	get size(): number {
		return this.#workers.size;
	}

	/** Processors of all schedulable workers. */
	get schedulableProcessors(): number {
		return this.#schedulableProcessors;
	}

	/** Allocated processors as a share of those of the schedulable workers, at most 1. */
	get utilization(): number {
		return this.#schedulableProcessors > 0 ? Math.min(1, this.#usedProcessors / this.#schedulableProcessors) : 0;
	}

	get(workerId: string): WorkerEntry | undefined {
		return this.#workers.get(workerId);
	}

	list(): readonly WorkerEntry[] {
		return this.#list;
	}

	/** Draws `count` workers at random, with repetition, or lists all if there are no more than that. */
	sample(count: number, random: Random): readonly WorkerEntry[] {
		const size = this.#list.length;
		return size <= count ? this.#list : Array.from({length: count}, () => this.#list[random.below(size)]!);
	}

	/** Adds or updates the worker. Returns whether a known worker changed in more than `usedByOthers`, or was added again. */
	setWorker(spec: PlacementWorker): boolean {
		const worker = this.#workers.get(spec.workerId);
		if (!worker) {
			this.#add(spec);
			return false;
		}

		if (!worker.isRemoved && isSameSpec(worker.spec, spec)) {
			this.#setUsedByOthers(worker, spec.usedByOthers);
			return false;
		}

		this.#countCapacity(worker, -1);
		this.index.remove(worker);
		worker.spec = {...spec};
		worker.isRemoved = false;
		this.#countCapacity(worker, 1);
		this.freedVersion++;
		this.refresh(worker);
		return true;
	}

	/** Removes the worker; its allocations are counted until its tasks have ended. */
	removeWorker(workerId: string): WorkerEntry | undefined {
		const worker = this.#workers.get(workerId);
		if (!worker || worker.isRemoved) {
			return undefined;
		}

		this.#countCapacity(worker, -1);
		worker.isRemoved = true;
		this.index.remove(worker);
		this.#dropIfEmpty(worker);
		return worker;
	}

	/** Allocates capacity for the task. */
	allocate(worker: WorkerEntry, entry: TaskEntry): void {
		addTo(worker.used, entry.reserved);
		worker.tasks.add(entry);
		worker.mix = undefined;
		entry.worker = worker;
		entry.phase = TaskPhase.Placed;
		this.#countPlacement(worker, entry, 1);
		this.#quotas.changeUsed(entry.job.spec.team, entry.reserved, 1);
		this.refresh(worker);
	}

	/** Releases the task's capacity. */
	release(entry: TaskEntry): void {
		this.undoAllocation(entry);
		this.freedVersion++;
	}

	/** Reverts an allocation of the same cycle: `freedVersion` stays, as no more is free than before. */
	undoAllocation(entry: TaskEntry): void {
		const {worker} = entry;
		if (!worker) {
			return;
		}

		worker.tasks.delete(entry);
		worker.mix = undefined;
		addTo(worker.used, entry.reserved, -1);
		if (worker.tasks.size === 0) {
			worker.used = createNoResources();
		}

		entry.worker = undefined;
		this.#countPlacement(worker, entry, -1);
		this.#quotas.changeUsed(entry.job.spec.team, entry.reserved, -1);
		this.refresh(worker);
		this.#dropIfEmpty(worker);
	}

	/** Changes the allocation of a placed task to its measured usage. */
	resize(entry: TaskEntry, reserved: Resources): void {
		const {worker} = entry;
		if (!worker) {
			return;
		}

		addTo(worker.used, entry.reserved, -1);
		addTo(worker.used, reserved);
		this.#quotas.changeUsed(entry.job.spec.team, entry.reserved, -1);
		this.#quotas.changeUsed(entry.job.spec.team, reserved, 1);
		this.#usedProcessors += reserved.processors - entry.reserved.processors;
		entry.reserved = reserved;
		this.refresh(worker);
	}

	/** Reserves capacity on the worker (1), or releases a reservation (-1). */
	claim(worker: WorkerEntry, amount: Resources, times: 1 | -1): void {
		addTo(worker.claimed, amount, times);
		if (times < 0) {
			this.freedVersion++;
		}

		this.refresh(worker);
	}

	/** Tells whether the amount fits beside current allocations; reservations are ignored. */
	fitsNow(worker: WorkerEntry, amount: Resources): boolean {
		const {capacity, usedByOthers = noResources} = worker.spec;
		return isAvailable(worker) && isWithin(getSum(amount, usedByOthers), getDifference(capacity, worker.used));
	}

	/** Recomputes the free capacity and updates the index. */
	refresh(worker: WorkerEntry): void {
		const {capacity, usedByOthers = noResources} = worker.spec;
		const {used, claimed, free} = worker;
		free.processors = capacity.processors - usedByOthers.processors - used.processors - claimed.processors;
		free.memoryMb = capacity.memoryMb - usedByOthers.memoryMb - used.memoryMb - claimed.memoryMb;
		free.accelerators = capacity.accelerators - usedByOthers.accelerators - used.accelerators - claimed.accelerators;
		this.index.update(worker);
	}

	/** Describes why the tasks would not fit even on an empty fleet; undefined: they would. */
	describeMissing(need: Resources, taskCount: number, region?: string): string | undefined {
		if (this.#missingVersion !== this.version || this.#missingByNeed.size > maxCachedNeeds) {
			this.#missingByNeed.clear();
			this.#missingVersion = this.version;
		}

		const key = `${need.processors}/${need.memoryMb}/${need.accelerators}/${taskCount}/${region ?? ''}`;
		if (!this.#missingByNeed.has(key)) {
			this.#missingByNeed.set(key, this.#findMissing(need, taskCount, region));
		}

		return this.#missingByNeed.get(key);
	}

	#findMissing(need: Resources, taskCount: number, region?: string): string | undefined {
		const groups = [...this.#capacityGroups.values()].filter(group => region === undefined || group.region === region);
		const where = region === undefined ? '' : ` in ${region}`;
		if (groups.length === 0) {
			return this.size === 0 ? undefined : `no worker${where} takes tasks`;
		}

		let fitting = 0;
		for (const group of groups) {
			fitting += countFits(need, group.capacity) * group.count;
		}

		if (fitting === 0) {
			const largest = getNearestCapacity(need, groups);
			return `one task needs ${describeExcess(need, largest)} on the largest worker${where}`;
		}

		return fitting < taskCount ? `the gang needs room for ${taskCount} tasks at once; the whole fleet${where} has room for ${fitting}` : undefined;
	}

	/** Capacity used by others varies; it does not change the fleet's total, hence not its version. */
	#setUsedByOthers(worker: WorkerEntry, usedByOthers: Resources = noResources): void {
		if (isSameAmount(worker.spec.usedByOthers ?? noResources, usedByOthers)) {
			return;
		}

		worker.spec = {...worker.spec, usedByOthers};
		this.freedVersion++;
		this.refresh(worker);
	}

	#add(spec: PlacementWorker): void {
		const worker: WorkerEntry = {
			spec: {...spec},
			used: createNoResources(),
			claimed: createNoResources(),
			free: createNoResources(),
			tasks: new Set(),
			residencies: [],
			mix: undefined,
			mixEpoch: -1,
			expectedProcessors: 0,
			nextReactionAtMs: 0,
			avoidUntilMs: 0,
			isRemoved: false,
			isHeld: false,
			isProbing: false,
			listPosition: this.#list.length,
			cellKey: -1,
			cellPosition: 0,
		};
		this.#workers.set(spec.workerId, worker);
		this.#list.push(worker);
		this.#countCapacity(worker, 1);
		this.freedVersion++;
		this.refresh(worker);
	}

	#countCapacity({spec, isRemoved}: WorkerEntry, times: 1 | -1): void {
		if (isRemoved || !spec.isSchedulable) {
			return;
		}

		const {region, capacity} = spec;
		const key = `${region}/${capacity.processors}/${capacity.memoryMb}/${capacity.accelerators}`;
		const group = this.#capacityGroups.get(key) ?? {region, capacity: {...capacity}, count: 0};
		group.count += times;
		this.#capacityGroups.set(key, group);
		if (group.count === 0) {
			this.#capacityGroups.delete(key);
		}

		this.#schedulableProcessors += times * capacity.processors;
		this.#quotas.changeTotal(capacity, times);
		this.version++;
	}

	#countPlacement({spec}: WorkerEntry, {job, reserved}: TaskEntry, times: 1 | -1): void {
		job.placedCount += times;
		this.#usedProcessors += times * reserved.processors;
		if (job.spec.taskClass !== TaskClass.LatencyCritical || job.spec.taskCount < 2) {
			return;
		}

		job.spread ??= new Map();
		for (const key of [getDomainKey(spec), getRackKey(spec), spec.workerId]) {
			const count = (job.spread.get(key) ?? 0) + times;
			if (count === 0) {
				job.spread.delete(key);
			} else {
				job.spread.set(key, count);
			}
		}
	}

	#dropIfEmpty(worker: WorkerEntry): void {
		if (!worker.isRemoved || worker.tasks.size > 0 || !this.#workers.delete(worker.spec.workerId)) {
			return;
		}

		const last = this.#list.pop()!;
		if (last !== worker) {
			this.#list[worker.listPosition] = last;
			last.listPosition = worker.listPosition;
		}
	}
}

/** Key of a worker's failure domain in the spread of a job. */
export const getDomainKey = ({region, failureDomain}: {region: string; failureDomain: string}): string => `${region}/${failureDomain}`;

/** Key of a worker's rack in the spread of a job. */
export const getRackKey = ({region, failureDomain, rack}: PlacementWorker): string => `${region}/${failureDomain}/${rack}`;

const isSameAmount = (a: Resources, b: Resources): boolean =>
	a.processors === b.processors && a.memoryMb === b.memoryMb && a.accelerators === b.accelerators;

const isSameSpec = (a: PlacementWorker, b: PlacementWorker): boolean =>
	a.isSchedulable === b.isSchedulable && a.region === b.region && a.failureDomain === b.failureDomain && a.rack === b.rack
	&& isSameAmount(a.capacity, b.capacity);

/** Gets the capacity that falls short in the fewest dimensions; of equal ones that with the most processors. */
const getNearestCapacity = (need: Resources, groups: CapacityGroup[]): Resources => {
	const countLacking = ({capacity}: CapacityGroup) =>
		Number(need.processors > capacity.processors) + Number(need.memoryMb > capacity.memoryMb) + Number(need.accelerators > capacity.accelerators);
	return groups.toSorted((a, b) => countLacking(a) - countLacking(b) || b.capacity.processors - a.capacity.processors)[0]!.capacity;
};
