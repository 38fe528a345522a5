/**
One scheduling cycle of the placement engine, and the state that its passes share.
*/
import {type Settings} from '../core/settings-schema.ts';
import {TaskClass} from '../types/jobs.ts';
import {DecisionType, type Decision, type EvictionReason} from '../types/placement.ts';
import {type Random} from '../types/random.ts';
import {type InterferenceCost} from './interference-cost.ts';
import {type ResidencyHistory} from './residency-history.ts';
import {type InterferenceModel} from './interference-model.ts';
import {type Fleet} from './placement-fleet.ts';
import {type WaitingQueue} from './placement-queue.ts';
import {type Place, type Reservations} from './placement-reservations.ts';
import {type PlacementSearch} from './placement-search.ts';
import {
	TaskPhase, type JobEntry, type TaskEntry, type WorkerEntry,
} from './placement-state.ts';
import {type QuotaLedger} from './quota-ledger.ts';
import {type SizeEstimates} from './size-estimates.ts';
import {type UrgencyHeadroom} from './urgency-headroom.ts';
import {type EvictionBudget, type EvictionHistory} from './eviction-planning.ts';
import {type WorkerHealth} from './worker-health.ts';

/** Parts and state of the engine that decisions are based on. */
export type PlacementContext = {
	settings: Settings['placement'];
	random: Random;
	fleet: Fleet;
	queue: WaitingQueue;
	quotas: QuotaLedger;
	reservations: Reservations;
	headroom: UrgencyHeadroom;
	search: PlacementSearch;
	sizes: SizeEstimates;
	health: WorkerHealth<WorkerEntry>;
	interferenceModel: InterferenceModel;
	interferenceCost: InterferenceCost;
	residencyHistory: ResidencyHistory;
	evictionHistory: EvictionHistory;
	urgentEvictionBudget: EvictionBudget;
	regularEvictionBudget: EvictionBudget;
	/** Searches that found no candidate: `freedVersion` of the fleet at that time, and when to search again anyway. */
	failedSearches: Map<string, {version: number; untilMs: number}>;
	/** Latency-critical tasks slowed beyond the threshold, and throttled batch tasks. */
	slowedTasks: Set<TaskEntry>;
	throttledTasks: Set<TaskEntry>;
	/** Batch tasks started in this cycle. */
	startedBatchTasks: TaskEntry[];
	getEvictionCost(entry: TaskEntry, nowMs: number): number;
};

// Workers that were avoided after a refusal become candidates again without any capacity being freed.
const searchRetryMs = 1000;
const needValidityMs = 1000;
const deferRetryMs = 1000;

/** The decisions of one scheduling cycle. */
export class PlacementCycle {
	readonly decisions: Decision[] = [];
	readonly context: PlacementContext;
	readonly nowMs: number;
	readonly #maxDecisions: number;

	constructor(context: PlacementContext, nowMs: number, maxDecisions: number) {
		this.context = context;
		this.nowMs = nowMs;
		this.#maxDecisions = maxDecisions;
	}

	get isFull(): boolean {
		return this.decisions.length >= this.#maxDecisions;
	}

	/** Starts the task on the worker. */
	start(entry: TaskEntry, worker: WorkerEntry): void {
		this.context.queue.remove(entry);
		this.context.fleet.allocate(worker, entry);
		this.recordStart(entry, worker);
	}

	/** Records the start of a task that has left the queue and holds its capacity. */
	recordStart(entry: TaskEntry, worker: WorkerEntry): void {
		entry.startedAtMs = this.nowMs;
		this.context.residencyHistory.recordStart(entry, this.nowMs);
		if (entry.job.spec.taskClass === TaskClass.Batch && this.context.settings.isHarmAware) {
			this.context.startedBatchTasks.push(entry);
		}

		this.decisions.push({
			type: DecisionType.Start, taskId: entry.task.taskId, workerId: worker.spec.workerId, resources: entry.reserved,
		});
	}

	/** Evicts the task; its capacity stays allocated until its end is confirmed. */
	evict(entry: TaskEntry, reason: EvictionReason, forTaskId?: string): void {
		entry.phase = TaskPhase.Evicting;
		this.context.quotas.changeEvicting(entry.job.spec.team, entry.reserved, 1);
		this.context.evictionHistory.record(entry.task.taskId, this.nowMs);
		this.decisions.push({
			type: DecisionType.Evict, taskId: entry.task.taskId, workerId: entry.worker!.spec.workerId, reason, forTaskId,
		});
	}

	/** Updates the capacity that the task needs, by the latest size estimates. */
	refreshNeed(entry: TaskEntry): void {
		const {job} = entry;
		if (job.needComputedAtMs + needValidityMs <= this.nowMs) {
			job.needComputedAtMs = this.nowMs;
			job.need = getNeed(this.context, job);
		}

		entry.reserved = job.need;
	}

	/** Starts one waiting task, or all tasks of a gang. Returns whether anything was started. */
	place(job: JobEntry): boolean {
		if (job.missing !== undefined || job.isFailingEverywhere || job.retryAtMs > this.nowMs || this.#hasSearchFailed(job)) {
			return false;
		}

		return job.spec.isGang ? this.#placeGang(job) : this.#placeOne(job);
	}

	#placeOne(job: JobEntry): boolean {
		const entry = this.context.queue.peek(job);
		if (!entry) {
			return false;
		}

		this.refreshNeed(entry);
		const worker = this.#findWorker(entry);
		if (!worker) {
			return false;
		}

		this.start(entry, worker);
		return true;
	}

	#placeGang(job: JobEntry): boolean {
		const {fleet, queue} = this.context;
		const places: Place[] = [];
		for (const entry of queue.listWaiting(job)) {
			this.refreshNeed(entry);
			const worker = this.#findWorker(entry);
			if (!worker) {
				for (const place of places.toReversed()) {
					fleet.undoAllocation(place.entry);
					place.entry.phase = TaskPhase.Waiting;
				}

				// The last search failed while the gang's other tasks held their capacity.
				return false;
			}

			fleet.allocate(worker, entry);
			places.push({entry, worker});
		}

		for (const {entry, worker} of places) {
			queue.remove(entry);
			this.recordStart(entry, worker);
		}

		return places.length > 0;
	}

	#findWorker(entry: TaskEntry): WorkerEntry | undefined {
		const {search, failedSearches, fleet} = this.context;
		const candidates = search.collect(entry, this.nowMs);
		if (candidates.length === 0) {
			failedSearches.set(getSearchKey(entry.job), {version: fleet.freedVersion, untilMs: this.nowMs + searchRetryMs});
			return undefined;
		}

		const worker = search.choose(candidates, entry, this.nowMs);
		if (!worker) {
			entry.job.firstDeferredAtMs = Math.min(entry.job.firstDeferredAtMs, this.nowMs);
			entry.job.retryAtMs = this.nowMs + deferRetryMs;
		}

		return worker;
	}

	/** Tells whether the latest search for the job found no candidate and no capacity was freed since. */
	#hasSearchFailed(job: JobEntry): boolean {
		const failure = this.context.failedSearches.get(getSearchKey(job));
		return failure?.version === this.context.fleet.freedVersion && this.nowMs < failure.untilMs;
	}
}

// The key of a gang includes its number of tasks: single tasks of the same shape may still fit.
const getSearchKey = ({shapeKey, spec, waitingCount}: JobEntry): string => spec.isGang ? `${shapeKey}/${waitingCount}` : shapeKey;

/** Gets the capacity to allocate for one task: corrected by the estimate for its kind, unless it would then fit nowhere. */
export const getNeed = ({sizes, fleet}: PlacementContext, {kindId, spec, region}: JobEntry): JobEntry['need'] => {
	const need = sizes.getReserved(kindId, spec);
	const count = spec.isGang ? spec.taskCount : 1;
	return fleet.describeMissing(need, count, region) === undefined ? need : spec.resources;
};
