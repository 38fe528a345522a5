/**
One round of decisions, and what all its passes share.
*/
import {type Settings} from '../core/settings-schema.ts';
import {TaskClass} from '../types/jobs.ts';
import {DecisionType, type Decision, type EvictionReason} from '../types/placement.ts';
import {type Random} from '../types/random.ts';
import {type HarmCost} from './harm-cost.ts';
import {type HarmHistory} from './harm-history.ts';
import {type HarmModel} from './harm-model.ts';
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
import {type EvictionBudget, type EvictionMemory} from './urgency-eviction.ts';
import {type WorkerHealth} from './worker-health.ts';

/** All that decisions are made from. */
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
	model: HarmModel;
	harmCost: HarmCost;
	history: HarmHistory;
	evictions: EvictionMemory;
	urgentBudget: EvictionBudget;
	otherBudget: EvictionBudget;
	/** Searches that found no room, with the version of the freed room at that time. */
	blocked: Map<string, {version: number; untilMs: number}>;
	/** Services that are slowed down, and batch tasks that are throttled. */
	harmed: Set<TaskEntry>;
	throttled: Set<TaskEntry>;
	/** Batch tasks started in this round. */
	started: TaskEntry[];
	getEvictionCost(entry: TaskEntry, nowMs: number): number;
};

// Workers avoided after a refusal come back without any room being freed.
const blockedMs = 1000;
const needKeptMs = 1000;
const deferredRetryMs = 1000;

/** The decisions of one round. */
export class Round {
	readonly decisions: Decision[] = [];
	readonly context: PlacementContext;
	readonly nowMs: number;
	readonly #limit: number;

	constructor(context: PlacementContext, nowMs: number, limit: number) {
		this.context = context;
		this.nowMs = nowMs;
		this.#limit = limit;
	}

	get isFull(): boolean {
		return this.decisions.length >= this.#limit;
	}

	/** Starts the task on the worker. */
	start(entry: TaskEntry, worker: WorkerEntry): void {
		this.context.queue.remove(entry);
		this.context.fleet.take(worker, entry);
		this.noteStarted(entry, worker);
	}

	/** Records the start of a task that left the queue and holds its room. */
	noteStarted(entry: TaskEntry, worker: WorkerEntry): void {
		entry.startedAtMs = this.nowMs;
		this.context.history.begin(entry, this.nowMs);
		if (entry.job.spec.taskClass === TaskClass.Batch && this.context.settings.isHarmAware) {
			this.context.started.push(entry);
		}

		this.decisions.push({
			type: DecisionType.Start, taskId: entry.task.taskId, workerId: worker.spec.workerId, resources: entry.reserved,
		});
	}

	/** Evicts the task; its room stays counted until its end is confirmed. */
	evict(entry: TaskEntry, reason: EvictionReason, forTaskId?: string): void {
		entry.phase = TaskPhase.Evicting;
		this.context.quotas.changeLeaving(entry.job.spec.team, entry.reserved, 1);
		this.context.evictions.note(entry.task.taskId, this.nowMs);
		this.decisions.push({
			type: DecisionType.Evict, taskId: entry.task.taskId, workerId: entry.worker!.spec.workerId, reason, forTaskId,
		});
	}

	/** Works out what the task needs by now. */
	refreshNeed(entry: TaskEntry): void {
		const {job} = entry;
		if (job.needAtMs + needKeptMs <= this.nowMs) {
			job.needAtMs = this.nowMs;
			job.need = getNeed(this.context, job);
		}

		entry.reserved = job.need;
	}

	/** Places one waiting task, or all of a gang. Returns whether something was started. */
	place(job: JobEntry): boolean {
		if (job.missing !== undefined || job.isFinal || job.retryAtMs > this.nowMs || this.#isBlocked(job)) {
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
		const worker = this.#find(entry);
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
			const worker = this.#find(entry);
			if (!worker) {
				for (const place of places.toReversed()) {
					fleet.undoTake(place.entry);
					place.entry.phase = TaskPhase.Waiting;
				}

				// The gang's own room was taken while the search for its last task failed.
				return false;
			}

			fleet.take(worker, entry);
			places.push({entry, worker});
		}

		for (const {entry, worker} of places) {
			queue.remove(entry);
			this.noteStarted(entry, worker);
		}

		return places.length > 0;
	}

	#find(entry: TaskEntry): WorkerEntry | undefined {
		const {search, blocked, fleet} = this.context;
		const candidates = search.collect(entry, this.nowMs);
		if (candidates.length === 0) {
			blocked.set(getBlockedKey(entry.job), {version: fleet.freedVersion, untilMs: this.nowMs + blockedMs});
			return undefined;
		}

		const worker = search.choose(candidates, entry, this.nowMs);
		if (!worker) {
			entry.job.deferredAtMs = Math.min(entry.job.deferredAtMs, this.nowMs);
			entry.job.retryAtMs = this.nowMs + deferredRetryMs;
		}

		return worker;
	}

	/** Tells whether the last search for the job found no room, and nothing came free since. */
	#isBlocked(job: JobEntry): boolean {
		const found = this.context.blocked.get(getBlockedKey(job));
		return found?.version === this.context.fleet.freedVersion && this.nowMs < found.untilMs;
	}
}

// A gang is blocked for its own size; its tasks may well fit one by one.
const getBlockedKey = ({shapeKey, spec, waitingCount}: JobEntry): string => spec.isGang ? `${shapeKey}/${waitingCount}` : shapeKey;

/** Gets what is to be held for one task: corrected by its kind, unless then no worker could take it. */
export const getNeed = ({sizes, fleet}: PlacementContext, {kindId, spec, region}: JobEntry): JobEntry['need'] => {
	const need = sizes.getReserved(kindId, spec);
	const count = spec.isGang ? spec.taskCount : 1;
	return fleet.describeMissing(need, count, region) === undefined ? need : spec.resources;
};
