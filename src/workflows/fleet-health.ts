/**
Health of an owner's workers: holds a worker that fails tasks which succeed elsewhere, and logs each change.
*/
import {WorkerHealth, type HealthSubject} from '../jobs/worker-health.ts';
import {type Clock} from '../types/clock.ts';
import {type FleetWorker} from './fleet-view.ts';
import {type LiveTask} from './live-model.ts';

/** Options of the health. */
export type FleetHealthOptions = {
	clock: Clock;
	getFleetSize: () => number;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** First hold of a worker that fails tasks which succeed elsewhere; each further hold is twice as long. */
const firstHoldMs = 1000;

/** Health of the workers of one owner. */
export class FleetHealth {
	readonly #options: FleetHealthOptions;
	readonly #health = new WorkerHealth<HealthSubject>({maxTries: 1, holdMs: firstHoldMs});

	constructor(options: FleetHealthOptions) {
		this.#options = options;
	}

	/** Records the end of a run, or a crash of the worker that its task is likely to have caused. */
	recordEnd({host, health}: FleetWorker, {ref}: LiveTask, isSuccess: boolean): void {
		const {clock, getFleetSize, note} = this.#options;
		const isChanged = this.#health.recordEnd({
			jobId: ref.workflowId, worker: health, isSuccess, nowMs: clock.monotonicMs(), fleetSize: getFleetSize(),
		});
		if (isChanged) {
			note('worker health', {host, isHeld: health.isHeld, isProbing: health.isProbing});
		}
	}

	/** Releases workers whose hold has expired; each then gets one task as a probe. */
	releaseHeld(): void {
		this.#health.releaseHeld(this.#options.clock.monotonicMs());
	}
}
