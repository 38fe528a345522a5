/**
Stand-in for a worker of a site: runs simulated tasks under one lease, refuses orders with lower fencing tokens and old runs,
reports ended runs until the agent acknowledges them, and injects faults into orders.
*/
import {createError, ErrorCode} from '../core/errors.ts';
import {formatWorkerId, getInstanceId} from '../platform/worker-identity.ts';
import {
	OrderRefusal, type WorkerAnswer, type WorkerClient, type WorkerListing, type WorkerReport, type WorkerStart,
} from '../types/fleet.ts';
import {RunEnd} from '../types/workflows.ts';
import {getSavedMs} from './run-plan.ts';
import {getRunCheckpoint, listRun, type SimulatedRun} from './simulated-run.ts';
import {WorkerEnds} from './worker-ends.ts';
import {OrderFault, type SiteWorkerOptions} from './worker-options.ts';

const responseMs = 1;
const lateExecutionMs = 4000;
const lostCallMs = 700;
const connectionRefusedMs = 1;
/** Downtime after a run has crashed the worker. */
const crashDowntimeMs = 2500;
const crashLoopAfterMs = 10;
// The worker's clock has another origin than the agent's.
const clockOffsetMs = 1_000_000;

/** The worker, with faults that tests set. */
export class SiteWorker {
	workerId: string;
	/** Service that it announces. */
	service: string;
	isDraining = false;
	/** What it announces while it drains: the time until it ends. */
	remainingMs?: number;
	/** How much longer it announces to be slow. */
	warmupRemainingMs?: number;
	/** Whether calls get no response; the runs continue. */
	isUnresponsive = false;
	/** Ends that it lists at most; the others follow once these are forgotten. */
	maxListedEnds = 500;
	/** Whether the worker crashes soon after the start of any run. */
	isCrashLooping = false;
	readonly running = new Map<string, SimulatedRun>();
	/** Recent measurement that it reports for each run: processors in use or tail latency. */
	recent = 0;
	/** Whether its process is down: connections are refused and nothing is announced. */
	isDown = false;
	/** When its lease was last found expired, on its clock. */
	lapsedAtMs = 0;
	readonly #options: SiteWorkerOptions;
	#incarnation = 1;
	#startedAtMs = 0;
	#fence = 0;
	#leaseUntilMs = 0;
	#ended = new WorkerEnds();
	#sequence = 0;
	#milliCpu: number;
	#lastRuns = new Map<string, number>();
	readonly #waiters = new Set<() => void>();

	constructor(name: string, options: SiteWorkerOptions) {
		this.workerId = `${name}-1`;
		this.#options = options;
		this.#milliCpu = options.report.milliCpu;
		this.service = options.report.service;
		this.#scheduleLeaseCheck();
	}

	/** How long a call is on its way before the worker executes it, whichever incarnation it is then. */
	getTransitMs: (order: 'start' | 'stop' | 'renew') => number = () => 0;

	getFault: (order: 'start' | 'stop' | 'renew') => OrderFault = () => OrderFault.None;

	/** How long an answer to its agent is on its way after the order was executed. */
	getAnswerDelayMs: (order: 'start' | 'stop' | 'renew') => number = () => 0;

	/** Changes its processor capacity; active runs continue. */
	setMilliCpu(milliCpu: number): void {
		this.#milliCpu = milliCpu;
	}

	/** Returns the next announcement of the worker. */
	announce(): WorkerReport {
		return {
			...this.#options.report, service: this.service, milliCpu: this.#milliCpu, workerId: this.workerId, isDraining: this.isDraining, remainingMs: this.remainingMs, warmupRemainingMs: this.warmupRemainingMs, sequence: ++this.#sequence,
		};
	}

	/** Crashes the worker, which restarts after `downtimeMs` as a new incarnation without any state and with a new id. */
	crash(downtimeMs = 0): void {
		this.#restart(downtimeMs);
		this.workerId = getInstanceId(this.workerId).replace(/\d+$/, String(this.#incarnation));
	}

	/** The same, but it restarts under the id that it had: calls for its predecessor reach it, and its announcements and its clock start anew. */
	crashAndKeepId(downtimeMs = 0): void {
		this.#restart(downtimeMs);
		this.workerId = formatWorkerId(getInstanceId(this.workerId), this.#incarnation);
		this.#sequence = 0;
		this.#startedAtMs = this.#options.clock.monotonicMs();
	}

	/** Creates the client with which its agent calls it. */
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

				this.#extendLease(terms.leaseUntilMs);
				this.#forget(terms.forgetUpTo);
				const incarnation = this.#incarnation;
				await this.#waitForEnd(terms.waitMs);
				if (this.#incarnation !== incarnation) {
					throw createError(ErrorCode.PeerUnavailable, {step: 'renew at stand-in', detail: 'connection reset'});
				}

				const listing = this.#list();
				await this.#delayAnswer('renew');
				return listing;
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
		return this.#options.clock.monotonicMs() - this.#startedAtMs + clockOffsetMs;
	}

	#restart(downtimeMs: number): void {
		for (const {start, timer} of this.running.values()) {
			this.#reportEnd(start, 'lost');
			this.#options.gangs?.remove(start, 'lost');
			timer?.cancel();
		}

		this.running.clear();
		this.#ended = new WorkerEnds();
		this.#fence = 0;
		this.#leaseUntilMs = 0;
		this.#lastRuns = new Map();
		this.#incarnation++;
		for (const wake of this.#waiters) {
			wake();
		}

		if (downtimeMs > 0) {
			this.isDown = true;
			this.#options.clock.setTimer(() => {
				this.isDown = false;
			}, downtimeMs);
		}
	}

	async #call(order: 'start' | 'stop' | 'renew', workerId: string | undefined, execute: () => WorkerAnswer): Promise<WorkerAnswer> {
		const {clock} = this.#options;
		if (this.isDown) {
			await clock.sleep(connectionRefusedMs);
			throw createError(ErrorCode.PeerUnreached, {step: `${order} at stand-in`, detail: 'connection refused'});
		}

		const fault = this.isUnresponsive ? OrderFault.Drop : this.getFault(order);
		const incarnation = this.#incarnation;
		if (fault === OrderFault.Refuse) {
			await clock.sleep(responseMs);
			return {isDone: false, refusal: OrderRefusal.Unhealthy};
		}

		if (fault !== OrderFault.None) {
			if (fault === OrderFault.LoseAnswer) {
				execute();
			} else if (fault === OrderFault.ExecuteLate) {
				clock.setTimer(() => {
					if (this.#incarnation === incarnation) {
						execute();
					}
				}, lateExecutionMs);
			}

			await clock.sleep(lostCallMs);
			throw createError(ErrorCode.PeerUnavailable, {step: `${order} at stand-in`});
		}

		await clock.sleep(responseMs + this.getTransitMs(order));
		if (this.isDown) {
			throw createError(ErrorCode.PeerUnavailable, {step: `${order} at stand-in`, detail: 'connection reset'});
		}

		if (workerId !== undefined && getInstanceId(workerId) !== getInstanceId(this.workerId)) {
			return {isDone: false, refusal: OrderRefusal.OtherWorkerIncarnation};
		}

		const answer = {...execute(), clockMs: this.#clockMs};
		if (order !== 'renew') {
			await this.#delayAnswer(order);
		}

		return answer;
	}

	async #delayAnswer(order: 'start' | 'stop' | 'renew'): Promise<void> {
		const delayMs = this.getAnswerDelayMs(order);
		if (delayMs > 0) {
			await this.#options.clock.sleep(delayMs);
		}
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

		const {clock, plan, onEvent, gangs} = this.#options;
		const {taskId, checkpoint} = start;
		const run: SimulatedRun = {start, worksSinceMs: undefined, plan: plan(start)};
		const {gangSize} = run.plan;
		const gang = gangSize === undefined ? undefined : gangs;
		this.running.set(taskId, run);
		const isJoined = gang?.add({
			taskId, run: start.run, checkpoint, begin: () => {
				this.#begin(run);
			}, end: end => {
				this.#end(run, end);
			},
		}, gangSize!);
		if (isJoined === false) {
			this.running.delete(taskId);
			return {isDone: false, refusal: OrderRefusal.Invalid};
		}

		this.#extendLease(leaseUntilMs);
		this.#lastRuns.set(taskId, start.run);
		onEvent({
			type: 'started', taskId, run: start.run, workerId: this.workerId, atMs: clock.monotonicMs(),
		});
		if (!gang) {
			this.#begin(run);
		}

		return {isDone: true};
	}

	#begin(run: SimulatedRun): void {
		const {clock} = this.#options;
		const {start, plan} = run;
		run.worksSinceMs = clock.monotonicMs();
		const crashAfterMs = this.isCrashLooping ? crashLoopAfterMs : plan.crashAfterMs;
		if (crashAfterMs !== undefined) {
			run.timer = clock.setTimer(() => {
				if (this.running.get(start.taskId) === run) {
					this.crash(crashDowntimeMs);
				}
			}, crashAfterMs);
		} else if (plan.workMs !== undefined) {
			run.timer = clock.setTimer(() => {
				this.#end(run, plan.isFailing ? RunEnd.Failed : RunEnd.Done);
			}, Math.max(0, plan.workMs - getSavedMs(plan, start.checkpoint)));
		}
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

	#end(run: SimulatedRun, end: RunEnd): void {
		if (this.running.get(run.start.taskId) !== run) {
			return;
		}

		run.timer?.cancel();
		this.running.delete(run.start.taskId);
		this.#ended.add({
			taskId: run.start.taskId, run: run.start.run, end, checkpoint: getRunCheckpoint(run, this.#options.clock.monotonicMs()),
		});
		this.#reportEnd(run.start, end);
		this.#options.gangs?.remove(run.start, end);
		for (const wake of this.#waiters) {
			wake();
		}
	}

	#reportEnd({taskId, run}: WorkerStart, end: RunEnd | 'lost'): void {
		this.#options.onEvent({
			type: 'ended', taskId, run, workerId: this.workerId, end, atMs: this.#options.clock.monotonicMs(),
		});
	}

	#extendLease(leaseUntilMs: number | undefined): void {
		if (leaseUntilMs !== undefined) {
			this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.min(leaseUntilMs, this.#clockMs + this.#options.maxLeaseMs));
		}
	}

	#forget(upTo: number): void {
		for (const {taskId, run, end} of this.#ended.forget(upTo)) {
			this.#options.onEvent({
				type: 'forgotten', taskId, run, end, workerId: this.workerId, atMs: this.#options.clock.monotonicMs(),
			});
		}
	}

	async #waitForEnd(waitMs: number): Promise<void> {
		if (waitMs > 0 && this.#ended.count === 0) {
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
			running: [...this.running.values()].map(run => listRun(run, nowMs, this.recent)),
			ended: this.#ended.list(this.maxListedEnds),
			hasMoreEnds: this.#ended.count > this.maxListedEnds,
		};
	}

	/** Ends all runs once the lease has expired; checked every `checkMs`. */
	#scheduleLeaseCheck(): void {
		const checkMs = 20;
		this.#options.clock.setTimer(() => {
			if (this.#clockMs > this.#leaseUntilMs) {
				this.lapsedAtMs = this.#options.clock.monotonicMs();
				for (const run of this.running.values()) {
					this.#end(run, RunEnd.LeaseExpired);
				}
			}

			this.#scheduleLeaseCheck();
		}, checkMs);
	}
}
