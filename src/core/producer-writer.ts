/**
Appends records to one partition as one idempotent producer: sends waiting records in batches, and repeats a call that was not
answered under the same sequence number, so that the outcome of each record is known.
*/
import {type Buffer} from 'node:buffer';
import {type Clock, type Timer} from '../types/clock.ts';
import {
	AppendOutcome, type AppendResult, type PartitionRef, type StoreClient,
} from '../types/store.ts';
import {ErrorCode, getMessage, isError} from './errors.ts';

/** Outcome of writing a record. */
export enum WriteOutcome {
	Stored = 'stored',
	/** The record is not stored and will not be. */
	NotStored = 'not-stored',
	/** The record may be stored already, or may be stored later. */
	Unknown = 'unknown',
	/** Not stored: a writer with a higher epoch has replaced this one, whose appends the store refuses from then on. */
	Fenced = 'fenced',
}

/** Handles events of a writer that the caller may log or count. */
export type WriterEventHandler = (event: 'refused' | 'unanswered' | 'sequence', detail: string) => void;

/** Dependencies and options of a writer. */
export type ProducerWriterOptions = {
	store: StoreClient;
	ref: PartitionRef;
	clock: Clock;
	producer: string;
	epoch: number;
	/** How long the first record of a batch waits for others; fewer calls to the store. */
	lingerMs: number;
	/** A record that was never sent, or was only refused, ends as not stored after this; undefined: never. */
	expireAfterMs?: number;
	maxBatchBytes: number;
	onEvent: WriterEventHandler;
};

type Pending = {
	value: Buffer;
	enqueuedAtMs: number;
	resolve: (outcome: WriteOutcome) => void;
};

// A call that is not answered is repeated after this. Longer than a slow store takes to answer.
const attemptTimeoutMs = 900;
const backoffMs = 60;

/** The only writer of a producer in a partition. */
export class ProducerWriter {
	readonly #options: ProducerWriterOptions;
	readonly #queue: Pending[] = [];
	#sequence = 0;
	#isRunning = false;
	#isFenced = false;

	constructor(options: ProducerWriterOptions) {
		this.#options = options;
	}

	/** Appends a record; resolves to its outcome, or to `Unknown` if the outcome is not known after `timeoutMs`. */
	async write(value: Buffer, timeoutMs?: number): Promise<WriteOutcome> {
		const {clock, expireAfterMs} = this.#options;
		if (this.#isFenced) {
			return WriteOutcome.Fenced;
		}

		return new Promise(resolve => {
			const timers: Timer[] = [];
			const pending: Pending = {
				value, enqueuedAtMs: clock.monotonicMs(), resolve(outcome) {
					for (const timer of timers) {
						timer.cancel();
					}

					resolve(outcome);
				},
			};
			if (expireAfterMs !== undefined) {
				timers.push(clock.setTimer(() => {
					// Still queued behind a batch that was not answered: never sent, and removed from the queue.
					this.#withdraw(pending);
				}, expireAfterMs));
			}

			if (timeoutMs !== undefined) {
				timers.push(clock.setTimer(() => {
					// Only a record that is still queued can be withdrawn; a batch in flight may yet be stored.
					if (!this.#withdraw(pending)) {
						pending.resolve(WriteOutcome.Unknown);
					}
				}, timeoutMs));
			}

			this.#queue.push(pending);
			void this.#run();
		});
	}

	#withdraw(pending: Pending): boolean {
		const index = this.#queue.indexOf(pending);
		if (index === -1) {
			return false;
		}

		this.#queue.splice(index, 1);
		pending.resolve(WriteOutcome.NotStored);
		return true;
	}

	async #run(): Promise<void> {
		if (this.#isRunning) {
			return;
		}

		this.#isRunning = true;
		try {
			while (this.#queue.length > 0) {
				if (this.#options.lingerMs > 0) {
					await this.#options.clock.sleep(this.#options.lingerMs);
				}

				const batch = this.#takeBatch();
				if (batch.length > 0) {
					await this.#store(batch);
				}
			}
		} finally {
			this.#isRunning = false;
		}
	}

	#takeBatch(): Pending[] {
		let bytes = 0;
		let count = 0;
		while (count < this.#queue.length && (count === 0 || bytes + this.#queue[count]!.value.length <= this.#options.maxBatchBytes)) {
			bytes += this.#queue[count]!.value.length;
			count++;
		}

		return this.#queue.splice(0, count);
	}

	async #store(batch: Pending[]): Promise<void> {
		const values = batch.map(pending => pending.value);
		let hasUnanswered = false;
		for (;;) {
			const result = await this.#attempt(values);
			if (result === undefined) {
				hasUnanswered = true;
				await this.#options.clock.sleep(backoffMs);
				continue;
			}

			if (result.outcome === AppendOutcome.Appended) {
				this.#sequence++;
				resolveAll(batch, WriteOutcome.Stored);
				return;
			}

			if (result.outcome === AppendOutcome.Fenced) {
				this.#isFenced = true;
				// An earlier attempt that was not answered may have been stored before the newer writer took over.
				resolveAll(batch, hasUnanswered ? WriteOutcome.Unknown : WriteOutcome.Fenced);
				resolveAll(this.#queue.splice(0), WriteOutcome.Fenced);
				return;
			}

			if (result.outcome === AppendOutcome.WrongSequence) {
				if (this.#adoptSequence(result.expected, hasUnanswered)) {
					resolveAll(batch, WriteOutcome.Stored);
					return;
				}
			} else if (!hasUnanswered) {
				// Refused, and no earlier attempt is unanswered: nothing is stored, so the records may expire or be batched anew.
				this.#requeue(batch);
				await this.#options.clock.sleep(backoffMs);
				return;
			}

			await this.#options.clock.sleep(backoffMs);
		}
	}

	/** Adopts the sequence number that the store expects; returns whether it shows that an unanswered attempt was stored. */
	#adoptSequence(expected: number, hasUnanswered: boolean): boolean {
		this.#options.onEvent('sequence', `sent ${this.#sequence}, expected ${expected}`);
		const isStored = hasUnanswered && expected > this.#sequence;
		if (Number.isFinite(expected)) {
			this.#sequence = expected;
		}

		return isStored;
	}

	/** Puts a refused batch back at the front of the queue, except for expired records. */
	#requeue(batch: Pending[]): void {
		const {clock, expireAfterMs} = this.#options;
		const nowMs = clock.monotonicMs();
		const isExpired = (pending: Pending) => expireAfterMs !== undefined && nowMs - pending.enqueuedAtMs >= expireAfterMs;
		resolveAll(batch.filter(pending => isExpired(pending)), WriteOutcome.NotStored);
		this.#queue.unshift(...batch.filter(pending => !isExpired(pending)));
	}

	async #attempt(values: Buffer[]): Promise<AppendResult | undefined> {
		const {store, ref, producer, epoch, onEvent} = this.#options;
		try {
			const result = await store.append(ref, values, {stamp: {producer, epoch, sequence: this.#sequence}, timeoutMs: attemptTimeoutMs});
			if (result.outcome === AppendOutcome.Refused) {
				onEvent('refused', result.reason);
			}

			return result;
		} catch (error) {
			if (isError(error, ErrorCode.StoreRefused)) {
				onEvent('refused', getMessage(error));
				return {outcome: AppendOutcome.Refused, reason: getMessage(error)};
			}

			onEvent('unanswered', getMessage(error));
			return undefined;
		}
	}
}

const resolveAll = (batch: Pending[], outcome: WriteOutcome): void => {
	for (const pending of batch) {
		pending.resolve(outcome);
	}
};
