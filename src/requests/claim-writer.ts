/**
Appends claim items to the log in batches, with one append in flight and a bounded number of appends per second.
*/
import {type Clock} from '../types/clock.ts';
import {Stream, type PlatformLog} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {type ClaimItem, type ClaimRecord} from './claim-records.ts';

/** Options of a claim writer. */
export type ClaimWriterOptions = {
	log: PlatformLog;
	clock: Clock;
	random: Random;
	entryId: string;
	/** Returns the current minimum time between the starts of two appends. */
	getAppendIntervalMs(): number;
	/** Tells whether an item whose append failed is to be appended again. */
	shouldRetry(item: ClaimItem): boolean;
	onAppend?(isSuccess: boolean, error?: unknown): void;
};

const maxBatchItems = 500;
const maxBatchBytes = 262_144;
const itemBytes = 200;
const minPauseMs = 20;
const maxPauseMs = 1000;

/** Writes the items of one entry in the order in which they were added. */
export class ClaimWriter {
	readonly #options: ClaimWriterOptions;
	/** Items to be appended; the value is true once a failed append may have written the item. */
	readonly #queued = new Map<ClaimItem, boolean>();
	/** Number of items in the append in flight. */
	#inFlight = 0;
	#wake: (() => void) | undefined;
	#lastAppendMs = Number.NEGATIVE_INFINITY;

	constructor(options: ClaimWriterOptions) {
		this.#options = options;
	}

	/** Number of items whose append is not confirmed. */
	get size(): number {
		return this.#queued.size + this.#inFlight;
	}

	add(item: ClaimItem): void {
		this.#queued.set(item, false);
		this.#wake?.();
	}

	/** Removes an item; returns false if an append may already have written it. */
	remove(item: ClaimItem): boolean {
		const wasTried = this.#queued.get(item);
		this.#queued.delete(item);
		return wasTried === false;
	}

	/** Appends until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random, getAppendIntervalMs, onAppend} = this.#options;
		let pauseMs = minPauseMs;
		while (!signal.aborted) {
			await this.#waitForItem(signal);
			await clock.sleep(this.#lastAppendMs + getAppendIntervalMs() - clock.monotonicMs(), signal);
			// The items may have been removed during the pause.
			if (signal.aborted || this.#queued.size === 0) {
				continue;
			}

			try {
				await this.#appendBatch(signal);
				pauseMs = minPauseMs;
				onAppend?.(true);
			} catch (error) {
				onAppend?.(false, error);
				await clock.sleep(pauseMs * (0.5 + random.next()), signal);
				pauseMs = Math.min(maxPauseMs, pauseMs * 2);
			}
		}
	}

	/** Appends all queued items, including those of a failed last append; for the shutdown, after `run` has ended. */
	async flush(signal?: AbortSignal): Promise<void> {
		while (this.#queued.size > 0) {
			await this.#appendBatch(signal);
		}
	}

	async #appendBatch(signal?: AbortSignal): Promise<void> {
		const {log, clock, random, entryId, shouldRetry} = this.#options;
		const batch = this.#dequeueBatch();
		this.#lastAppendMs = clock.monotonicMs();
		const record: ClaimRecord = {
			id: random.id(), entryId, writtenAtMs: clock.now().getTime(), items: batch,
		};
		this.#inFlight = batch.length;
		try {
			await log.append(Stream.Claims, record, signal);
		} catch (error) {
			// The append may have taken effect. Items are idempotent by their claim ids, so those still needed are appended again.
			const retried = batch.filter(item => shouldRetry(item)).map(item => [item, true] as const);
			const later = [...this.#queued];
			this.#queued.clear();
			for (const [item, wasTried] of [...retried, ...later]) {
				this.#queued.set(item, wasTried);
			}

			throw error;
		} finally {
			this.#inFlight = 0;
		}
	}

	#dequeueBatch(): ClaimItem[] {
		const batch: ClaimItem[] = [];
		let bytes = 0;
		for (const item of this.#queued.keys()) {
			bytes += itemBytes + ('body' in item ? item.body?.length ?? 0 : 0);
			if (batch.length > 0 && (batch.length >= maxBatchItems || bytes > maxBatchBytes)) {
				break;
			}

			batch.push(item);
			this.#queued.delete(item);
		}

		return batch;
	}

	async #waitForItem(signal: AbortSignal): Promise<void> {
		if (this.#queued.size > 0 || signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				this.#wake = undefined;
				signal.removeEventListener('abort', finish);
				resolve();
			};

			this.#wake = finish;
			signal.addEventListener('abort', finish, {once: true});
		});
	}
}
