/**
Predicts how long tasks run, learned from earlier runs: callers' estimates vary by more than the jobs themselves.

Times are compared as logarithms, in which an estimate that is wrong by a factor has the same error in both directions.
Each estimate is combined with the mean of its queue, weighted by the variance of both so far. Tasks of one step hardly
differ: once one of them has been measured, only measurements of the step count.

With tails, progress counts from early on, a run that is already old is expected to be one of those that take several times as
long, and a wide step is expected to take as long as its longest task.
*/
import {type LiveRun, type LiveStep, type LiveTask} from './live-model.ts';
import {
	getLongestFactor, priorTaskVariance, priorVariance, QueueTimes,
} from './queue-times.ts';
import {showsSpeed, WorkerSpeeds} from './worker-speeds.ts';

/** What was measured of a step; times as logarithms at the speed of a sound worker. */
type StepTimes = {
	/** Ended tasks; without tails, also the first run that progressed far enough. */
	count: number;
	sum: number;
	/** The active run with the most progress, until a task has ended; only with tails. */
	furthest?: {donePercent: number; logMs: number};
	/** Whether the queue has learned from the step. */
	isLearned: boolean;
	/** Prediction before anything of the step was measured, with and without what is known of earlier steps of the job. */
	priorLogMs: number;
	independentLogMs: number;
	/** The longest ended task, with the work of its failed runs. */
	longestMs: number;
	/** Work of failed runs. */
	failedMs: Map<LiveTask, number>;
	/** Ended tasks by worker. */
	byWorker: Map<string, {count: number; sum: number}>;
};

/** From this progress on, the speed of an active run predicts its total time. */
const minProgressPercent = 25;
/** With tails, progress counts from here on, by how exact it is; not that of best-effort runs, whose measured processor use lags behind. */
const minEarlyProgressPercent = 5;
const progressDeviationPercent = 2;
const minTaskMs = 20;
const fullPercent = 100;
/** A run that has worked longer than its task was expected to take, in a step that is known, takes this much longer. */
const overdueFactor = 1.1;

/** Learned run times. */
export class RunTimes {
	/** Speeds of workers; without tails, nothing is learned of them. */
	readonly speeds = new WorkerSpeeds();
	readonly hasTails: boolean;
	readonly #isLearning: boolean;
	readonly #queues = new Map<string, QueueTimes>();
	readonly #steps = new WeakMap<LiveStep, StepTimes>();

	/** Without learning, callers' estimates are used unchanged. */
	constructor(isLearning = true, hasTails = false) {
		this.#isLearning = isLearning;
		this.hasTails = isLearning && hasTails;
	}

	/** Predicts the run time of a task of the step at full speed. */
	getTaskMs(step: LiveStep): number {
		const measured = this.#steps.get(step);
		if (measured && measured.count > 0) {
			return Math.exp(measured.sum / measured.count);
		}

		if (!measured?.furthest) {
			return this.#predict(step, this.#getEarlierError(step));
		}

		const {donePercent, logMs} = measured.furthest;
		return Math.exp(combine(measured.priorLogMs, priorVariance, logMs, getProgressVariance(donePercent)));
	}

	/** Predicts the longest of so many tasks of the step at full speed. */
	getLongestOfMs(step: LiveStep, count: number): number {
		return this.getTaskMs(step) * getLongestFactor(count, this.#getTaskVariance(step));
	}

	/** The longest ended task of the step, with the work of its failed runs; 0: none has ended. */
	getLongestEndedMs(step: LiveStep): number {
		return this.#steps.get(step)?.longestMs ?? 0;
	}

	/** Work of the task's failed runs. */
	getFailedMs(task: LiveTask): number {
		return this.#steps.get(task.step)?.failedMs.get(task) ?? 0;
	}

	/** Predicts the total time of an active run's task on a sound worker; at least what the run has worked, and rises with that. */
	getTotalMs(run: LiveRun, nowMs: number): number {
		const {task: {step}, percent, basePercent} = run;
		const levelMs = this.getTaskMs(step);
		const donePercent = percent - basePercent;
		const soundMs = run.workedMs / this.speeds.getSlowness(run.workerId, nowMs);
		const workedMs = soundMs * fullPercent / Math.max(1, fullPercent - basePercent);
		if (donePercent >= this.#getMinProgressPercent(step)) {
			const ownMs = Math.max(minTaskMs, soundMs * fullPercent / donePercent);
			return Math.max(workedMs, Math.exp(combine(Math.log(levelMs), this.#getTaskVariance(step), Math.log(ownMs), getProgressVariance(donePercent))));
		}

		if (workedMs <= levelMs) {
			return levelMs;
		}

		const isKnown = (this.#steps.get(step)?.count ?? 0) > 0;
		const queue = this.#queues.get(step.workflow.spec.queue);
		return isKnown || !queue ? workedMs * overdueFactor : Math.max(workedMs * overdueFactor, queue.distribution.getExpectedMs(levelMs, workedMs));
	}

	/** Predicts how long an active run still works on the worker where it is. */
	getRemainingHereMs(run: LiveRun, nowMs: number): number {
		return this.getTotalMs(run, nowMs) * this.speeds.getSlowness(run.workerId, nowMs) * (1 - (run.percent / fullPercent));
	}

	/** Learns from a run that ended, or that progressed far enough. */
	observe(run: LiveRun, {isDone}: {isDone: boolean}): void {
		const {task: {step}, percent, basePercent, workedMs} = run;
		const donePercent = (isDone ? fullPercent : percent) - basePercent;
		if (!this.#isLearning || step.spec.isLasting || step.spec.isGang || donePercent < this.#getMinProgressPercent(step)) {
			return;
		}

		const rawLogMs = Math.log(Math.max(minTaskMs, workedMs * fullPercent / donePercent));
		if (this.hasTails) {
			this.#observeWithTails(run, {isDone, donePercent, rawLogMs});
		} else if (isDone || !this.#steps.has(step)) {
			this.#add(run, rawLogMs);
		}
	}

	/** Counts the work of a run that failed by its own fault. */
	observeFailure(run: LiveRun): void {
		if (this.hasTails && !run.task.step.spec.isLasting) {
			const {failedMs} = this.#getStepTimes(run.task.step);
			failedMs.set(run.task, (failedMs.get(run.task) ?? 0) + (run.workedMs / this.speeds.getSlowness(run.workerId, run.workedUntilMs ?? 0)));
		}
	}

	#observeWithTails(run: LiveRun, {isDone, donePercent, rawLogMs}: {isDone: boolean; donePercent: number; rawLogMs: number}): void {
		const {task, workerId, workedUntilMs = 0} = run;
		const times = this.#getStepTimes(task.step);
		this.#observeSpeed(run, {isDone, rawLogMs, times});
		const logMs = rawLogMs - Math.log(this.speeds.getSlowness(workerId, workedUntilMs));
		if (isDone) {
			times.longestMs = Math.max(times.longestMs, Math.exp(logMs) + (times.failedMs.get(task) ?? 0));
			this.#add(run, logMs);
			return;
		}

		if (times.count === 0 && donePercent > (times.furthest?.donePercent ?? 0)) {
			times.furthest = {donePercent, logMs};
		}

		if (donePercent >= minProgressPercent) {
			this.#learn(task.step, times, logMs);
		}
	}

	/** Compares the run with the step's tasks that ended on other workers. */
	#observeSpeed(run: LiveRun, {isDone, rawLogMs, times}: {isDone: boolean; rawLogMs: number; times: StepTimes}): void {
		const {workerId, workedUntilMs = 0} = run;
		const here = times.byWorker.get(workerId);
		const count = times.count - (here?.count ?? 0);
		if (count > 0 && showsSpeed(run)) {
			this.speeds.add(run, rawLogMs - ((times.sum - (here?.sum ?? 0)) / count), {isDone, nowMs: workedUntilMs});
		}
	}

	#add({task: {step}, workerId}: LiveRun, logMs: number): void {
		const times = this.#getStepTimes(step);
		if (times.count > 0) {
			this.#queues.get(step.workflow.spec.queue)?.observeTask(logMs - (times.sum / times.count), times.count);
		}

		times.count++;
		times.sum += logMs;
		const here = times.byWorker.get(workerId) ?? {count: 0, sum: 0};
		times.byWorker.set(workerId, {count: here.count + 1, sum: here.sum + logMs});
		this.#learn(step, times, logMs);
	}

	#learn(step: LiveStep, times: StepTimes, logMs: number): void {
		if (times.isLearned) {
			return;
		}

		times.isLearned = true;
		const {queue: name} = step.workflow.spec;
		const queue = this.#queues.get(name) ?? new QueueTimes();
		this.#queues.set(name, queue);
		queue.observeStep({
			estimateMs: step.spec.estimateMs, logMs, priorLogMs: times.priorLogMs, independentLogMs: times.independentLogMs, earlierError: this.#getEarlierError(step),
		});
	}

	#getMinProgressPercent({spec: {isFilling}}: LiveStep): number {
		return this.hasTails && !isFilling ? minEarlyProgressPercent : minProgressPercent;
	}

	#getTaskVariance({workflow: {spec}}: LiveStep): number {
		return this.#queues.get(spec.queue)?.taskVariance ?? priorTaskVariance;
	}

	#predict({workflow, spec: {estimateMs}}: LiveStep, earlierError: number | undefined): number {
		return this.#queues.get(workflow.spec.queue)?.getTaskMs(estimateMs, earlierError) ?? Math.max(minTaskMs, estimateMs);
	}

	/** How far earlier steps of the occurrence were off, as the mean of logarithms; undefined: none was measured. */
	#getEarlierError({workflow, occurrence, index}: LiveStep): number | undefined {
		if (!this.hasTails || index === 0) {
			return undefined;
		}

		let count = 0;
		let sum = 0;
		for (const step of workflow.occurrences.get(occurrence)!.slice(0, index)) {
			const times = this.#steps.get(step);
			if (times && times.count > 0) {
				count++;
				sum += (times.sum / times.count) - times.independentLogMs;
			}
		}

		return count > 0 ? sum / count : undefined;
	}

	#getStepTimes(step: LiveStep): StepTimes {
		let times = this.#steps.get(step);
		if (!times) {
			times = {
				count: 0, sum: 0, isLearned: false, priorLogMs: Math.log(this.getTaskMs(step)), independentLogMs: Math.log(this.#predict(step, undefined)), longestMs: 0, failedMs: new Map(), byWorker: new Map(),
			};
			this.#steps.set(step, times);
		}

		return times;
	}
}

const getProgressVariance = (donePercent: number): number => (progressDeviationPercent / donePercent) ** 2;

/** Mean of two measurements, weighted by their variances. */
const combine = (a: number, varianceA: number, b: number, varianceB: number): number =>
	((a * varianceB) + (b * varianceA)) / (varianceA + varianceB);
