/**
In-memory stand-in for the platform's log, with fault injection.
*/
import {createError, ErrorCode} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {
	type LogPage, type LogRecord, type PlatformLog, type LogReadOptions, type Stream,
} from '../types/platform.ts';
import {type Random} from '../types/random.ts';

/** Faults to inject. */
export type LogFaults = {
	isDown: boolean;
	/** Time by which every append and read is delayed before it is executed. */
	delayMs: number;
	/** Probability that an append takes effect but its response is lost. */
	loseAnswerChance: number;
	/** Probability that an append fails without effect. */
	failChance: number;
};

type StreamState = {
	records: Array<LogRecord & {appendedAtMs: number}>;
	endOffset: number;
	waiters: Set<() => void>;
};

const noFaults: LogFaults = {
	isDown: false, delayMs: 0, loseAnswerChance: 0, failChance: 0,
};
const defaultLimit = 1000;

/** An in-memory append-only log. */
export class MemoryLog implements PlatformLog {
	faults: LogFaults = {...noFaults};
	appends = 0;
	readonly #streams = new Map<Stream, StreamState>();
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #retentionMs: number;

	constructor(clock: Clock, random: Random, retentionMs = Number.POSITIVE_INFINITY) {
		this.#clock = clock;
		this.#random = random;
		this.#retentionMs = retentionMs;
	}

	async append(stream: Stream, value: unknown): Promise<number> {
		await this.#delayCall();
		this.#throwIf(this.faults.isDown || this.#random.next() < this.faults.failChance, 'append');
		const state = this.#getStream(stream);
		const offset = state.endOffset++;
		// Copied, so that later changes to the caller's object do not change the record.
		state.records.push({offset, value: structuredClone(value), appendedAtMs: this.#clock.monotonicMs()});
		this.appends++;
		for (const wake of state.waiters) {
			wake();
		}

		this.#throwIf(this.#random.next() < this.faults.loseAnswerChance, 'append (response lost)');
		return offset;
	}

	async read(stream: Stream, fromOffset: number, options: LogReadOptions = {}): Promise<LogPage> {
		const {limit = defaultLimit, waitMs = 0, signal} = options;
		await this.#delayCall();
		this.#throwIf(this.faults.isDown, 'read');
		const state = this.#getStream(stream);
		if (fromOffset >= state.endOffset && waitMs > 0) {
			await this.#waitForRecord(state, waitMs, signal);
			this.#throwIf(this.faults.isDown, 'read');
		}

		this.#dropExpired(state);
		const oldestOffset = state.records[0]?.offset ?? state.endOffset;
		const start = Math.max(0, fromOffset - oldestOffset);
		const records = state.records.slice(start, start + limit).map(({offset, value}) => ({offset, value: structuredClone(value)}));
		return {records, oldestOffset, endOffset: state.endOffset};
	}

	/** Drops the records before the offset, as the log's retention does. */
	truncate(stream: Stream, oldestOffset: number): void {
		const state = this.#getStream(stream);
		state.records = state.records.filter(({offset}) => offset >= oldestOffset);
	}

	async #waitForRecord(state: StreamState, waitMs: number, signal?: AbortSignal): Promise<void> {
		const aborter = new AbortController();
		const wake = () => {
			aborter.abort();
		};

		state.waiters.add(wake);
		signal?.addEventListener('abort', wake, {once: true});
		await this.#clock.sleep(waitMs, aborter.signal);
		state.waiters.delete(wake);
		signal?.removeEventListener('abort', wake);
	}

	async #delayCall(): Promise<void> {
		if (this.faults.delayMs > 0) {
			await this.#clock.sleep(this.faults.delayMs);
		}
	}

	#throwIf(condition: boolean, step: string): void {
		if (condition) {
			throw createError(ErrorCode.LogUnavailable, {step, peer: 'memory log'});
		}
	}

	#dropExpired(state: StreamState): void {
		const oldestMs = this.#clock.monotonicMs() - this.#retentionMs;
		let count = 0;
		while (count < state.records.length && state.records[count]!.appendedAtMs < oldestMs) {
			count++;
		}

		state.records.splice(0, count);
	}

	#getStream(stream: Stream): StreamState {
		let state = this.#streams.get(stream);
		if (!state) {
			state = {records: [], endOffset: 0, waiters: new Set()};
			this.#streams.set(stream, state);
		}

		return state;
	}
}
