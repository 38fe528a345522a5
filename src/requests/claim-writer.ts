/**
Appends items of claims in batches: one append in flight, and a bounded number of appends a second.
*/
import {type Clock} from '../types/clock.ts';
import {Stream, type PlatformLog} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {type ClaimItem, type ClaimRecord} from './claim-records.ts';

/** What the writer works with. */
export type ClaimWriterOptions = {
	log: PlatformLog;
	clock: Clock;
	random: Random;
	entryId: string;
	/** Least time between the starts of two appends, as it is now. */
	getPaceMs(): number;
	/** Tells whether an item whose append failed is still worth another. */
	isWanted(item: ClaimItem): boolean;
	onAppend?(isSuccess: boolean, error?: unknown): void;
};

const maxBatchItems = 500;
const maxBatchBytes = 262_144;
const itemBytes = 200;
const minPauseMs = 20;
const maxPauseMs = 1000;

/** Writes items of one entry in the order in which they were added. */
export class ClaimWriter {
	readonly #options: ClaimWriterOptions;
	/** Waiting items; false until the first append that may have carried the item. */
	readonly #waiting = new Map<ClaimItem, boolean>();
	#batch: ClaimItem[] = [];
	#wake: (() => void) | undefined;
	#lastAppendMs = Number.NEGATIVE_INFINITY;

	constructor(options: ClaimWriterOptions) {
		this.#options = options;
	}

	/** Items not yet confirmed. */
	get size(): number {
		return this.#waiting.size + this.#batch.length;
	}

	add(item: ClaimItem): void {
		this.#waiting.set(item, false);
		this.#wake?.();
	}

	/** Takes an item back; false when an append may already have carried it. */
	remove(item: ClaimItem): boolean {
		const wasTried = this.#waiting.get(item);
		this.#waiting.delete(item);
		return wasTried === false;
	}

	/** Appends until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random, getPaceMs, onAppend} = this.#options;
		let pauseMs = minPauseMs;
		while (!signal.aborted) {
			await this.#waitForItem(signal);
			await clock.sleep(this.#lastAppendMs + getPaceMs() - clock.monotonicMs(), signal);
			// During the pause the items may have been taken back.
			if (signal.aborted || this.#waiting.size === 0) {
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

	/** Appends what waits, once, without the loop: for the shutdown. */
	async flush(signal?: AbortSignal): Promise<void> {
		while (this.#waiting.size > 0) {
			await this.#appendBatch(signal);
		}
	}

	async #appendBatch(signal?: AbortSignal): Promise<void> {
		const {log, clock, random, entryId, isWanted} = this.#options;
		this.#batch = this.#takeBatch();
		this.#lastAppendMs = clock.monotonicMs();
		const record: ClaimRecord = {
			id: random.id(), entryId, writtenAtMs: clock.now().getTime(), items: this.#batch,
		};
		try {
			await log.append(Stream.Claims, record, signal);
			this.#batch = [];
		} catch (error) {
			// The append may have taken effect. Items are idempotent by their claim ids, so all are appended again.
			const again = this.#batch.filter(item => isWanted(item)).map(item => [item, true] as const);
			const later = [...this.#waiting];
			this.#batch = [];
			this.#waiting.clear();
			for (const [item, wasTried] of [...again, ...later]) {
				this.#waiting.set(item, wasTried);
			}

			throw error;
		}
	}

	#takeBatch(): ClaimItem[] {
		const batch: ClaimItem[] = [];
		let bytes = 0;
		for (const item of this.#waiting.keys()) {
			bytes += itemBytes + ('body' in item ? item.body?.length ?? 0 : 0);
			if (batch.length > 0 && (batch.length >= maxBatchItems || bytes > maxBatchBytes)) {
				break;
			}

			batch.push(item);
			this.#waiting.delete(item);
		}

		return batch;
	}

	async #waitForItem(signal: AbortSignal): Promise<void> {
		if (this.#waiting.size > 0 || signal.aborted) {
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
