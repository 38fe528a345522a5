/**
Checks the system's guarantees from outside: counts, for each one, how often it could have been violated and how often it was.
Stand-in hosts and callers report starts, ends, requests and answers; no internal state of the system is read.
*/
import {type Resources} from '../types/platform.ts';

/** Guarantees of the system. The values are printed in reports. */
export enum Guarantee {
	NoOvercommit = 'no host is given more than it has',
	SingleWorker = 'no task runs in two places',
	ResumeOnce = 'an evicted task resumes exactly once',
	CompleteOwnAnswer = 'every caller receives the whole answer to its own request',
	NotRunIsCorrect = 'a request said to be not run was not run',
	AtMostOnce = 'a non-idempotent request runs at most once',
	NoWorkWhileLeaving = 'an upstream that leaves receives no new work',
	GracefulShutdown = 'a graceful shutdown cuts off nothing in progress',
	ConfigDurable = 'an accepted configuration is in force everywhere and never reverts',
}

/** Findings on one guarantee. */
export type GuaranteeResult = {
	/** Number of observations that could have violated it. */
	checkCount: number;
	violationCount: number;
	/** Descriptions of the first violations. */
	examples: string[];
};

/** Findings on all guarantees. */
export type GuaranteeReport = Record<Guarantee, GuaranteeResult>;

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
export class GuaranteeChecker {
	readonly #results = new Map<Guarantee, GuaranteeResult>(Object.values(Guarantee).map(guarantee => [guarantee, {checkCount: 0, violationCount: 0, examples: []}]));
	readonly #capacities = new Map<string, Resources>();
	readonly #tasksByWorker = new Map<string, Map<string, Resources>>();
	readonly #workersByTask = new Map<string, Set<string>>();
	readonly #lastAttempts = new Map<string, number>();
	readonly #attempts = new Map<string, RequestAttempt>();
	readonly #runsByRequestId = new Map<string, number>();
	readonly #leavingSinceMs = new Map<string, number>();
	readonly #configOffsets = new Map<string, number>();

	/** Findings so far. */
	getReport(): GuaranteeReport {
		return Object.fromEntries(this.#results) as GuaranteeReport;
	}

	/** Whether no guarantee has been violated so far. */
	get hasNoViolation(): boolean {
		return [...this.#results.values()].every(({violationCount}) => violationCount === 0);
	}

	setCapacity(workerId: string, capacity: Resources): void {
		this.#capacities.set(workerId, capacity);
	}

	/** A worker starts an attempt of a task. */
	recordTaskStarted(workerId: string, taskId: string, attempt: number, resources: Resources): void {
		const tasks = getOrCreate(this.#tasksByWorker, workerId, () => new Map<string, Resources>());
		tasks.set(taskId, resources);
		this.#checkCapacity(workerId, tasks);

		const taskWorkers = getOrCreate(this.#workersByTask, taskId, () => new Set<string>());
		taskWorkers.add(workerId);
		this.#check(Guarantee.SingleWorker, taskWorkers.size === 1, `${taskId} runs on ${[...taskWorkers].join(' and ')}`);

		// An attempt number that is not higher than the last one means that the task was resumed twice after one eviction.
		const lastAttempt = this.#lastAttempts.get(taskId);
		if (lastAttempt !== undefined) {
			this.#check(Guarantee.ResumeOnce, attempt > lastAttempt, `attempt ${attempt} of ${taskId} started after attempt ${lastAttempt}`);
		}

		this.#lastAttempts.set(taskId, Math.max(attempt, lastAttempt ?? attempt));
	}

	/** A worker no longer runs a task. */
	recordTaskEnded(workerId: string, taskId: string): void {
		this.#tasksByWorker.get(workerId)?.delete(taskId);
		this.#workersByTask.get(taskId)?.delete(workerId);
	}

	/** A worker process was lost with all tasks that it ran. */
	recordWorkerLost(workerId: string): void {
		for (const taskId of this.#tasksByWorker.get(workerId)?.keys() ?? []) {
			this.#workersByTask.get(taskId)?.delete(workerId);
		}

		this.#tasksByWorker.delete(workerId);
	}

	/** A caller sends an attempt of a request; only non-idempotent requests have a `requestId`. */
	recordAttemptSent(attemptId: string, requestId?: string): void {
		this.#attempts.set(attemptId, {requestId, runs: 0, isReportedNotRun: false});
	}

	/** An upstream starts to run an attempt. */
	recordAttemptRun(upstreamId: string, attemptId: string, atMs: number): void {
		const sent = this.#attempts.get(attemptId);
		if (sent) {
			sent.runs++;
			this.#checkNotRun(attemptId, sent);
			this.#checkAtMostOnce(sent.requestId);
		}

		const leavingSinceMs = this.#leavingSinceMs.get(upstreamId);
		if (leavingSinceMs !== undefined) {
			const afterMs = atMs - leavingSinceMs;
			this.#check(Guarantee.NoWorkWhileLeaving, afterMs <= leaveGraceMs, `${upstreamId} received ${attemptId} ${Math.round(afterMs)} ms after it announced that it leaves`);
		}
	}

	/** A caller received the outcome that the attempt was not run. */
	recordNotRun(attemptId: string): void {
		const sent = this.#attempts.get(attemptId);
		if (sent) {
			sent.isReportedNotRun = true;
			this.#checkNotRun(attemptId, sent);
		}
	}

	/** A caller received an answer with a success status. */
	recordAnswer(attemptId: string, isCompleteAndOwn: boolean): void {
		this.#check(Guarantee.CompleteOwnAnswer, isCompleteAndOwn, `${attemptId} received an answer that is incomplete or belongs to another request`);
	}

	/** An upstream announces that it leaves. */
	recordLeaving(upstreamId: string, atMs: number): void {
		this.#leavingSinceMs.set(upstreamId, atMs);
		this.#check(Guarantee.NoWorkWhileLeaving, true, '');
	}

	/** The upstream has started again under the same id. */
	recordReturn(upstreamId: string): void {
		this.#leavingSinceMs.delete(upstreamId);
	}

	/** A request that was in progress when its entry began a graceful shutdown has ended. */
	recordEndAtShutdown(attemptId: string, isInterrupted: boolean): void {
		this.#check(Guarantee.GracefulShutdown, !isInterrupted, `${attemptId} was cut off by a graceful shutdown`);
	}

	/** A process has applied the configuration up to an offset; `processKey` identifies one incarnation of the process. */
	recordConfigOffset(processKey: string, offset: number): void {
		const known = this.#configOffsets.get(processKey) ?? -1;
		this.#configOffsets.set(processKey, Math.max(known, offset));
		this.#check(Guarantee.ConfigDurable, offset >= known, `${processKey} went back from configuration offset ${known} to ${offset}`);
	}

	/** The time within which a process must apply an accepted change has passed. */
	checkConfigApplied(processKey: string, acceptedOffset: number): void {
		const known = this.#configOffsets.get(processKey) ?? -1;
		this.#check(Guarantee.ConfigDurable, known >= acceptedOffset, `${processKey} has configuration offset ${known}, expected at least ${acceptedOffset}`);
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
		this.#check(Guarantee.NoOvercommit, exceeded.length === 0, `${workerId} exceeds its capacity of ${exceeded.join(', ')}`);
	}

	#checkNotRun(attemptId: string, sent: RequestAttempt): void {
		if (sent.isReportedNotRun) {
			this.#check(Guarantee.NotRunIsCorrect, sent.runs === 0, `${attemptId} was reported as not run but ran`);
		}
	}

	#checkAtMostOnce(requestId: string | undefined): void {
		if (requestId === undefined) {
			return;
		}

		const runs = (this.#runsByRequestId.get(requestId) ?? 0) + 1;
		this.#runsByRequestId.set(requestId, runs);
		this.#check(Guarantee.AtMostOnce, runs === 1, `${requestId} ran ${runs} times`);
	}

	#check(guarantee: Guarantee, isSatisfied: boolean, text: string): void {
		const result = this.#results.get(guarantee)!;
		result.checkCount++;
		if (isSatisfied) {
			return;
		}

		result.violationCount++;
		if (result.examples.length < maxExamples) {
			result.examples.push(text);
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
export const formatGuarantees = (report: GuaranteeReport): string[] => Object.entries(report).map(([guarantee, {checkCount, violationCount, examples}]) => {
	const verdict = violationCount > 0 ? `BROKEN ${violationCount} times: ${examples.join('; ')}` : (checkCount > 0 ? 'held' : 'not put at risk');
	return `${guarantee}: at risk ${checkCount} times, ${verdict}`;
});
