/**
Callers of a soak run: send requests through a stand-in for the balancer and judge the answers.
*/
import {build as createHistogram, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {tryHeader} from '../standin/host-events.ts';
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';
import {Header, Outcome, RequestClass} from '../types/requests.ts';
import {createRequestId} from '../utils/request-id.ts';
import {type PromiseChecker} from './promise-checker.ts';
import {type SoakProcess} from './soak-processes.ts';

/** An entry as callers see it. */
export type CallerTarget = {
	entry: SoakProcess;
	address: string;
	isReady(): boolean;
};

/** What callers count. */
export type CallerTally = {
	answered: number;
	/** Answers of the program itself, by reason. */
	refused: Map<string, number>;
	/** Connections that broke. */
	broken: number;
	latencies: Record<RequestClass, Histogram>;
};

type InProgress = {
	entry: SoakProcess;
	sentAtMs: number;
	isAtShutdown: boolean;
};

const services = ['lading-desk', 'tariff-relief'];
const longShare = 0.2;
const maxTries = 3;
const retryPauseMs = 300;
const callTimeoutMs = 40_000;
/** A request younger than this may not have reached the entry when it was told to stop. */
const settledMs = 100;

/** Sends requests until stopped. */
export class SoakCallers {
	readonly tally: CallerTally = {
		answered: 0, refused: new Map(), broken: 0, latencies: {[RequestClass.Check]: createHistogram(), [RequestClass.Long]: createHistogram()},
	};

	readonly #agent = new Agent({connections: 64, pipelining: 1});
	readonly #inProgress = new Map<string, InProgress>();
	readonly #tasks = new Set<Promise<void>>();
	readonly #options: {clock: Clock; random: Random; checker: PromiseChecker; targets: CallerTarget[]};
	#count = 0;

	constructor(options: {clock: Clock; random: Random; checker: PromiseChecker; targets: CallerTarget[]}) {
		this.#options = options;
	}

	/** Sends at the rate, evenly spread, until the signal aborts; then waits for all answers. */
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

	/** Marks what is in progress at an entry that is told to stop: none of it may be cut off. */
	noteShutdown(entry: SoakProcess): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const sent of this.#inProgress.values()) {
			if (sent.entry === entry && nowMs - sent.sentAtMs >= settledMs) {
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
		for (let tries = 0; tries < maxTries; tries++) {
			const isDone = await this.#try(path, requestClass, requestId);
			if (isDone) {
				this.tally.latencies[requestClass].recordValue(Math.max(1, Math.round(clock.monotonicMs() - startMs)));
				return;
			}

			await clock.sleep(retryPauseMs);
		}
	}

	/** True when the caller got its answer. */
	async #try(path: string, requestClass: RequestClass, requestId: string | undefined): Promise<boolean> {
		const {clock, random, checker, targets} = this.#options;
		const open = targets.filter(({entry, isReady}) => entry.child !== undefined && isReady());
		const target = open[random.below(open.length)];
		if (!target) {
			return false;
		}

		const tryId = `${path}#${random.id()}`;
		const sent: InProgress = {entry: target.entry, sentAtMs: clock.monotonicMs(), isAtShutdown: false};
		this.#inProgress.set(tryId, sent);
		checker.noteTry(tryId, requestId);
		let isCut = false;
		try {
			const answer = await request(`http://${target.address}${path}`, {
				method: requestId === undefined ? 'GET' : 'POST',
				headers: {
					[tryHeader]: tryId, [Header.RequestClass]: requestClass, ...(requestId !== undefined && {[Header.RequestId]: requestId}),
				},
				body: requestId === undefined ? undefined : path,
				dispatcher: this.#agent,
				headersTimeout: callTimeoutMs,
				bodyTimeout: callTimeoutMs,
			});
			const text = await answer.body.text();
			if (answer.statusCode === 200) {
				this.tally.answered++;
				checker.noteAnswer(tryId, isOwnAnswer(text, path, requestId));
				return true;
			}

			const outcome = answer.headers[Header.Outcome];
			const reason = String(answer.headers[Header.RefusalReason] ?? answer.statusCode);
			isCut = outcome !== Outcome.NotRun;
			this.tally.refused.set(reason, (this.tally.refused.get(reason) ?? 0) + 1);
			if (outcome === Outcome.NotRun) {
				checker.noteNotRun(tryId);
			}

			return false;
		} catch {
			isCut = true;
			this.tally.broken++;
			return false;
		} finally {
			this.#inProgress.delete(tryId);
			if (sent.isAtShutdown) {
				checker.noteEndAtShutdown(tryId, isCut);
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
