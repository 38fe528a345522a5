/**
Learned resource usage and run times of each kind of task, relative to what its jobs declare.
*/
import {TaskClass, type JobSpec} from '../types/jobs.ts';
import {type Resources, type TaskUsage} from '../types/platform.ts';

const highQuantile = 0.95;
const minSamples = 40;
const shrinkMargin = 1.1;
// Reports scatter by a few percent; only usage above this ratio raises the allocation.
const excessRatio = 1.05;
const minRatio = 0.25;
const maxRatio = 20;
const initialStep = 0.25;

/** Estimates one quantile of a stream of ratios without storing them. */
export class RunningQuantile {
	count = 0;
	value = 1;
	largest = 0;
	readonly #quantile: number;

	constructor(quantile: number) {
		this.#quantile = quantile;
	}

	observe(ratio: number): void {
		const bounded = Math.min(maxRatio, Math.max(0, ratio));
		this.count++;
		this.largest = Math.max(this.largest, bounded);
		if (this.count === 1) {
			this.value = bounded;
			return;
		}

		// Steps shrink to a lower bound, so that the estimate converges and still follows changes.
		const step = Math.max(0.02, initialStep / Math.sqrt(this.count)) * Math.max(this.value, 0.05);
		this.value = Math.max(0, this.value + (bounded > this.value ? step * this.#quantile : -step * (1 - this.#quantile)));
	}
}

type KindSizes = {
	processors: RunningQuantile;
	memory: RunningQuantile;
	runTime: RunningQuantile;
};

/** Estimates of sizes and run times by kind. */
export class SizeEstimates {
	readonly #kinds = new Map<number, KindSizes>();
	readonly #isShrinkAllowed: boolean;

	constructor(isShrinkAllowed: boolean) {
		this.#isShrinkAllowed = isShrinkAllowed;
	}

	/** Deletes the estimates of the kind. */
	forget(kindId: number): void {
		this.#kinds.delete(kindId);
	}

	/** Adds a usage report of a task that was not throttled. */
	observeUsage(kindId: number, declared: Resources, usage: TaskUsage): void {
		const sizes = this.#get(kindId);
		sizes.processors.observe(usage.processors / declared.processors);
		if (declared.memoryMb > 0) {
			sizes.memory.observe(usage.memoryMb / declared.memoryMb);
		}
	}

	/** Adds the run time of a task that succeeded. */
	observeRunTime(kindId: number, declaredMs: number, ranMs: number): void {
		this.#get(kindId).runTime.observe(ranMs / declaredMs);
	}

	/** Gets the capacity to allocate for one task: the larger of declared and measured; less only with enough samples. */
	getReserved(kindId: number, {resources, taskClass}: JobSpec): Resources {
		const sizes = this.#kinds.get(kindId);
		if (!sizes) {
			return {...resources};
		}

		// The usage of a latency-critical task follows its load: an hour of low load does not predict the next.
		const isShrinkable = this.#isShrinkAllowed && taskClass === TaskClass.Batch;
		return {
			processors: resources.processors * getRatio(sizes.processors, isShrinkable),
			memoryMb: resources.memoryMb * getRatio(sizes.memory, isShrinkable),
			accelerators: resources.accelerators,
		};
	}

	/** Gets the expected processor usage of a task that is about to start. */
	getExpectedProcessors(kindId: number, reserved: Resources, declared: Resources): number {
		const ratio = this.#kinds.get(kindId)?.processors;
		return ratio && ratio.count >= minSamples ? Math.min(reserved.processors, declared.processors * ratio.value) : reserved.processors;
	}

	/** Gets the expected remaining run time of a task. */
	getRemainingMs(kindId: number, declaredMs: number, ranMs: number): number {
		const ratio = this.#kinds.get(kindId)?.runTime;
		const expectedMs = declaredMs * (ratio && ratio.count > 0 ? ratio.value : 1);
		// Never less than a quarter of the expected run time, also for a task past it.
		return Math.max(expectedMs - ranMs, expectedMs / 4);
	}

	#get(kindId: number): KindSizes {
		let sizes = this.#kinds.get(kindId);
		if (!sizes) {
			sizes = {
				processors: new RunningQuantile(highQuantile), memory: new RunningQuantile(highQuantile), runTime: new RunningQuantile(0.5),
			};
			this.#kinds.set(kindId, sizes);
		}

		return sizes;
	}
}

const getRatio = ({count, value, largest}: RunningQuantile, isShrinkable: boolean): number => {
	const hasEnoughSamples = count >= minSamples;
	const measured = hasEnoughSamples ? value : largest;
	if (measured > excessRatio) {
		return measured;
	}

	return hasEnoughSamples && isShrinkable ? Math.min(1, Math.max(minRatio, measured * shrinkMargin)) : 1;
};
