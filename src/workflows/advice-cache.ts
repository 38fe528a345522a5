/**
Caches placement advice for steps of queues that require it. Advice is requested before a step is ready, and kept while it
is valid.
*/
import {getMessage} from '../core/errors.ts';
import {type AdviceClient} from '../types/advice.ts';
import {type Clock} from '../types/clock.ts';
import {createOnce} from '../utils/create-once.ts';
import {type FleetWorker} from './fleet-view.ts';
import {type LiveStep} from './live-model.ts';

/** Options of the cache. */
export type AdviceCacheOptions = {
	/** Undefined: the site has no advice service. */
	client: AdviceClient | undefined;
	clock: Clock;
	onAdvice: () => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

type Entry = {
	/** Tickets by worker, with the end of their validity. */
	tickets: Map<string, {ticket: string; validUntilMs: number}>;
	/** Workers that were named in a request. Whether a worker is approved for the step does not change, so each is named once. */
	askedWorkerIds: Set<string>;
	isRequesting: boolean;
	retryAtMs: number;
};

/** The advice service processes one call of a host at a time: further calls would only queue there. */
const maxCalls = 4;
/** Limit of the advice service on workers in a call. */
const maxWorkers = 100;
const retryMs = 300;
/** A ticket with less validity than this may expire before the start arrives. */
const validityMarginMs = 400;

/** Advice for the steps of one owner's jobs. */
export class AdviceCache {
	readonly #options: AdviceCacheOptions;
	readonly #entries = new Map<LiveStep, Entry>();
	#calls = 0;

	constructor(options: AdviceCacheOptions) {
		this.#options = options;
	}

	/** Gets a ticket for a task of the step on the worker; undefined: there is none that is valid. */
	getTicket(step: LiveStep, workerId: string): string | undefined {
		const ticket = this.#entries.get(step)?.tickets.get(workerId);
		return ticket && ticket.validUntilMs > this.#options.clock.monotonicMs() + validityMarginMs ? ticket.ticket : undefined;
	}

	/**
	Requests missing tickets, as far as the limit on concurrent calls allows, and removes steps that ended. Advice delays the
	first start of a step, so steps request it as soon as they are known; ready steps go first.
	*/
	update(openSteps: LiveStep[], getWorkers: (service: string) => Iterable<FleetWorker>): void {
		this.#prune();
		const steps = openSteps.filter(step => step.workflow.spec.needsAdvice).toSorted((a, b) => Number(b.isReady) - Number(a.isReady));
		if (steps.length === 0) {
			return;
		}

		const nowMs = this.#options.clock.monotonicMs();
		const getWorkerIds = createOnce((service: string) => [...getWorkers(service)].flatMap(({report}) => report ? [report.workerId] : []));
		for (const step of steps) {
			if (this.#calls >= maxCalls) {
				return;
			}

			const entry = this.#getOrCreate(step);
			const missing = entry.isRequesting || entry.retryAtMs > nowMs ? [] : this.#getMissing(step, entry, getWorkerIds(step.workflow.service));
			if (missing.length > 0) {
				void this.#request(step, entry, missing.slice(0, maxWorkers));
			}
		}
	}

	#prune(): void {
		for (const step of this.#entries.keys()) {
			if (step.workflow.isFinished || step.remaining === 0) {
				this.#entries.delete(step);
			}
		}
	}

	#getOrCreate(step: LiveStep): Entry {
		let entry = this.#entries.get(step);
		if (!entry) {
			entry = {
				tickets: new Map(), askedWorkerIds: new Set(), isRequesting: false, retryAtMs: 0,
			};
			this.#entries.set(step, entry);
		}

		return entry;
	}

	/** Workers that were never named in a request, and approved ones whose ticket has expired. */
	#getMissing(step: LiveStep, entry: Entry, workerIds: string[]): string[] {
		return workerIds.filter(workerId => !entry.askedWorkerIds.has(workerId)
			|| (entry.tickets.has(workerId) && this.getTicket(step, workerId) === undefined));
	}

	async #request(step: LiveStep, entry: Entry, workerIds: string[]): Promise<void> {
		const {client, clock, onAdvice, note} = this.#options;
		if (!client) {
			return;
		}

		const stepId = `${step.workflow.spec.id}.${step.occurrence}.${step.index}`;
		this.#calls++;
		entry.isRequesting = true;
		try {
			const {tickets, validMs} = await client.ask(stepId, workerIds);
			const validUntilMs = clock.monotonicMs() + validMs;
			for (const {workerId, ticket} of tickets) {
				entry.tickets.set(workerId, {ticket, validUntilMs});
			}

			for (const workerId of workerIds) {
				entry.askedWorkerIds.add(workerId);
			}

			note('advice', {stepId, asked: workerIds.length, good: tickets.length});
			onAdvice();
		} catch (error) {
			entry.retryAtMs = clock.monotonicMs() + retryMs;
			note('advice not given', {stepId, error: getMessage(error)});
		} finally {
			this.#calls--;
			entry.isRequesting = false;
		}
	}
}
