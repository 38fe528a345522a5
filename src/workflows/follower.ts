/**
Keeps the fold of one partition up to date, and on demand waits until it has read to the stream's current end.
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
	/** Whether to read less often, because the entry has too little time for its callers; undefined: never. */
	isSlowed?: () => boolean;
};

/** Long polls end after this even without new records: while the store answers, the fold is at most two of them behind. */
const readWaitMs = 700;
const retryMs = 150;
/** Pause between two reads of an owner, which lets records accumulate: short, because jobs wait for it. */
const ownerReadPauseMs = 8;
/** The same for an entry that only answers callers: longer, because all entries read the stream and each read costs a call to the store. */
const readerReadPauseMs = 40;
/** The same for an entry that is late: two of three reads are left out, and states get older by less than callers notice. */
const slowedReadPauseMs = 120;
/**
Size of the first read. A read without an answer is retried with half its size: on a slow link a megabyte takes longer than
the time-out, and retries of the same size would never succeed.
*/
const firstReadBytes = 32_768;
/** The size grows only after a read that took at most this long: a larger one might exceed the time-out. */
const maxReadMsToGrow = 150;
/** Passes within the time-out over the share of a slow link that the other transfers of a host leave. */
const minReadBytes = 2048;
const maxReadBytes = 1_048_576;

/** Follows one partition. */
export class WorkflowFollower {
	readonly fold = new WorkflowFold();
	/** Start of the last read that reached the end of the partition, on the monotonic clock. */
	caughtUpAtMs = Number.NEGATIVE_INFINITY;
	readonly #options: FollowerOptions;
	#catchUp: Promise<void> | undefined;
	/** The current step of `run` while it is behind: calls to catch up wait for it, since another read would carry the same records over the same link. */
	#backlogStep: Promise<boolean> | undefined;
	#readBytes = firstReadBytes;
	#mayGrowReads = true;
	/** Reads that were sent before this do not show that the end has been reached. */
	#restartedAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: FollowerOptions) {
		this.#options = options;
	}

	/** Whether the end has been reached at least once. */
	get isCaughtUp(): boolean {
		return this.caughtUpAtMs > Number.NEGATIVE_INFINITY;
	}

	/** Time since the start of the last read that reached the end; undefined before the first one. */
	get stalenessMs(): number | undefined {
		return this.isCaughtUp ? this.#options.clock.monotonicMs() - this.caughtUpAtMs : undefined;
	}

	/** Follows until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		let isBehind = true;
		while (!signal.aborted) {
			const step = this.#follow(signal);
			this.#backlogStep = isBehind ? step : undefined;
			isBehind = await step;
		}

		this.#backlogStep = undefined;
	}

	/** Reads to the end as of the call; resolves to false if the store does not answer in time, at once if there is no time. */
	async catchUp(timeoutMs: number): Promise<boolean> {
		if (timeoutMs <= 0) {
			return false;
		}

		const {clock} = this.#options;
		const calledAtMs = clock.monotonicMs();
		const endAtMs = calledAtMs + timeoutMs;
		while (this.caughtUpAtMs < calledAtMs) {
			// Concurrent calls share one read; a call is done once a read that began after it has reached the end.
			this.#catchUp ??= this.#backlogStep ? this.#waitForStep(this.#backlogStep, endAtMs - clock.monotonicMs()) : this.#readOnce(endAtMs - clock.monotonicMs());
			await this.#waitAtMost(this.#catchUp, endAtMs - clock.monotonicMs());
			if (this.caughtUpAtMs < calledAtMs && clock.monotonicMs() >= endAtMs) {
				return false;
			}
		}

		return true;
	}

	/** Reads once and pauses, unless more records are known to follow; resolves to whether the end has not been reached. */
	async #follow(signal: AbortSignal): Promise<boolean> {
		const {clock, onStoreState} = this.#options;
		try {
			const hasMore = await this.#read(this.isCaughtUp ? readWaitMs : 0, signal);
			onStoreState(true, '');
			if (!hasMore) {
				await clock.sleep(this.#getPauseMs(), signal);
			}

			return hasMore || !this.isCaughtUp;
		} catch (error) {
			if (!signal.aborted) {
				onStoreState(false, getMessage(error));
				await clock.sleep(retryMs, signal);
			}

			return !this.isCaughtUp;
		}
	}

	#getPauseMs(): number {
		if (this.fold.listener) {
			return ownerReadPauseMs;
		}

		return this.#options.isSlowed?.() ? slowedReadPauseMs : readerReadPauseMs;
	}

	async #waitForStep(step: Promise<boolean>, timeoutMs: number): Promise<void> {
		await this.#waitAtMost(step, timeoutMs);
		this.#catchUp = undefined;
	}

	async #waitAtMost(promise: Promise<unknown>, timeoutMs: number): Promise<void> {
		const aborter = new AbortController();
		await Promise.race([promise, this.#options.clock.sleep(timeoutMs, aborter.signal)]);
		aborter.abort();
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
			// The follower's own reads report the failure; here only the time-out counts.
			await clock.sleep(retryMs, aborter.signal);
		} finally {
			timer.cancel();
			this.#catchUp = undefined;
		}
	}

	/** Reads once; resolves to whether the read brought records and there are more to read. */
	async #read(waitMs: number, signal: AbortSignal): Promise<boolean> {
		const {store, ref, clock} = this.#options;
		const sentAtMs = clock.monotonicMs();
		let page;
		try {
			page = await store.read(ref, this.fold.offset, {waitMs, maxBytes: this.#readBytes, signal});
		} catch (error) {
			if (getErrorCode(error) === ErrorCode.StoreUnanswered && !signal.aborted) {
				this.#readBytes = Math.max(minReadBytes, this.#readBytes / 2);
				this.#mayGrowReads = false;
			}

			const oldestOffset = getOldestOffset(error);
			if (oldestOffset !== undefined) {
				this.#skipGap(oldestOffset);
				return false;
			}

			throw error;
		}

		const fromOffset = this.fold.offset;
		this.#apply(page);
		if (this.fold.offset >= page.endOffset && sentAtMs >= this.#restartedAtMs) {
			this.caughtUpAtMs = Math.max(this.caughtUpAtMs, sentAtMs);
			this.#mayGrowReads = true;
			return false;
		}

		if (this.#mayGrowReads && clock.monotonicMs() - sentAtMs <= maxReadMsToGrow) {
			this.#readBytes = Math.min(maxReadBytes, this.#readBytes * 2);
		}

		return this.fold.offset > fromOffset;
	}

	/** Applies records; skips those that are folded already, because two reads may be pending at once. */
	#apply({records, oldestOffset}: StorePage): void {
		this.#skipGap(oldestOffset);

		const readAtMs = this.#options.clock.monotonicMs();
		for (const {offset, value} of records) {
			if (offset === this.fold.offset) {
				this.#applyOne(offset, value, readAtMs);
			}
		}
	}

	/** Reads anew from the oldest record if the store has dropped some that were not read. Until the end is reached again, the view is incomplete. */
	#skipGap(oldestOffset: number): void {
		if (this.fold.offset < oldestOffset) {
			this.caughtUpAtMs = Number.NEGATIVE_INFINITY;
			this.#restartedAtMs = this.#options.clock.monotonicMs();
			this.fold.restartAt(oldestOffset);
		}
	}

	#applyOne(offset: number, value: Buffer, readAtMs: number): void {
		try {
			// What an earlier read to the end did not bring was written after that read had begun.
			this.fold.apply(decodeRecord(value), offset, readAtMs, this.caughtUpAtMs);
		} catch (error) {
			this.fold.offset = offset + 1;
			this.#options.onInvalid(offset, getMessage(error));
		}
	}
}
