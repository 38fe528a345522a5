/**
Finds the offset at which a starting reader of claims may begin: the first record that can concern an id that is still
accepted.
*/
import {type Settings} from '../core/settings-schema.ts';
import {type Clock} from '../types/clock.ts';
import {Stream, type LogRecord, type PlatformLog} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {getIdLifetimeMs, getMarginMs} from './claim-id.ts';
import {parseClaimRecord} from './claim-records.ts';

/** Options of the search. */
export type StartSearchOptions = {
	log: PlatformLog;
	clock: Clock;
	random: Random;
	settings: Pick<Settings, 'claims' | 'log'>;
	signal: AbortSignal;
};

/** A range of at most this many offsets is read instead of searched. */
const maxScannedOffsets = 2000;
const retryMs = 200;

/** Finds the offset to begin at; retries until the log answers or the signal aborts. */
export const findStartOffset = async (options: StartSearchOptions): Promise<number> => {
	const {clock, random, signal} = options;
	while (!signal.aborted) {
		try {
			return await search(options);
		} catch {
			await clock.sleep(retryMs * (0.5 + random.next()), signal);
		}
	}

	return 0;
};

/** Binary search by write time. Records are nearly in that order; the margin covers clock errors and late appends. */
const search = async ({log, clock, settings, signal}: StartSearchOptions): Promise<number> => {
	const oldestMs = clock.now().getTime() - getIdLifetimeMs(settings) - getMarginMs(settings);
	const first = await log.read(Stream.Claims, 0, {limit: 1, signal});
	let low = first.oldestOffset;
	let high = first.endOffset;
	if (isRecent(first.records[0], oldestMs)) {
		return 0;
	}

	while (high - low > maxScannedOffsets) {
		const middle = Math.floor((low + high) / 2);
		const page = await log.read(Stream.Claims, middle, {limit: 1, signal});
		if (isRecent(page.records[0], oldestMs)) {
			high = middle;
		} else {
			low = middle;
		}
	}

	return low;
};

const isRecent = (record: LogRecord | undefined, oldestMs: number): boolean => {
	try {
		return record === undefined || parseClaimRecord(record.value).writtenAtMs >= oldestMs;
	} catch {
		// The write time of an invalid record is unknown: begin before it.
		return true;
	}
};
