/**
The placement engine: tracks tasks and workers, and decides in scheduling cycles which tasks to start, evict or throttle.

Capacity is allocated when a start is decided and released when the end of the run is confirmed. So decisions never
overcommit a worker, whether the orders in between succeed, fail or stay unanswered.
*/
import {type Settings} from '../core/settings-schema.ts';
import {
	DecisionType, type Decision, type PendingTask, type PlacementEngine, type PlacementWorker,
} from '../types/placement.ts';
import {type Resources, type TaskUsage} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {KindTable} from './interference-model.ts';
import {runInterferencePass} from './interference-response.ts';
import {createContext} from './placement-context.ts';
import {createTaskEntry, createJobEntry, getShapeKey} from './placement-entries.ts';
import {runQuotaReturnPass} from './placement-evictions.ts';
import {runFairSharePass, runReservationPass, runUrgentPass} from './placement-passes.ts';
import {createNoResources} from './placement-resources.ts';
import {getNeed, PlacementCycle, type PlacementContext} from './placement-cycle.ts';
import {type ChooseWorker} from './placement-search.ts';
import {TaskPhase, type JobEntry, type TaskEntry} from './placement-state.ts';
import {observeInterference, recordRunningUsage} from './placement-usage.ts';

/** Dependencies of the engine. */
export type PlacementOptions = {
	settings: Settings['placement'];
	random: Random;
	/** Replaces the choice among the workers with enough free capacity; used to compare policies. */
	choose?: ChooseWorker;
};

const refusalAvoidMs = 2000;

/** Creates a placement engine. */
export const createPlacementEngine = (options: PlacementOptions): PlacementEngine => new Engine(options);

class Engine implements PlacementEngine {
	readonly #context: PlacementContext;
	readonly #kinds: KindTable;
	readonly #tasks = new Map<string, TaskEntry>();
	readonly #jobs = new Map<string, JobEntry>();
	/** Jobs that the next cycle checks for being unplaceable. */
	readonly #jobsToCheck = new Set<JobEntry>();
	readonly #failingEverywhere = new Map<string, string>();
	#checkedFleetVersion = -1;
	#nowMs = 0;
	#nextSequence = 0;

	constructor(options: PlacementOptions) {
		this.#context = createContext(options);
		this.#kinds = new KindTable(kindId => {
			this.#context.interferenceModel.forget(kindId);
			this.#context.sizes.forget(kindId);
		});
	}

	setWorker(worker: PlacementWorker): void {
		this.#context.fleet.setWorker(worker);
	}

	removeWorker(workerId: string): void {
		const worker = this.#context.fleet.removeWorker(workerId);
		if (!worker) {
			return;
		}

		this.#context.health.forget(worker);
		for (const entry of worker.tasks) {
			entry.isExcludedFromHealth = true;
		}
	}

	setQuota(team: string, quota: Resources, weight: number): void {
		this.#context.quotas.setQuota(team, quota, weight);
	}

	enqueue(task: PendingTask): void {
		const known = this.#tasks.get(task.taskId);
		if (known?.worker) {
			// The previous attempt still holds its capacity: this one waits until the end of that attempt is confirmed.
			known.nextAttempt = task;
			return;
		}

		if (known) {
			known.task = task;
			return;
		}

		const job = this.#getOrCreateJob(task);
		const entry = createTaskEntry(task, job);
		this.#tasks.set(task.taskId, entry);
		if (task.spec.isGang) {
			// Capacity reserved for a part of the gang would start that part alone.
			this.#context.reservations.cancelJob(job);
		}

		this.#context.queue.add(entry);
		this.#jobsToCheck.add(job);
	}

	cancel(taskId: string): void {
		const entry = this.#tasks.get(taskId);
		if (!entry) {
			return;
		}

		entry.nextAttempt = undefined;
		entry.isExcludedFromHealth = true;
		if (!entry.worker) {
			this.#removeFromQueue(entry);
			this.#removeTask(entry);
		}
	}

	recordRunning(task: PendingTask, workerId: string, startedAtMs: number): void {
		const {fleet, residencyHistory} = this.#context;
		const known = this.#tasks.get(task.taskId);
		if (known?.worker?.spec.workerId === workerId) {
			known.task = task;
			known.startedAtMs = startedAtMs;
			return;
		}

		if (known?.phase === TaskPhase.Evicting) {
			this.#context.quotas.changeEvicting(known.job.spec.team, known.reserved, -1);
		}

		if (known) {
			this.#removeFromQueue(known);
			fleet.release(known);
		}

		const entry = known ?? createTaskEntry(task, this.#getOrCreateJob(task));
		entry.task = task;
		entry.reserved = task.reserved ?? entry.job.need;
		entry.startedAtMs = startedAtMs;
		this.#tasks.set(task.taskId, entry);
		const worker = fleet.get(workerId) ?? this.#createUnknownWorker(workerId);
		fleet.allocate(worker, entry);
		residencyHistory.recordStart(entry, startedAtMs);
	}

	recordStartRefused(taskId: string, workerId: string): void {
		const entry = this.#tasks.get(taskId);
		if (entry?.worker?.spec.workerId === workerId) {
			entry.isExcludedFromHealth = true;
			entry.worker.avoidUntilMs = this.#nowMs + refusalAvoidMs;
		}
	}

	recordEnded(taskId: string, isSuccess: boolean, nowMs: number): void {
		this.#nowMs = Math.max(this.#nowMs, nowMs);
		const entry = this.#tasks.get(taskId);
		if (!entry) {
			return;
		}

		const {nextAttempt} = entry;
		if (entry.worker) {
			this.#recordRunEnd(entry, isSuccess, nowMs);
		} else {
			this.#removeFromQueue(entry);
		}

		this.#removeTask(entry);
		if (isSuccess) {
			this.#context.evictionHistory.forget(taskId);
		} else if (nextAttempt) {
			this.enqueue(nextAttempt);
		}
	}

	recordUsage(taskId: string, usage: TaskUsage): void {
		const entry = this.#tasks.get(taskId);
		observeInterference(this.#context, {taskId, entry, usage});
		if (entry?.worker && usage.measuredAtMs >= entry.startedAtMs) {
			recordRunningUsage(this.#context, entry, usage);
		}
	}

	decide(nowMs: number, maxDecisions: number): Decision[] {
		this.#nowMs = nowMs;
		const context = this.#context;
		for (const worker of context.health.releaseHeld(nowMs)) {
			context.fleet.freedVersion++;
			context.fleet.refresh(worker);
		}

		context.interferenceModel.decay(nowMs);
		const cycle = new PlacementCycle(context, nowMs, maxDecisions);
		this.#reportUnplaceable(cycle);
		context.reservations.releaseExpired(nowMs);
		const recordStart = cycle.recordStart.bind(cycle);
		context.reservations.startReady(false, recordStart);
		runUrgentPass(cycle);
		context.reservations.startReady(true, recordStart);
		runFairSharePass(cycle);
		runQuotaReturnPass(cycle);
		runReservationPass(cycle);
		if (context.settings.isHarmAware) {
			runInterferencePass(cycle);
		}

		return cycle.decisions;
	}

	#getOrCreateJob(task: PendingTask): JobEntry {
		const {spec, queuedAtMs, region} = task;
		let job = this.#jobs.get(spec.jobId);
		if (!job) {
			job = createJobEntry(task, this.#kinds.getId(spec.kind), this.#nextSequence++);
			job.need = getNeed(this.#context, job);
			job.needComputedAtMs = queuedAtMs;
			job.isFailingEverywhere = this.#recordIfFailingEverywhere(spec.jobId);
			this.#jobs.set(spec.jobId, job);
		}

		if (job.region !== region) {
			job.region = region;
			job.shapeKey = getShapeKey(job);
			job.checkedFleetVersion = -1;
		}

		return job;
	}

	#createUnknownWorker(workerId: string) {
		this.#context.fleet.setWorker({
			workerId, region: '', failureDomain: '', rack: '', capacity: createNoResources(), isSchedulable: false,
		});
		return this.#context.fleet.get(workerId)!;
	}

	#removeFromQueue(entry: TaskEntry): void {
		if (entry.phase === TaskPhase.Reserved) {
			this.#context.reservations.cancelTask(entry);
		}

		if (entry.phase === TaskPhase.Waiting) {
			entry.phase = TaskPhase.Inactive;
			this.#context.queue.remove(entry);
		}
	}

	#recordRunEnd(entry: TaskEntry, isSuccess: boolean, nowMs: number): void {
		const {fleet, residencyHistory, health, sizes, quotas} = this.#context;
		const {job: {spec, kindId}, phase, isExcludedFromHealth} = entry;
		const worker = entry.worker!;
		residencyHistory.recordEnd(entry, nowMs);
		fleet.release(entry);
		if (phase === TaskPhase.Evicting) {
			quotas.changeEvicting(spec.team, entry.reserved, -1);
			return;
		}

		if (isExcludedFromHealth) {
			return;
		}

		if (isSuccess) {
			sizes.observeRunTime(kindId, spec.declaredRunTimeMs, nowMs - entry.startedAtMs);
		}

		const hasChanged = health.recordEnd({
			jobId: spec.jobId, worker, isSuccess, nowMs, fleetSize: fleet.size,
		});
		if (hasChanged) {
			fleet.freedVersion++;
			fleet.refresh(worker);
		}

		if (!isSuccess && !entry.job.isFailingEverywhere) {
			entry.job.isFailingEverywhere = this.#recordIfFailingEverywhere(spec.jobId);
		}
	}

	#recordIfFailingEverywhere(jobId: string): boolean {
		const reason = this.#context.health.describeFailure(jobId, this.#context.fleet.size);
		if (reason !== undefined) {
			this.#failingEverywhere.set(jobId, reason);
		}

		return reason !== undefined;
	}

	#removeTask(entry: TaskEntry): void {
		const {job} = entry;
		entry.phase = TaskPhase.Inactive;
		this.#tasks.delete(entry.task.taskId);
		this.#context.slowedTasks.delete(entry);
		this.#context.throttledTasks.delete(entry);
		if (job.waitingCount === 0 && job.placedCount === 0 && !this.#context.reservations.has(job)) {
			this.#jobs.delete(job.spec.jobId);
			this.#jobsToCheck.delete(job);
		} else if (job.missing !== undefined) {
			// The remaining tasks of a gang may fit.
			job.checkedFleetVersion = -1;
			this.#jobsToCheck.add(job);
		}
	}

	#reportUnplaceable(cycle: PlacementCycle): void {
		const {fleet, queue} = this.#context;
		for (const [jobId, reason] of this.#failingEverywhere) {
			cycle.decisions.push({
				type: DecisionType.Unplaceable, jobId, missing: reason, isFinal: true,
			});
		}

		this.#failingEverywhere.clear();
		if (this.#checkedFleetVersion !== fleet.version) {
			this.#checkedFleetVersion = fleet.version;
			for (const jobs of [queue.urgent, ...queue.teams.values()]) {
				for (const job of jobs) {
					this.#jobsToCheck.add(job);
				}
			}
		}

		for (const job of this.#jobsToCheck) {
			this.#checkPlaceable(job, cycle);
		}

		this.#jobsToCheck.clear();
	}

	#checkPlaceable(job: JobEntry, cycle: PlacementCycle): void {
		const {fleet} = this.#context;
		if (job.checkedFleetVersion === fleet.version || job.waitingCount === 0) {
			return;
		}

		job.checkedFleetVersion = fleet.version;
		const taskCount = job.spec.isGang ? job.waitingCount + job.placedCount : 1;
		const missing = fleet.describeMissing(job.spec.resources, taskCount, job.region);
		if (missing !== undefined && missing !== job.missing) {
			cycle.decisions.push({
				type: DecisionType.Unplaceable, jobId: job.spec.jobId, missing, isFinal: false,
			});
		}

		job.missing = missing;
	}
}
