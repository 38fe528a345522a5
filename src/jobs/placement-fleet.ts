/**
The workers and the room on them: what is held, what is kept, and what the fleet could hold at all.
*/
import {TaskClass} from '../types/jobs.ts';
import {type PlacementWorker} from '../types/placement.ts';
import {type Resources} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {WorkerIndex} from './index-of-workers.ts';
import {
	addTo, countFits, createNone, describeExcess, getDifference, getSum, isWithin,
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

const nothing = createNone();
const maxAnswers = 10_000;

/** Workers with their room. All changes of room pass here. */
export class Fleet {
	readonly index = new WorkerIndex();
	/** Rises when what the fleet could hold changes. */
	version = 0;
	/** Rises when room may have come free. */
	freedVersion = 0;
	readonly #workers = new Map<string, WorkerEntry>();
	readonly #list: WorkerEntry[] = [];
	readonly #groups = new Map<string, CapacityGroup>();
	readonly #quotas: QuotaLedger;
	// Many jobs ask the same of a fleet that seldom changes.
	readonly #answers = new Map<string, string | undefined>();
	#answeredVersion = -1;
	#usedProcessors = 0;
	#openProcessors = 0;

	constructor(quotas: QuotaLedger) {
		this.#quotas = quotas;
	}

	/** Number of workers known. */
	get size(): number {
		return this.#workers.size;
	}

	/** Processors of all open workers. */
	get openProcessors(): number {
		return this.#openProcessors;
	}

	/** Share of the open workers' processors that is held. */
	get busyness(): number {
		return this.#openProcessors > 0 ? Math.min(1, this.#usedProcessors / this.#openProcessors) : 0;
	}

	get(workerId: string): WorkerEntry | undefined {
		return this.#workers.get(workerId);
	}

	list(): readonly WorkerEntry[] {
		return this.#list;
	}

	/** Draws so many workers, or lists all when there are not more. */
	draw(count: number, random: Random): readonly WorkerEntry[] {
		const size = this.#list.length;
		return size <= count ? this.#list : Array.from({length: count}, () => this.#list[random.below(size)]!);
	}

	/** Adds the worker, or takes over what changed of it. Returns whether it may take less than before. */
	set(spec: PlacementWorker): boolean {
		const worker = this.#workers.get(spec.workerId);
		if (!worker) {
			this.#add(spec);
			return false;
		}

		if (!worker.isRemoved && isSameSpec(worker.spec, spec)) {
			this.#setForeign(worker, spec.usedByOthers);
			return false;
		}

		this.#countGroup(worker, -1);
		this.index.remove(worker);
		worker.spec = {...spec};
		worker.isRemoved = false;
		this.#countGroup(worker, 1);
		this.freedVersion++;
		this.refresh(worker);
		return true;
	}

	/** Takes the worker out of use; what it holds stays counted until its tasks have ended. */
	remove(workerId: string): WorkerEntry | undefined {
		const worker = this.#workers.get(workerId);
		if (!worker || worker.isRemoved) {
			return undefined;
		}

		this.#countGroup(worker, -1);
		worker.isRemoved = true;
		this.index.remove(worker);
		this.#dropIfEmpty(worker);
		return worker;
	}

	/** Takes room for the task. */
	take(worker: WorkerEntry, entry: TaskEntry): void {
		addTo(worker.used, entry.reserved);
		worker.tasks.add(entry);
		worker.mix = undefined;
		entry.worker = worker;
		entry.phase = TaskPhase.Placed;
		this.#count(worker, entry, 1);
		this.#quotas.change(entry.job.spec.team, entry.reserved, 1);
		this.refresh(worker);
	}

	/** Gives the task's room back. */
	release(entry: TaskEntry): void {
		this.undoTake(entry);
		this.freedVersion++;
	}

	/** Gives back room that was taken in the same round: no more is free than before. */
	undoTake(entry: TaskEntry): void {
		const {worker} = entry;
		if (!worker) {
			return;
		}

		worker.tasks.delete(entry);
		worker.mix = undefined;
		addTo(worker.used, entry.reserved, -1);
		if (worker.tasks.size === 0) {
			worker.used = createNone();
		}

		entry.worker = undefined;
		this.#count(worker, entry, -1);
		this.#quotas.change(entry.job.spec.team, entry.reserved, -1);
		this.refresh(worker);
		this.#dropIfEmpty(worker);
	}

	/** Counts a placed task by what it was measured to use. */
	resize(entry: TaskEntry, reserved: Resources): void {
		const {worker} = entry;
		if (!worker) {
			return;
		}

		addTo(worker.used, entry.reserved, -1);
		addTo(worker.used, reserved);
		this.#quotas.change(entry.job.spec.team, entry.reserved, -1);
		this.#quotas.change(entry.job.spec.team, reserved, 1);
		this.#usedProcessors += reserved.processors - entry.reserved.processors;
		entry.reserved = reserved;
		this.refresh(worker);
	}

	/** Keeps room for a task that waits, or no longer with -1. */
	claim(worker: WorkerEntry, amount: Resources, times: 1 | -1): void {
		addTo(worker.claimed, amount, times);
		if (times < 0) {
			this.freedVersion++;
		}

		this.refresh(worker);
	}

	/** Tells whether the amount fits beside what is held now, whatever is kept for others. */
	hasRoomNow(worker: WorkerEntry, amount: Resources): boolean {
		const {capacity, usedByOthers = nothing} = worker.spec;
		return isAvailable(worker) && isWithin(getSum(amount, usedByOthers), getDifference(capacity, worker.used));
	}

	/** Works out the free room again and moves the worker in the index. */
	refresh(worker: WorkerEntry): void {
		const {capacity, usedByOthers = nothing} = worker.spec;
		const {used, claimed, free} = worker;
		free.processors = capacity.processors - usedByOthers.processors - used.processors - claimed.processors;
		free.memoryMb = capacity.memoryMb - usedByOthers.memoryMb - used.memoryMb - claimed.memoryMb;
		free.accelerators = capacity.accelerators - usedByOthers.accelerators - used.accelerators - claimed.accelerators;
		this.index.update(worker);
	}

	/** Says what is missing for the tasks even on an empty fleet; undefined: nothing. */
	describeMissing(need: Resources, taskCount: number, region?: string): string | undefined {
		if (this.#answeredVersion !== this.version || this.#answers.size > maxAnswers) {
			this.#answers.clear();
			this.#answeredVersion = this.version;
		}

		const key = `${need.processors}/${need.memoryMb}/${need.accelerators}/${taskCount}/${region ?? ''}`;
		if (!this.#answers.has(key)) {
			this.#answers.set(key, this.#findMissing(need, taskCount, region));
		}

		return this.#answers.get(key);
	}

	#findMissing(need: Resources, taskCount: number, region?: string): string | undefined {
		const groups = [...this.#groups.values()].filter(group => region === undefined || group.region === region);
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

	/** What others take comes and goes; it is no change of what the fleet could hold. */
	#setForeign(worker: WorkerEntry, foreign: Resources = nothing): void {
		if (isSameAmount(worker.spec.usedByOthers ?? nothing, foreign)) {
			return;
		}

		worker.spec = {...worker.spec, usedByOthers: foreign};
		this.freedVersion++;
		this.refresh(worker);
	}

	#add(spec: PlacementWorker): void {
		const worker: WorkerEntry = {
			spec: {...spec},
			used: createNone(),
			claimed: createNone(),
			free: createNone(),
			tasks: new Set(),
			residencies: [],
			mix: undefined,
			mixEpoch: -1,
			expectedProcessors: 0,
			settledAtMs: 0,
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
		this.#countGroup(worker, 1);
		this.freedVersion++;
		this.refresh(worker);
	}

	#countGroup({spec, isRemoved}: WorkerEntry, times: 1 | -1): void {
		if (isRemoved || !spec.isSchedulable) {
			return;
		}

		const {region, capacity} = spec;
		const key = `${region}/${capacity.processors}/${capacity.memoryMb}/${capacity.accelerators}`;
		const group = this.#groups.get(key) ?? {region, capacity: {...capacity}, count: 0};
		group.count += times;
		this.#groups.set(key, group);
		if (group.count === 0) {
			this.#groups.delete(key);
		}

		this.#openProcessors += times * capacity.processors;
		this.#quotas.changeTotal(capacity, times);
		this.version++;
	}

	#count({spec}: WorkerEntry, {job, reserved}: TaskEntry, times: 1 | -1): void {
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

/** Gets the capacity that lacks the need in the fewest dimensions; the larger one of equals. */
const getNearestCapacity = (need: Resources, groups: CapacityGroup[]): Resources => {
	const countLacking = ({capacity}: CapacityGroup) =>
		Number(need.processors > capacity.processors) + Number(need.memoryMb > capacity.memoryMb) + Number(need.accelerators > capacity.accelerators);
	return groups.toSorted((a, b) => countLacking(a) - countLacking(b) || b.capacity.processors - a.capacity.processors)[0]!.capacity;
};
