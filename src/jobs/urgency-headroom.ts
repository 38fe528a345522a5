/**
Headroom: capacity reserved for future urgent tasks, for as many as recently waited at once, so that they rarely need evictions.
*/
import {type Resources} from '../types/platform.ts';
import {type Fleet} from './placement-fleet.ts';
import {isAvailable, type TaskEntry, type WorkerEntry} from './placement-state.ts';
import {type PlacementSearch} from './placement-search.ts';

const maxSlots = 64;
// Headroom above this share of the fleet would cost more work than evictions do.
const maxShare = 0.05;

/** Reserved slots on some workers, each of the size of recent urgent tasks. */
export class UrgencyHeadroom {
	readonly #fleet: Fleet;
	readonly #search: PlacementSearch;
	readonly #halfLifeMs: number;
	#slots: Array<{worker: WorkerEntry; size: Resources}> = [];
	#template: TaskEntry | undefined;
	#target = 0;
	#observedAtMs = 0;

	constructor({fleet, search, halfLifeMs}: {fleet: Fleet; search: PlacementSearch; halfLifeMs: number}) {
		this.#fleet = fleet;
		this.#search = search;
		this.#halfLifeMs = halfLifeMs;
	}

	/** Adds an observation of how many urgent tasks wait at once. */
	observe(entry: TaskEntry, count: number, nowMs: number): void {
		const target = this.#getTarget(nowMs);
		this.#observedAtMs = nowMs;
		this.#target = Math.max(target, Math.min(count, maxSlots));
		const isLarger = this.#template === undefined || entry.reserved.processors >= this.#template.reserved.processors;
		this.#template = isLarger || target < 1 ? entry : this.#template;
	}

	/** Releases all slots for urgent work. Returns whether there were any. */
	release(): boolean {
		const slots = this.#slots;
		this.#slots = [];
		for (const {worker, size} of slots) {
			this.#fleet.claim(worker, size, -1);
		}

		return slots.length > 0;
	}

	/** Reserves or releases slots up to the target, before other work takes the capacity. */
	refill(nowMs: number): void {
		this.#dropUnavailable();
		const template = this.#template;
		if (!template || this.#halfLifeMs === 0) {
			return;
		}

		const limit = Math.floor(maxShare * this.#fleet.schedulableProcessors / template.reserved.processors);
		const target = Math.min(limit, Math.round(this.#getTarget(nowMs)));
		while (this.#slots.length < target) {
			const worker = this.#search.collect(template, nowMs)[0];
			if (!worker) {
				return;
			}

			this.#fleet.claim(worker, template.reserved, 1);
			this.#slots.push({worker, size: template.reserved});
		}

		while (this.#slots.length > target) {
			const {worker, size} = this.#slots.pop()!;
			this.#fleet.claim(worker, size, -1);
		}
	}

	#getTarget(nowMs: number): number {
		return this.#halfLifeMs === 0 ? 0 : this.#target * (2 ** (-(nowMs - this.#observedAtMs) / this.#halfLifeMs));
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
