/**
Finds the cheapest sufficient eviction: the tasks of one worker to evict so that another task fits.
*/
import {TaskClass} from '../types/jobs.ts';
import {type Resources} from '../types/platform.ts';
import {addTo, getDominantShare, isWithin} from './placement-resources.ts';
import {TaskPhase, type TaskEntry, type WorkerEntry} from './placement-state.ts';

const minuteMs = 60_000;
// One latency-critical task costs more than all batch tasks that a host can hold.
const latencyCriticalCost = 10_000;
const taskCost = 0.5;

/** Tasks to evict from one worker, and what that costs. */
export type EvictionPlan = {
	worker: WorkerEntry;
	victims: TaskEntry[];
	cost: number;
};

/** Which tasks may be evicted from which workers, and at which cost. */
export type EvictionPolicy = {
	isAllowed(worker: WorkerEntry): boolean;
	isEligible(entry: TaskEntry): boolean;
	getCost(entry: TaskEntry): number;
};

/** Finds the cheapest set of victims on any one of the workers; undefined: no set suffices. */
export const planEviction = (need: Resources, workers: Iterable<WorkerEntry>, policy: EvictionPolicy): EvictionPlan | undefined => {
	let best: EvictionPlan | undefined;
	for (const worker of workers) {
		if (policy.isAllowed(worker) && isWithin(need, worker.spec.capacity)) {
			const plan = planOnWorker(need, worker, policy);
			if (plan && (!best || plan.cost < best.cost)) {
				best = plan;
			}
		}
	}

	return best;
};

const planOnWorker = (need: Resources, worker: WorkerEntry, policy: EvictionPolicy): EvictionPlan | undefined => {
	const free = {...worker.free};
	const priced: Array<{entry: TaskEntry; cost: number; rate: number}> = [];
	for (const entry of worker.tasks) {
		if (entry.phase === TaskPhase.Evicting) {
			// Its capacity is released anyway; what is reserved of it is already subtracted from `free`.
			addTo(free, entry.reserved);
		} else if (policy.isEligible(entry)) {
			const cost = policy.getCost(entry);
			priced.push({entry, cost, rate: cost / Math.max(getDominantShare(entry.reserved, worker.spec.capacity), 1e-6)});
			addTo(free, entry.reserved);
		}
	}

	if (!isWithin(need, free)) {
		return undefined;
	}

	// All eligible tasks together suffice: spare those that need not be evicted, the most expensive first.
	let cost = 0;
	const victims: TaskEntry[] = [];
	priced.sort((a, b) => b.rate - a.rate);
	for (const {entry, cost: entryCost} of priced) {
		addTo(free, entry.reserved, -1);
		if (!isWithin(need, free)) {
			addTo(free, entry.reserved);
			victims.push(entry);
			cost += entryCost;
		}
	}

	return {worker, victims, cost};
};

/** Creates the cost of an eviction: lost work, and more for latency-critical tasks, gangs and tasks evicted before. */
export const createEvictionCost = (options: {
	evictionWeight: number;
	restartCostMs: number;
	getEvictions(taskId: string): number;
}) => (entry: TaskEntry, nowMs: number): number => {
	const {spec, placedCount} = entry.job;
	const ranMs = Math.max(0, nowMs - entry.startedAtMs);
	const lostMs = entry.task.isCheckpointable === false ? ranMs : Math.min(ranMs, options.restartCostMs);
	const gangSize = spec.isGang ? placedCount : 1;
	const classCost = spec.taskClass === TaskClass.LatencyCritical ? latencyCriticalCost : 0;
	const batchCost = options.evictionWeight * (taskCost + ((lostMs / 1000) * entry.reserved.processors)) * gangSize;
	return classCost + (batchCost * (1 + options.getEvictions(entry.task.taskId)));
};

/** Token bucket that limits evictions per minute. */
export class EvictionBudget {
	readonly #perMinute: () => number;
	#tokens: number;
	#refilledAtMs = 0;

	constructor(perMinute: () => number) {
		this.#perMinute = perMinute;
		this.#tokens = perMinute();
	}

	/** Takes `count` evictions from the budget, or none and returns false if it has fewer. */
	tryTake(count: number, nowMs: number): boolean {
		const limit = this.#perMinute();
		const passedMs = Math.max(0, nowMs - this.#refilledAtMs);
		this.#refilledAtMs = nowMs;
		this.#tokens = Math.min(limit, this.#tokens + ((limit * passedMs) / minuteMs));
		if (this.#tokens < count) {
			return false;
		}

		this.#tokens -= count;
		return true;
	}
}

/** How often and when each task was evicted. */
export class EvictionHistory {
	readonly #evicted = new Map<string, {count: number; atMs: number}>();

	record(taskId: string, nowMs: number): void {
		this.#evicted.set(taskId, {count: this.getCount(taskId) + 1, atMs: nowMs});
	}

	forget(taskId: string): void {
		this.#evicted.delete(taskId);
	}

	getCount(taskId: string): number {
		return this.#evicted.get(taskId)?.count ?? 0;
	}

	/** Time of the last eviction; negative infinity if there was none. */
	getLastMs(taskId: string): number {
		return this.#evicted.get(taskId)?.atMs ?? Number.NEGATIVE_INFINITY;
	}
}
