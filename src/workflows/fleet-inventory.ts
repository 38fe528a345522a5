/**
Inventory of the sizes and labels of a service's workers, by which entries refuse at once what no worker can ever hold.

Answers jobs that would wait for ever. It counts as complete only once it has stopped changing for a while, because a worker that is
merely away may be the one that holds a task.
*/
import {type WorkerReport} from '../types/fleet.ts';
import {type WorkerShape} from '../types/admission.ts';

/** A worker that was away for this long counts as taken away: hosts restart within less. */
const retentionMs = 60_000;
/** A new owner learns of hosts that are cut off or restarting within this. */
const minKnownMs = 10_000;
const minUnchangedMs = 5000;

/** What of a worker's report counts. */
export type WorkerSize = Pick<WorkerReport, 'milliCpu' | 'memoryMb' | 'accelerators' | 'labels'>;

type KnownWorker = {host: string; size: WorkerSize; seenAtMs: number};

/** Inventory of one owner. */
export class FleetInventory {
	/** By host and size: a worker that has shrunk may grow again, so both of its sizes count. */
	readonly #workers = new Map<string, KnownWorker>();
	readonly #startedAtMs: number;
	#changedAtMs: number;
	#allPresentSinceMs = Number.POSITIVE_INFINITY;

	constructor(nowMs: number) {
		this.#startedAtMs = nowMs;
		this.#changedAtMs = nowMs;
	}

	/** Updates the inventory from the workers that are known now; a worker that has not reported its size is undefined. */
	update(workers: Iterable<readonly [host: string, size: WorkerSize | undefined]>, nowMs: number): void {
		let areAllKnown = true;
		const knownHosts = new Set([...this.#workers.values()].map(({host}) => host));
		for (const [host, size] of workers) {
			if (size) {
				this.#add(host, size, nowMs);
			} else {
				areAllKnown &&= knownHosts.has(host);
			}
		}

		this.#allPresentSinceMs = areAllKnown ? Math.min(this.#allPresentSinceMs, nowMs) : Number.POSITIVE_INFINITY;
		for (const [key, {seenAtMs}] of this.#workers) {
			if (nowMs - seenAtMs > retentionMs) {
				this.#workers.delete(key);
				this.#changedAtMs = nowMs;
			}
		}
	}

	/** Gets the sizes of all workers; undefined while the inventory may be incomplete. */
	getShapes(nowMs: number): WorkerShape[] | undefined {
		const isComplete = this.#workers.size > 0 && nowMs - this.#startedAtMs >= minKnownMs
			&& nowMs - this.#changedAtMs >= minUnchangedMs && nowMs - this.#allPresentSinceMs >= minUnchangedMs;
		if (!isComplete) {
			return undefined;
		}

		const shapes = new Map<string, WorkerShape>();
		for (const {size: {milliCpu, memoryMb, accelerators, labels}} of this.#workers.values()) {
			const key = `${milliCpu} ${memoryMb} ${accelerators}`;
			const shape = shapes.get(key) ?? {
				milliCpu, memoryMb, accelerators, workers: 0, labels: [],
			};
			shape.workers++;
			shape.labels = [...new Set([...shape.labels, ...labels])].toSorted((a, b) => a < b ? -1 : 1);
			shapes.set(key, shape);
		}

		return [...shapes.values()].toSorted((a, b) => a.milliCpu - b.milliCpu || a.memoryMb - b.memoryMb || a.accelerators - b.accelerators);
	}

	#add(host: string, {milliCpu, memoryMb, accelerators, labels}: WorkerSize, nowMs: number): void {
		const key = JSON.stringify([host, milliCpu, memoryMb, accelerators, labels]);
		const known = this.#workers.get(key);
		if (known) {
			known.seenAtMs = nowMs;
			return;
		}

		this.#changedAtMs = nowMs;
		this.#workers.set(key, {
			host, seenAtMs: nowMs, size: {
				milliCpu, memoryMb, accelerators, labels,
			},
		});
	}
}
