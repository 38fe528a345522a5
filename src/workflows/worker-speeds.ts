/**
Speeds of workers, told apart from tasks that take long: a run counts only in relation to runs of its step on other workers, so that
a step that is slow on all workers makes none of them slow, and a worker counts as slow only by several tasks. Evidence fades, so that
a worker that has recovered is used again.
*/
import {type LiveRun, type LiveTask} from './live-model.ts';

/** How many times as long a task took as its step did on other workers, as a logarithm. */
type SpeedSample = {logFactor: number; weight: number; atMs: number};

/** A run that ended tells more than the progress of an active one. */
const endWeight = 1;
const progressWeight = 0.5;
/** Weight of the prior that a worker is as fast as the others. */
const priorWeight = 1;
/** Time constant of the fading; workers are slow for seconds. */
const fadeMs = 4000;
/** Samples with less weight than this are forgotten. */
const minWeight = 0.02;
const maxSamples = 8;
/** A single task may be one that takes long. */
const minTasks = 2;
/** A worker counts as slow from this many times the run time on; tasks of a step differ by less. */
const slowFactor = 2.5;

/** Whether a run may tell the speed of its worker: throttles slow best-effort runs, and distance those with data on a rack. */
export const showsSpeed = ({task: {step: {spec}}}: LiveRun): boolean =>
	!spec.isFilling && !spec.isGang && !spec.isLasting && spec.dataRack === undefined && !spec.isSameRack;

/** Learned speeds of one owner's workers. */
export class WorkerSpeeds {
	readonly #samples = new Map<string, Map<LiveTask, SpeedSample>>();

	/** Adds a run that took `Math.exp(logFactor)` times as long as runs of its step on other workers; it replaces an earlier sample of the task. */
	add({workerId, task}: LiveRun, logFactor: number, {isDone, nowMs}: {isDone: boolean; nowMs: number}): void {
		const samples = this.#samples.get(workerId) ?? new Map<LiveTask, SpeedSample>();
		this.#samples.set(workerId, samples);
		// Deleted first, so that the samples are in the order of their age.
		samples.delete(task);
		samples.set(task, {logFactor, weight: isDone ? endWeight : progressWeight, atMs: nowMs});
		if (samples.size > maxSamples) {
			samples.delete(samples.keys().next().value!);
		}
	}

	/** How many times as long as elsewhere runs take on the worker; 1 unless it is slow. */
	getSlowness(workerId: string, nowMs: number): number {
		const samples = this.#samples.get(workerId);
		if (!samples) {
			return 1;
		}

		let totalWeight = priorWeight;
		let sum = 0;
		for (const [task, {logFactor, weight, atMs}] of samples) {
			const fadedWeight = weight * Math.exp(-Math.max(0, nowMs - atMs) / fadeMs);
			if (fadedWeight < minWeight) {
				samples.delete(task);
				continue;
			}

			totalWeight += fadedWeight;
			sum += fadedWeight * logFactor;
		}

		if (samples.size === 0) {
			this.#samples.delete(workerId);
		}

		const factor = Math.exp(sum / totalWeight);
		return samples.size >= minTasks && factor >= slowFactor ? factor : 1;
	}

	/** Whether runs take several times as long on the worker as elsewhere. */
	isSlow(workerId: string, nowMs: number): boolean {
		return this.getSlowness(workerId, nowMs) > 1;
	}
}
