/**
Room kept free for the next urgent work, as much as came at once of late, so that it seldom has to evict.
*/
import {type Resources} from '../types/platform.ts';
import {type Fleet} from './placement-fleet.ts';
import {isAvailable, type TaskEntry, type WorkerEntry} from './placement-state.ts';
import {type PlacementSearch} from './placement-search.ts';

const maxSlots = 64;
// Headroom beyond this share of the fleet would cost more work than evictions do.
const maxShare = 0.05;

/** Slots of free room on some workers, of the size of the urgent tasks seen last. */
export class UrgencyHeadroom {
	readonly #fleet: Fleet;
	readonly #search: PlacementSearch;
	readonly #halfLifeMs: number;
	#slots: Array<{worker: WorkerEntry; size: Resources}> = [];
	#model: TaskEntry | undefined;
	#target = 0;
	#notedAtMs = 0;

	constructor({fleet, search, halfLifeMs}: {fleet: Fleet; search: PlacementSearch; halfLifeMs: number}) {
		this.#fleet = fleet;
		this.#search = search;
		this.#halfLifeMs = halfLifeMs;
	}

	/** Learns how much urgent work waits at once. */
	note(entry: TaskEntry, count: number, nowMs: number): void {
		const known = this.#getTarget(nowMs);
		this.#notedAtMs = nowMs;
		this.#target = Math.max(known, Math.min(count, maxSlots));
		const isLarger = this.#model === undefined || entry.reserved.processors >= this.#model.reserved.processors;
		this.#model = isLarger || known < 1 ? entry : this.#model;
	}

	/** Gives all kept room free for urgent work. Returns whether there was any. */
	release(): boolean {
		const slots = this.#slots;
		this.#slots = [];
		for (const {worker, size} of slots) {
			this.#fleet.claim(worker, size, -1);
		}

		return slots.length > 0;
	}

	/** Keeps free room up to the target, before other work takes it. */
	refill(nowMs: number): void {
		this.#dropUnavailable();
		const model = this.#model;
		if (!model || this.#halfLifeMs === 0) {
			return;
		}

		const limit = Math.floor(maxShare * this.#fleet.openProcessors / model.reserved.processors);
		const target = Math.min(limit, Math.round(this.#getTarget(nowMs)));
		while (this.#slots.length < target) {
			const worker = this.#search.collect(model, nowMs)[0];
			if (!worker) {
				return;
			}

			this.#fleet.claim(worker, model.reserved, 1);
			this.#slots.push({worker, size: model.reserved});
		}

		while (this.#slots.length > target) {
			const {worker, size} = this.#slots.pop()!;
			this.#fleet.claim(worker, size, -1);
		}
	}

	#getTarget(nowMs: number): number {
		return this.#halfLifeMs === 0 ? 0 : this.#target * (2 ** (-(nowMs - this.#notedAtMs) / this.#halfLifeMs));
	}

	#dropUnavailable(): void {
		for (const slot of this.#slots) {
			if (!isAvailable(slot.worker)) {
				this.#fleet.claim(slot.worker, slot.size, -1);
				this.#slots = this.#slots.filter(other => other !== slot);
			}
		}
	}
}
