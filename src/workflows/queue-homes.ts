/**
Home of each queue: the service whose partition decides which jobs of the queue exist. It is set once, when the queue is first declared, and
stays when operators send the queue to another service. Entries that differ in their configuration then still append to one stream, whose
order makes all submissions of an id one job.
*/
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {
	ErrorCode, getMessage, getOldestOffset, isError,
} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type QueueConfig} from '../types/site.ts';
import {AppendOutcome, type PartitionRef, type StoreClient} from '../types/store.ts';
import {parseFields} from '../utils/fields.ts';
import {OnceReporter} from '../utils/once-reporter.ts';

/** Options of the homes. */
export type QueueHomesOptions = {
	store: StoreClient;
	clock: Clock;
	/** Called once for each service that is the home of a queue. */
	onHome: (service: string) => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Outcome of one attempt to claim a home. */
enum ClaimOutcome {
	Stored = 'stored',
	/** Another entry has claimed a home since this one has read them. */
	NotAtEnd = 'not-at-end',
	Refused = 'refused',
	Unanswered = 'unanswered',
}

/** What identifies a queue to its callers. */
type QueueAddress = Pick<QueueConfig, 'host' | 'pathPrefix'>;

/** Keyed topic of the homes. */
export const homesTopic = 'keyed.queues';

const ref: PartitionRef = {topic: homesTopic, partition: 0};
/** Records are rare, and a call that needs a missing home reads it anew. */
const readWaitMs = 5000;
const retryMs = 100;
/** A claim that the store has refused for this long is given up, so that the caller tries another entry. */
const claimExpiryMs = 400;
const appendTimeoutMs = 900;
const prepareTimeoutMs = 1000;
/** More entries than this rarely claim at once. */
const maxPrepareTries = 4;
/** Of a configuration with more new queues few are likely to get jobs, and homes are never dropped. */
const maxPrepared = 50;
/** Longest key that the store takes. */
const maxKeyBytes = 255;

const getKey = ({host, pathPrefix}: QueueAddress): string => {
	const key = `${host}${pathPrefix}`;
	return Buffer.byteLength(key) <= maxKeyBytes ? key : createHash('sha256').update(key).digest('hex');
};

/** Homes of the queues as one entry knows them. */
export class QueueHomes {
	readonly #options: QueueHomesOptions;
	/** Service by the key of the queue. */
	readonly #services = new Map<string, string>();
	/** Claims of this entry that are under way, by key. */
	readonly #claims = new Map<string, Promise<string | undefined>>();
	/** All homes that were claimed before this offset are known; undefined: nothing was read yet. */
	#knownToOffset: number | undefined;
	readonly #invalid: OnceReporter;
	#isReached: boolean | undefined;

	constructor(options: QueueHomesOptions) {
		this.#options = options;
		this.#invalid = new OnceReporter((key, error) => {
			options.note('queue home not valid', {key, error});
		});
	}

	/** Gets the service that is the queue's home; undefined: none is known to this entry. */
	get(queue: QueueAddress): string | undefined {
		return this.#services.get(getKey(queue));
	}

	/** Follows the homes that other entries claim, until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted) {
			try {
				await this.#follow(signal);
				this.#noteReached(true, '');
			} catch (error) {
				if (getOldestOffset(error) !== undefined) {
					this.#knownToOffset = undefined;
				} else if (!signal.aborted) {
					this.#noteReached(false, getMessage(error));
					await clock.sleep(retryMs, signal);
				}
			}
		}
	}

	/** Reads all homes; resolves to whether the store has answered within `timeoutMs`. */
	async refresh(timeoutMs: number): Promise<boolean> {
		if (timeoutMs <= 0) {
			return false;
		}

		try {
			await this.#readAllWithin(timeoutMs);
			return true;
		} catch {
			// The callers of this method report an outcome that is not known.
			return false;
		}
	}

	/** Claims homes for declared queues that have none, so that their first jobs need not wait for it. A claim that fails is made again with the first job. */
	async prepare(queues: QueueConfig[]): Promise<void> {
		const missing = new Map(queues.filter(queue => this.get(queue) === undefined).map(queue => [getKey(queue), queue.service]));
		for (let tries = 0; tries < maxPrepareTries && missing.size > 0 && missing.size <= maxPrepared; tries++) {
			const outcome = await this.#tryClaim(missing, prepareTimeoutMs);
			for (const key of this.#services.keys()) {
				missing.delete(key);
			}

			this.#options.note('queue homes claimed', {outcome, missing: missing.size});
			if (outcome !== ClaimOutcome.NotAtEnd) {
				return;
			}
		}
	}

	/** Makes the queue's present service its home unless it has one; resolves to its home, or to undefined if the store does not take the claim in time. */
	async claim(queue: QueueConfig, timeoutMs: number): Promise<string | undefined> {
		const known = this.get(queue);
		if (known !== undefined) {
			return known;
		}

		const key = getKey(queue);
		let claim = this.#claims.get(key);
		if (!claim) {
			claim = this.#claim(key, queue, timeoutMs);
			this.#claims.set(key, claim);
		}

		try {
			return await claim;
		} finally {
			this.#claims.delete(key);
		}
	}

	async #claim(key: string, {name, service}: QueueConfig, timeoutMs: number): Promise<string | undefined> {
		const {clock, note} = this.#options;
		const startedAtMs = clock.monotonicMs();
		for (let tookMs = 0; tookMs < timeoutMs; tookMs = clock.monotonicMs() - startedAtMs) {
			const outcome = await this.#tryClaim(new Map([[key, service]]), timeoutMs - tookMs);
			const home = this.#services.get(key);
			if (home !== undefined) {
				note('queue home', {queue: name, service, home});
				return home;
			}

			note('queue home not claimed', {queue: name, service, reason: outcome});
			if (outcome === ClaimOutcome.Refused && clock.monotonicMs() - startedAtMs >= claimExpiryMs) {
				return undefined;
			}

			if (outcome !== ClaimOutcome.NotAtEnd) {
				await clock.sleep(retryMs);
			}
		}

		return undefined;
	}

	/** Appends at the end of what was read: of two entries that claim at once, the store takes the record of one. */
	async #tryClaim(services: Map<string, string>, timeoutMs: number): Promise<ClaimOutcome> {
		const {store} = this.#options;
		try {
			if (this.#knownToOffset === undefined) {
				await this.#readAllWithin(timeoutMs);
			}

			const missing = [...services].filter(([key]) => !this.#services.has(key));
			if (missing.length === 0) {
				return ClaimOutcome.NotAtEnd;
			}

			const {outcome} = await store.appendKeyed(ref, missing.map(([key, service]) => ({key, value: Buffer.from(JSON.stringify({service}))})), {atOffset: this.#knownToOffset!, timeoutMs: Math.min(appendTimeoutMs, timeoutMs)});
			if (outcome === AppendOutcome.Appended) {
				for (const [key, service] of missing) {
					this.#add(key, service);
				}

				return ClaimOutcome.Stored;
			}

			if (outcome === AppendOutcome.NotAtEnd) {
				await this.#readAllWithin(timeoutMs);
				return ClaimOutcome.NotAtEnd;
			}

			return ClaimOutcome.Refused;
		} catch (error) {
			// Without an answer the record may be stored: the next attempt then finds that the partition does not end where it expects.
			return isError(error, ErrorCode.StoreRefused) ? ClaimOutcome.Refused : ClaimOutcome.Unanswered;
		}
	}

	async #follow(signal: AbortSignal): Promise<void> {
		if (this.#knownToOffset === undefined) {
			await this.#readAll(signal);
			return;
		}

		const {records} = await this.#options.store.readKeyed(ref, this.#knownToOffset, readWaitMs, signal);
		for (const {key, value, offset} of records) {
			this.#decode(key, value);
			this.#knownToOffset = Math.max(this.#knownToOffset, offset + 1);
		}
	}

	async #readAllWithin(timeoutMs: number): Promise<void> {
		const aborter = new AbortController();
		const timer = this.#options.clock.setTimer(() => {
			aborter.abort();
		}, timeoutMs);
		try {
			await this.#readAll(aborter.signal);
		} finally {
			timer.cancel();
		}
	}

	async #readAll(signal: AbortSignal): Promise<void> {
		const {records, endOffset} = await this.#options.store.readNewest(ref, signal);
		for (const {key, value} of records) {
			this.#decode(key, value);
		}

		this.#knownToOffset = Math.max(this.#knownToOffset ?? 0, endOffset);
	}

	#decode(key: string, value: Buffer | undefined): void {
		if (value === undefined || this.#services.has(key)) {
			return;
		}

		try {
			this.#add(key, parseFields(value, 'read home of queue').string('service'));
		} catch (error) {
			this.#invalid.reportOnce(key, getMessage(error));
		}
	}

	#add(key: string, service: string): void {
		if (!this.#services.has(key)) {
			this.#services.set(key, service);
			this.#options.onHome(service);
		}
	}

	#noteReached(isReached: boolean, detail: string): void {
		if (isReached !== this.#isReached) {
			this.#isReached = isReached;
			this.#options.note(isReached ? 'queue homes reached' : 'queue homes not reached', {detail});
		}
	}
}
