/**
A stand-in for the platform's store in memory: partitions with conditional appends and producers, keyed topics, groups,
retention, and the ways in which it fails.
*/
import {Buffer} from 'node:buffer';
import {createError, ErrorCode} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {
	AppendOutcome, type AppendOptions, type AppendResult, type GroupMember, type GroupAssignment, type KeyedRecord, type KeyedWrite, type PartitionRef, type ReadOptions, type StoreClient, type StorePage,
} from '../types/store.ts';

/** How the store treats a call. */
export enum StoreFault {
	None = 'none',
	/** Nothing is done, and that is said. */
	Refuse = 'refuse',
	/** Nothing is done, and nothing is said. */
	Silence = 'silence',
	/** It is done, and nothing is said. */
	LoseAnswer = 'lose-answer',
	/** Nothing is said; it is done some time later. */
	DoLate = 'do-late',
}

/** A call as fault policies see it. */
export type StoreCall = {kind: 'append' | 'read' | 'join'; ref?: PartitionRef; client: string};

/** Decides how a call of a client is treated. */
export type FaultPolicy = (call: StoreCall) => StoreFault;

type ProducerState = {epoch: number; sequence: number; results: Map<number, AppendResult>};

type Partition = {
	records: Buffer[];
	oldest: number;
	producers: Map<string, ProducerState>;
	waiters: Set<() => void>;
	newest: Map<string, KeyedRecord>;
};

type Group = {
	generation: number;
	members: Map<string, {lastSeenMs: number; ttlMs: number; seenGeneration: number}>;
	owners: Map<number, string>;
};

const decodeKeyed = (record: Buffer): KeyedWrite => {
	const {key, value} = JSON.parse(record.toString()) as {key: string; value?: string};
	return value === undefined ? {key} : {key, value: Buffer.from(value, 'base64')};
};

const answerMs = 4;
const rememberedResults = 5;
const lateMs = 3000;
const silenceMs = 900;
/** Readers wait so long for an answer, beyond the wait that they asked for. */
const readSlackMs = 700;
const defaultPartitions = 8;

/** The store. */
export class MemoryStore {
	/** Longer answers do not arrive before the reader gives up: its link is slow. */
	maxAnswerBytes = Number.POSITIVE_INFINITY;
	/** What the readers' links carry; an answer that takes longer than a reader waits never arrives. */
	bytesPerMs = Number.POSITIVE_INFINITY;
	/** Number of calls by kind, for measurements. */
	readonly calls = {append: 0, read: 0, join: 0};
	readonly #clock: Clock;
	readonly #partitions = new Map<string, Partition>();
	readonly #groups = new Map<string, Group>();
	readonly #partitionCount: number;

	constructor(clock: Clock, partitionCount = defaultPartitions) {
		this.#clock = clock;
		this.#partitionCount = partitionCount;
	}

	/** How calls are treated; changed by tests as they go. */
	fault: FaultPolicy = () => StoreFault.None;

	/** How much longer than usual a call takes to arrive: its sender is busy, or its link is slow. */
	getDelayMs: (call: StoreCall) => number = () => 0;

	/** A client with a name, which fault policies can tell apart. */
	createClient(client: string): StoreClient {
		return {
			append: async (ref, values, options) => this.#append(client, ref, values, options),
			appendKeyed: async (ref, writes, options) => this.#append(client, ref, writes, options),
			read: async (ref, fromOffset, options) => this.#read(client, ref, fromOffset, options),
			readKeyed: async (ref, fromOffset, waitMs, signal) => {
				const {records, endOffset} = await this.#read(client, ref, fromOffset, {waitMs, signal});
				return {records: records.map(({offset, value}) => ({...decodeKeyed(value), offset})), endOffset};
			},
			readNewest: async ref => {
				await this.#answer(client, 'read', ref);
				const partition = this.#get(ref);
				return {records: [...partition.newest.values()], endOffset: partition.oldest + partition.records.length};
			},
			join: async member => this.#join(client, member),
			getPartitionHolders: async group => {
				await this.#answer(client, 'read');
				return [...new Set(this.#groups.get(group)?.owners.values())];
			},
			leave: async (group, member) => {
				await this.#answer(client, 'join');
				const state = this.#groups.get(group);
				if (state?.members.delete(member)) {
					this.#deal(state);
				}
			},
		};
	}

	/** Appends as an operator does: no producer, no fault. */
	put(ref: PartitionRef, key: string, value: Buffer): void {
		this.#store(this.#get(ref), [{key, value}]);
	}

	/** Deals all partitions of a group anew, without any request. */
	rebalance(group: string): void {
		const state = this.#groups.get(group);
		if (state) {
			const names = [...state.members.keys()];
			state.generation++;
			for (const [partition, owner] of state.owners) {
				state.owners.set(partition, names[(names.indexOf(owner) + 1) % names.length]!);
			}
		}
	}

	/** Drops the records of a partition before the offset. */
	trim(ref: PartitionRef, before: number): void {
		const partition = this.#get(ref);
		const count = Math.max(0, Math.min(partition.records.length, before - partition.oldest));
		partition.records.splice(0, count);
		partition.oldest += count;
	}

	#get({topic, partition}: PartitionRef): Partition {
		const key = `${topic}/${partition}`;
		let found = this.#partitions.get(key);
		if (!found) {
			found = {
				records: [], oldest: 0, producers: new Map(), waiters: new Set(), newest: new Map(),
			};
			this.#partitions.set(key, found);
		}

		return found;
	}

	/** Waits as long as an answer takes, or fails as the fault says; gives what else is to be done. */
	async #answer(client: string, kind: 'append' | 'read' | 'join', ref?: PartitionRef): Promise<StoreFault> {
		this.calls[kind]++;
		const fault = this.fault({kind, ref, client});
		const delayMs = this.getDelayMs({kind, ref, client});
		if (delayMs > 0) {
			await this.#clock.sleep(delayMs);
		}

		if (fault === StoreFault.Refuse) {
			await this.#clock.sleep(answerMs);
			throw createError(ErrorCode.StoreRefused, {step: `${kind} at stand-in`});
		}

		if (fault === StoreFault.Silence) {
			await this.#clock.sleep(silenceMs);
			throw createError(ErrorCode.StoreUnanswered, {step: `${kind} at stand-in`});
		}

		await this.#clock.sleep(answerMs);
		return fault;
	}

	async #append(client: string, ref: PartitionRef, values: Array<Buffer | KeyedWrite>, options: AppendOptions): Promise<AppendResult> {
		const fault = await this.#answer(client, 'append', ref);
		if (fault === StoreFault.DoLate) {
			this.#clock.setTimer(() => {
				this.#tryAppend(this.#get(ref), values, options);
			}, lateMs);
		}

		if (fault !== StoreFault.None) {
			if (fault === StoreFault.LoseAnswer) {
				this.#tryAppend(this.#get(ref), values, options);
			}

			await this.#clock.sleep(options.timeoutMs);
			throw createError(ErrorCode.StoreUnanswered, {step: 'append at stand-in'});
		}

		return this.#tryAppend(this.#get(ref), values, options);
	}

	#tryAppend(partition: Partition, values: Array<Buffer | KeyedWrite>, {stamp, atOffset}: AppendOptions): AppendResult {
		const endOffset = partition.oldest + partition.records.length;
		if (atOffset !== undefined && atOffset !== endOffset) {
			return {outcome: AppendOutcome.NotAtEnd, endOffset};
		}

		if (!stamp) {
			return this.#store(partition, values);
		}

		const known = partition.producers.get(stamp.producer);
		const knownEpoch = known?.epoch ?? 0;
		if (stamp.epoch < knownEpoch) {
			return {outcome: AppendOutcome.Fenced};
		}

		if (known && stamp.epoch === knownEpoch) {
			const repeated = known.results.get(stamp.sequence);
			if (repeated) {
				return repeated;
			}

			if (stamp.sequence !== known.sequence + 1) {
				return {outcome: AppendOutcome.WrongSequence, expected: known.sequence + 1};
			}
		}

		const result = this.#store(partition, values);
		const results = known?.epoch === stamp.epoch ? known.results : new Map<number, AppendResult>();
		results.set(stamp.sequence, result);
		results.delete(stamp.sequence - rememberedResults);
		partition.producers.set(stamp.producer, {epoch: stamp.epoch, sequence: stamp.sequence, results});
		return result;
	}

	#store(partition: Partition, values: Array<Buffer | KeyedWrite>): AppendResult {
		const offset = partition.oldest + partition.records.length;
		for (const value of values) {
			if (Buffer.isBuffer(value)) {
				partition.records.push(value);
				continue;
			}

			const recordOffset = partition.oldest + partition.records.length;
			partition.records.push(Buffer.from(JSON.stringify({key: value.key, value: value.value?.toString('base64')})));
			if (value.value) {
				partition.newest.set(value.key, {key: value.key, value: value.value, offset: recordOffset});
			} else {
				partition.newest.delete(value.key);
			}
		}

		for (const wake of partition.waiters) {
			wake();
		}

		return {outcome: AppendOutcome.Appended, offset, endOffset: partition.oldest + partition.records.length};
	}

	async #read(client: string, ref: PartitionRef, fromOffset: number, {waitMs, maxBytes = Number.POSITIVE_INFINITY, signal}: ReadOptions): Promise<StorePage> {
		await this.#answer(client, 'read', ref);
		const partition = this.#get(ref);
		if (fromOffset < partition.oldest) {
			throw createError(ErrorCode.OffsetGone, {step: 'read at stand-in', detail: String(partition.oldest)});
		}

		if (fromOffset >= partition.oldest + partition.records.length && waitMs > 0) {
			const aborter = new AbortController();
			const wake = () => {
				aborter.abort();
			};

			partition.waiters.add(wake);
			signal?.addEventListener('abort', wake, {once: true});
			await this.#clock.sleep(waitMs, aborter.signal);
			signal?.removeEventListener('abort', wake);
			partition.waiters.delete(wake);
		}

		if (signal?.aborted) {
			throw createError(ErrorCode.StoreUnanswered, {step: 'read at stand-in', detail: 'given up'});
		}

		const values = takeBytes(partition.records.slice(fromOffset - partition.oldest), maxBytes);
		if (sumBytes(values) > this.maxAnswerBytes) {
			throw createError(ErrorCode.StoreUnanswered, {step: 'read at stand-in', detail: 'too slow'});
		}

		const transferMs = sumBytes(values) / this.bytesPerMs;
		await this.#clock.sleep(Math.min(transferMs, readSlackMs));
		if (transferMs > readSlackMs) {
			throw createError(ErrorCode.StoreUnanswered, {step: 'read at stand-in', detail: 'too slow'});
		}

		return {
			records: values.map((value, index) => ({offset: fromOffset + index, value})),
			oldestOffset: partition.oldest,
			endOffset: partition.oldest + partition.records.length,
		};
	}

	async #join(client: string, {group, member, topics, ttlMs, generation}: GroupMember): Promise<GroupAssignment> {
		await this.#answer(client, 'join');
		let state = this.#groups.get(group);
		if (!state) {
			state = {generation: 0, members: new Map(), owners: new Map()};
			this.#groups.set(group, state);
		}

		this.#expire(state);
		const isNew = !state.members.has(member);
		state.members.set(member, {lastSeenMs: this.#clock.monotonicMs(), ttlMs, seenGeneration: generation});
		if (isNew) {
			this.#deal(state);
		}

		return {
			generation: state.generation,
			partitions: [...state.owners].filter(([, owner]) => owner === member).map(([partition]) => ({topic: topics[0]!, partition})),
		};
	}

	/** Also the member that joins may have been silent for too long: its partitions went to others before it came back. */
	#expire(state: Group): void {
		const nowMs = this.#clock.monotonicMs();
		const silent = [...state.members].filter(([, {lastSeenMs, ttlMs}]) => nowMs - lastSeenMs > ttlMs);
		for (const [name] of silent) {
			state.members.delete(name);
		}

		if (silent.length > 0) {
			this.#deal(state);
		}
	}

	/** Partitions stay where they are as far as the shares stay even. */
	#deal(state: Group): void {
		state.generation++;
		const names = [...state.members.keys()];
		const most = Math.ceil(this.#partitionCount / Math.max(1, names.length));
		const counts = new Map(names.map(name => [name, 0]));
		for (const [partition, owner] of state.owners) {
			const count = counts.get(owner);
			if (count === undefined || count >= most) {
				state.owners.delete(partition);
			} else {
				counts.set(owner, count + 1);
			}
		}

		for (let partition = 0; partition < this.#partitionCount && names.length > 0; partition++) {
			if (!state.owners.has(partition)) {
				const [name] = [...counts].toSorted((a, b) => a[1] - b[1])[0]!;
				state.owners.set(partition, name);
				counts.set(name, counts.get(name)! + 1);
			}
		}
	}
}

const sumBytes = (values: Buffer[]): number => {
	let sum = 0;
	for (const {length} of values) {
		sum += length;
	}

	return sum;
};

/** As many values as fit, and one at the least. */
const takeBytes = (values: Buffer[], maxBytes: number): Buffer[] => {
	let sum = 0;
	const end = values.findIndex(({length}, index) => {
		sum += length;
		return index > 0 && sum > maxBytes;
	});
	return end === -1 ? values : values.slice(0, end);
};
