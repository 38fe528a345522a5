/**
Checks what the site promises from what its workers and callers see.
*/
import {type SiteWorker} from '../../src/standin/site-worker.ts';
import {type WorkerEvent} from '../../src/standin/worker-options.ts';
import {type WorkerStart} from '../../src/types/fleet.ts';
import {parseTaskId, RunEnd, WorkflowState} from '../../src/types/workflows.ts';
import {Interruptions} from './interruptions.ts';
import {type OfferedJob} from './offered-jobs.ts';

/** Promises of the site. */
export enum SitePromise {
	OnePlace = 'a task runs in one place',
	NoStartAfterSuccess = 'nothing starts after its success',
	RunsRise = 'the numbers of runs rise',
	OnlySubmitted = 'only what was submitted starts',
	StepsInOrder = 'steps run in their order',
	Capacity = 'no worker gets more than it has',
	Cancelled = 'nothing of a cancelled job starts',
	TrueAnswers = 'callers get true answers',
	Resumed = 'a long-running task runs again in time',
	Completed = 'accepted jobs complete',
}

/** A broken promise. */
export type Violation = {promise: SitePromise; taskId: string; text: string; wallMs: number};

/** A job as its caller knows it. */
export type KnownJob = OfferedJob & {
	/** Answers to its submissions so far. */
	isAccepted: boolean;
	isRefusedOnly: boolean;
	cancelSentAtMs?: number;
	cancelledAtMs?: number;
	lastState?: string;
};

type ActiveRun = {workerId: string; run: number};
type StartedTask = {
	highestRun: number;
	/** What became of that run, for the text of a violation. */
	fate: string;
	startedAtMs: number;
	active: Map<string, ActiveRun>;
};
type Success = {run: number; endedAtMs: number; workerAtMs: number; isStored: boolean};

/** Start orders given before the cancellation may be under way for this long: store down, owner paused, order late. */
const cancelGraceMs = 20_000;

/** The checker. */
export class PromiseChecker {
	readonly jobs = new Map<string, KnownJob>();
	readonly violations: Violation[] = [];
	readonly counts = {
		starts: 0, successes: 0, lapses: 0, lost: 0,
	};

	readonly interruptions: Interruptions;
	readonly #tasks = new Map<string, StartedTask>();
	readonly #successes = new Map<string, Success>();
	readonly #nowMs: () => number;

	constructor(nowMs: () => number) {
		this.#nowMs = nowMs;
		this.interruptions = new Interruptions(nowMs, ({taskId, text}) => {
			this.#violate(SitePromise.Resumed, taskId, text);
		});
	}

	/** Records what a worker has done. */
	recordEvent(event: WorkerEvent, {worker, start}: {worker: SiteWorker; start?: WorkerStart}): void {
		const {taskId, run, workerId} = event;
		const known = this.#tasks.get(taskId);
		if (event.type !== 'started' && known?.highestRun === run) {
			known.fate = `${event.type} as ${event.end} on ${workerId}`;
		}

		switch (event.type) {
			case 'started': {
				this.#checkStart(taskId, run, worker);
				if (start && start.input !== this.jobs.get(parseTaskId(taskId)!.workflowId)?.body.spec) {
					this.#violate(SitePromise.OnlySubmitted, taskId, `run ${run} has another input than its job`);
				}

				this.#tasks.get(taskId)!.active.set(workerId, {workerId, run});
				this.interruptions.recordStart(taskId);
				break;
			}

			case 'ended': {
				this.#recordEnd(taskId, workerId);
				this.counts.lapses += event.end === RunEnd.LeaseExpired ? 1 : 0;
				this.counts.lost += event.end === 'lost' ? 1 : 0;
				if (event.end === RunEnd.Done) {
					this.counts.successes++;
					this.#successes.set(taskId, {
						run, endedAtMs: this.#nowMs(), workerAtMs: event.atMs, isStored: this.#successes.get(taskId)?.isStored ?? false,
					});
				}

				break;
			}

			case 'forgotten': {
				const success = this.#successes.get(taskId);
				if (event.end !== RunEnd.Done || !success) {
					break;
				}

				const {startedAtMs, highestRun} = this.#tasks.get(taskId)!;
				if (success.run === run && startedAtMs > success.endedAtMs && worker.lapsedAtMs < success.workerAtMs) {
					this.#violate(SitePromise.NoStartAfterSuccess, taskId, `run ${highestRun} was started after run ${run} had succeeded on ${workerId}, whose end is now stored`);
				}

				success.isStored = true;
				break;
			}
		}
	}

	/** Records a state that a caller was told. `askedAtMs` is when it asked. */
	recordAnswer(job: KnownJob, {method, status, state, askedAtMs, wasAccepted}: {method: string; status: number; state?: string; askedAtMs: number; wasAccepted: boolean}): void {
		if (status === 410 && wasAccepted) {
			this.#violate(SitePromise.TrueAnswers, job.id, `${method} of an accepted job was answered 410`);
		}

		if (state === undefined) {
			return;
		}

		job.lastState = state;
		if (state === (WorkflowState.Completed as string) && this.#getUndone(job).length > 0) {
			this.#violate(SitePromise.TrueAnswers, job.id, `shown as completed without the success of ${this.#getUndone(job)[0]}`);
		}

		if (state === (WorkflowState.Failed as string) || (state === (WorkflowState.Cancelled as string) && job.cancelSentAtMs === undefined)) {
			this.#violate(SitePromise.TrueAnswers, job.id, `shown as ${state} without cause, asked ${Math.round(this.#nowMs() - askedAtMs)} ms ago`);
		}
	}

	/** Whether the site owes something to the job's caller: it has accepted the job, or has acknowledged its cancellation. */
	isOwed({isAccepted, cancelledAtMs}: KnownJob): boolean {
		return isAccepted || cancelledAtMs !== undefined;
	}

	/** Whether the job has reached what its caller wants: all tasks done, long-running ones at work, nothing left of a cancelled one. */
	isSettled(job: KnownJob): boolean {
		if (job.cancelSentAtMs !== undefined) {
			return this.#getTaskIds(job).every(taskId => (this.#tasks.get(taskId)?.active.size ?? 0) === 0);
		}

		if (job.isLongRunning) {
			return this.#getTaskIds(job).every(taskId => this.#tasks.get(taskId)?.active.size === 1);
		}

		return job.lastState === (WorkflowState.Completed as string);
	}

	/** Checks at the end of the run, with what has not settled in time. */
	checkEnd(boundMs: number): void {
		this.interruptions.check();
		for (const job of this.jobs.values()) {
			const wasStarted = this.#getTaskIds(job).some(taskId => this.#tasks.has(taskId));
			if (job.isRefusedOnly && wasStarted) {
				this.#violate(SitePromise.OnlySubmitted, job.id, 'started, and all its submissions were refused');
			} else if (this.isOwed(job) && !this.isSettled(job)) {
				const undone = this.#getUndone(job);
				const state = job.cancelSentAtMs === undefined ? job.lastState : 'cancelled';
				this.#violate(SitePromise.Completed, undone[0] ?? job.id, `not settled ${boundMs} ms after the last fault: ${state}, ${undone.length} tasks not done`);
			}
		}
	}

	#recordEnd(taskId: string, workerId: string): void {
		const {active, fate} = this.#tasks.get(taskId)!;
		active.delete(workerId);
		if (active.size === 0 && this.jobs.get(parseTaskId(taskId)!.workflowId)?.isLongRunning) {
			this.interruptions.recordEnd(taskId, fate);
		}
	}

	#checkStart(taskId: string, run: number, worker: SiteWorker): void {
		this.counts.starts++;
		const known = this.#tasks.get(taskId);
		for (const other of known?.active.values() ?? []) {
			this.#violate(SitePromise.OnePlace, taskId, `run ${run} starts on ${worker.workerId} while run ${other.run} is active on ${other.workerId}`);
		}

		if (known && run <= known.highestRun) {
			this.#violate(SitePromise.RunsRise, taskId, `run ${run} starts on ${worker.workerId} after run ${known.highestRun}, which is ${known.fate}`);
		}

		const success = this.#successes.get(taskId);
		if (success?.isStored) {
			this.#violate(SitePromise.NoStartAfterSuccess, taskId, `run ${run} starts on ${worker.workerId} after run ${success.run} has succeeded and is stored`);
		}

		this.#checkJob(taskId, run, worker);
		this.#checkCapacity(taskId, worker);
		this.#tasks.set(taskId, {
			highestRun: Math.max(run, known?.highestRun ?? 0),
			fate: `active on ${worker.workerId}`,
			startedAtMs: this.#nowMs(),
			active: known?.active ?? new Map<string, ActiveRun>(),
		});
	}

	/** Checks that a caller wants the task, and wants it now. */
	#checkJob(taskId: string, run: number, worker: SiteWorker): void {
		const {workflowId, step: stepIndex} = parseTaskId(taskId)!;
		const job = this.jobs.get(workflowId);
		const step = job?.body.steps[stepIndex];
		if (!job || !step) {
			this.#violate(SitePromise.OnlySubmitted, taskId, `run ${run} starts on ${worker.workerId}, and no caller has submitted it`);
			return;
		}

		if (job.cancelledAtMs !== undefined && this.#nowMs() - job.cancelledAtMs > cancelGraceMs) {
			this.#violate(SitePromise.Cancelled, taskId, `run ${run} starts ${Math.round(this.#nowMs() - job.cancelledAtMs)} ms after the cancellation`);
		}

		for (const earlier of step.after ?? []) {
			const missing = getStepTaskIds(job, earlier).find(id => !this.#successes.has(id));
			if (missing !== undefined) {
				this.#violate(SitePromise.StepsInOrder, taskId, `run ${run} starts before ${missing} has succeeded`);
			}
		}
	}

	#checkCapacity(startedTaskId: string, worker: SiteWorker): void {
		let milliCpu = 0;
		for (const taskId of worker.running.keys()) {
			const {workflowId, step} = parseTaskId(taskId)!;
			milliCpu += this.jobs.get(workflowId)?.body.steps[step]?.cpu ?? 0;
		}

		const {milliCpu: capacity} = worker.announce();
		if (milliCpu > capacity) {
			this.#violate(SitePromise.Capacity, startedTaskId, `${worker.workerId} has runs for ${milliCpu} thousandths of a core, of ${capacity}`);
		}
	}

	#getTaskIds(job: KnownJob): string[] {
		return job.body.steps.flatMap((_, step) => getStepTaskIds(job, step));
	}

	#getUndone(job: KnownJob): string[] {
		return this.#getTaskIds(job).filter(taskId => !this.#successes.has(taskId));
	}

	#violate(promise: SitePromise, taskId: string, text: string): void {
		this.violations.push({
			promise, taskId, text, wallMs: Date.now(),
		});
	}
}

const getStepTaskIds = ({id, body}: KnownJob, step: number): string[] =>
	Array.from({length: body.steps[step]!.count}, (_, index) => `${id}.0.${step}.${index}`);
