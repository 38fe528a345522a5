/**
Follows one stream of the platform's log, in order, through outages and lapsed records.
*/
import {type Clock} from '../types/clock.ts';
import {
	type LogPage, type LogRecord, type PlatformLog, type Stream,
} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {getMessage} from './errors.ts';

/** What a follower does with what it reads. */
export type LogFollower = {
	/** One record, in order. An error is reported and the reader goes on: one bad record never stops it. */
	onRecord(record: LogRecord): void;
	/** Records from `fromOffset` up to the page's oldest offset are gone. */
	onGap?(fromOffset: number, oldestOffset: number): void;
	/** After each page: the end of the stream as the log told it. */
	onPage?(page: LogPage): void;
	onBadRecord?(record: LogRecord, error: unknown): void;
	onUnavailable?(message: string): void;
};

/** How a stream is followed. */
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

/** Follows a stream until the signal aborts. After errors it pauses, longer each time and jittered. */
export const followLog = async (follower: LogFollower, options: FollowOptions): Promise<void> => {
	const {log, stream, clock, random, signal, waitMs = defaultWaitMs} = options;
	let nextOffset = options.fromOffset;
	let pauseMs = minPauseMs;
	while (!signal.aborted) {
		try {
			const page = await log.read(stream, nextOffset, {waitMs, signal});
			pauseMs = minPauseMs;
			nextOffset = takePage(follower, page, nextOffset);
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			follower.onUnavailable?.(getMessage(error));
			// Jitter: after an outage all readers would otherwise come back in the same instant.
			await clock.sleep(pauseMs * (0.5 + random.next()), signal);
			pauseMs = Math.min(maxPauseMs, pauseMs * 2);
		}
	}
};

const takePage = (follower: LogFollower, page: LogPage, nextOffset: number): number => {
	if (page.oldestOffset > nextOffset) {
		follower.onGap?.(nextOffset, page.oldestOffset);
		nextOffset = page.oldestOffset;
	}

	for (const record of page.records) {
		// A log that repeats records after an outage must not make a fold run twice.
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
