/**
Tracks active runs: compares them with each agent's state and decides which of them continue, ended or are lost.

A task is started again only when its last run can no longer be running: its end is listed, the worker has a new
incarnation, its leases have expired, or the order to start it expired before it began.
*/
import {type EndedRow, type RunningRow, type WatchReply} from '../types/fleet.ts';
import {
	parseTaskId, RunEnd, type EndedRun, type TaskRef,
} from '../types/workflows.ts';
import {takeCheckpoint} from './checkpoints.ts';
import {isCold} from './cold-workers.ts';
import {type FleetWorker} from './fleet-view.ts';
import {
	getUnit, keepNewestRun, RunPhase, type LiveModel, type LiveRun, type LiveTask,
} from './live-model.ts';
import {describeRun, describeState} from './run-evidence.ts';
import {isCoveredBy, hasRecentListing} from './state-coverage.ts';

/** Callbacks of the tracker to its owner. */
export type RunTrackerHandlers = {
	/** Appends ends of runs to the jobs stream; resolves to whether they are stored. */
	storeEnds: (ends: EndedRun[]) => Promise<boolean>;
	/** A run of the task's job has started or succeeded; called for every such run. */
	onStarted: (task: LiveTask) => void;
	/** Finds a task of a finished job; undefined for an unknown job. */
	findFinishedTask: (ref: TaskRef) => LiveTask | undefined;
	/** An agent lists a run of a task that no job has. */
	onUnknownRun: (worker: FleetWorker, taskId: string, run: number) => void;
	/** A run of a task that is not long-running succeeded or failed. */
	onOutcome: (worker: FleetWorker, run: LiveRun, isSuccess: boolean) => void;
	/** A run was listed again. */
	onProgress: (run: LiveRun) => void;
	/** A task has failed as often as its job allows. */
	onAttemptsExhausted: (task: LiveTask) => void;
	/** Capacity became free or a task waits: a scheduling cycle is due. */
	onChange: () => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Why a run is considered lost, without a listed end. */
export enum LossReason {
	WorkerReplaced = 'worker-replaced',
	WorkerCrashed = 'worker-crashed',
	LeasesExpired = 'leases-over',
	AgentLost = 'agent-lost',
	AgentGone = 'agent-gone',
	NotListed = 'not-listed',
	NeverStarted = 'never-started',
}

/** When runs were found to be lost, and what showed it; the evidence goes to the log. */
export type LossFinding = {nowMs: number; evidence: Record<string, unknown>};

// After its first failure a task is retried at once; from the second on it waits, so that a task that fails right at its
// start does not use up all starts.
const retryDelayMs = 100;

/** A reachable worker is listed every half second; progress over a longer gap does not count for the speed. */
const maxListingGapMs = 1500;
/** Lower bound for the share of full speed of a best-effort task, because the measured processor use is rough. */
const minSpeedShare = 0.05;

/** Adds the time since the last listing to the time worked; for a best-effort task, scaled by the share of its processors that it got. */
const countWork = (run: LiveRun, nowMs: number): void => {
	const {workedUntilMs, recent, task: {step: {spec}}} = run;
	run.workedUntilMs = nowMs;
	if (workedUntilMs === undefined || nowMs - workedUntilMs > maxListingGapMs) {
		run.basePercent = run.percent;
		run.workedMs = 0;
		return;
	}

	const share = spec.isFilling && run.percent > 0 ? Math.min(1, Math.max(minSpeedShare, recent / spec.milliCpu)) : 1;
	run.workedMs += (nowMs - workedUntilMs) * share;
};

/** Tracks the active runs of one owner. */
export class RunTracker {
	readonly #model: LiveModel;
	readonly #handlers: RunTrackerHandlers;

	constructor(model: LiveModel, handlers: RunTrackerHandlers) {
		this.#model = model;
		this.#handlers = handlers;
	}

	/** Adds a run whose start was decided. */
	addRun(task: LiveTask, worker: FleetWorker, run: number, terms: {nowMs: number; notAfterMs: number}): LiveRun {
		const liveRun: LiveRun = {
			task,
			run,
			host: worker.host,
			workerId: worker.report!.workerId,
			agentLife: worker.agentLife,
			phase: RunPhase.Starting,
			orderedAtMs: terms.nowMs,
			isOrderPending: true,
			notAfterMs: terms.notAfterMs,
			confirmedVersion: 0,
			percent: 0,
			basePercent: 0,
			workedMs: 0,
			// The progress of a resumed run is unknown until its first listing.
			workedUntilMs: task.checkpoint.value === '' ? terms.nowMs : undefined,
			recent: 0,
			progressAtMs: terms.nowMs,
			stopOrderedAtMs: Number.NEGATIVE_INFINITY,
			wasCold: isCold(worker),
			isUnwanted: false,
			throttlePercent: 100,
		};
		task.lastRun = Math.max(task.lastRun, run);
		task.runs.push(liveRun);
		worker.runs.add(liveRun);
		return liveRun;
	}

	/** Marks the start as confirmed by the agent. */
	confirm(run: LiveRun, version: number, nowMs: number): void {
		run.isOrderPending = false;
		run.confirmedVersion = Math.max(run.confirmedVersion, version);
		if (run.phase === RunPhase.Starting) {
			run.phase = RunPhase.Running;
			run.progressAtMs = nowMs;
			run.workedUntilMs &&= nowMs;
			this.#handlers.onStarted(run.task);
		}
	}

	/** Removes a run whose start was refused; the waiting time of its task continues from before the order. */
	withdraw(run: LiveRun, worker: FleetWorker): void {
		this.#remove(run, worker);
		this.#handlers.onChange();
	}

	/** Applies an agent's state to the runs on its worker, and stores the ends that it lists. */
	applyReply(worker: FleetWorker, reply: WatchReply, nowMs: number): void {
		const workerId = reply.worker?.workerId;
		for (const run of worker.runs) {
			// An incarnation that has not answered the agent may have been announced late, and have ended before the run's incarnation began.
			if (reply.goneWorkerIds.includes(run.workerId) || (workerId !== undefined && reply.isListed && run.workerId !== workerId)) {
				this.markLost(run, worker, LossReason.WorkerReplaced, {nowMs, evidence: describeState(worker, reply, nowMs)});
			}
		}

		if (workerId === undefined) {
			if (reply.isListed) {
				this.#markCoveredLost(worker, reply, new Set(), nowMs);
			}

			return;
		}

		// An agent that does not know all runs yet lists the other ends once these are stored.
		this.#applyEnds(worker, reply.ended, nowMs);
		if (reply.isOver) {
			this.#applyLast(worker, reply, nowMs);
			this.#markCoveredLost(worker, reply, new Set(), nowMs);
		} else if (reply.isListed) {
			this.#markCoveredLost(worker, reply, this.#applyActive(worker, reply, nowMs), nowMs);
		}
	}

	/** Marks all runs on the worker as lost. */
	markAllLost(worker: FleetWorker, reason: LossReason, finding: LossFinding): void {
		for (const run of worker.runs) {
			this.markLost(run, worker, reason, finding);
		}
	}

	/** Marks a run as lost: it cannot be running any more, and how it ended is unknown. */
	markLost(run: LiveRun, worker: FleetWorker, reason: LossReason, {nowMs, evidence}: LossFinding): void {
		this.#handlers.note('run lost', {
			taskId: run.task.taskId, run: run.run, host: run.host, workerId: run.workerId, reason, ...describeRun(run, nowMs), ...evidence,
		});
		this.#removeAndRequeue(run, worker, nowMs);
		this.#handlers.onChange();
	}

	/** Applies the rows of a state whose leases have all expired: the numbers and checkpoints of the last runs are needed for the next ones. */
	#applyLast(worker: FleetWorker, reply: WatchReply, nowMs: number): void {
		for (const row of reply.running) {
			const task = this.#findTask(row.taskId);
			if (task && this.#findActive(task, worker, row.run)) {
				this.#applyRunning(worker, row, reply, nowMs);
			} else if (task && row.run > task.lastRun) {
				task.lastRun = row.run;
				takeCheckpoint(task, row);
				this.#handlers.onStarted(task);
			}
		}

		for (const {taskId, run} of reply.starting) {
			const task = this.#findTask(taskId);
			if (task) {
				task.lastRun = Math.max(task.lastRun, run);
			}
		}
	}

	/** Applies the running and starting rows of a state; returns their runs. */
	#applyActive(worker: FleetWorker, reply: WatchReply, nowMs: number): Set<LiveRun> {
		const listed = new Set<LiveRun>();
		for (const row of reply.running) {
			const run = this.#applyRunning(worker, row, reply, nowMs);
			if (run) {
				listed.add(run);
			}
		}

		for (const {taskId, run} of reply.starting) {
			const liveRun = this.#adopt(worker, {taskId, run}, reply, nowMs);
			if (liveRun) {
				listed.add(liveRun);
			}
		}

		return listed;
	}

	#removeAndRequeue(run: LiveRun, worker: FleetWorker, nowMs: number): void {
		this.#remove(run, worker);
		run.task.waitingSinceMs = nowMs;
	}

	#remove(run: LiveRun, worker: FleetWorker): void {
		worker.runs.delete(run);
		run.task.runs = run.task.runs.filter(other => other !== run);
	}

	/** Finds a task, also of a finished job. */
	#findTask(taskId: string): LiveTask | undefined {
		const ref = parseTaskId(taskId);
		return ref && (this.#model.getTask(ref) ?? this.#handlers.findFinishedTask(ref));
	}

	#findActive({runs}: LiveTask, {host}: FleetWorker, run: number): LiveRun | undefined {
		return runs.find(active => active.run === run && active.host === host);
	}

	#applyRunning(worker: FleetWorker, row: RunningRow, reply: WatchReply, nowMs: number): LiveRun | undefined {
		const run = this.#adopt(worker, row, reply, nowMs);
		if (!run) {
			return undefined;
		}

		run.task.isLocated ||= hasRecentListing(worker, reply);
		if (row.percent > run.percent) {
			run.percent = row.percent;
			run.progressAtMs = nowMs;
		}

		run.recent = row.recent;
		run.wasCold = run.wasCold === true || isCold(worker);
		countWork(run, nowMs);
		this.#handlers.onProgress(run);
		takeCheckpoint(run.task, row);
		if (run.phase === RunPhase.Starting) {
			this.confirm(run, reply.version, nowMs);
		}

		return run;
	}

	/**
	Finds the listed run, or adopts it if an earlier owner started it. A run that is no longer needed is adopted as well,
	because it uses capacity until it has stopped.
	*/
	#adopt(worker: FleetWorker, {taskId, run}: {taskId: string; run: number}, reply: WatchReply, nowMs: number): LiveRun | undefined {
		const task = this.#findTask(taskId);
		if (!task) {
			this.#handlers.onUnknownRun(worker, taskId, run);
			return undefined;
		}

		const active = this.#findActive(task, worker, run);
		if (active) {
			return active;
		}

		const isUnwanted = task.step.workflow.isFinished || task.isDone || (!task.step.spec.isSpeculative && keepNewestRun(task, run) !== run);
		const liveRun = this.addRun(task, worker, run, {nowMs, notAfterMs: 0});
		liveRun.isOrderPending = false;
		liveRun.isUnwanted = isUnwanted;
		liveRun.workedUntilMs = undefined;
		liveRun.throttlePercent = undefined;
		liveRun.agentLife = reply.agentLife;
		liveRun.confirmedVersion = reply.version;
		this.#handlers.note('run adopted', {
			taskId, run, host: worker.host, workerId: liveRun.workerId, isUnwanted,
		});
		return liveRun;
	}

	#applyEnds(worker: FleetWorker, rows: EndedRow[], nowMs: number): void {
		const newRows = rows.filter(row => row.number > worker.processedEnd);
		if (newRows.length === 0) {
			return;
		}

		const stored: EndedRun[] = [];
		for (const {number: _, ...end} of newRows) {
			const record = this.#applyEnd(worker, end, nowMs);
			if (record) {
				stored.push(record);
			}
		}

		worker.processedEnd = newRows.at(-1)!.number;
		void this.#storeEnds(worker, worker.report!.workerId, worker.processedEnd, stored);
		this.#handlers.onChange();
	}

	/** The worker may forget an end only once the stream holds it, because a later owner needs it. */
	async #storeEnds(worker: FleetWorker, workerId: string, upTo: number, ends: EndedRun[]): Promise<void> {
		// Called also with nothing to store: it resolves after the writes before it, which may hold earlier ends of this worker.
		const isStored = await this.#handlers.storeEnds(ends);
		if (isStored && worker.report?.workerId === workerId) {
			worker.storedEnd = Math.max(worker.storedEnd, upTo);
		}
	}

	/** Applies the end of a run; returns what is worth storing of it. */
	#applyEnd(worker: FleetWorker, end: EndedRun, nowMs: number): EndedRun | undefined {
		const task = this.#findTask(end.taskId);
		if (!task) {
			return undefined;
		}

		const run = this.#findActive(task, worker, end.run);
		this.#handlers.note('run ended', {
			taskId: end.taskId, run: end.run, end: end.end, host: worker.host, isKnown: run !== undefined,
		});
		task.lastRun = Math.max(task.lastRun, end.run);
		if (run) {
			this.#removeAndRequeue(run, worker, nowMs);
		}

		// A checkpoint that is not taken must not be stored either: a later owner would resume from it.
		const record = takeCheckpoint(task, end) ? end : {...end, checkpoint: ''};
		// The number is stored with the end of the newest run, also without a result: owners of the previous version go on from the highest stored one.
		const isNewest = end.run >= task.lastRun && !task.isDone && !task.step.workflow.isFinished;
		if (task.step.spec.isLasting) {
			return isNewest ? record : undefined;
		}

		if (run && (end.end === RunEnd.Done || end.end === RunEnd.Failed)) {
			countWork(run, nowMs);
			this.#handlers.onOutcome(worker, run, end.end === RunEnd.Done);
		}

		return this.#applyOutcome(task, record, nowMs) || isNewest ? record : undefined;
	}

	#applyOutcome(task: LiveTask, end: EndedRun, nowMs: number): boolean {
		if (end.end === RunEnd.Done) {
			this.#handlers.onStarted(task);
			if (!task.isDone) {
				this.#model.completeUnit(task, nowMs);
			}

			return true;
		}

		if (end.end === RunEnd.Failed) {
			// Failures of runs that an earlier owner started count too: it may have died before it stored them.
			for (const member of getUnit(task)) {
				member.failedRuns.add(end.run);
				member.notBeforeMs = nowMs + (member.failedRuns.size > 1 ? retryDelayMs : 0);
			}

			if (task.failedRuns.size >= task.step.workflow.spec.maxAttempts) {
				this.#handlers.onAttemptsExhausted(task);
			}
		}

		return end.end === RunEnd.Failed || end.checkpoint !== '';
	}

	/** Marks runs as lost that the state covers without listing them as active: they have ended or never began. */
	#markCoveredLost(worker: FleetWorker, reply: WatchReply, active: Set<LiveRun>, nowMs: number): void {
		for (const run of worker.runs) {
			if (!active.has(run) && isCoveredBy(reply, run)) {
				const reason = run.phase === RunPhase.Starting ? LossReason.NeverStarted : LossReason.NotListed;
				this.markLost(run, worker, reply.isOver ? LossReason.LeasesExpired : reason, {nowMs, evidence: describeState(worker, reply, nowMs)});
			}
		}
	}
}
