/**
Stand-in for a worker on which tasks interfere with each other, for simulations of scheduling: best-effort tasks run on the
processors that other tasks leave idle, and raise the tail latency of latency-critical tasks by an amount that depends on the pair
of images. The worker injects no faults except failed runs.
*/
import {type Clock} from '../types/clock.ts';
import {
	OrderRefusal, type EndedRow, type RunningRow, type WorkerAnswer, type WorkerClient, type WorkerReport, type WorkerStart,
} from '../types/fleet.ts';
import {RunEnd, type WorkflowStep} from '../types/workflows.ts';

/** Simulated behaviour of a task. */
export type SimulatedTask = {
	spec: WorkflowStep;
	/** Run time at full speed; undefined: a long-running task. */
	workMs: number | undefined;
	/** Share of its work after which this run fails; undefined: the run succeeds. */
	failsAt: number | undefined;
};

/** Simulated latency of latency-critical tasks, and the interference that raises it. */
export type SimulatedInterference = {
	/** Load of a latency-critical task without interference at a time, 0 to 1. */
	getLoad: (taskId: string, nowMs: number) => number;
	/** Load that tasks of the best-effort image add to a task of the latency-critical image when they use all processors of the worker. */
	getAddedLoad: (latencyCriticalImage: string, bestEffortImage: string) => number;
	/** Tail latency without load. */
	baseLatencyMs: number;
};

/** Options of the worker. */
export type InterferenceWorkerOptions = {
	clock: Clock;
	report: Omit<WorkerReport, 'sequence' | 'workerId' | 'isDraining'>;
	getSimulatedTask: (taskId: string, run: number) => SimulatedTask;
	interference: SimulatedInterference;
	checkpointIntervalMs: number;
	restoreMs: number;
	maxLeaseMs: number;
	/** Speed at which all tasks progress, 0 to 1; undefined: full speed. */
	getSpeed?: (nowMs: number) => number;
	onStart: (taskId: string) => void;
	onEnd: (taskId: string, end: RunEnd, lostMs: number, run: number) => void;
	/** Called in each time step for each latency-critical task; `meetsTargetAlone`: without interference, it would meet its target. */
	onLatencySample: (taskId: string, state: {isServing: boolean; isOverTarget: boolean; meetsTargetAlone: boolean}, elapsedMs: number) => void;
};

type Run = {
	start: WorkerStart;
	task: SimulatedTask;
	startedAtMs: number;
	/** Work done, and the part of it that the latest checkpoint contains. */
	doneMs: number;
	checkpointedMs: number;
	throttlePercent: number;
	/** Thousandths of a processor in use, or tail latency in ms for a latency-critical task; smoothed over about half a second. */
	recent: number;
	isStopping: boolean;
};

const responseMs = 1;
const stopMs = 100;
const throttleDelayMs = 100;
/** Time constant of the smoothed measurements of a run. */
const smoothingMs = 250;
/** Time from the start of a latency-critical task until it serves. */
const startupMs = 500;
const maxLoad = 0.98;
const fullPercent = 100;

/** The worker; `advance` moves its simulated time. */
export class InterferenceWorker {
	workerId: string;
	readonly runs = new Map<string, Run>();
	readonly #name: string;
	readonly #options: InterferenceWorkerOptions;
	#incarnation = 1;
	#sequence = 0;
	#leaseUntilMs = 0;
	#ended: EndedRow[] = [];
	#endNumber = 0;
	#lastRuns = new Map<string, number>();
	readonly #waiters = new Set<() => void>();

	constructor(name: string, options: InterferenceWorkerOptions) {
		this.#name = name;
		this.#options = options;
		this.workerId = `${name}-1`;
	}

	get milliCpu(): number {
		return this.#options.report.milliCpu;
	}

	announce(): WorkerReport {
		return {
			...this.#options.report, workerId: this.workerId, isDraining: false, sequence: ++this.#sequence,
		};
	}

	/** Loses all runs and restarts as a new incarnation. */
	crash(): void {
		for (const {start, doneMs} of this.runs.values()) {
			this.#options.onEnd(start.taskId, RunEnd.LeaseExpired, doneMs, start.run);
		}

		this.runs.clear();
		this.#ended = [];
		this.#endNumber = 0;
		this.#leaseUntilMs = 0;
		this.#lastRuns = new Map();
		this.workerId = `${this.#name}-${++this.#incarnation}`;
	}

	/** Simulates the time that has passed since the last call. */
	advance(elapsedMs: number): void {
		const nowMs = this.#options.clock.monotonicMs();
		if (this.#leaseUntilMs < nowMs) {
			for (const run of this.runs.values()) {
				this.#end(run, RunEnd.LeaseExpired);
			}
		}

		const running = [...this.runs.values()];
		const bestEffortSpeed = this.#getBestEffortSpeed(running, nowMs);
		const speed = this.#options.getSpeed?.(nowMs) ?? 1;
		for (const run of running) {
			if (run.task.spec.targetMs === 0) {
				this.#advanceWork(run, {elapsedMs, share: run.task.spec.isFilling ? bestEffortSpeed * run.throttlePercent / fullPercent : 1, speed});
			}
		}

		for (const run of running) {
			if (run.task.spec.targetMs > 0) {
				this.#advanceLatency(run, {
					running, bestEffortSpeed, nowMs, elapsedMs,
				});
			}
		}
	}

	createClient(): WorkerClient {
		const {clock} = this.#options;
		const respond = async (workerId: string | undefined, execute: () => WorkerAnswer): Promise<WorkerAnswer> => {
			await clock.sleep(responseMs);
			return workerId === undefined || workerId === this.workerId
				? {...execute(), clockMs: clock.monotonicMs()}
				: {isDone: false, refusal: OrderRefusal.OtherWorkerIncarnation};
		};

		return {
			start: async (workerId, start, {leaseUntilMs}) => respond(workerId, () => this.#start(start, leaseUntilMs)),
			stop: async (workerId, {taskId, run}) => respond(workerId, () => this.#stop(taskId, run)),
			throttle: async (workerId, {taskId, percent}) => respond(workerId, () => {
				clock.setTimer(() => {
					const run = this.runs.get(taskId);
					if (run) {
						run.throttlePercent = percent;
					}
				}, throttleDelayMs);
				return {isDone: true};
			}),
			renew: async (workerId, {forgetUpTo, leaseUntilMs, waitMs}) => {
				const {isDone, refusal} = await respond(workerId, () => ({isDone: true}));
				if (!isDone) {
					return {refusal: refusal!};
				}

				this.#extendLease(leaseUntilMs ?? 0);
				this.#ended = this.#ended.filter(({number}) => number > forgetUpTo);
				await this.#waitForEnd(waitMs);
				return {
					workerId: this.workerId, clockMs: clock.monotonicMs(), running: [...this.runs.values()].map(run => describe(run)), ended: [...this.#ended], hasMoreEnds: false,
				};
			},
		};
	}

	/** Speed of the best-effort tasks, 0 to 1: they share the idle processors in proportion to the processors they request. */
	#getBestEffortSpeed(running: Run[], nowMs: number): number {
		let idleMilliCpu = this.#options.report.milliCpu;
		let requestedMilliCpu = 0;
		for (const {task: {spec}, start, throttlePercent} of running) {
			if (spec.isFilling) {
				requestedMilliCpu += spec.milliCpu * throttlePercent / fullPercent;
			} else {
				idleMilliCpu -= spec.milliCpu * (spec.targetMs > 0 ? this.#options.interference.getLoad(start.taskId, nowMs) : 1);
			}
		}

		return requestedMilliCpu === 0 ? 1 : Math.min(1, Math.max(0, idleMilliCpu) / requestedMilliCpu);
	}

	/** A slow worker uses its processors as usual, and gets less done. */
	#advanceWork(run: Run, {elapsedMs, share, speed}: {elapsedMs: number; share: number; speed: number}): void {
		const {task: {spec, workMs, failsAt}} = run;
		const {checkpointIntervalMs} = this.#options;
		run.doneMs += elapsedMs * share * speed;
		run.recent += ((spec.milliCpu * share) - run.recent) * Math.min(1, elapsedMs / smoothingMs);
		if (spec.isCheckpointing) {
			run.checkpointedMs = Math.max(run.checkpointedMs, Math.floor(run.doneMs / checkpointIntervalMs) * checkpointIntervalMs);
		}

		if (failsAt !== undefined && run.doneMs >= workMs! * failsAt) {
			this.#end(run, RunEnd.Failed);
		} else if (workMs !== undefined && run.doneMs >= workMs) {
			this.#end(run, RunEnd.Done);
		}
	}

	#advanceLatency(run: Run, {running, bestEffortSpeed, nowMs, elapsedMs}: {running: Run[]; bestEffortSpeed: number; nowMs: number; elapsedMs: number}): void {
		const {interference, onLatencySample, report: {milliCpu}} = this.#options;
		const {start: {taskId}, task: {spec}} = run;
		const ownLoad = interference.getLoad(taskId, nowMs);
		let load = ownLoad;
		for (const {task: {spec: other}, throttlePercent} of running) {
			if (other.isFilling) {
				load += interference.getAddedLoad(spec.image!, other.image!) * other.milliCpu / milliCpu * bestEffortSpeed * throttlePercent / fullPercent;
			}
		}

		const tailMs = interference.baseLatencyMs / (1 - Math.min(maxLoad, load));
		run.recent += (tailMs - run.recent) * Math.min(1, elapsedMs / smoothingMs);
		onLatencySample(taskId, {
			isServing: nowMs - run.startedAtMs >= startupMs, isOverTarget: run.recent > spec.targetMs, meetsTargetAlone: interference.baseLatencyMs / (1 - ownLoad) <= spec.targetMs,
		}, elapsedMs);
	}

	#start(start: WorkerStart, leaseUntilMs: number): WorkerAnswer {
		const {clock, getSimulatedTask, restoreMs, onStart} = this.#options;
		const nowMs = clock.monotonicMs();
		if (start.run <= (this.#lastRuns.get(start.taskId) ?? 0)) {
			return {isDone: false, refusal: OrderRefusal.OldRun};
		}

		this.#extendLease(leaseUntilMs);
		const checkpointedMs = start.checkpoint === '' ? 0 : Number(start.checkpoint);
		this.#lastRuns.set(start.taskId, start.run);
		this.runs.set(start.taskId, {
			start,
			task: getSimulatedTask(start.taskId, start.run),
			startedAtMs: nowMs,
			doneMs: checkpointedMs === 0 ? 0 : checkpointedMs - restoreMs,
			checkpointedMs,
			throttlePercent: fullPercent,
			recent: 0,
			isStopping: false,
		});
		onStart(start.taskId);
		return {isDone: true};
	}

	#stop(taskId: string, runNumber: number): WorkerAnswer {
		const run = this.runs.get(taskId);
		if (run?.start.run === runNumber && !run.isStopping) {
			run.isStopping = true;
			this.#options.clock.setTimer(() => {
				run.checkpointedMs = run.task.spec.isCheckpointing ? Math.max(run.checkpointedMs, run.doneMs) : 0;
				this.#end(run, RunEnd.Stopped);
			}, stopMs);
		}

		return {isDone: true};
	}

	#end(run: Run, end: RunEnd): void {
		const {taskId, run: runNumber} = run.start;
		if (this.runs.get(taskId) !== run) {
			return;
		}

		this.runs.delete(taskId);
		this.#ended.push({
			number: ++this.#endNumber, taskId, run: runNumber, end, checkpoint: run.checkpointedMs > 0 ? String(run.checkpointedMs) : '',
		});
		this.#options.onEnd(taskId, end, end === RunEnd.Done ? 0 : Math.max(0, run.doneMs - run.checkpointedMs), runNumber);
		for (const wake of this.#waiters) {
			wake();
		}
	}

	#extendLease(untilMs: number): void {
		this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.min(untilMs, this.#options.clock.monotonicMs() + this.#options.maxLeaseMs));
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
}

const describe = ({start, task: {workMs}, doneMs, checkpointedMs, recent}: Run): RunningRow => ({
	taskId: start.taskId,
	run: start.run,
	checkpoint: checkpointedMs > 0 ? String(checkpointedMs) : '',
	percent: workMs === undefined ? fullPercent : Math.max(0, Math.min(fullPercent - 1, Math.floor(doneMs * fullPercent / workMs))),
	recent: Math.round(recent),
});
