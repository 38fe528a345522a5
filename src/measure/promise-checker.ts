/**
Watches what the outside sees of the system and tells, for each promise, how often it was at risk and whether it held.
It knows nothing of the inside: it is told of starts, ends, requests and answers by stand-ins and callers.
*/
import {type Resources} from '../types/platform.ts';

/** The promises. */
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

/** What was found of one promise. */
export type PromiseResult = {
	/** How often something happened that could have broken it. */
	atRisk: number;
	broken: number;
	/** The first few cases. */
	cases: string[];
};

/** Results of all promises. */
export type PromiseReport = Record<Promised, PromiseResult>;

type RequestTry = {
	requestId?: string;
	runs: number;
	isToldNotRun: boolean;
};

const maxCases = 5;
/** Time after which an upstream that leaves may receive nothing new. */
const leaveGraceMs = 3000;
const roundingError = 1e-6;

/** Checks the promises. */
export class PromiseChecker {
	readonly #results = new Map<Promised, PromiseResult>(Object.values(Promised).map(promised => [promised, {atRisk: 0, broken: 0, cases: []}]));
	readonly #capacities = new Map<string, Resources>();
	readonly #running = new Map<string, Map<string, Resources>>();
	readonly #places = new Map<string, Set<string>>();
	readonly #lastAttempts = new Map<string, number>();
	readonly #tries = new Map<string, RequestTry>();
	readonly #runsById = new Map<string, number>();
	readonly #leavingSinceMs = new Map<string, number>();
	readonly #offsets = new Map<string, number>();

	/** Results so far. */
	getReport(): PromiseReport {
		return Object.fromEntries(this.#results) as PromiseReport;
	}

	/** Whether no promise was broken. */
	get isHeld(): boolean {
		return [...this.#results.values()].every(({broken}) => broken === 0);
	}

	setCapacity(workerId: string, capacity: Resources): void {
		this.#capacities.set(workerId, capacity);
	}

	/** A worker begins to run an attempt. */
	noteTaskStarted(workerId: string, taskId: string, attempt: number, resources: Resources): void {
		const tasks = getOrCreate(this.#running, workerId, () => new Map<string, Resources>());
		tasks.set(taskId, resources);
		this.#checkCapacity(workerId, tasks);

		const places = getOrCreate(this.#places, taskId, () => new Set<string>());
		places.add(workerId);
		this.#check(Promised.OnePlace, places.size === 1, `${taskId} runs on ${[...places].join(' and ')}`);

		// An attempt that starts again, or one older than the last, is a second resume of the same eviction.
		const lastAttempt = this.#lastAttempts.get(taskId);
		if (lastAttempt !== undefined) {
			this.#check(Promised.ResumeOnce, attempt > lastAttempt, `attempt ${attempt} of ${taskId} started after attempt ${lastAttempt}`);
		}

		this.#lastAttempts.set(taskId, Math.max(attempt, lastAttempt ?? attempt));
	}

	/** A worker no longer runs a task. */
	noteTaskEnded(workerId: string, taskId: string): void {
		this.#running.get(workerId)?.delete(taskId);
		this.#places.get(taskId)?.delete(workerId);
	}

	/** A worker is gone, and with it all that it ran. */
	noteWorkerGone(workerId: string): void {
		for (const taskId of this.#running.get(workerId)?.keys() ?? []) {
			this.#places.get(taskId)?.delete(workerId);
		}

		this.#running.delete(workerId);
	}

	/** A caller sends one try; `requestId` marks it as non-idempotent. */
	noteTry(tryId: string, requestId?: string): void {
		this.#tries.set(tryId, {requestId, runs: 0, isToldNotRun: false});
	}

	/** An upstream begins to run a try. */
	noteRan(upstreamId: string, tryId: string, atMs: number): void {
		const sent = this.#tries.get(tryId);
		if (sent) {
			sent.runs++;
			this.#checkNotRun(tryId, sent);
			this.#checkAtMostOnce(sent.requestId);
		}

		const leavingSinceMs = this.#leavingSinceMs.get(upstreamId);
		if (leavingSinceMs !== undefined) {
			const afterMs = atMs - leavingSinceMs;
			this.#check(Promised.LeavingQuiet, afterMs <= leaveGraceMs, `${upstreamId} received ${tryId} ${Math.round(afterMs)} ms after it said that it leaves`);
		}
	}

	/** A caller was told that the try was not run. */
	noteNotRun(tryId: string): void {
		const sent = this.#tries.get(tryId);
		if (sent) {
			sent.isToldNotRun = true;
			this.#checkNotRun(tryId, sent);
		}
	}

	/** A caller received an answer that it took for a good one. */
	noteAnswer(tryId: string, isWholeAndOwn: boolean): void {
		this.#check(Promised.OwnAnswer, isWholeAndOwn, `${tryId} got an answer that is not whole or not its own`);
	}

	/** An upstream says that it leaves. */
	noteLeaving(upstreamId: string, atMs: number): void {
		this.#leavingSinceMs.set(upstreamId, atMs);
		this.#check(Promised.LeavingQuiet, true, '');
	}

	/** The upstream is back under the same name. */
	noteBack(upstreamId: string): void {
		this.#leavingSinceMs.delete(upstreamId);
	}

	/** A request that was in progress when its entry was told to stop has ended. */
	noteEndAtShutdown(tryId: string, isCut: boolean): void {
		this.#check(Promised.ShutdownWhole, !isCut, `${tryId} was cut off by a graceful shutdown`);
	}

	/** A process has the configuration up to an offset; `processKey` names one life of the process. */
	noteConfig(processKey: string, offset: number): void {
		const known = this.#offsets.get(processKey) ?? -1;
		this.#offsets.set(processKey, Math.max(known, offset));
		this.#check(Promised.ConfigHolds, offset >= known, `${processKey} went back from ${known} to ${offset}`);
	}

	/** A process had time enough to take a change into force. */
	noteConfigDue(processKey: string, acceptedOffset: number): void {
		const known = this.#offsets.get(processKey) ?? -1;
		this.#check(Promised.ConfigHolds, known >= acceptedOffset, `${processKey} has ${known}, not yet ${acceptedOffset}`);
	}

	#checkCapacity(workerId: string, tasks: Map<string, Resources>): void {
		const capacity = this.#capacities.get(workerId);
		if (!capacity) {
			return;
		}

		const keys = ['processors', 'memoryMb', 'accelerators'] as const;
		const over = keys.filter(key => {
			let used = 0;
			for (const resources of tasks.values()) {
				used += resources[key];
			}

			return used > capacity[key] + roundingError;
		});
		this.#check(Promised.NoOvercommit, over.length === 0, `${workerId} has too much ${over.join(', ')}`);
	}

	#checkNotRun(tryId: string, sent: RequestTry): void {
		if (sent.isToldNotRun) {
			this.#check(Promised.NotRunTrue, sent.runs === 0, `${tryId} was said to be not run and ran`);
		}
	}

	#checkAtMostOnce(requestId: string | undefined): void {
		if (requestId === undefined) {
			return;
		}

		const runs = (this.#runsById.get(requestId) ?? 0) + 1;
		this.#runsById.set(requestId, runs);
		this.#check(Promised.AtMostOnce, runs === 1, `${requestId} ran ${runs} times`);
	}

	#check(promised: Promised, isKept: boolean, text: string): void {
		const result = this.#results.get(promised)!;
		result.atRisk++;
		if (isKept) {
			return;
		}

		result.broken++;
		if (result.cases.length < maxCases) {
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

/** Formats a report, a line for each promise. */
export const formatPromises = (report: PromiseReport): string[] => Object.entries(report).map(([promised, {atRisk, broken, cases}]) => {
	const verdict = broken > 0 ? `BROKEN ${broken} times: ${cases.join('; ')}` : (atRisk > 0 ? 'held' : 'not put at risk');
	return `${promised}: at risk ${atRisk} times, ${verdict}`;
});
