/**
Structured logs on standard output: one line of JSON for each decision or change of belief. Writing never blocks: lines
beyond a rate, or beyond what the reader takes, are dropped and counted by event. What is told often does not displace what
is told seldom.
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

/** Lines a second that are written. */
const maxLinesPerS = 600;
/** Lines a second of each event that are written in any case: how a job was taken and ended is told once. */
const keptLinesPerS = 40;
/** Gathered lines beyond this are dropped: nobody reads the output. */
const maxPendingBytes = 1_048_576;
const writeFromBytes = 8192;
const flushEveryMs = 200;
const rateWindowMs = 1000;

/** Which lines are written. */
export class LineBudget {
	#windowStartMs = Number.NEGATIVE_INFINITY;
	#lines = 0;
	#linesOf = new Map<string, number>();
	#dropped = new Map<string, number>();

	/** Whether a line of the event is written. */
	take(event: string): boolean {
		const linesOf = this.#linesOf.get(event) ?? 0;
		if (linesOf >= keptLinesPerS && this.#lines >= maxLinesPerS) {
			this.#dropped.set(event, (this.#dropped.get(event) ?? 0) + 1);
			return false;
		}

		this.#linesOf.set(event, linesOf + 1);
		this.#lines++;
		return true;
	}

	/** Begins a new second when the last is over; gives the lines that were dropped in it, by event. */
	renew(nowMs: number): Record<string, number> | undefined {
		if (nowMs - this.#windowStartMs < rateWindowMs) {
			return undefined;
		}

		const dropped = this.#dropped;
		this.#windowStartMs = nowMs;
		this.#lines = 0;
		this.#linesOf = new Map();
		this.#dropped = new Map();
		return dropped.size > 0 ? Object.fromEntries(dropped) : undefined;
	}
}

/** Creates the log; the fields given stand on every line. */
export const createEventLog = (clock: Clock, base: Record<string, unknown>): EventLog => {
	const destination = pino.destination({
		fd: 1, sync: false, minLength: writeFromBytes, maxLength: maxPendingBytes,
	});
	const logger = pino({base, timestamp: () => `,"time":${clock.now().getTime()}`}, destination);
	const budget = new LineBudget();
	const flush = () => {
		destination.flush();
	};

	setInterval(flush, flushEveryMs).unref();
	return {
		note(event, fields = {}) {
			const dropped = budget.renew(clock.monotonicMs());
			if (dropped) {
				logger.info({dropped}, 'lines dropped');
			}

			if (budget.take(event)) {
				logger.info(fields, event);
			}
		},
		flush() {
			destination.flushSync();
		},
	};
};
