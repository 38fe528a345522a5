/**
Which tasks ran beside each other at which time, so that a late report is attributed to the neighbours at the time of its
measurement.
*/
import {TaskClass} from '../types/jobs.ts';
import {type Neighbour} from './interference-model.ts';
import {type Residency, type TaskEntry, type WorkerEntry} from './placement-state.ts';

// Reports arrive up to half a minute late; older residencies are no longer needed.
const retentionMs = 60_000;
const pruneAt = 16;

/** Neighbours of a task and load of its host at one time. */
export type Colocation = {
	victimKindId: number;
	taskClass: TaskClass;
	neighbours: Neighbour[];
	load: number;
	/** Processors used by the batch tasks among the neighbours. */
	batchProcessors: number;
};

type EndedResidency = {
	worker: WorkerEntry;
	kindId: number;
	taskClass: TaskClass;
	endMs: number;
};

/** Residencies of tasks on workers: current ones, and those that ended a short time ago. */
export class ResidencyHistory {
	readonly #ended = new Map<string, EndedResidency>();

	/** Records that a task starts on its worker, or continues at another throttle share. */
	recordStart(entry: TaskEntry, nowMs: number): void {
		const {worker} = entry;
		if (!worker) {
			return;
		}

		close(entry, nowMs);
		if (worker.residencies.length >= pruneAt + (2 * worker.tasks.size)) {
			worker.residencies = worker.residencies.filter(({endMs}) => endMs > nowMs - retentionMs);
		}

		entry.residency = {
			taskId: entry.task.taskId,
			kindId: entry.job.kindId,
			isBatch: entry.job.spec.taskClass === TaskClass.Batch,
			throttleShare: entry.throttleShare,
			processors: getExpectedProcessors(entry),
			startMs: nowMs,
			endMs: Number.POSITIVE_INFINITY,
		};
		worker.residencies.push(entry.residency);
	}

	/** Records that a task leaves its worker; to be called while `entry.worker` is still set. */
	recordEnd(entry: TaskEntry, nowMs: number): void {
		const {worker, job: {kindId, spec}, task: {taskId}} = entry;
		if (!worker) {
			return;
		}

		close(entry, nowMs);
		this.#ended.delete(taskId);
		this.#ended.set(taskId, {
			worker, kindId, taskClass: spec.taskClass, endMs: nowMs,
		});
		for (const [oldId, {endMs}] of this.#ended) {
			if (endMs > nowMs - retentionMs) {
				break;
			}

			this.#ended.delete(oldId);
		}
	}

	/** Sets the processors of the current residency to the measured ones. */
	updateProcessors(entry: TaskEntry): void {
		if (entry.residency) {
			entry.residency.processors = entry.measuredProcessors;
		}
	}

	/** Gets the neighbours of the task at the time; undefined: not known, or no longer. */
	getColocation(taskId: string, entry: TaskEntry | undefined, atMs: number): Colocation | undefined {
		if (entry?.worker && hasResidency(entry.worker, taskId, atMs)) {
			return createColocation(entry.worker, taskId, {victimKindId: entry.job.kindId, taskClass: entry.job.spec.taskClass, atMs});
		}

		const ended = this.#ended.get(taskId);
		return ended && hasResidency(ended.worker, taskId, atMs)
			? createColocation(ended.worker, taskId, {victimKindId: ended.kindId, taskClass: ended.taskClass, atMs})
			: undefined;
	}
}

/** Processors that the task is expected to use: measured if there is a report, else allocated. */
export const getExpectedProcessors = (entry: TaskEntry): number => entry.measuredProcessors >= 0 ? entry.measuredProcessors : entry.reserved.processors;

const isAt = ({startMs, endMs}: Residency, atMs: number): boolean => startMs <= atMs && atMs < endMs;

const close = (entry: TaskEntry, nowMs: number): void => {
	if (entry.residency) {
		entry.residency.endMs = nowMs;
		entry.residency = undefined;
	}
};

const hasResidency = ({residencies}: WorkerEntry, taskId: string, atMs: number): boolean =>
	residencies.some(residency => residency.taskId === taskId && isAt(residency, atMs));

const createColocation = (worker: WorkerEntry, taskId: string, victim: {victimKindId: number; taskClass: TaskClass; atMs: number}): Colocation => {
	const {victimKindId, taskClass, atMs} = victim;
	const neighbours: Neighbour[] = [];
	let processors = 0;
	let batchProcessors = 0;
	for (const residency of worker.residencies) {
		if (!isAt(residency, atMs)) {
			continue;
		}

		processors += residency.processors;
		if (residency.taskId === taskId) {
			continue;
		}

		batchProcessors += residency.isBatch ? residency.processors : 0;
		const known = neighbours.find(({kindId}) => kindId === residency.kindId);
		if (known) {
			known.shareSum += residency.throttleShare;
		} else {
			neighbours.push({kindId: residency.kindId, shareSum: residency.throttleShare});
		}
	}

	return {
		victimKindId, taskClass, neighbours, batchProcessors, load: processors / Math.max(worker.spec.capacity.processors, 1e-6),
	};
};
