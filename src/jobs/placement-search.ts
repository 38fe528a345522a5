/**
Search for the worker of one task: a few candidates from the index, the cheapest of them by fit, spread and harm.
*/
import {TaskClass} from '../types/jobs.ts';
import {type Resources} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {type DomainIndex, type WorkerIndex} from './index-of-workers.ts';
import {getDomainKey, getRackKey} from './placement-fleet.ts';
import {getDominantShare, getDifference} from './placement-resources.ts';
import {type TaskEntry, type WorkerEntry} from './placement-state.ts';

// Small fleets are searched whole. On large ones a few candidates come near the best of all, at a rate that does not
// depend on the size.
const smallFleet = 32;
const largeFleetCandidates = 8;
const fitWeight = 0.2;
const emptyHostCost = 0.25;
const acceleratorHostCost = 2;
const sameDomainCost = 0.5;
const sameRackCost = 0.25;
// The loss of one host should cost one replica, whatever the harm.
const sameHostCost = 5;

/** Chooses one of the candidates; undefined: none of them yet. */
export type ChooseWorker = (candidates: readonly WorkerEntry[], entry: TaskEntry, nowMs: number) => WorkerEntry | undefined;

/** Expected cost of harm if the task ran on the worker. */
export type GetHarmCost = (worker: WorkerEntry, entry: TaskEntry, nowMs: number) => number;

/** Finds workers for tasks. */
export class PlacementSearch {
	readonly #options: {index: WorkerIndex; random: Random; choose: ChooseWorker};

	constructor(options: {index: WorkerIndex; random: Random; choose: ChooseWorker}) {
		this.#options = options;
	}

	/** Lists candidates with room for the task. */
	collect(entry: TaskEntry, nowMs: number): WorkerEntry[] {
		const {index, random} = this.#options;
		const isService = entry.job.spec.taskClass === TaskClass.LatencyCritical;
		const isAllowed = (worker: WorkerEntry) =>
			worker.avoidUntilMs <= nowMs && (!worker.isProbing || (worker.tasks.size === 0 && !isService));
		const limit = index.size <= smallFleet ? smallFleet : largeFleetCandidates;
		const found: WorkerEntry[] = [];
		for (const domain of this.#orderDomains(entry)) {
			if (found.length >= limit) {
				break;
			}

			index.collect(domain, entry.reserved, {
				limit, random, found, isAllowed,
			});
		}

		return found;
	}

	/** Chooses one of the candidates. */
	choose(candidates: readonly WorkerEntry[], entry: TaskEntry, nowMs: number): WorkerEntry | undefined {
		return candidates.length === 0 ? undefined : this.#options.choose(candidates, entry, nowMs);
	}

	/** Failure domains of the region, the ones with the fewest replicas of the job first and else from a random one on. */
	#orderDomains({job}: TaskEntry): DomainIndex[] {
		const {index, random} = this.#options;
		const all = job.region === undefined ? index.domains : index.domains.filter(({region}) => region === job.region);
		if (all.length < 2) {
			return [...all];
		}

		const start = random.below(all.length);
		const domains = [...all.slice(start), ...all.slice(0, start)];
		const {spread} = job;
		return spread ? domains.toSorted((a, b) => (spread.get(getDomainKey(a)) ?? 0) - (spread.get(getDomainKey(b)) ?? 0)) : domains;
	}
}

/** Cost of the place by room left over, spread and whether it breaks up a host that large tasks need. */
export const getFitCost = (worker: WorkerEntry, entry: TaskEntry): number => {
	const {spec, free, tasks} = worker;
	const left = getDominantShare(getPositive(getDifference(free, entry.reserved)), spec.capacity);
	let cost = fitWeight * left;
	if (tasks.size === 0) {
		cost += emptyHostCost * fitWeight;
	}

	if (entry.reserved.accelerators === 0 && free.accelerators > 0) {
		cost += acceleratorHostCost * fitWeight;
	}

	const {spread} = entry.job;
	if (spread) {
		cost += (sameDomainCost * (spread.get(getDomainKey(spec)) ?? 0)) + (sameRackCost * (spread.get(getRackKey(spec)) ?? 0))
			+ (sameHostCost * (spread.get(spec.workerId) ?? 0));
	}

	return cost;
};

const getPositive = ({processors, memoryMb, accelerators}: Resources): Resources => ({
	processors: Math.max(0, processors), memoryMb: Math.max(0, memoryMb), accelerators: Math.max(0, accelerators),
});

/** Creates the choice by least cost; a place whose harm costs more than `getHarmLimit` is left for later. */
export const createCheapestChoice = (getHarmCost: GetHarmCost, getHarmLimit: (entry: TaskEntry, nowMs: number) => number): ChooseWorker =>
	(candidates, entry, nowMs) => {
		const limit = getHarmLimit(entry, nowMs);
		let best: WorkerEntry | undefined;
		let bestCost = Number.POSITIVE_INFINITY;
		for (const worker of candidates) {
			const harm = getHarmCost(worker, entry, nowMs);
			const cost = harm + getFitCost(worker, entry);
			if (harm <= limit && cost < bestCost) {
				best = worker;
				bestCost = cost;
			}
		}

		return best;
	};
