/**
Callers of a soak run: send requests to ready entries, as behind a load balancer, and check the answers.
*/
import {build as createHistogram, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {attemptIdHeader} from '../standin/host-events.ts';
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';
import {Header, Outcome, RequestClass} from '../types/requests.ts';
import {createRequestId} from '../utils/request-id.ts';
import {type GuaranteeChecker} from './guarantee-checker.ts';
import {type SoakProcess} from './soak-processes.ts';

/** An entry as callers see it. */
export type CallerTarget = {
	entry: SoakProcess;
	address: string;
	isReady(): boolean;
};

/** Counts and latencies of the callers' requests. */
export type CallerTally = {
	answered: number;
	/** Answers with another status than 200, by refusal reason or else by status. */
	refused: Map<string, number>;
	/** Attempts that ended with a connection error or a time-out. */
	connectionErrors: number;
	latencies: Record<RequestClass, Histogram>;
};

type InProgress = {
	entry: SoakProcess;
	sentAtMs: number;
	isAtShutdown: boolean;
};

const services = ['lading-desk', 'tariff-relief'];
const longShare = 0.2;
const maxAttempts = 3;
const retryPauseMs = 300;
const callTimeoutMs = 40_000;
/** A request younger than this may not have reached its entry when the entry was asked to stop. */
const minAgeMs = 100;

/** Sends requests until stopped. */
export class SoakCallers {
	readonly tally: CallerTally = {
		answered: 0, refused: new Map(), connectionErrors: 0, latencies: {[RequestClass.Check]: createHistogram(), [RequestClass.Long]: createHistogram()},
	};

	readonly #agent = new Agent({connections: 64, pipelining: 1});
	readonly #attemptsInProgress = new Map<string, InProgress>();
	readonly #tasks = new Set<Promise<void>>();
	readonly #options: {clock: Clock; random: Random; checker: GuaranteeChecker; targets: CallerTarget[]};
	#count = 0;

	constructor(options: {clock: Clock; random: Random; checker: GuaranteeChecker; targets: CallerTarget[]}) {
		this.#options = options;
	}

	/** Sends requests at a constant rate until the signal aborts, then waits for all answers. */
	async run(ratePerSecond: number, signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted) {
			const task = this.#send();
			this.#tasks.add(task);
			void task.finally(() => this.#tasks.delete(task));
			await clock.sleep(1000 / ratePerSecond, signal);
		}

		await Promise.all(this.#tasks);
		await this.#agent.close();
	}

	/** Marks the requests in progress at an entry that is asked to stop: none of them may be interrupted. */
	markShutdown(entry: SoakProcess): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const sent of this.#attemptsInProgress.values()) {
			if (sent.entry === entry && nowMs - sent.sentAtMs >= minAgeMs) {
				sent.isAtShutdown = true;
			}
		}
	}

	async #send(): Promise<void> {
		const {clock, random} = this.#options;
		const requestClass = random.next() < longShare ? RequestClass.Long : RequestClass.Check;
		const service = services[random.below(services.length)]!;
		const requestId = requestClass === RequestClass.Long ? createRequestId(clock, random) : undefined;
		const startMs = clock.monotonicMs();
		const path = `/${service}/${requestClass}/${this.#count++}`;
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			const isDone = await this.#sendAttempt(path, requestClass, requestId);
			if (isDone) {
				this.tally.latencies[requestClass].recordValue(Math.max(1, Math.round(clock.monotonicMs() - startMs)));
				return;
			}

			await clock.sleep(retryPauseMs);
		}
	}

	/** Sends one attempt; true if it was answered with status 200. */
	async #sendAttempt(path: string, requestClass: RequestClass, requestId: string | undefined): Promise<boolean> {
		const {clock, random, checker, targets} = this.#options;
		const readyTargets = targets.filter(({entry, isReady}) => entry.child !== undefined && isReady());
		const target = readyTargets[random.below(readyTargets.length)];
		if (!target) {
			return false;
		}

		const attemptId = `${path}#${random.id()}`;
		const sent: InProgress = {entry: target.entry, sentAtMs: clock.monotonicMs(), isAtShutdown: false};
		this.#attemptsInProgress.set(attemptId, sent);
		checker.recordAttemptSent(attemptId, requestId);
		let isInterrupted = false;
		try {
			const answer = await request(`http://${target.address}${path}`, {
				method: requestId === undefined ? 'GET' : 'POST',
				headers: {
					[attemptIdHeader]: attemptId, [Header.RequestClass]: requestClass, ...(requestId !== undefined && {[Header.RequestId]: requestId}),
				},
				body: requestId === undefined ? undefined : path,
				dispatcher: this.#agent,
				headersTimeout: callTimeoutMs,
				bodyTimeout: callTimeoutMs,
			});
			const text = await answer.body.text();
			if (answer.statusCode === 200) {
				this.tally.answered++;
				checker.recordAnswer(attemptId, isOwnAnswer(text, path, requestId));
				return true;
			}

			const outcome = answer.headers[Header.Outcome];
			const reason = String(answer.headers[Header.RefusalReason] ?? answer.statusCode);
			isInterrupted = outcome !== Outcome.NotRun;
			this.tally.refused.set(reason, (this.tally.refused.get(reason) ?? 0) + 1);
			if (outcome === Outcome.NotRun) {
				checker.recordNotRun(attemptId);
			}

			return false;
		} catch {
			isInterrupted = true;
			this.tally.connectionErrors++;
			return false;
		} finally {
			this.#attemptsInProgress.delete(attemptId);
			if (sent.isAtShutdown) {
				checker.recordEndAtShutdown(attemptId, isInterrupted);
			}
		}
	}
}

const isOwnAnswer = (text: string, path: string, requestId: string | undefined): boolean => {
	try {
		const answer = JSON.parse(text) as {path: string; receivedBytes: number};
		return answer.path === path && (requestId === undefined || answer.receivedBytes === path.length);
	} catch {
		return false;
	}
};
