/**
Writes to the jobs stream in batches: a process makes one append at a time, however many tasks start and end.
*/
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {Metric, type Metrics} from '../types/metrics.ts';
import {Stream, type PlatformLog} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';
import {type JobEntry, type JobRecord} from './job-records.ts';

const log = createLogger(LogNamespace.Jobs);
const minBackoffMs = 50;
const maxBackoffMs = 2000;

/** Options of `JobWriter`. */
export type JobWriterOptions = {
	log: PlatformLog;
	clock: Clock;
	random: Random;
	metrics: Metrics;
	maxEntries: number;
	/** Most entries queued while the log is unavailable. */
	maxQueued: number;
	/** Current time for which entries wait for more before they are appended as one batch. */
	getLingerMs(): number;
};

type QueuedEntry = {
	entry: JobEntry;
	/** Called just before the append; drops entries of an owner that has been superseded since. */
	isWanted?: () => boolean;
	resolve: (isWritten: boolean) => void;
};

/** Collects entries into batches and retries each append until it succeeds. */
export class JobWriter {
	readonly #options: JobWriterOptions;
	readonly #queue: QueuedEntry[] = [];
	#wake?: () => void;

	constructor(options: JobWriterOptions) {
		this.#options = options;
	}

	/** Number of entries waiting to be appended to the log. */
	get queued(): number {
		return this.#queue.length;
	}

	/** Resolves to true once the entry is in the log; to false if it was dropped: queue full, no longer wanted, or writer stopped. */
	async write(entry: JobEntry, isWanted?: () => boolean): Promise<boolean> {
		if (this.#queue.length >= this.#options.maxQueued) {
			this.#options.metrics.count(Metric.JobEntriesDropped, entry.type);
			return false;
		}

		return new Promise(resolve => {
			this.#queue.push({entry, isWanted, resolve});
			this.#wake?.();
		});
	}

	/** Appends queued entries until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, getLingerMs} = this.#options;
		while (!signal.aborted) {
			if (this.#queue.length === 0) {
				await this.#waitForEntry(signal);
			}

			await clock.sleep(getLingerMs(), signal);
			const batch = this.#takeBatch();
			if (batch.length > 0) {
				await this.#append(batch, signal);
			}
		}

		for (const {resolve} of this.#queue.splice(0)) {
			resolve(false);
		}
	}

	#takeBatch(): QueuedEntry[] {
		const batch: QueuedEntry[] = [];
		for (const queued of this.#queue.splice(0, this.#options.maxEntries)) {
			if (queued.isWanted?.() ?? true) {
				batch.push(queued);
			} else {
				queued.resolve(false);
			}
		}

		return batch;
	}

	async #append(batch: QueuedEntry[], signal: AbortSignal): Promise<void> {
		const {clock, random, metrics} = this.#options;
		const id = random.id();
		const entries = batch.map(({entry}) => entry);
		let backoffMs = minBackoffMs;
		while (!signal.aborted) {
			try {
				// Time of this append, even if the entry was queued before a long outage: a job's age counts from when other entries can read it.
				const record: JobRecord = {id, writtenAtMs: clock.now().getTime(), entries};
				await this.#options.log.append(Stream.Jobs, record, signal);
				metrics.count(Metric.LogAppends, Stream.Jobs);
				for (const {resolve} of batch) {
					resolve(true);
				}

				return;
			} catch (error) {
				// The append may have taken effect. Appending the record again changes nothing, because applying an entry is idempotent.
				metrics.count(Metric.LogErrors, Stream.Jobs);
				log('Append to the jobs stream failed, retrying: %s', getMessage(error));
				await clock.sleep(backoffMs * (0.5 + random.next()), signal);
				backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
			}
		}

		for (const {resolve} of batch) {
			resolve(false);
		}
	}

	async #waitForEntry(signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				this.#wake = undefined;
				signal.removeEventListener('abort', finish);
				resolve();
			};

			this.#wake = finish;
			signal.addEventListener('abort', finish, {once: true});
			if (signal.aborted) {
				finish();
			}
		});
	}
}
