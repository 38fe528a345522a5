/**
Runs on slow workers: which workers get no new tasks, which runs get a copy, and which move. Answers workers that run everything at a
fraction of their speed for some seconds. A task whose work is long is left alone: it would take as long on another worker.
*/
import {type FleetWorker} from './fleet-view.ts';
import {RunPhase, type LiveRun, type LiveTask} from './live-model.ts';
import {type RunTimes} from './run-times.ts';

/** The other run has to end in two thirds of the time: predictions are rough, and its work would be thrown away. */
const minGain = 1.5;
/** Time until another run works: order, start, and restoring a checkpoint. */
const startMs = 300;
/** Work since the latest checkpoint. */
const checkpointAgeMs = 1000;
/** Copies of a step's tasks, as a share of the step; at least one. */
const maxCopyShare = 0.25;
/** If more workers than this share are slow, they are used like the others. */
const maxSlowShare = 0.25;
const fullPercent = 100;

/** What the choice depends on. */
export type SlowRunOptions = {
	times: RunTimes;
	nowMs: number;
};

/** Whether a second run of the task, on another worker, is expected to end clearly before the given one and to help its step. */
export const isCopyUseful = (run: LiveRun, {times, nowMs}: SlowRunOptions): boolean => {
	const {phase, workerId, isUnwanted, task: {step: {spec, tasks}}} = run;
	if (phase !== RunPhase.Running || isUnwanted || !spec.isSpeculative || spec.isLasting || spec.isGang || !times.speeds.isSlow(workerId, nowMs)) {
		return false;
	}

	// Tasks without a run come first, and a few copies bound the work that is done twice.
	const copies = tasks.filter(task => task.runs.length > 1).length;
	return tasks.every(task => task.isDone || task.runs.length > 0)
		&& copies < Math.max(1, maxCopyShare * tasks.length)
		&& times.getRemainingHereMs(run, nowMs) > minGain * (startMs + times.getTotalMs(run, nowMs));
};

/** Whether a run with a checkpoint is expected to end clearly later where it is than on another worker. */
export const isMoveUseful = (run: LiveRun, {times, nowMs}: SlowRunOptions): boolean => {
	const {phase, workerId, percent, task: {checkpoint, step: {spec}}} = run;
	if (phase !== RunPhase.Running || !spec.isCheckpointing || checkpoint.value === '' || spec.isSpeculative || !times.speeds.isSlow(workerId, nowMs)) {
		return false;
	}

	const elsewhereMs = startMs + checkpointAgeMs + (times.getTotalMs(run, nowMs) * (1 - (percent / fullPercent)));
	return times.getRemainingHereMs(run, nowMs) > minGain * elsewhereMs;
};

/** Keeps new tasks away from slow workers, and logs what is done for them. */
export class SlowWorkers {
	readonly #times: RunTimes;
	readonly #note: (event: string, fields: Record<string, unknown>) => void;
	#slow = new Set<string>();

	constructor({times, note}: {times: RunTimes; note: (event: string, fields: Record<string, unknown>) => void}) {
		this.#times = times;
		this.#note = note;
	}

	/** Leaves slow workers out, unless many are slow. */
	leaveOut(workers: FleetWorker[], nowMs: number): FleetWorker[] {
		if (!this.#times.hasTails) {
			return workers;
		}

		const slow = workers.filter(({report}) => this.#times.speeds.isSlow(report!.workerId, nowMs));
		this.#noteChanges(slow, nowMs);
		return slow.length > maxSlowShare * workers.length ? workers : workers.filter(worker => !slow.includes(worker));
	}

	/** Logs starts of tasks that have a run already; to be called before they are ordered. */
	noteCopies(starts: Iterable<{task: LiveTask; worker: FleetWorker}>, nowMs: number): void {
		for (const {task: {taskId, runs}, worker: {host}} of starts) {
			const [run] = runs;
			if (run) {
				this.#note('copy started', {
					taskId, host, otherHost: run.host, percent: run.percent, remainingMs: Math.round(this.#times.getRemainingHereMs(run, nowMs)), copyMs: Math.round(this.#times.getTotalMs(run, nowMs)), isSlow: this.#times.speeds.isSlow(run.workerId, nowMs),
				});
			}
		}
	}

	#noteChanges(slow: FleetWorker[], nowMs: number): void {
		const current = new Set(slow.map(({report}) => report!.workerId));
		for (const {host, report} of slow) {
			if (!this.#slow.has(report!.workerId)) {
				const slowness = this.#times.speeds.getSlowness(report!.workerId, nowMs);
				this.#note('worker slow', {
					host, workerId: report!.workerId, slowness: Number(slowness.toFixed(1)), slowWorkers: slow.length,
				});
			}
		}

		for (const workerId of this.#slow) {
			if (!current.has(workerId)) {
				this.#note('worker no longer slow', {workerId, slowWorkers: slow.length});
			}
		}

		this.#slow = current;
	}
}
