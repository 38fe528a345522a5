/**
Advice for steps of queues that need it: asked for before a step's turn comes, kept while it is valid.
*/
import {getMessage} from '../core/errors.ts';
import {type AdviceClient} from '../types/advice.ts';
import {type Clock} from '../types/clock.ts';
import {type FleetWorker} from './fleet-view.ts';
import {type LiveStep} from './live-model.ts';

/** Options of the cache. */
export type AdviceCacheOptions = {
	/** Undefined: the site has no such service. */
	client: AdviceClient | undefined;
	clock: Clock;
	onAdvice: () => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

type Entry = {
	/** Tickets by worker, with the end of their validity. */
	tickets: Map<string, {ticket: string; validUntilMs: number}>;
	/** Workers that were named once: which of them are good does not change. */
	asked: Set<string>;
	isAsking: boolean;
	retryAtMs: number;
};

/** The service takes one call of a host at a time: more would only wait there. */
const maxCalls = 4;
/** It takes at most so many workers in a call. */
const maxWorkers = 100;
const retryMs = 300;
/** A ticket this close to its end may be too old as the start arrives. */
const marginMs = 400;

/** The cache. */
export class AdviceCache {
	readonly #options: AdviceCacheOptions;
	readonly #entries = new Map<LiveStep, Entry>();
	#calls = 0;

	constructor(options: AdviceCacheOptions) {
		this.#options = options;
	}

	/** Ticket for a task of the step on the worker; undefined when there is none that is valid. */
	getTicket(step: LiveStep, workerId: string): string | undefined {
		const ticket = this.#entries.get(step)?.tickets.get(workerId);
		return ticket && ticket.validUntilMs > this.#options.clock.monotonicMs() + marginMs ? ticket.ticket : undefined;
	}

	/**
	Asks for what steps lack, as far as calls are free. Advice is on the way of a step to its first start: steps ask as soon as
	they are known, those whose turn is now first. Forgets steps of jobs that are over.
	*/
	update(openSteps: LiveStep[], workers: Iterable<FleetWorker>): void {
		this.#prune();
		const steps = openSteps.filter(step => step.workflow.spec.needsAdvice).toSorted((a, b) => Number(b.isReady) - Number(a.isReady));
		if (steps.length === 0) {
			return;
		}

		const workerIds = [...workers].flatMap(({report}) => report ? [report.workerId] : []);
		const nowMs = this.#options.clock.monotonicMs();
		for (const step of steps) {
			if (this.#calls >= maxCalls) {
				return;
			}

			const entry = this.#open(step);
			const lacking = entry.isAsking || entry.retryAtMs > nowMs ? [] : this.#getLacking(step, entry, workerIds);
			if (lacking.length > 0) {
				void this.#ask(step, entry, lacking.slice(0, maxWorkers));
			}
		}
	}

	#prune(): void {
		for (const step of this.#entries.keys()) {
			if (step.workflow.isOver || step.remaining === 0) {
				this.#entries.delete(step);
			}
		}
	}

	#open(step: LiveStep): Entry {
		let entry = this.#entries.get(step);
		if (!entry) {
			entry = {
				tickets: new Map(), asked: new Set(), isAsking: false, retryAtMs: 0,
			};
			this.#entries.set(step, entry);
		}

		return entry;
	}

	/** Workers that were never named, and good ones whose ticket has run out. */
	#getLacking(step: LiveStep, entry: Entry, workerIds: string[]): string[] {
		return workerIds.filter(workerId => !entry.asked.has(workerId)
			|| (entry.tickets.has(workerId) && this.getTicket(step, workerId) === undefined));
	}

	async #ask(step: LiveStep, entry: Entry, workerIds: string[]): Promise<void> {
		const {client, clock, onAdvice, note} = this.#options;
		if (!client) {
			return;
		}

		const stepId = `${step.workflow.spec.id}.${step.occurrence}.${step.index}`;
		this.#calls++;
		entry.isAsking = true;
		try {
			const {tickets, validMs} = await client.ask(stepId, workerIds);
			const validUntilMs = clock.monotonicMs() + validMs;
			for (const {workerId, ticket} of tickets) {
				entry.tickets.set(workerId, {ticket, validUntilMs});
			}

			for (const workerId of workerIds) {
				entry.asked.add(workerId);
			}

			note('advice', {stepId, asked: workerIds.length, good: tickets.length});
			onAdvice();
		} catch (error) {
			entry.retryAtMs = clock.monotonicMs() + retryMs;
			note('advice not given', {stepId, error: getMessage(error)});
		} finally {
			this.#calls--;
			entry.isAsking = false;
		}
	}
}
