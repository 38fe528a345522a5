/**
Runs that are out: takes what agents list and decides, for each run, whether it goes on, ended, or is over for certain.

A task is started again only when its last run cannot be running any more: its end is listed, its worker is another
incarnation, its leases are over, or its order came too late to start anything.
*/
import {type EndedRow, type RunningRow, type WatchReply} from '../types/fleet.ts';
import {
	parseTaskId, RunEnd, type EndedRun, type TaskRef,
} from '../types/workflows.ts';
import {type FleetWorker} from './fleet-view.ts';
import {
	getUnit, RunPhase, type LiveModel, type LiveRun, type LiveTask,
} from './live-model.ts';

/** What the tracker tells its owner. */
export type RunTrackerHandlers = {
	/** Writes ends to the log; resolves to whether they are stored. */
	store: (ends: EndedRun[]) => Promise<boolean>;
	/** A job's first run was seen. */
	onBegun: (task: LiveTask) => void;
	/** Finds a task of a job that is over; undefined for a job that nobody handed in. */
	recall: (ref: TaskRef) => LiveTask | undefined;
	/** No job has such a task. */
	onUnknown: (worker: FleetWorker, taskId: string, run: number) => void;
	/** A run of a task that does not last came to its own end. */
	onOutcome: (worker: FleetWorker, run: LiveRun, isSuccess: boolean) => void;
	/** A run was listed again. */
	onProgress: (run: LiveRun) => void;
	/** A task has failed as often as it may. */
	onExhausted: (task: LiveTask) => void;
	/** Room came free or tasks wait: a scheduling cycle is due. */
	onChange: () => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Why a run was taken as over without a listed end. */
export enum LossReason {
	WorkerReplaced = 'worker-replaced',
	WorkerCrashed = 'worker-crashed',
	LeasesOver = 'leases-over',
	AgentLost = 'agent-lost',
	NotListed = 'not-listed',
	NeverStarted = 'never-started',
}

// A task that failed by itself is tried elsewhere at once; after the second failure it waits, so that a task that fails
// at its start does not take all starts.
const failurePauseMs = 100;

/** Between two listings of a worker that is heard lies half a second; over a longer gap nothing is known of the speed. */
const maxGapMs = 1500;
/** A task that fills works at least at this share of its speed, as far as its worker can tell. */
const minShare = 0.05;

/** Counts the time at work since the last listing; what fills works at the share of the processors that it got. */
const countWork = (run: LiveRun, nowMs: number): void => {
	const {workedUntilMs, recent, task: {step: {spec}}} = run;
	run.workedUntilMs = nowMs;
	if (workedUntilMs === undefined || nowMs - workedUntilMs > maxGapMs) {
		run.basePercent = run.percent;
		run.workedMs = 0;
		return;
	}

	const share = spec.isFilling && run.percent > 0 ? Math.min(1, Math.max(minShare, recent / spec.milliCpu)) : 1;
	run.workedMs += (nowMs - workedUntilMs) * share;
};

/** The tracker. */
export class RunTracker {
	readonly #model: LiveModel;
	readonly #handlers: RunTrackerHandlers;

	constructor(model: LiveModel, handlers: RunTrackerHandlers) {
		this.#model = model;
		this.#handlers = handlers;
	}

	/** Notes that a start was decided. */
	open(task: LiveTask, worker: FleetWorker, run: number, terms: {nowMs: number; notAfterMs: number}): LiveRun {
		const live: LiveRun = {
			task,
			run,
			host: worker.host,
			workerId: worker.report!.workerId,
			agentLife: worker.agentLife,
			phase: RunPhase.Starting,
			sentAtMs: terms.nowMs,
			isOrderOut: true,
			notAfterMs: terms.notAfterMs,
			confirmedVersion: 0,
			percent: 0,
			basePercent: 0,
			workedMs: 0,
			// What is resumed begins somewhere: its first listing tells where.
			workedUntilMs: task.checkpoint === '' ? terms.nowMs : undefined,
			recent: 0,
			progressAtMs: terms.nowMs,
			stopSentAtMs: Number.NEGATIVE_INFINITY,
			isUnwanted: false,
			pacePercent: 100,
		};
		task.lastRun = Math.max(task.lastRun, run);
		task.runs.push(live);
		worker.runs.add(live);
		return live;
	}

	/** The agent confirmed the start. */
	confirm(run: LiveRun, version: number, nowMs: number): void {
		run.isOrderOut = false;
		run.confirmedVersion = Math.max(run.confirmedVersion, version);
		if (run.phase === RunPhase.Starting) {
			run.phase = RunPhase.Running;
			run.progressAtMs = nowMs;
			run.workedUntilMs &&= nowMs;
			this.#handlers.onBegun(run.task);
		}
	}

	/** Takes a run back that did not start: its task has waited all the while. */
	withdraw(run: LiveRun, worker: FleetWorker): void {
		this.#drop(run, worker);
		this.#handlers.onChange();
	}

	/** Takes an agent's state; gives the ends that are to be forgotten once stored. */
	take(worker: FleetWorker, reply: WatchReply, nowMs: number): void {
		const workerId = reply.worker?.workerId;
		for (const run of worker.runs) {
			if (reply.goneWorkerIds.includes(run.workerId) || (workerId !== undefined && run.workerId !== workerId)) {
				this.lose(run, worker, LossReason.WorkerReplaced, nowMs);
			}
		}

		if (workerId === undefined || !reply.isListed) {
			return;
		}

		this.#takeEnds(worker, reply.ended, nowMs);
		if (reply.isOver) {
			this.loseAll(worker, LossReason.LeasesOver, nowMs);
			return;
		}

		const listed = new Set<LiveRun>();
		for (const row of reply.running) {
			const run = this.#takeRunning(worker, row, reply, nowMs);
			if (run) {
				listed.add(run);
			}
		}

		for (const {taskId, run} of reply.starting) {
			const live = this.#adopt(worker, {taskId, run}, reply, nowMs);
			if (live) {
				listed.add(live);
			}
		}

		this.#dropUnlisted(worker, reply, listed, nowMs);
	}

	/** All runs on the worker are over for certain. */
	loseAll(worker: FleetWorker, reason: LossReason, nowMs: number): void {
		for (const run of worker.runs) {
			this.lose(run, worker, reason, nowMs);
		}
	}

	/** A run is over for certain, and how it ended is not known. */
	lose(run: LiveRun, worker: FleetWorker, reason: LossReason, nowMs: number): void {
		this.#handlers.note('run lost', {
			taskId: run.task.taskId, run: run.run, host: run.host, workerId: run.workerId, reason,
		});
		this.#remove(run, worker, nowMs);
		this.#handlers.onChange();
	}

	#remove(run: LiveRun, worker: FleetWorker, nowMs: number): void {
		this.#drop(run, worker);
		run.task.waitsSinceMs = nowMs;
	}

	#drop(run: LiveRun, worker: FleetWorker): void {
		worker.runs.delete(run);
		run.task.runs = run.task.runs.filter(other => other !== run);
	}

	#takeRunning(worker: FleetWorker, row: RunningRow, reply: WatchReply, nowMs: number): LiveRun | undefined {
		const run = this.#adopt(worker, row, reply, nowMs);
		if (!run) {
			return undefined;
		}

		if (row.percent > run.percent) {
			run.percent = row.percent;
			run.progressAtMs = nowMs;
		}

		run.recent = row.recent;
		countWork(run, nowMs);
		this.#handlers.onProgress(run);
		if (row.checkpoint !== '') {
			run.task.checkpoint = row.checkpoint;
		}

		if (run.phase === RunPhase.Starting) {
			this.confirm(run, reply.version, nowMs);
		}

		return run;
	}

	/**
	Finds the run that is listed, or takes over one that an earlier owner started. A run that is not wanted any more is
	taken over as well: until it has stopped it takes room.
	*/
	#adopt(worker: FleetWorker, {taskId, run}: {taskId: string; run: number}, reply: WatchReply, nowMs: number): LiveRun | undefined {
		const ref = parseTaskId(taskId);
		const task = ref && (this.#model.getTask(ref) ?? this.#handlers.recall(ref));
		if (!task) {
			this.#handlers.onUnknown(worker, taskId, run);
			return undefined;
		}

		const known = task.runs.find(live => live.run === run && live.host === worker.host);
		if (known) {
			return known;
		}

		const isUnwanted = task.step.workflow.isOver || task.isDone || (task.runs.length > 0 && !task.step.spec.isSpeculative);
		const live = this.open(task, worker, run, {nowMs, notAfterMs: 0});
		live.isOrderOut = false;
		live.isUnwanted = isUnwanted;
		live.workedUntilMs = undefined;
		live.pacePercent = undefined;
		live.agentLife = reply.agentLife;
		live.confirmedVersion = reply.version;
		this.#handlers.note('run adopted', {
			taskId, run, host: worker.host, workerId: live.workerId, isUnwanted,
		});
		return live;
	}

	#takeEnds(worker: FleetWorker, rows: EndedRow[], nowMs: number): void {
		const fresh = rows.filter(row => row.number > worker.takenEnd);
		if (fresh.length === 0) {
			return;
		}

		const stored: EndedRun[] = [];
		for (const {number: _, ...end} of fresh) {
			const isWorthStoring = this.#takeEnd(worker, end, nowMs);
			if (isWorthStoring) {
				stored.push(end);
			}
		}

		worker.takenEnd = fresh.at(-1)!.number;
		void this.#storeEnds(worker, worker.report!.workerId, worker.takenEnd, stored);
		this.#handlers.onChange();
	}

	/** Only ends that are in the log may be forgotten by the worker: a later owner has to learn of them. */
	async #storeEnds(worker: FleetWorker, workerId: string, upTo: number, ends: EndedRun[]): Promise<void> {
		// Also with nothing to store this waits its turn: earlier ends of the worker may still be on their way.
		const isStored = await this.#handlers.store(ends);
		if (isStored && worker.report?.workerId === workerId) {
			worker.storedEnd = Math.max(worker.storedEnd, upTo);
		}
	}

	#takeEnd(worker: FleetWorker, end: EndedRun, nowMs: number): boolean {
		const ref = parseTaskId(end.taskId);
		const task = ref && (this.#model.getTask(ref) ?? this.#handlers.recall(ref));
		if (!task) {
			return false;
		}

		const run = task.runs.find(live => live.run === end.run && live.host === worker.host);
		this.#handlers.note('run ended', {
			taskId: end.taskId, run: end.run, end: end.end, host: worker.host, isKnown: run !== undefined,
		});
		task.lastRun = Math.max(task.lastRun, end.run);
		if (run) {
			this.#remove(run, worker, nowMs);
		}

		if (end.checkpoint !== '') {
			task.checkpoint = end.checkpoint;
		}

		if (task.step.spec.isLasting) {
			return false;
		}

		if (run && (end.end === RunEnd.Done || end.end === RunEnd.Failed)) {
			countWork(run, nowMs);
			this.#handlers.onOutcome(worker, run, end.end === RunEnd.Done);
		}

		return this.#judgeEnd(task, end, nowMs);
	}

	#judgeEnd(task: LiveTask, end: EndedRun, nowMs: number): boolean {
		if (end.end === RunEnd.Done) {
			this.#handlers.onBegun(task);
			if (!task.isDone) {
				this.#model.finish(task, nowMs);
			}

			return true;
		}

		if (end.end === RunEnd.Failed) {
			// Also of runs that an earlier owner started: it may have died before it wrote this down.
			for (const member of getUnit(task)) {
				member.failedRuns.add(end.run);
				member.notBeforeMs = nowMs + (member.failedRuns.size > 1 ? failurePauseMs : 0);
			}

			if (task.failedRuns.size >= task.step.workflow.spec.maxAttempts) {
				this.#handlers.onExhausted(task);
			}
		}

		return end.end === RunEnd.Failed || end.checkpoint !== '';
	}

	/** A run that is neither listed as running, as starting nor as ended is over, or was never begun. */
	#dropUnlisted(worker: FleetWorker, reply: WatchReply, listed: Set<LiveRun>, nowMs: number): void {
		for (const run of worker.runs) {
			if (listed.has(run) || run.isOrderOut) {
				continue;
			}

			if (run.phase === RunPhase.Starting) {
				// The order got no answer: it may still come, until it would be refused as expired.
				// A new life of the agent has raised the worker's fence: starts of the life before begin nothing.
				if (reply.agentClockMs > run.notAfterMs || reply.agentLife !== run.agentLife) {
					this.lose(run, worker, LossReason.NeverStarted, nowMs);
				}
			} else if (reply.version >= run.confirmedVersion || reply.agentLife !== run.agentLife) {
				this.lose(run, worker, LossReason.NotListed, nowMs);
			}
		}
	}
}
