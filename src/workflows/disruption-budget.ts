/**
Disruption budgets: decides whether a run may be stopped, so that never more tasks of a step are away by the owner's orders than the step allows.
Answers many reasons to stop runs at once, beside losses that nobody ordered.
*/
import {hasDeparted, type FleetWorker} from './fleet-view.ts';
import {
	RunPhase, type LiveRun, type LiveStep, type LiveTask,
} from './live-model.ts';

/** Why a run is to be stopped; the `reason` of a refusal in the log. */
export enum StopCause {
	Stalled = 'stall',
	Throttled = 'throttle',
	Drain = 'drain',
	SlowWorker = 'slow-worker',
	Evacuation = 'evacuation',
}

/** Options of the budget. */
export type DisruptionBudgetOptions = {
	isEnabled: boolean;
	/** Finds a worker by its host. */
	getWorker: (host: string) => FleetWorker | undefined;
	/** When the owner had reconciled; undefined: not yet. */
	getReconciledAtMs: () => number | undefined;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Orders of an earlier owner that an agent took before the reconciliation may be carried out until this long after it. */
const earlierOrdersMs = 2000;
/** An agent answers each poll within 0.6 s: without a newer state, it is not known whether its tasks are at work. */
const maxStateAgeMs = 1500;
/** A task leaves a draining worker this long before that may end, also beyond the budget: the stop has to arrive, and its end to be listed. */
const drainReserveMs = 1500;
const noteIntervalMs = 1000;
const fullPercent = 100;

/** Whether the run does its work: a long-running task reports 100 percent once it has started up. */
const isServing = ({phase, percent}: LiveRun): boolean => phase === RunPhase.Running && percent === fullPercent;

/** The budgets of one owner's steps, derived from its model and the states of the agents. */
export class DisruptionBudget {
	readonly #options: DisruptionBudgetOptions;
	/** Number of the run that was last ordered to stop. */
	readonly #stoppedRuns = new WeakMap<LiveTask, number>();
	readonly #notedAtMs = new WeakMap<LiveStep, number>();

	constructor(options: DisruptionBudgetOptions) {
		this.#options = options;
	}

	/** Whether the task's run may be stopped now; logs a refusal if a cause is given. */
	mayStop(task: LiveTask, nowMs: number, cause?: StopCause): boolean {
		const isAllowed = this.#isAllowed(task, nowMs, cause);
		if (!isAllowed && cause !== undefined) {
			this.#noteRefusal(task, nowMs, cause);
		}

		return isAllowed;
	}

	/** Counts the task as away until a later run of it is at work. */
	recordStop(task: LiveTask): void {
		this.#stoppedRuns.set(task, Math.max(...task.runs.map(({run}) => run)));
	}

	/** Records the stop if it is allowed. */
	tryStop(task: LiveTask, nowMs: number, cause: StopCause): boolean {
		const isAllowed = this.mayStop(task, nowMs, cause);
		if (isAllowed) {
			this.recordStop(task);
		}

		return isAllowed;
	}

	/** Whether a stop without effect may be ordered again: others may have gone away since the first order, and the run may still serve. */
	mayRepeatStop(run: LiveRun, nowMs: number): boolean {
		return run.percent < fullPercent || this.#isWithinBudget(run, nowMs);
	}

	#isAllowed({runs}: LiveTask, nowMs: number, cause: StopCause | undefined): boolean {
		// A run that was starting up when it was listed may be at work by now, but hardly one that makes no progress.
		const run = runs.find(active => active.phase !== RunPhase.Stopping && (cause !== StopCause.Stalled || isServing(active)));
		return run === undefined || this.#isWithinBudget(run, nowMs);
	}

	#isWithinBudget({task, host}: LiveRun, nowMs: number): boolean {
		const {step} = task;
		const {maxAway, isLasting} = step.spec;
		if (!this.#options.isEnabled || maxAway === undefined || !isLasting || step.workflow.isFinished) {
			return true;
		}

		const reconciledAtMs = this.#options.getReconciledAtMs();
		const isViewComplete = reconciledAtMs !== undefined && nowMs - reconciledAtMs >= earlierOrdersMs;
		const worker = this.#options.getWorker(host);
		if (worker?.report?.isDraining) {
			return !isViewComplete || isEndingSoon(worker, nowMs) || this.#countAway(task, nowMs, {countsDraining: false}) < maxAway;
		}

		return isViewComplete && this.#countAway(task, nowMs, {countsDraining: true}) < maxAway;
	}

	#noteRefusal(task: LiveTask, nowMs: number, cause: StopCause): void {
		const {step, taskId} = task;
		if (nowMs - (this.#notedAtMs.get(step) ?? Number.NEGATIVE_INFINITY) >= noteIntervalMs) {
			this.#notedAtMs.set(step, nowMs);
			this.#options.note('stop refused', {
				reason: cause, taskId, away: this.#countAway(task, nowMs, {countsDraining: true}), maxAway: step.spec.maxAway, isReconciled: this.#options.getReconciledAtMs() !== undefined,
			});
		}
	}

	/** Counts the other tasks of the step that are not known to be at work; `countsDraining`: nor to stay there. */
	#countAway(task: LiveTask, nowMs: number, {countsDraining}: {countsDraining: boolean}): number {
		let away = 0;
		for (const other of task.step.tasks) {
			if (other !== task && !other.runs.some(run => this.#isAtWork(run, nowMs, countsDraining))) {
				away++;
			}
		}

		return away;
	}

	#isAtWork(run: LiveRun, nowMs: number, mustStay: boolean): boolean {
		const worker = this.#options.getWorker(run.host);
		return isServing(run) && run.run > (this.#stoppedRuns.get(run.task) ?? 0)
			&& worker !== undefined && isAnswering(worker, nowMs) && worker.report?.workerId === run.workerId && !(mustStay && worker.report.isDraining);
	}
}

const isAnswering = (worker: FleetWorker, nowMs: number): boolean =>
	worker.isListed && worker.isAnswering && worker.unresponsiveSinceMs === undefined && worker.loss === undefined && !hasDeparted(worker)
	&& nowMs - worker.lastReplyAtMs < maxStateAgeMs;

const isEndingSoon = ({report, reportedAtMs}: FleetWorker, nowMs: number): boolean =>
	(report?.remainingMs ?? 0) - (nowMs - (reportedAtMs ?? nowMs)) < drainReserveMs;
