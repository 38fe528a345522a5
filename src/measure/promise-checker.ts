/**
Checks the system's guarantees from outside: counts, for each one, how often it could have been violated and how often it was.
Stand-in hosts and callers report starts, ends, requests and answers; no internal state of the system is read.
*/
import {type Resources} from '../types/platform.ts';

/** Guarantees of the system. The values are printed in reports. */
export enum Promised {
	NoOvercommit = 'no host is given more than it has',
	OnePlace = 'no task runs in two places',
	ResumeOnce = 'an evicted task resumes exactly once',
	OwnAnswer = 'every caller receives the whole answer to its own request',
	NotRunTrue = 'a request said to be not run was not run',
	AtMostOnce = 'a non-idempotent request runs at most once',
	LeavingQuiet = 'an upstream that leaves receives no new work',
	ShutdownWhole = 'a graceful shutdown cuts off nothing in progress',
	ConfigHolds = 'an accepted configuration is in force everywhere and never reverts',
}

/** Findings on one guarantee. */
export type PromiseResult = {
	/** Number of observations that could have violated it. */
	atRisk: number;
	broken: number;
	/** Descriptions of the first violations. */
	cases: string[];
};

/** Findings on all guarantees. */
export type PromiseReport = Record<Promised, PromiseResult>;

type RequestAttempt = {
	requestId?: string;
	runs: number;
	isReportedNotRun: boolean;
};

const maxExamples = 5;
/** An upstream may still receive new requests for this long after it announces that it leaves. */
const leaveGraceMs = 3000;
const roundingError = 1e-6;

/** Checks the guarantees during one run. */
export class PromiseChecker {
	readonly #results = new Map<Promised, PromiseResult>(Object.values(Promised).map(guarantee => [guarantee, {atRisk: 0, broken: 0, cases: []}]));
	readonly #capacities = new Map<string, Resources>();
	readonly #tasksByWorker = new Map<string, Map<string, Resources>>();
	readonly #workersByTask = new Map<string, Set<string>>();
	readonly #lastAttempts = new Map<string, number>();
	readonly #attempts = new Map<string, RequestAttempt>();
	readonly #runsByRequestId = new Map<string, number>();
	readonly #leavingSinceMs = new Map<string, number>();
	readonly #configOffsets = new Map<string, number>();

	/** Findings so far. */
	getReport(): PromiseReport {
		return Object.fromEntries(this.#results) as PromiseReport;
	}

	/** Whether no guarantee has been violated so far. */
	get isHeld(): boolean {
		return [...this.#results.values()].every(({broken}) => broken === 0);
	}

	setCapacity(workerId: string, capacity: Resources): void {
		this.#capacities.set(workerId, capacity);
	}

	/** A worker starts an attempt of a task. */
	noteTaskStarted(workerId: string, taskId: string, attempt: number, resources: Resources): void {
		const tasks = getOrCreate(this.#tasksByWorker, workerId, () => new Map<string, Resources>());
		tasks.set(taskId, resources);
		this.#checkCapacity(workerId, tasks);

		const taskWorkers = getOrCreate(this.#workersByTask, taskId, () => new Set<string>());
		taskWorkers.add(workerId);
		this.#check(Promised.OnePlace, taskWorkers.size === 1, `${taskId} runs on ${[...taskWorkers].join(' and ')}`);

		// An attempt number that is not higher than the last one means that the task was resumed twice after one eviction.
		const lastAttempt = this.#lastAttempts.get(taskId);
		if (lastAttempt !== undefined) {
			this.#check(Promised.ResumeOnce, attempt > lastAttempt, `attempt ${attempt} of ${taskId} started after attempt ${lastAttempt}`);
		}

		this.#lastAttempts.set(taskId, Math.max(attempt, lastAttempt ?? attempt));
	}

	/** A worker no longer runs a task. */
	noteTaskEnded(workerId: string, taskId: string): void {
		this.#tasksByWorker.get(workerId)?.delete(taskId);
		this.#workersByTask.get(taskId)?.delete(workerId);
	}

	/** A worker process was lost with all tasks that it ran. */
	noteWorkerGone(workerId: string): void {
		for (const taskId of this.#tasksByWorker.get(workerId)?.keys() ?? []) {
			this.#workersByTask.get(taskId)?.delete(workerId);
		}

		this.#tasksByWorker.delete(workerId);
	}

	/** A caller sends an attempt of a request; only non-idempotent requests have a `requestId`. */
	noteTry(attemptId: string, requestId?: string): void {
		this.#attempts.set(attemptId, {requestId, runs: 0, isReportedNotRun: false});
	}

	/** An upstream starts to run an attempt. */
	noteRan(upstreamId: string, attemptId: string, atMs: number): void {
		const sent = this.#attempts.get(attemptId);
		if (sent) {
			sent.runs++;
			this.#checkNotRun(attemptId, sent);
			this.#checkAtMostOnce(sent.requestId);
		}

		const leavingSinceMs = this.#leavingSinceMs.get(upstreamId);
		if (leavingSinceMs !== undefined) {
			const afterMs = atMs - leavingSinceMs;
			this.#check(Promised.LeavingQuiet, afterMs <= leaveGraceMs, `${upstreamId} received ${attemptId} ${Math.round(afterMs)} ms after it announced that it leaves`);
		}
	}

	/** A caller received the outcome that the attempt was not run. */
	noteNotRun(attemptId: string): void {
		const sent = this.#attempts.get(attemptId);
		if (sent) {
			sent.isReportedNotRun = true;
			this.#checkNotRun(attemptId, sent);
		}
	}

	/** A caller received an answer with a success status. */
	noteAnswer(attemptId: string, isCompleteAndOwn: boolean): void {
		this.#check(Promised.OwnAnswer, isCompleteAndOwn, `${attemptId} received an answer that is incomplete or belongs to another request`);
	}

	/** An upstream announces that it leaves. */
	noteLeaving(upstreamId: string, atMs: number): void {
		this.#leavingSinceMs.set(upstreamId, atMs);
		this.#check(Promised.LeavingQuiet, true, '');
	}

	/** The upstream has started again under the same id. */
	noteBack(upstreamId: string): void {
		this.#leavingSinceMs.delete(upstreamId);
	}

	/** A request that was in progress when its entry began a graceful shutdown has ended. */
	noteEndAtShutdown(attemptId: string, isInterrupted: boolean): void {
		this.#check(Promised.ShutdownWhole, !isInterrupted, `${attemptId} was cut off by a graceful shutdown`);
	}

	/** A process has applied the configuration up to an offset; `processKey` identifies one incarnation of the process. */
	noteConfig(processKey: string, offset: number): void {
		const known = this.#configOffsets.get(processKey) ?? -1;
		this.#configOffsets.set(processKey, Math.max(known, offset));
		this.#check(Promised.ConfigHolds, offset >= known, `${processKey} went back from configuration offset ${known} to ${offset}`);
	}

	/** The time within which a process must apply an accepted change has passed. */
	noteConfigDue(processKey: string, acceptedOffset: number): void {
		const known = this.#configOffsets.get(processKey) ?? -1;
		this.#check(Promised.ConfigHolds, known >= acceptedOffset, `${processKey} has configuration offset ${known}, expected at least ${acceptedOffset}`);
	}

	#checkCapacity(workerId: string, tasks: Map<string, Resources>): void {
		const capacity = this.#capacities.get(workerId);
		if (!capacity) {
			return;
		}

		const keys = ['processors', 'memoryMb', 'accelerators'] as const;
		const exceeded = keys.filter(key => {
			let used = 0;
			for (const resources of tasks.values()) {
				used += resources[key];
			}

			return used > capacity[key] + roundingError;
		});
		this.#check(Promised.NoOvercommit, exceeded.length === 0, `${workerId} exceeds its capacity of ${exceeded.join(', ')}`);
	}

	#checkNotRun(attemptId: string, sent: RequestAttempt): void {
		if (sent.isReportedNotRun) {
			this.#check(Promised.NotRunTrue, sent.runs === 0, `${attemptId} was reported as not run but ran`);
		}
	}

	#checkAtMostOnce(requestId: string | undefined): void {
		if (requestId === undefined) {
			return;
		}

		const runs = (this.#runsByRequestId.get(requestId) ?? 0) + 1;
		this.#runsByRequestId.set(requestId, runs);
		this.#check(Promised.AtMostOnce, runs === 1, `${requestId} ran ${runs} times`);
	}

	#check(guarantee: Promised, isSatisfied: boolean, text: string): void {
		const result = this.#results.get(guarantee)!;
		result.atRisk++;
		if (isSatisfied) {
			return;
		}

		result.broken++;
		if (result.cases.length < maxExamples) {
			result.cases.push(text);
		}
	}
}

const getOrCreate = <Key, Value>(map: Map<Key, Value>, key: Key, create: () => Value): Value => {
	let value = map.get(key);
	if (value === undefined) {
		value = create();
		map.set(key, value);
	}

	return value;
};

/** Formats a report, one line for each guarantee. */
export const formatPromises = (report: PromiseReport): string[] => Object.entries(report).map(([guarantee, {atRisk, broken, cases}]) => {
	const verdict = broken > 0 ? `BROKEN ${broken} times: ${cases.join('; ')}` : (atRisk > 0 ? 'held' : 'not put at risk');
	return `${guarantee}: at risk ${atRisk} times, ${verdict}`;
});
