/**
Appends to one partition as one producer: gathers what waits into one call, repeats a call without an answer under the
same sequence number, and so knows of each record whether it is stored.
*/
import {type Buffer} from 'node:buffer';
import {type Clock, type Timer} from '../types/clock.ts';
import {
	AppendOutcome, type AppendResult, type PartitionRef, type StoreClient,
} from '../types/store.ts';
import {ErrorCode, getMessage, isError} from './errors.ts';

/** What became of a record. */
export enum WriteOutcome {
	Stored = 'stored',
	/** It is not stored and never will be. */
	NotStored = 'not-stored',
	/** It may be stored, or still come to be. */
	Unknown = 'unknown',
	/** A writer with a higher epoch has taken over; it is not stored by this writer from now on. */
	Fenced = 'fenced',
}

/** Events worth a line of log or a count. */
export type WriterNote = (event: 'refused' | 'unanswered' | 'sequence', detail: string) => void;

/** Options of a writer. */
export type ProducerWriterOptions = {
	store: StoreClient;
	ref: PartitionRef;
	clock: Clock;
	producer: string;
	epoch: number;
	/** How long a first record waits for others; saves calls to the store. */
	gatherMs: number;
	/** A record that was only refused, or never sent, is given up after this; undefined: never. */
	giveUpAfterMs?: number;
	maxBatchBytes: number;
	onNote: WriterNote;
};

type Pending = {
	value: Buffer;
	enqueuedAtMs: number;
	resolve: (outcome: WriteOutcome) => void;
};

// A call without an answer is repeated after this: longer than a slow store takes.
const attemptTimeoutMs = 900;
const backoffMs = 60;

/** The one writer of a producer in a partition. */
export class ProducerWriter {
	readonly #options: ProducerWriterOptions;
	readonly #queue: Pending[] = [];
	#sequence = 0;
	#isRunning = false;
	#isFenced = false;

	constructor(options: ProducerWriterOptions) {
		this.#options = options;
	}

	/** Appends a record; resolves once it is known what became of it, or as unknown after the time given. */
	async write(value: Buffer, timeoutMs?: number): Promise<WriteOutcome> {
		const {clock, giveUpAfterMs} = this.#options;
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
			if (giveUpAfterMs !== undefined) {
				timers.push(clock.setTimer(() => {
					// It waits behind a batch without an answer: it never left, and will not.
					this.#takeBack(pending);
				}, giveUpAfterMs));
			}

			if (timeoutMs !== undefined) {
				timers.push(clock.setTimer(() => {
					// Only what never left may be taken back; the rest is being tried and stays open.
					if (!this.#takeBack(pending)) {
						pending.resolve(WriteOutcome.Unknown);
					}
				}, timeoutMs));
			}

			this.#queue.push(pending);
			void this.#run();
		});
	}

	#takeBack(pending: Pending): boolean {
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
				if (this.#options.gatherMs > 0) {
					await this.#options.clock.sleep(this.#options.gatherMs);
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
		let hasUnknown = false;
		for (;;) {
			const result = await this.#attempt(values);
			if (result === undefined) {
				hasUnknown = true;
				await this.#options.clock.sleep(backoffMs);
				continue;
			}

			if (result.outcome === AppendOutcome.Appended) {
				this.#sequence++;
				settle(batch, WriteOutcome.Stored);
				return;
			}

			if (result.outcome === AppendOutcome.Fenced) {
				this.#isFenced = true;
				// An attempt without an answer may have been stored before the newer writer came.
				settle(batch, hasUnknown ? WriteOutcome.Unknown : WriteOutcome.Fenced);
				settle(this.#queue.splice(0), WriteOutcome.Fenced);
				return;
			}

			if (result.outcome === AppendOutcome.WrongSequence) {
				if (this.#takeSequence(result.expected, hasUnknown)) {
					settle(batch, WriteOutcome.Stored);
					return;
				}
			} else if (!hasUnknown) {
				// Refused: nothing was done. With no attempt open, the records may be given back or regrouped.
				this.#giveBack(batch);
				await this.#options.clock.sleep(backoffMs);
				return;
			}

			await this.#options.clock.sleep(backoffMs);
		}
	}

	/** Takes the number that the store expects; true when it shows that the attempt without an answer was stored. */
	#takeSequence(expected: number, hasUnknown: boolean): boolean {
		this.#options.onNote('sequence', `sent ${this.#sequence}, expected ${expected}`);
		const isStored = hasUnknown && expected > this.#sequence;
		if (Number.isFinite(expected)) {
			this.#sequence = expected;
		}

		return isStored;
	}

	/** Puts a refused batch back in front of the queue, but for records that were tried for long enough. */
	#giveBack(batch: Pending[]): void {
		const {clock, giveUpAfterMs} = this.#options;
		const nowMs = clock.monotonicMs();
		const isOver = (pending: Pending) => giveUpAfterMs !== undefined && nowMs - pending.enqueuedAtMs >= giveUpAfterMs;
		settle(batch.filter(pending => isOver(pending)), WriteOutcome.NotStored);
		this.#queue.unshift(...batch.filter(pending => !isOver(pending)));
	}

	async #attempt(values: Buffer[]): Promise<AppendResult | undefined> {
		const {store, ref, producer, epoch, onNote} = this.#options;
		try {
			const result = await store.append(ref, values, {stamp: {producer, epoch, sequence: this.#sequence}, timeoutMs: attemptTimeoutMs});
			if (result.outcome === AppendOutcome.Refused) {
				onNote('refused', result.reason);
			}

			return result;
		} catch (error) {
			if (isError(error, ErrorCode.StoreRefused)) {
				onNote('refused', getMessage(error));
				return {outcome: AppendOutcome.Refused, reason: getMessage(error)};
			}

			onNote('unanswered', getMessage(error));
			return undefined;
		}
	}
}

const settle = (batch: Pending[], outcome: WriteOutcome): void => {
	for (const pending of batch) {
		pending.resolve(outcome);
	}
};
