/**
What tasks of a kind really use and how long they run, against what they declare.
*/
import {TaskClass, type JobSpec} from '../types/jobs.ts';
import {type Resources, type TaskUsage} from '../types/platform.ts';

const highQuantile = 0.95;
const wellKnownCount = 40;
const margin = 1.1;
// Reports scatter by a few percent; only what is above that is room that has to be held.
const excessRatio = 1.05;
const leastRatio = 0.25;
const maxRatio = 20;
const firstStep = 0.25;

/** Tracks one quantile of a stream of ratios without keeping them. */
export class RunningQuantile {
	count = 0;
	value = 1;
	largest = 0;
	readonly #quantile: number;

	constructor(quantile: number) {
		this.#quantile = quantile;
	}

	note(ratio: number): void {
		const bounded = Math.min(maxRatio, Math.max(0, ratio));
		this.count++;
		this.largest = Math.max(this.largest, bounded);
		if (this.count === 1) {
			this.value = bounded;
			return;
		}

		// Steps shrink to a floor, so that the estimate settles and still follows a change.
		const step = Math.max(0.02, firstStep / Math.sqrt(this.count)) * Math.max(this.value, 0.05);
		this.value = Math.max(0, this.value + (bounded > this.value ? step * this.#quantile : -step * (1 - this.#quantile)));
	}
}

type KindSizes = {
	processors: RunningQuantile;
	memory: RunningQuantile;
	runTime: RunningQuantile;
};

/** Sizes and run times by kind. */
export class SizeEstimates {
	readonly #kinds = new Map<number, KindSizes>();
	readonly #isShrinkAllowed: boolean;

	constructor(isShrinkAllowed: boolean) {
		this.#isShrinkAllowed = isShrinkAllowed;
	}

	/** Forgets the kind. */
	forget(kindId: number): void {
		this.#kinds.delete(kindId);
	}

	/** Learns from a report of a task that was not throttled. */
	noteUsage(kindId: number, declared: Resources, usage: TaskUsage): void {
		const sizes = this.#get(kindId);
		sizes.processors.note(usage.processors / declared.processors);
		if (declared.memoryMb > 0) {
			sizes.memory.note(usage.memoryMb / declared.memoryMb);
		}
	}

	/** Learns how long a task ran that ended by itself. */
	noteRunTime(kindId: number, declaredMs: number, ranMs: number): void {
		this.#get(kindId).runTime.note(ranMs / declaredMs);
	}

	/** Gets what is to be held for one task: the larger of declared and measured, less only for a well-known kind. */
	getReserved(kindId: number, {resources, taskClass}: JobSpec): Resources {
		const sizes = this.#kinds.get(kindId);
		if (!sizes) {
			return {...resources};
		}

		// What a service uses follows its callers; a quiet hour says nothing of the next.
		const isShrinkable = this.#isShrinkAllowed && taskClass === TaskClass.Batch;
		return {
			processors: resources.processors * getRatio(sizes.processors, isShrinkable),
			memoryMb: resources.memoryMb * getRatio(sizes.memory, isShrinkable),
			accelerators: resources.accelerators,
		};
	}

	/** Gets the expected processors of a task about to start. */
	getExpectedProcessors(kindId: number, reserved: Resources, declared: Resources): number {
		const ratio = this.#kinds.get(kindId)?.processors;
		return ratio && ratio.count >= wellKnownCount ? Math.min(reserved.processors, declared.processors * ratio.value) : reserved.processors;
	}

	/** Gets the time that a task may still run. */
	getRemainingMs(kindId: number, declaredMs: number, ranMs: number): number {
		const ratio = this.#kinds.get(kindId)?.runTime;
		const expectedMs = declaredMs * (ratio && ratio.count > 0 ? ratio.value : 1);
		// A task past its expected end is expected to run on for a quarter of it.
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
	const isWellKnown = count >= wellKnownCount;
	const measured = isWellKnown ? value : largest;
	if (measured > excessRatio) {
		return measured;
	}

	return isWellKnown && isShrinkable ? Math.min(1, Math.max(leastRatio, measured * margin)) : 1;
};
