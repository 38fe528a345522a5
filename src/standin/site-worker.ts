/**
A stand-in for a worker of a site: it runs tasks for a time under one lease, refuses lower fences and old runs, keeps ends
until it is told to forget them, and may carry orders out late.
*/
import {createError, ErrorCode} from '../core/errors.ts';
import {type Clock, type Timer} from '../types/clock.ts';
import {
	OrderRefusal, type EndedRow, type WorkerAnswer, type WorkerClient, type WorkerListing, type WorkerReport, type WorkerStart,
} from '../types/fleet.ts';
import {RunEnd} from '../types/workflows.ts';

/** What a run does, decided at its start. */
export type RunPlan = {
	/** Time of work; undefined: it goes on until it is stopped. */
	workMs: number | undefined;
	isFailing?: boolean;
	/** The run takes the whole worker down after this. */
	crashAfterMs?: number;
};

/** What is seen of runs, for checks. */
export type WorkerEvent
	= | {type: 'started'; taskId: string; run: number; workerId: string; atMs: number}
		| {type: 'ended'; taskId: string; run: number; workerId: string; end: RunEnd | 'lost'; atMs: number}
		| {type: 'forgotten'; taskId: string; run: number; workerId: string; end: RunEnd; atMs: number};

/** How an order reaches the worker. */
export enum OrderFault {
	None = 'none',
	/** It is carried out, and its answer is lost. */
	LoseAnswer = 'lose-answer',
	/** It is carried out some seconds later, without an answer. */
	DoLate = 'do-late',
	/** It never arrives. */
	Drop = 'drop',
}

/** Options of a worker. */
export type SiteWorkerOptions = {
	clock: Clock;
	report: Omit<WorkerReport, 'sequence' | 'workerId' | 'isDraining'>;
	plan: (start: WorkerStart) => RunPlan;
	onEvent: (event: WorkerEvent) => void;
	maxLeaseMs: number;
	stopMs: number;
};

type Running = {start: WorkerStart; startedAtMs: number; plan: RunPlan; timer?: Timer; percent: number};

const answerMs = 1;
const lateMs = 4000;
const lostMs = 700;
const refusedMs = 1;
/** How long it is away after a run has taken it down. */
const awayMs = 2500;
const brokenAfterMs = 10;
// Its clock starts anywhere.
const clockOffsetMs = 1_000_000;

/** The worker. */
export class SiteWorker {
	workerId: string;
	isDraining = false;
	/** Gives no answer and goes on with what it runs. */
	isSilent = false;
	/** Crashes soon after each start, whatever it is. */
	isBroken = false;
	readonly running = new Map<string, Running>();
	recent = 0;
	/** Its process is gone: connections are refused and nothing is announced. */
	isAway = false;
	readonly #options: SiteWorkerOptions;
	#life = 1;
	#fence = 0;
	#leaseUntilMs = 0;
	#ended: EndedRow[] = [];
	#endNumber = 0;
	#sequence = 0;
	#milliCpu: number;
	#lastRuns = new Map<string, number>();
	readonly #waiters = new Set<() => void>();

	constructor(name: string, options: SiteWorkerOptions) {
		this.workerId = `${name}-1`;
		this.#options = options;
		this.#milliCpu = options.report.milliCpu;
		this.#expireLater();
	}

	fault: (order: 'start' | 'stop' | 'renew') => OrderFault = () => OrderFault.None;

	/** Its processors change while it runs on. */
	setMilliCpu(milliCpu: number): void {
		this.#milliCpu = milliCpu;
	}

	/** What it announces. */
	announce(): WorkerReport {
		return {
			...this.#options.report, milliCpu: this.#milliCpu, workerId: this.workerId, isDraining: this.isDraining, sequence: ++this.#sequence,
		};
	}

	/** Crashes and comes back, after a time, as a new incarnation that has seen nothing. */
	crash(forMs = 0): void {
		for (const {start} of this.running.values()) {
			this.#note(start, 'lost');
		}

		for (const run of this.running.values()) {
			run.timer?.cancel();
		}

		this.running.clear();
		this.#ended = [];
		this.#endNumber = 0;
		this.#fence = 0;
		this.#leaseUntilMs = 0;
		this.#lastRuns = new Map();
		this.#life++;
		this.workerId = this.workerId.replace(/\d+$/, String(this.#life));
		for (const wake of this.#waiters) {
			wake();
		}

		if (forMs > 0) {
			this.isAway = true;
			this.#options.clock.setTimer(() => {
				this.isAway = false;
			}, forMs);
		}
	}

	/** The client by which its agent calls it. */
	createClient(): WorkerClient {
		return {
			start: async (workerId, start, {fence, leaseUntilMs}) => this.#call('start', workerId, () => this.#start(start, fence, leaseUntilMs)),
			stop: async (workerId, {taskId, run}, fence) => this.#call('stop', workerId, () => this.#stop(taskId, run, fence)),
			throttle: async (workerId, _, fence) => this.#call('stop', workerId, () => this.#checkFence(fence) ?? {isDone: true}),
			renew: async (workerId, terms) => {
				const answer = await this.#call('renew', workerId, () => this.#checkFence(terms.fence) ?? {isDone: true});
				if (!answer.isDone) {
					return {refusal: answer.refusal!};
				}

				this.#prolong(terms.leaseUntilMs);
				this.#forget(terms.forgetUpTo);
				const life = this.#life;
				await this.#waitForEnd(terms.waitMs);
				if (this.#life !== life) {
					throw createError(ErrorCode.PeerUnavailable, {step: 'renew at stand-in', detail: 'the connection broke'});
				}

				return this.#list();
			},
		};
	}

	/** Ends a running task. */
	end(taskId: string, end: RunEnd): void {
		const run = this.running.get(taskId);
		if (run) {
			this.#end(run, end);
		}
	}

	get #clockMs(): number {
		return this.#options.clock.monotonicMs() + clockOffsetMs;
	}

	async #call(order: 'start' | 'stop' | 'renew', workerId: string | undefined, act: () => WorkerAnswer): Promise<WorkerAnswer> {
		const {clock} = this.#options;
		if (this.isAway) {
			await clock.sleep(refusedMs);
			throw createError(ErrorCode.PeerUnavailable, {step: `${order} at stand-in`, detail: 'the connection was refused'});
		}

		const fault = this.isSilent ? OrderFault.Drop : this.fault(order);
		const life = this.#life;
		if (fault !== OrderFault.None) {
			if (fault === OrderFault.LoseAnswer) {
				act();
			} else if (fault === OrderFault.DoLate) {
				clock.setTimer(() => {
					if (this.#life === life) {
						act();
					}
				}, lateMs);
			}

			await clock.sleep(lostMs);
			throw createError(ErrorCode.PeerUnavailable, {step: `${order} at stand-in`});
		}

		await clock.sleep(answerMs);
		if (workerId !== undefined && workerId !== this.workerId) {
			return {isDone: false, refusal: OrderRefusal.OtherWorkerIncarnation};
		}

		return {...act(), clockMs: this.#clockMs};
	}

	#checkFence(fence: number): WorkerAnswer | undefined {
		if (fence < this.#fence) {
			return {isDone: false, refusal: OrderRefusal.StaleFence};
		}

		this.#fence = fence;
		return undefined;
	}

	#start(start: WorkerStart, fence: number, leaseUntilMs: number): WorkerAnswer {
		const refusal = this.#checkFence(fence);
		if (refusal) {
			return refusal;
		}

		if (this.running.get(start.taskId)?.start.run === start.run) {
			return {isDone: true};
		}

		if (start.run <= (this.#lastRuns.get(start.taskId) ?? 0)) {
			return {isDone: false, refusal: OrderRefusal.OldRun};
		}

		if (leaseUntilMs <= this.#clockMs) {
			return {isDone: false, refusal: OrderRefusal.StartTooLate};
		}

		this.#prolong(leaseUntilMs);
		const {clock, plan, onEvent} = this.#options;
		const run: Running = {
			start, startedAtMs: clock.monotonicMs(), plan: plan(start), percent: 0,
		};
		this.running.set(start.taskId, run);
		this.#lastRuns.set(start.taskId, start.run);
		onEvent({
			type: 'started', taskId: start.taskId, run: start.run, workerId: this.workerId, atMs: clock.monotonicMs(),
		});
		const crashAfterMs = this.isBroken ? brokenAfterMs : run.plan.crashAfterMs;
		if (crashAfterMs !== undefined) {
			run.timer = clock.setTimer(() => {
				if (this.running.get(start.taskId) === run) {
					this.crash(awayMs);
				}
			}, crashAfterMs);
		} else if (run.plan.workMs !== undefined) {
			run.timer = clock.setTimer(() => {
				this.#end(run, run.plan.isFailing ? RunEnd.Failed : RunEnd.Done);
			}, run.plan.workMs);
		}

		return {isDone: true};
	}

	#stop(taskId: string, runNumber: number, fence: number): WorkerAnswer {
		const refusal = this.#checkFence(fence);
		if (refusal) {
			return refusal;
		}

		this.#lastRuns.set(taskId, Math.max(this.#lastRuns.get(taskId) ?? 0, runNumber));
		const run = this.running.get(taskId);
		if (run?.start.run === runNumber) {
			this.#options.clock.setTimer(() => {
				this.#end(run, RunEnd.Stopped);
			}, this.#options.stopMs);
		}

		return {isDone: true};
	}

	#end(run: Running, end: RunEnd): void {
		if (this.running.get(run.start.taskId) !== run) {
			return;
		}

		run.timer?.cancel();
		this.running.delete(run.start.taskId);
		this.#ended.push({
			number: ++this.#endNumber, taskId: run.start.taskId, run: run.start.run, end, checkpoint: '',
		});
		this.#note(run.start, end);
		for (const wake of this.#waiters) {
			wake();
		}
	}

	#note({taskId, run}: WorkerStart, end: RunEnd | 'lost'): void {
		this.#options.onEvent({
			type: 'ended', taskId, run, workerId: this.workerId, end, atMs: this.#options.clock.monotonicMs(),
		});
	}

	#prolong(leaseUntilMs: number | undefined): void {
		if (leaseUntilMs !== undefined) {
			this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.min(leaseUntilMs, this.#clockMs + this.#options.maxLeaseMs));
		}
	}

	#forget(upTo: number): void {
		for (const {taskId, run, end, number} of this.#ended) {
			if (number <= upTo) {
				this.#options.onEvent({
					type: 'forgotten', taskId, run, end, workerId: this.workerId, atMs: this.#options.clock.monotonicMs(),
				});
			}
		}

		this.#ended = this.#ended.filter(({number}) => number > upTo);
	}

	async #waitForEnd(waitMs: number): Promise<void> {
		if (waitMs > 0 && this.#ended.length === 0) {
			const aborter = new AbortController();
			const wake = () => {
				aborter.abort();
			};

			this.#waiters.add(wake);
			await this.#options.clock.sleep(waitMs, aborter.signal);
			this.#waiters.delete(wake);
		}
	}

	#list(): WorkerListing {
		const nowMs = this.#options.clock.monotonicMs();
		return {
			workerId: this.workerId,
			clockMs: this.#clockMs,
			running: [...this.running.values()].map(({start: {taskId, run}, startedAtMs, plan}) => ({
				taskId, run, checkpoint: '', recent: this.recent, percent: plan.workMs === undefined ? 100 : Math.min(99, Math.floor((nowMs - startedAtMs) * 100 / plan.workMs)),
			})),
			ended: [...this.#ended],
		};
	}

	/** When the lease is over, everything is killed. */
	#expireLater(): void {
		const checkMs = 20;
		this.#options.clock.setTimer(() => {
			if (this.#clockMs > this.#leaseUntilMs) {
				for (const run of this.running.values()) {
					this.#end(run, RunEnd.LeaseExpired);
				}
			}

			this.#expireLater();
		}, checkMs);
	}
}
