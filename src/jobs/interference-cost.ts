/**
Expected cost of interference on a worker, now and with one more task, in the units of the weights.
*/
import {TaskClass} from '../types/jobs.ts';
import {getExpectedProcessors} from './residency-history.ts';
import {clampLoad, hostKindId, type InterferenceModel} from './interference-model.ts';
import {type MixItem, type TaskEntry, type WorkerEntry} from './placement-state.ts';

/** Weights of interference by class of the slowed task. */
export type InterferenceWeights = {
	tailWeight: number;
	throughputWeight: number;
};

// In standard deviations: latency-critical tasks avoid uncertain neighbours, batch tasks try them.
const deviationsByClass = {
	[TaskClass.LatencyCritical]: 0.5,
	[TaskClass.Batch]: -0.5,
};

/** Computes costs of interference. */
export class InterferenceCost {
	readonly #model: InterferenceModel;
	readonly #weights: InterferenceWeights;
	readonly #getUtilization: () => number;

	constructor(model: InterferenceModel, options: {weights: InterferenceWeights; getUtilization: () => number}) {
		this.#model = model;
		this.#weights = options.weights;
		this.#getUtilization = options.getUtilization;
	}

	/**
	Cost that the task would add to the worker: its own slowdown there and the slowdown of the others by it.

	Free capacity beside a latency-critical task is expected to be used by batch tasks with average interference. So hosts
	that are already full of latency-critical tasks are preferred for another one, and a batch task with little interference
	is preferred to leaving the capacity free.
	*/
	getAddedCost(worker: WorkerEntry, entry: TaskEntry, processors: number): number {
		const mix = this.#getMix(worker);
		const {capacity} = worker.spec;
		const load = clampLoad(worker.expectedProcessors / capacity.processors);
		const newLoad = clampLoad((worker.expectedProcessors + processors) / capacity.processors);
		const {kindId, spec: {taskClass}} = entry.job;
		const isLatencyCritical = taskClass === TaskClass.LatencyCritical;
		const slowdownPerProcessor = this.#model.batchInterference * (isLatencyCritical ? 1 : this.#getUtilization() ** 2);
		const exposure = slowdownPerProcessor * Math.max(0, worker.free.processors);
		const newExposure = slowdownPerProcessor * Math.max(0, worker.free.processors - entry.reserved.processors);
		const own = this.#getOwnExcess(kindId, taskClass, mix, newLoad);
		let cost = this.#getPrice(taskClass, isLatencyCritical ? own + newExposure : own);
		for (const item of mix) {
			const isExposed = item.taskClass === TaskClass.LatencyCritical;
			const before = getExcess(item, load) + (isExposed ? exposure : 0);
			const after = getExcess(item, newLoad) + (isExposed ? newExposure : 0)
				+ this.#model.getEffect(item.kindId, item.taskClass, kindId, newLoad, deviationsByClass[item.taskClass]);
			cost += item.count * (this.#getPrice(item.taskClass, after) - this.#getPrice(item.taskClass, before));
		}

		return cost;
	}

	/** Cost that the neighbour causes to latency-critical tasks of the worker, with its effect moved by `deviations` standard deviations. */
	getContribution(worker: WorkerEntry, neighbour: TaskEntry, deviations: number): number {
		const mix = this.#getMix(worker);
		const load = clampLoad(worker.expectedProcessors / worker.spec.capacity.processors);
		let sum = 0;
		for (const item of mix) {
			if (item.taskClass === TaskClass.LatencyCritical) {
				const effect = neighbour.throttleShare * this.#model.getEffect(item.kindId, item.taskClass, neighbour.job.kindId, load, deviations);
				const excess = getExcess(item, load);
				sum += item.count * (this.#getPrice(item.taskClass, Math.max(excess, effect)) - this.#getPrice(item.taskClass, Math.max(0, excess - effect)));
			}
		}

		return sum;
	}

	#getOwnExcess(kindId: number, taskClass: TaskClass, mix: MixItem[], load: number): number {
		const deviations = deviationsByClass[taskClass];
		let excess = this.#model.getEffect(kindId, taskClass, hostKindId, load, deviations);
		for (const item of mix) {
			excess += item.shareSum * this.#model.getEffect(kindId, taskClass, item.kindId, load, deviations);
		}

		return Math.max(0, excess);
	}

	// Tail latency grows faster than the mean slowdown, hence the square.
	#getPrice(taskClass: TaskClass, excess: number): number {
		return taskClass === TaskClass.LatencyCritical
			? this.#weights.tailWeight * (excess + (excess ** 2)) / 2
			: this.#weights.throughputWeight * excess;
	}

	/** Gets the kinds on the worker with their expected slowdown; cached until its tasks or the model's epoch change. */
	#getMix(worker: WorkerEntry): MixItem[] {
		if (worker.mix && worker.mixEpoch === this.#model.epoch) {
			return worker.mix;
		}

		const mix = createMix(worker);
		for (const item of mix) {
			this.#setExcess(item, mix);
		}

		worker.mix = mix;
		worker.mixEpoch = this.#model.epoch;
		return mix;
	}

	#setExcess(item: MixItem, mix: MixItem[]): void {
		const {kindId, taskClass} = item;
		const deviations = deviationsByClass[taskClass];
		item.idleExcess = this.#model.getIdleEffect(kindId, taskClass, hostKindId, deviations);
		item.fullExcess = this.#model.getFullEffect(kindId, taskClass, hostKindId, deviations);
		for (const other of mix) {
			const shareSum = other === item ? other.shareSum - 1 : other.shareSum;
			if (shareSum > 0) {
				item.idleExcess += shareSum * this.#model.getIdleEffect(kindId, taskClass, other.kindId, deviations);
				item.fullExcess += shareSum * this.#model.getFullEffect(kindId, taskClass, other.kindId, deviations);
			}
		}
	}
}

const getExcess = ({idleExcess, fullExcess}: MixItem, load: number): number =>
	Math.max(0, ((1 - load) * idleExcess) + (load * fullExcess));

const createMix = (worker: WorkerEntry): MixItem[] => {
	const mix: MixItem[] = [];
	let processors = 0;
	for (const entry of worker.tasks) {
		const {kindId, spec: {taskClass}} = entry.job;
		processors += getExpectedProcessors(entry);
		const known = findItem(mix, kindId, taskClass);
		if (known) {
			known.count++;
			known.shareSum += entry.throttleShare;
		} else {
			mix.push({
				kindId, taskClass, count: 1, shareSum: entry.throttleShare, idleExcess: 0, fullExcess: 0,
			});
		}
	}

	worker.expectedProcessors = processors;
	return mix;
};

const findItem = (mix: MixItem[], kindId: number, taskClass: TaskClass): MixItem | undefined => {
	for (const item of mix) {
		if (item.kindId === kindId && item.taskClass === taskClass) {
			return item;
		}
	}

	return undefined;
};
