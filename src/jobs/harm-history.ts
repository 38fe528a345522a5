/**
Who stood beside whom at which time, so that a late report is credited to the time that it speaks of.
*/
import {TaskClass} from '../types/jobs.ts';
import {type Neighbour} from './harm-model.ts';
import {type Residency, type TaskEntry, type WorkerEntry} from './placement-state.ts';

// Reports come up to half a minute late; older stays explain nothing any more.
const keptMs = 60_000;
const pruneAt = 16;

/** Surroundings of a task at one time. */
export type Surroundings = {
	victimId: number;
	taskClass: TaskClass;
	neighbours: Neighbour[];
	load: number;
	/** Processors of the batch tasks among the neighbours. */
	batchProcessors: number;
};

type EndedStay = {
	worker: WorkerEntry;
	kindId: number;
	taskClass: TaskClass;
	endMs: number;
};

/** Stays on workers, the running ones and those ended a short time ago. */
export class HarmHistory {
	readonly #ended = new Map<string, EndedStay>();

	/** A task begins to run, or goes on at another share. */
	begin(entry: TaskEntry, nowMs: number): void {
		const {worker} = entry;
		if (!worker) {
			return;
		}

		close(entry, nowMs);
		if (worker.residencies.length >= pruneAt + (2 * worker.tasks.size)) {
			worker.residencies = worker.residencies.filter(({endMs}) => endMs > nowMs - keptMs);
		}

		entry.residency = {
			taskId: entry.task.taskId,
			kindId: entry.job.kindId,
			isBatch: entry.job.spec.taskClass === TaskClass.Batch,
			share: entry.throttleShare,
			processors: getExpectedProcessors(entry),
			startMs: nowMs,
			endMs: Number.POSITIVE_INFINITY,
		};
		worker.residencies.push(entry.residency);
	}

	/** A task leaves its worker; to be told while it is still there. */
	end(entry: TaskEntry, nowMs: number): void {
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
			if (endMs > nowMs - keptMs) {
				break;
			}

			this.#ended.delete(oldId);
		}
	}

	/** Takes over the measured processors of a running task. */
	measure(entry: TaskEntry): void {
		if (entry.residency) {
			entry.residency.processors = entry.usedProcessors;
		}
	}

	/** Gets what stood beside the task at the time; undefined: not known any more. */
	getSurroundings(taskId: string, entry: TaskEntry | undefined, atMs: number): Surroundings | undefined {
		if (entry?.worker && hasStay(entry.worker, taskId, atMs)) {
			return describe(entry.worker, taskId, {victimId: entry.job.kindId, taskClass: entry.job.spec.taskClass, atMs});
		}

		const stay = this.#ended.get(taskId);
		return stay && hasStay(stay.worker, taskId, atMs)
			? describe(stay.worker, taskId, {victimId: stay.kindId, taskClass: stay.taskClass, atMs})
			: undefined;
	}
}

/** Processors that the task is expected to use: measured when there is a report, else what is held for it. */
export const getExpectedProcessors = (entry: TaskEntry): number => entry.usedProcessors >= 0 ? entry.usedProcessors : entry.reserved.processors;

const isAt = ({startMs, endMs}: Residency, atMs: number): boolean => startMs <= atMs && atMs < endMs;

const close = (entry: TaskEntry, nowMs: number): void => {
	if (entry.residency) {
		entry.residency.endMs = nowMs;
		entry.residency = undefined;
	}
};

const hasStay = ({residencies}: WorkerEntry, taskId: string, atMs: number): boolean =>
	residencies.some(residency => residency.taskId === taskId && isAt(residency, atMs));

const describe = (worker: WorkerEntry, taskId: string, victim: {victimId: number; taskClass: TaskClass; atMs: number}): Surroundings => {
	const {victimId, taskClass, atMs} = victim;
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
			known.amount += residency.share;
		} else {
			neighbours.push({kindId: residency.kindId, amount: residency.share});
		}
	}

	return {
		victimId, taskClass, neighbours, batchProcessors, load: processors / Math.max(worker.spec.capacity.processors, 1e-6),
	};
};
