/**
Keeps the fold of one partition up to date, and proves on demand that it is.
*/
import {
	ErrorCode, getErrorCode, getMessage, getOldestOffset,
} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type PartitionRef, type StoreClient, type StorePage} from '../types/store.ts';
import {WorkflowFold} from './fold.ts';
import {decodeRecord} from './records.ts';

/** Options of a follower. */
export type FollowerOptions = {
	store: StoreClient;
	ref: PartitionRef;
	clock: Clock;
	onStoreState: (isReached: boolean, detail: string) => void;
	onInvalid: (offset: number, detail: string) => void;
};

/** A read without news ends after this: a view is at most two such reads old while the store answers. */
const readWaitMs = 700;
const retryMs = 150;
/** Records gather for so long between two reads of an owner: jobs wait for it. Waiting for a first record costs nothing. */
const ownerGatherMs = 8;
/** The same where callers only ask: all entries read the stream, and each read is a call to the store that is paid for. */
const readerGatherMs = 40;
/**
A read that gets no answer is tried again with half as much: on a slow link a megabyte takes longer than a reader waits, and
asking for it again and again would never end.
*/
const firstReadBytes = 32_768;
/** A read that took longer is not followed by a larger one, which might take longer than a reader waits. */
const growWithinMs = 150;
const minReadBytes = 16_384;
const maxReadBytes = 1_048_576;

/** The follower. */
export class WorkflowFollower {
	readonly fold = new WorkflowFold();
	/** Start of the last read that showed the end of the partition, on the monotonic clock. */
	provenAtMs = Number.NEGATIVE_INFINITY;
	readonly #options: FollowerOptions;
	#catchUp: Promise<void> | undefined;
	#readBytes = firstReadBytes;
	#mayReadMore = true;

	constructor(options: FollowerOptions) {
		this.#options = options;
	}

	/** Whether the end was seen once. */
	get isCaughtUp(): boolean {
		return this.provenAtMs > Number.NEGATIVE_INFINITY;
	}

	/** Follows until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, onStoreState} = this.#options;
		while (!signal.aborted) {
			try {
				const hasMore = await this.#read(this.isCaughtUp ? readWaitMs : 0, signal);
				onStoreState(true, '');
				if (!hasMore) {
					await clock.sleep(this.fold.listener ? ownerGatherMs : readerGatherMs, signal);
				}
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				onStoreState(false, getMessage(error));
				await clock.sleep(retryMs, signal);
			}
		}
	}

	/** Reads to the end as of now; false when the store does not answer in time. */
	async catchUp(timeoutMs: number): Promise<boolean> {
		const {clock} = this.#options;
		const askedAtMs = clock.monotonicMs();
		const endAtMs = askedAtMs + timeoutMs;
		while (this.provenAtMs < askedAtMs) {
			// Many callers may ask at the same time: they share reads that begin after they asked.
			this.#catchUp ??= this.#readOnce(endAtMs - clock.monotonicMs());
			await this.#catchUp;
			if (this.provenAtMs < askedAtMs && clock.monotonicMs() >= endAtMs) {
				return false;
			}
		}

		return true;
	}

	async #readOnce(timeoutMs: number): Promise<void> {
		const {clock} = this.#options;
		const aborter = new AbortController();
		const timer = clock.setTimer(() => {
			aborter.abort();
		}, timeoutMs);
		try {
			await this.#read(0, aborter.signal);
		} catch {
			// Told by the follower's own reads; here the time-out decides.
			await clock.sleep(retryMs, aborter.signal);
		} finally {
			timer.cancel();
			this.#catchUp = undefined;
		}
	}

	/** Reads once; resolves to whether it got on and there is more to read. */
	async #read(waitMs: number, signal: AbortSignal): Promise<boolean> {
		const {store, ref, clock} = this.#options;
		const sentAtMs = clock.monotonicMs();
		let page;
		try {
			page = await store.read(ref, this.fold.offset, {waitMs, maxBytes: this.#readBytes, signal});
		} catch (error) {
			if (getErrorCode(error) === ErrorCode.StoreUnanswered && !signal.aborted) {
				this.#readBytes = Math.max(minReadBytes, this.#readBytes / 2);
				this.#mayReadMore = false;
			}

			const oldestOffset = getOldestOffset(error);
			if (oldestOffset !== undefined) {
				this.fold.offset = oldestOffset;
				return false;
			}

			throw error;
		}

		const fromOffset = this.fold.offset;
		this.#apply(page);
		if (this.fold.offset >= page.endOffset) {
			this.provenAtMs = Math.max(this.provenAtMs, sentAtMs);
			this.#mayReadMore = true;
			return false;
		}

		if (this.#mayReadMore && clock.monotonicMs() - sentAtMs <= growWithinMs) {
			this.#readBytes = Math.min(maxReadBytes, this.#readBytes * 2);
		}

		return this.fold.offset > fromOffset;
	}

	/** Two reads may be on their way at once: records that are folded already are passed over. */
	#apply({records, oldestOffset}: StorePage): void {
		if (this.fold.offset < oldestOffset) {
			this.fold.offset = oldestOffset;
		}

		for (const {offset, value} of records) {
			if (offset === this.fold.offset) {
				this.#applyOne(offset, value);
			}
		}
	}

	#applyOne(offset: number, value: Buffer): void {
		try {
			this.fold.apply(decodeRecord(value), offset);
		} catch (error) {
			this.fold.offset = offset + 1;
			this.#options.onInvalid(offset, getMessage(error));
		}
	}
}
