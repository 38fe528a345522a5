/**
Structured log on standard output: one line of JSON for each decision or state change. Writing never blocks: lines above a rate
limit are dropped and counted by event, and lines are dropped while the output is not read. Frequent events do not displace rare
ones.
*/
import {pino} from 'pino';
import {type Clock} from '../types/clock.ts';

/** Writes one line for an event. */
export type LogEvent = (event: string, fields?: Record<string, unknown>) => void;

/** Log of a process. */
export type EventLog = {
	note: LogEvent;
	/** Writes all buffered lines synchronously; called at the end of the process. */
	flush(): void;
};

/** Limit on lines written a second. */
const maxLinesPerS = 600;
/** Lines a second of each event that are written regardless of the limit, because rare events such as the end of a job are logged only once. */
const minLinesPerEventPerS = 40;
/** Lines are dropped while this much is buffered, as when nobody reads the output. */
const maxBufferedBytes = 1_048_576;
const minWriteBytes = 8192;
const flushEveryMs = 200;
const windowMs = 1000;

/** Rate limit on lines, with a minimum for each event. */
export class LineRateLimiter {
	#windowStartMs = Number.NEGATIVE_INFINITY;
	#lines = 0;
	#linesByEvent = new Map<string, number>();
	#droppedByEvent = new Map<string, number>();

	/** Returns whether a line of the event may be written; counts it as written or dropped. */
	tryTake(event: string): boolean {
		const eventLines = this.#linesByEvent.get(event) ?? 0;
		if (eventLines >= minLinesPerEventPerS && this.#lines >= maxLinesPerS) {
			this.#droppedByEvent.set(event, (this.#droppedByEvent.get(event) ?? 0) + 1);
			return false;
		}

		this.#linesByEvent.set(event, eventLines + 1);
		this.#lines++;
		return true;
	}

	/** Starts a new window if the last one has ended; returns the number of lines dropped in the last one, by event. */
	startWindow(nowMs: number): Record<string, number> | undefined {
		if (nowMs - this.#windowStartMs < windowMs) {
			return undefined;
		}

		const dropped = this.#droppedByEvent;
		this.#windowStartMs = nowMs;
		this.#lines = 0;
		this.#linesByEvent = new Map();
		this.#droppedByEvent = new Map();
		return dropped.size > 0 ? Object.fromEntries(dropped) : undefined;
	}
}

/** Creates the log; the fields in `base` are on every line. */
export const createEventLog = (clock: Clock, base: Record<string, unknown>): EventLog => {
	const destination = pino.destination({
		fd: 1, sync: false, minLength: minWriteBytes, maxLength: maxBufferedBytes,
	});
	const logger = pino({base, timestamp: () => `,"time":${clock.now().getTime()}`}, destination);
	const limiter = new LineRateLimiter();
	const flush = () => {
		destination.flush();
	};

	setInterval(flush, flushEveryMs).unref();
	return {
		note(event, fields = {}) {
			const dropped = limiter.startWindow(clock.monotonicMs());
			if (dropped) {
				logger.info({dropped}, 'lines dropped');
			}

			if (limiter.tryTake(event)) {
				logger.info(fields, event);
			}
		},
		flush() {
			destination.flushSync();
		},
	};
};
