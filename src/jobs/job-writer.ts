/**
Writes to the jobs stream in batches: one append at a time for each process, however many tasks start and end.
*/
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {Metric, type Metrics} from '../types/metrics.ts';
import {Stream, type PlatformLog} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {createLogger, Part} from '../utils/logger.ts';
import {type JobEntry, type JobRecord} from './job-records.ts';

const log = createLogger(Part.Jobs);
const minBackoffMs = 50;
const maxBackoffMs = 2000;

/** What the writer needs. */
export type JobWriterOptions = {
	log: PlatformLog;
	clock: Clock;
	random: Random;
	metrics: Metrics;
	maxEntries: number;
	/** Entries held at most while the log is away. */
	maxQueued: number;
	/** How long entries gather before they are appended together, as it is now. */
	getLingerMs(): number;
};

type QueuedEntry = {
	entry: JobEntry;
	/** Asked just before the append: an entry decided by an owner that was deposed meanwhile is dropped. */
	isWanted?: () => boolean;
	resolve: (isWritten: boolean) => void;
};

/** Gathers entries and appends them, each batch until the log has taken it. */
export class JobWriter {
	readonly #options: JobWriterOptions;
	readonly #queue: QueuedEntry[] = [];
	#wake?: () => void;

	constructor(options: JobWriterOptions) {
		this.#options = options;
	}

	/** Entries that wait for the log. */
	get queued(): number {
		return this.#queue.length;
	}

	/** Resolves to true once the entry is in the log; to false when it was dropped: the queue is full, or it is not wanted any more. */
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

	/** Appends what is queued until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, getLingerMs: getGatherMs} = this.#options;
		while (!signal.aborted) {
			if (this.#queue.length === 0) {
				await this.#waitForEntry(signal);
			}

			await clock.sleep(getGatherMs(), signal);
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
				// Written now, even when it was decided before a long outage: the age of a job counts from when others can know.
				const record: JobRecord = {id, writtenAtMs: clock.now().getTime(), entries};
				await this.#options.log.append(Stream.Jobs, record, signal);
				metrics.count(Metric.LogAppends, Stream.Jobs);
				for (const {resolve} of batch) {
					resolve(true);
				}

				return;
			} catch (error) {
				// The append may have taken effect. The same record again changes nothing: every entry folds idempotently.
				metrics.count(Metric.LogErrors, Stream.Jobs);
				log('Append failed: %s', getMessage(error));
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
