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
	readonly #getBusyness: () => number;

	constructor(model: HarmModel, options: {weights: HarmWeights; getBusyness: () => number}) {
		this.#model = model;
		this.#weights = options.weights;
		this.#getBusyness = options.getBusyness;
	}

	/**
	Cost that the task would add to the worker: what it suffers there and what it does to others.

	Room beside a service does not stay free: batch work of the usual kind will fill it. So a service is better off on a
	host that services fill already, and beside it a quiet task is worth more than no task.
	*/
	getAdded(worker: WorkerEntry, entry: TaskEntry, processors: number): number {
		const mix = getMix(worker);
		const {capacity} = worker.spec;
		const load = worker.expectedProcessors / capacity.processors;
		const newLoad = (worker.expectedProcessors + processors) / capacity.processors;
		const {kindId, spec: {taskClass}} = entry.job;
		const isService = taskClass === TaskClass.LatencyCritical;
		const filler = this.#model.usualHarm * (isService ? 1 : this.#getBusyness() ** 2);
		const exposure = filler * Math.max(0, worker.free.processors);
		const newExposure = filler * Math.max(0, worker.free.processors - entry.reserved.processors);
		const own = this.#getExcess(kindId, taskClass, {mix, load: newLoad, isMember: false});
		let cost = this.#getPrice(taskClass, isService ? own + newExposure : own);
		for (const item of mix) {
			const isExposed = item.taskClass === TaskClass.LatencyCritical;
			const before = this.#getExcess(item.kindId, item.taskClass, {mix, load, isMember: true}) + (isExposed ? exposure : 0);
			const after = this.#getExcess(item.kindId, item.taskClass, {mix, load: newLoad, isMember: true})
				+ this.#getEffect(item.kindId, item.taskClass, kindId, newLoad) + (isExposed ? newExposure : 0);
			cost += item.count * (this.#getPrice(item.taskClass, after) - this.#getPrice(item.taskClass, before));
		}

		return cost;
	}

	/** Cost that services of the worker would be spared if the neighbour were gone, moved by so many deviations. */
	getContribution(worker: WorkerEntry, neighbour: TaskEntry, deviations: number): number {
		const mix = getMix(worker);
		const load = worker.expectedProcessors / worker.spec.capacity.processors;
		let sum = 0;
		for (const {kindId, taskClass, count} of mix) {
			if (taskClass === TaskClass.LatencyCritical) {
				const effect = neighbour.throttleShare * this.#model.getEffect(kindId, taskClass, neighbour.job.kindId, {load, deviations});
				const excess = this.#getExcess(kindId, taskClass, {mix, load, isMember: true});
				sum += count * (this.#getPrice(taskClass, Math.max(excess, effect)) - this.#getPrice(taskClass, Math.max(0, excess - effect)));
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
