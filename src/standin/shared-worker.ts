/**
A stand-in for a worker on which tasks disturb each other: what fills gets the processors that the others leave, and raises
the tail latency of what serves beside it, by pairs of images. For measurements of decisions; it fails in no other way than
that single runs fail.
*/
import {type Clock} from '../types/clock.ts';
import {
	OrderRefusal, type EndedRow, type RunningRow, type WorkerAnswer, type WorkerClient, type WorkerReport, type WorkerStart,
} from '../types/fleet.ts';
import {RunEnd, type WorkflowStep} from '../types/workflows.ts';

/** What a task really is. */
export type TaskTruth = {
	spec: WorkflowStep;
	/** Work at full speed; undefined: it lasts. */
	workMs: number | undefined;
	/** Share of its work after which this run fails; undefined: it succeeds. */
	failsAt: number | undefined;
};

/** How serving tasks fare, and what disturbs them. */
export type HarmTruth = {
	/** Load that a serving task of the job brings by itself at a time, 0 to 1. */
	getLoad: (taskId: string, nowMs: number) => number;
	/** Load that a whole worker of the filling image adds to the server's. */
	getEffect: (server: string, filler: string) => number;
	/** Tail latency at rest. */
	restMs: number;
};

/** Options of the worker. */
export type SharedWorkerOptions = {
	clock: Clock;
	report: Omit<WorkerReport, 'sequence' | 'workerId' | 'isDraining'>;
	getTruth: (taskId: string, run: number) => TaskTruth;
	harm: HarmTruth;
	checkpointEveryMs: number;
	restoreMs: number;
	maxLeaseMs: number;
	onStart: (taskId: string) => void;
	onEnd: (taskId: string, end: RunEnd, lostMs: number) => void;
	/** A step of time of a serving task. */
	onServed: (taskId: string, state: {isAtWork: boolean; isOver: boolean; isDisturbed: boolean}, elapsedMs: number) => void;
};

type Run = {
	start: WorkerStart;
	truth: TaskTruth;
	startedAtMs: number;
	/** Work done, and what of it is saved. */
	doneMs: number;
	savedMs: number;
	pace: number;
	/** Processors in use or tail latency, smoothed over half a second. */
	recent: number;
	isStopping: boolean;
};

const answerMs = 1;
const stopMs = 100;
const paceDelayMs = 100;
/** Figures of a run follow what it does within about this time. */
const smoothMs = 250;
/** A serving task is at work so long after its start. */
const startupMs = 500;
const maxLoad = 0.98;
const whole = 100;

/** The worker. */
export class SharedWorker {
	workerId: string;
	readonly runs = new Map<string, Run>();
	readonly #name: string;
	readonly #options: SharedWorkerOptions;
	#life = 1;
	#sequence = 0;
	#leaseUntilMs = 0;
	#ended: EndedRow[] = [];
	#endNumber = 0;
	#lastRuns = new Map<string, number>();
	readonly #waiters = new Set<() => void>();

	constructor(name: string, options: SharedWorkerOptions) {
		this.#name = name;
		this.#options = options;
		this.workerId = `${name}-1`;
	}

	announce(): WorkerReport {
		return {
			...this.#options.report, workerId: this.workerId, isDraining: false, sequence: ++this.#sequence,
		};
	}

	/** Loses all that runs, and comes back as a new incarnation. */
	crash(): void {
		for (const {start, doneMs} of this.runs.values()) {
			this.#options.onEnd(start.taskId, RunEnd.LeaseExpired, doneMs);
		}

		this.runs.clear();
		this.#ended = [];
		this.#endNumber = 0;
		this.#leaseUntilMs = 0;
		this.#lastRuns = new Map();
		this.workerId = `${this.#name}-${++this.#life}`;
	}

	/** Lets the time pass that has passed since the last call. */
	advance(elapsedMs: number): void {
		const nowMs = this.#options.clock.monotonicMs();
		if (this.#leaseUntilMs < nowMs) {
			for (const run of this.runs.values()) {
				this.#end(run, RunEnd.LeaseExpired);
			}
		}

		const running = [...this.runs.values()];
		const speed = this.#getFillSpeed(running, nowMs);
		for (const run of running) {
			if (run.truth.spec.targetMs === 0) {
				this.#work(run, elapsedMs, run.truth.spec.isFilling ? speed * run.pace / whole : 1);
			}
		}

		for (const run of running) {
			if (run.truth.spec.targetMs > 0) {
				this.#serve(run, {
					running, speed, nowMs, elapsedMs,
				});
			}
		}
	}

	createClient(): WorkerClient {
		const {clock} = this.#options;
		const answer = async (workerId: string | undefined, act: () => WorkerAnswer): Promise<WorkerAnswer> => {
			await clock.sleep(answerMs);
			return workerId === undefined || workerId === this.workerId
				? {...act(), clockMs: clock.monotonicMs()}
				: {isDone: false, refusal: OrderRefusal.OtherWorkerIncarnation};
		};

		return {
			start: async (workerId, start, {leaseUntilMs}) => answer(workerId, () => this.#start(start, leaseUntilMs)),
			stop: async (workerId, {taskId, run}) => answer(workerId, () => this.#stop(taskId, run)),
			throttle: async (workerId, {taskId, percent}) => answer(workerId, () => {
				clock.setTimer(() => {
					const run = this.runs.get(taskId);
					if (run) {
						run.pace = percent;
					}
				}, paceDelayMs);
				return {isDone: true};
			}),
			renew: async (workerId, {forgetUpTo, leaseUntilMs, waitMs}) => {
				const {isDone, refusal} = await answer(workerId, () => ({isDone: true}));
				if (!isDone) {
					return {refusal: refusal!};
				}

				this.#prolong(leaseUntilMs ?? 0);
				this.#ended = this.#ended.filter(({number}) => number > forgetUpTo);
				await this.#waitForEnd(waitMs);
				return {
					workerId: this.workerId, clockMs: clock.monotonicMs(), running: [...this.runs.values()].map(run => describe(run)), ended: [...this.#ended],
				};
			},
		};
	}

	/** What fills shares the processors that are left, in the measure of what it asks for. */
	#getFillSpeed(running: Run[], nowMs: number): number {
		let left = this.#options.report.milliCpu;
		let asked = 0;
		for (const {truth: {spec}, start, pace} of running) {
			if (spec.isFilling) {
				asked += spec.milliCpu * pace / whole;
			} else {
				left -= spec.milliCpu * (spec.targetMs > 0 ? this.#options.harm.getLoad(start.taskId, nowMs) : 1);
			}
		}

		return asked === 0 ? 1 : Math.min(1, Math.max(0, left) / asked);
	}

	#work(run: Run, elapsedMs: number, speed: number): void {
		const {truth: {spec, workMs, failsAt}} = run;
		const {checkpointEveryMs} = this.#options;
		run.doneMs += elapsedMs * speed;
		run.recent += ((spec.milliCpu * speed) - run.recent) * Math.min(1, elapsedMs / smoothMs);
		if (spec.isCheckpointing) {
			run.savedMs = Math.max(run.savedMs, Math.floor(run.doneMs / checkpointEveryMs) * checkpointEveryMs);
		}

		if (failsAt !== undefined && run.doneMs >= workMs! * failsAt) {
			this.#end(run, RunEnd.Failed);
		} else if (workMs !== undefined && run.doneMs >= workMs) {
			this.#end(run, RunEnd.Done);
		}
	}

	#serve(run: Run, {running, speed, nowMs, elapsedMs}: {running: Run[]; speed: number; nowMs: number; elapsedMs: number}): void {
		const {harm, onServed, report: {milliCpu}} = this.#options;
		const {start: {taskId}, truth: {spec}} = run;
		const own = harm.getLoad(taskId, nowMs);
		let load = own;
		for (const {truth: {spec: other}, pace} of running) {
			if (other.isFilling) {
				load += harm.getEffect(spec.image!, other.image!) * other.milliCpu / milliCpu * speed * pace / whole;
			}
		}

		const tailMs = harm.restMs / (1 - Math.min(maxLoad, load));
		run.recent += (tailMs - run.recent) * Math.min(1, elapsedMs / smoothMs);
		onServed(taskId, {
			isAtWork: nowMs - run.startedAtMs >= startupMs, isOver: run.recent > spec.targetMs, isDisturbed: harm.restMs / (1 - own) <= spec.targetMs,
		}, elapsedMs);
	}

	#start(start: WorkerStart, leaseUntilMs: number): WorkerAnswer {
		const {clock, getTruth, restoreMs, onStart} = this.#options;
		const nowMs = clock.monotonicMs();
		if (start.run <= (this.#lastRuns.get(start.taskId) ?? 0)) {
			return {isDone: false, refusal: OrderRefusal.OldRun};
		}

		this.#prolong(leaseUntilMs);
		const savedMs = start.checkpoint === '' ? 0 : Number(start.checkpoint);
		this.#lastRuns.set(start.taskId, start.run);
		this.runs.set(start.taskId, {
			start, truth: getTruth(start.taskId, start.run), startedAtMs: nowMs, doneMs: savedMs === 0 ? 0 : savedMs - restoreMs, savedMs, pace: whole, recent: 0, isStopping: false,
		});
		onStart(start.taskId);
		return {isDone: true};
	}

	#stop(taskId: string, runNumber: number): WorkerAnswer {
		const run = this.runs.get(taskId);
		if (run?.start.run === runNumber && !run.isStopping) {
			run.isStopping = true;
			this.#options.clock.setTimer(() => {
				run.savedMs = run.truth.spec.isCheckpointing ? Math.max(run.savedMs, run.doneMs) : 0;
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
			number: ++this.#endNumber, taskId, run: runNumber, end, checkpoint: run.savedMs > 0 ? String(run.savedMs) : '',
		});
		this.#options.onEnd(taskId, end, end === RunEnd.Done ? 0 : Math.max(0, run.doneMs - run.savedMs));
		for (const wake of this.#waiters) {
			wake();
		}
	}

	#prolong(untilMs: number): void {
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

const describe = ({start, truth: {workMs}, doneMs, savedMs, recent}: Run): RunningRow => ({
	taskId: start.taskId,
	run: start.run,
	checkpoint: savedMs > 0 ? String(savedMs) : '',
	percent: workMs === undefined ? whole : Math.max(0, Math.min(whole - 1, Math.floor(doneMs * whole / workMs))),
	recent: Math.round(recent),
});
