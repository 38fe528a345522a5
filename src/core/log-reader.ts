/**
Reads one stream of the platform's log continuously and in order; continues after outages and after gaps left by expired records.
*/
import {type Clock} from '../types/clock.ts';
import {
	type LogPage, type LogRecord, type PlatformLog, type Stream,
} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {getMessage} from './errors.ts';

/** Callbacks for what a reader reads. */
export type LogFollower = {
	/** Called for each record, in order. If it throws, `onBadRecord` is called and reading continues with the next record. */
	onRecord(record: LogRecord): void;
	/** Called when the records from `fromOffset` up to `oldestOffset`, exclusive, have expired from the log. */
	onGap?(fromOffset: number, oldestOffset: number): void;
	/** Called after the records of each page; the page holds the end offset of the stream. */
	onPage?(page: LogPage): void;
	onBadRecord?(record: LogRecord, error: unknown): void;
	onUnavailable?(message: string): void;
};

/** Dependencies and options of a reader. */
export type FollowOptions = {
	log: PlatformLog;
	stream: Stream;
	clock: Clock;
	random: Random;
	fromOffset: number;
	signal: AbortSignal;
	waitMs?: number;
};

const minPauseMs = 50;
const maxPauseMs = 2000;
const defaultWaitMs = 1000;

/** Reads a stream until the signal aborts. After errors it retries with exponential backoff and jitter. */
export const followLog = async (follower: LogFollower, options: FollowOptions): Promise<void> => {
	const {log, stream, clock, random, signal, waitMs = defaultWaitMs} = options;
	let nextOffset = options.fromOffset;
	let pauseMs = minPauseMs;
	while (!signal.aborted) {
		try {
			const page = await log.read(stream, nextOffset, {waitMs, signal});
			pauseMs = minPauseMs;
			nextOffset = processPage(follower, page, nextOffset);
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			follower.onUnavailable?.(getMessage(error));
			// Without jitter, all readers would retry at the same time after an outage.
			await clock.sleep(pauseMs * (0.5 + random.next()), signal);
			pauseMs = Math.min(maxPauseMs, pauseMs * 2);
		}
	}
};

const processPage = (follower: LogFollower, page: LogPage, nextOffset: number): number => {
	if (page.oldestOffset > nextOffset) {
		follower.onGap?.(nextOffset, page.oldestOffset);
		nextOffset = page.oldestOffset;
	}

	for (const record of page.records) {
		// The log may repeat records after an outage; a fold must see each once.
		if (record.offset < nextOffset) {
			continue;
		}

		try {
			follower.onRecord(record);
		} catch (error) {
			follower.onBadRecord?.(record, error);
		}

		nextOffset = record.offset + 1;
	}

	follower.onPage?.(page);
	return nextOffset;
};
