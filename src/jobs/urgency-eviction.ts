/**
The cheapest sufficient eviction: which tasks of which worker have to go so that another fits.
*/
import {TaskClass} from '../types/jobs.ts';
import {type Resources} from '../types/platform.ts';
import {addTo, getDominantShare, isWithin} from './placement-resources.ts';
import {TaskPhase, type TaskEntry, type WorkerEntry} from './placement-state.ts';

const minuteMs = 60_000;
// One service task costs more than all the batch work that a host can hold.
const serviceCost = 10_000;
const taskCost = 0.5;

/** Tasks to evict from one worker, and what that costs. */
export type EvictionPlan = {
	worker: WorkerEntry;
	victims: TaskEntry[];
	cost: number;
};

/** Who may be evicted, and at which cost. */
export type EvictionPolicy = {
	isAllowed(worker: WorkerEntry): boolean;
	isEligible(entry: TaskEntry): boolean;
	getCost(entry: TaskEntry): number;
};

/** Finds the cheapest set of victims over the workers; undefined: none suffices. */
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
	const room = {...worker.free};
	const priced: Array<{entry: TaskEntry; cost: number; rate: number}> = [];
	for (const entry of worker.tasks) {
		if (entry.phase === TaskPhase.Evicting) {
			// Its room comes free anyway; what is kept of it for others is already counted out.
			addTo(room, entry.reserved);
		} else if (policy.isEligible(entry)) {
			const cost = policy.getCost(entry);
			priced.push({entry, cost, rate: cost / Math.max(getDominantShare(entry.reserved, worker.spec.capacity), 1e-6)});
			addTo(room, entry.reserved);
		}
	}

	if (!isWithin(need, room)) {
		return undefined;
	}

	// All eligible tasks together suffice: keep the dear ones that need not go.
	let cost = 0;
	const victims: TaskEntry[] = [];
	priced.sort((a, b) => b.rate - a.rate);
	for (const {entry, cost: entryCost} of priced) {
		addTo(room, entry.reserved, -1);
		if (!isWithin(need, room)) {
			addTo(room, entry.reserved);
			victims.push(entry);
			cost += entryCost;
		}
	}

	return {worker, victims, cost};
};

/** What an eviction costs: work lost, more for services, for gangs and for tasks that were evicted before. */
export const createEvictionCost = (options: {
	evictionWeight: number;
	restartCostMs: number;
	getEvictions(taskId: string): number;
}) => (entry: TaskEntry, nowMs: number): number => {
	const {spec, placedCount} = entry.job;
	const ranMs = Math.max(0, nowMs - entry.startedAtMs);
	const lostMs = entry.task.isCheckpointable === false ? ranMs : Math.min(ranMs, options.restartCostMs);
	const gangSize = spec.isGang ? placedCount : 1;
	const classCost = spec.taskClass === TaskClass.LatencyCritical ? serviceCost : 0;
	const batchCost = options.evictionWeight * (taskCost + ((lostMs / 1000) * entry.reserved.processors)) * gangSize;
	return classCost + (batchCost * (1 + options.getEvictions(entry.task.taskId)));
};

/** Budget of evictions a minute, and memory of who was evicted. */
export class EvictionBudget {
	readonly #perMinute: () => number;
	#tokens: number;
	#filledAtMs = 0;

	constructor(perMinute: () => number) {
		this.#perMinute = perMinute;
		this.#tokens = perMinute();
	}

	/** Takes so many evictions from the budget, or none when it holds fewer. */
	take(count: number, nowMs: number): boolean {
		const limit = this.#perMinute();
		const passedMs = Math.max(0, nowMs - this.#filledAtMs);
		this.#filledAtMs = nowMs;
		this.#tokens = Math.min(limit, this.#tokens + ((limit * passedMs) / minuteMs));
		if (this.#tokens < count) {
			return false;
		}

		this.#tokens -= count;
		return true;
	}
}

/** Which tasks were evicted how often. */
export class EvictionMemory {
	readonly #evicted = new Map<string, {count: number; atMs: number}>();

	note(taskId: string, nowMs: number): void {
		this.#evicted.set(taskId, {count: this.getCount(taskId) + 1, atMs: nowMs});
	}

	forget(taskId: string): void {
		this.#evicted.delete(taskId);
	}

	getCount(taskId: string): number {
		return this.#evicted.get(taskId)?.count ?? 0;
	}

	/** Time of the last eviction; long ago when there was none. */
	getLastMs(taskId: string): number {
		return this.#evicted.get(taskId)?.atMs ?? Number.NEGATIVE_INFINITY;
	}
}
