/**
Structured logs on standard output: one line of JSON for each decision or change of belief. Writing never blocks: lines
beyond a rate, or beyond what the reader takes, are dropped and counted.
*/
import {pino} from 'pino';
import {type Clock} from '../types/clock.ts';

/** Writes one line. */
export type Note = (event: string, fields?: Record<string, unknown>) => void;

/** Log of a process. */
export type EventLog = {
	note: Note;
	/** Writes what is gathered; for the end of the process. */
	flush(): void;
};

/** Lines a second that are written; a busy entry makes some 300. */
const maxLinesPerS = 600;
/** Gathered lines beyond this are dropped: nobody reads the output. */
const maxPendingBytes = 1_048_576;
const writeFromBytes = 8192;
const flushEveryMs = 200;
const rateWindowMs = 1000;

/** Creates the log; the fields given stand on every line. */
export const createEventLog = (clock: Clock, base: Record<string, unknown>): EventLog => {
	const destination = pino.destination({
		fd: 1, sync: false, minLength: writeFromBytes, maxLength: maxPendingBytes,
	});
	const logger = pino({base, timestamp: () => `,"time":${clock.now().getTime()}`}, destination);
	let windowStartMs = clock.monotonicMs();
	let lines = 0;
	let dropped = 0;
	const flush = () => {
		destination.flush();
	};

	setInterval(flush, flushEveryMs).unref();
	return {
		note(event, fields = {}) {
			const nowMs = clock.monotonicMs();
			if (nowMs - windowStartMs >= rateWindowMs) {
				if (dropped > 0) {
					logger.info({dropped}, 'lines dropped');
				}

				windowStartMs = nowMs;
				lines = 0;
				dropped = 0;
			}

			if (lines >= maxLinesPerS) {
				dropped++;
				return;
			}

			lines++;
			logger.info(fields, event);
		},
		flush() {
			destination.flushSync();
		},
	};
};
