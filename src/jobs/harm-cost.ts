/**
Expected cost of harm on a worker, now and with one task more, in the units of the weights.
*/
import {TaskClass} from '../types/jobs.ts';
import {getExpectedProcessors} from './harm-history.ts';
import {hostKindId, type HarmModel} from './harm-model.ts';
import {type MixItem, type TaskEntry, type WorkerEntry} from './placement-state.ts';

/** Weights of harm by class of the harmed task. */
export type HarmWeights = {
	tailWeight: number;
	throughputWeight: number;
};

// A service avoids what is unknown; batch work tries it.
const deviationsByClass = {
	[TaskClass.LatencyCritical]: 0.5,
	[TaskClass.Batch]: -0.5,
};

/** Works out costs of harm. */
export class HarmCost {
	readonly #model: HarmModel;
	readonly #weights: HarmWeights;

	constructor(model: HarmModel, weights: HarmWeights) {
		this.#model = model;
		this.#weights = weights;
	}

	/** Cost that the task would add to the worker: what it suffers there and what it does to others. */
	getAdded(worker: WorkerEntry, entry: TaskEntry, processors: number): number {
		const mix = getMix(worker);
		const {capacity} = worker.spec;
		const load = worker.expectedProcessors / capacity.processors;
		const newLoad = (worker.expectedProcessors + processors) / capacity.processors;
		const {kindId, spec: {taskClass}} = entry.job;
		let cost = this.#getPrice(taskClass, this.#getExcess(kindId, taskClass, {mix, load: newLoad, isMember: false}));
		for (const item of mix) {
			const before = this.#getExcess(item.kindId, item.taskClass, {mix, load, isMember: true});
			const after = this.#getExcess(item.kindId, item.taskClass, {mix, load: newLoad, isMember: true})
				+ this.#getEffect(item.kindId, item.taskClass, kindId, newLoad);
			cost += item.count * (this.#getPrice(item.taskClass, after) - this.#getPrice(item.taskClass, before));
		}

		return cost;
	}

	/** Expected slowdown beyond 1 that the neighbour causes to services of the worker, summed and weighed. */
	getContribution(worker: WorkerEntry, neighbour: TaskEntry): number {
		const load = worker.expectedProcessors / worker.spec.capacity.processors;
		let sum = 0;
		for (const item of getMix(worker)) {
			if (item.taskClass === TaskClass.LatencyCritical) {
				const effect = this.#model.getEffect(item.kindId, item.taskClass, neighbour.job.kindId, {load, deviations: 0});
				sum += item.count * this.#weights.tailWeight * Math.max(0, effect) * neighbour.throttleShare;
			}
		}

		return sum;
	}

	#getExcess(victimId: number, taskClass: TaskClass, {mix, load, isMember}: {mix: MixItem[]; load: number; isMember: boolean}): number {
		let excess = this.#getEffect(victimId, taskClass, hostKindId, load);
		for (const item of mix) {
			const amount = isMember && item.kindId === victimId ? item.amount - 1 : item.amount;
			if (amount > 0) {
				excess += amount * this.#getEffect(victimId, taskClass, item.kindId, load);
			}
		}

		return Math.max(0, excess);
	}

	#getEffect(victimId: number, taskClass: TaskClass, neighbourId: number, load: number): number {
		return this.#model.getEffect(victimId, taskClass, neighbourId, {load, deviations: deviationsByClass[taskClass]});
	}

	// A tail grows faster than the mean harm, hence the square.
	#getPrice(taskClass: TaskClass, excess: number): number {
		return taskClass === TaskClass.LatencyCritical
			? this.#weights.tailWeight * (excess + (excess ** 2)) / 2
			: this.#weights.throughputWeight * excess;
	}
}

/** Gets the kinds on the worker and works out their expected processors. */
export const getMix = (worker: WorkerEntry): MixItem[] => {
	if (worker.mix) {
		return worker.mix;
	}

	const mix: MixItem[] = [];
	let processors = 0;
	for (const entry of worker.tasks) {
		const {kindId, spec: {taskClass}} = entry.job;
		processors += getExpectedProcessors(entry);
		const known = mix.find(item => item.kindId === kindId && item.taskClass === taskClass);
		if (known) {
			known.count++;
			known.amount += entry.throttleShare;
		} else {
			mix.push({
				kindId, taskClass, count: 1, amount: entry.throttleShare,
			});
		}
	}

	worker.mix = mix;
	worker.expectedProcessors = processors;
	return mix;
};
