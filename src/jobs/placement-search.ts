/**
Search for a worker for one task: a few candidates from the index, of which the cheapest by fit, spread and interference is chosen.
*/
import {TaskClass} from '../types/jobs.ts';
import {type Resources} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {type DomainIndex, type WorkerIndex} from './worker-index.ts';
import {getDomainKey, getRackKey} from './placement-fleet.ts';
import {getDominantShare, getDifference} from './placement-resources.ts';
import {type TaskEntry, type WorkerEntry} from './placement-state.ts';

// Small fleets are searched completely. On large ones the best of a few candidates is close to the best of all, and the
// cost of a search does not depend on the size of the fleet.
const smallFleetSize = 32;
const largeFleetCandidates = 8;
const fitWeight = 0.2;
const emptyHostCost = 0.25;
const acceleratorHostCost = 2;
const sameDomainCost = 0.5;
const sameRackCost = 0.25;
// Outweighs interference, so that the loss of one host costs only one replica.
const sameHostCost = 5;

/** Chooses one of the candidates; undefined: the start is deferred. */
export type ChooseWorker = (candidates: readonly WorkerEntry[], entry: TaskEntry, nowMs: number) => WorkerEntry | undefined;

/** Expected cost of interference if the task ran on the worker. */
export type GetInterferenceCost = (worker: WorkerEntry, entry: TaskEntry, nowMs: number) => number;

/** Finds workers for tasks. */
export class PlacementSearch {
	readonly #options: {index: WorkerIndex; random: Random; choose: ChooseWorker};

	constructor(options: {index: WorkerIndex; random: Random; choose: ChooseWorker}) {
		this.#options = options;
	}

	/** Lists candidates with enough free capacity for the task. */
	collect(entry: TaskEntry, nowMs: number): WorkerEntry[] {
		const {index, random} = this.#options;
		const isLatencyCritical = entry.job.spec.taskClass === TaskClass.LatencyCritical;
		const isAllowed = (worker: WorkerEntry) =>
			worker.avoidUntilMs <= nowMs && (!worker.isProbing || (worker.tasks.size === 0 && !isLatencyCritical));
		const limit = index.size <= smallFleetSize ? smallFleetSize : largeFleetCandidates;
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

	/** Failure domains of the job's region, rotated at random; for replicated jobs those with the fewest replicas first. */
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

/** Cost of the worker by capacity left over, spread of replicas, and use of empty or accelerator hosts that other tasks need. */
export const getFitCost = (worker: WorkerEntry, entry: TaskEntry): number => {
	const {spec, free, tasks} = worker;
	const leftShare = getDominantShare(clampToZero(getDifference(free, entry.reserved)), spec.capacity);
	let cost = fitWeight * leftShare;
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

const clampToZero = ({processors, memoryMb, accelerators}: Resources): Resources => ({
	processors: Math.max(0, processors), memoryMb: Math.max(0, memoryMb), accelerators: Math.max(0, accelerators),
});

/** Creates the choice by least cost; workers where interference costs more than the limit are not chosen. */
export const createCheapestChoice = (getInterferenceCost: GetInterferenceCost, getInterferenceLimit: (entry: TaskEntry, nowMs: number) => number): ChooseWorker =>
	(candidates, entry, nowMs) => {
		const limit = getInterferenceLimit(entry, nowMs);
		let best: WorkerEntry | undefined;
		let bestCost = Number.POSITIVE_INFINITY;
		for (const worker of candidates) {
			const interference = getInterferenceCost(worker, entry, nowMs);
			const cost = interference + getFitCost(worker, entry);
			if (interference <= limit && cost < bestCost) {
				best = worker;
				bestCost = cost;
			}
		}

		return best;
	};
