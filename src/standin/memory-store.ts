/**
In-memory stand-in for the platform's store: partitions with conditional appends and fenced producers, keyed topics, consumer
groups, retention and fault injection.
*/
import {Buffer} from 'node:buffer';
import {createError, ErrorCode} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {
	AppendOutcome, type AppendOptions, type AppendResult, type GroupMember, type GroupAssignment, type KeyedRecord, type KeyedWrite, type PartitionRef, type ReadOptions, type StoreClient, type StorePage,
} from '../types/store.ts';

/** Faults to inject into a call. */
export enum StoreFault {
	None = 'none',
	/** The call has no effect and fails with an error response. */
	Refuse = 'refuse',
	/** The request is lost: the call has no effect and gets no response. */
	LoseRequest = 'silence',
	/** The call takes effect, but its response is lost. */
	LoseAnswer = 'lose-answer',
	/** The call gets no response and takes effect some time later. */
	ExecuteLate = 'do-late',
}

/** What a fault policy knows of a call. */
export type StoreCall = {kind: 'append' | 'read' | 'join'; ref?: PartitionRef; client: string};

/** Selects the fault of a call. */
export type FaultPolicy = (call: StoreCall) => StoreFault;

type ProducerState = {epoch: number; sequence: number; results: Map<number, AppendResult>};

type Partition = {
	records: Buffer[];
	oldest: number;
	producers: Map<string, ProducerState>;
	waiters: Set<() => void>;
	newestByKey: Map<string, KeyedRecord>;
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

const responseMs = 4;
const retainedResults = 5;
const lateExecutionMs = 3000;
const lostRequestMs = 900;
/** Time after the requested wait at which a reader's call times out. */
const readSlackMs = 700;
const defaultPartitions = 8;

/** The store, with faults and delays that tests set. */
export class MemoryStore {
	/** A read whose response is larger times out, as on a slow link. */
	maxAnswerBytes = Number.POSITIVE_INFINITY;
	/** Bandwidth of the readers' links; a response whose transfer takes longer than `readSlackMs` never arrives. */
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

	/** Fault policy; tests change it while they run. */
	getFault: FaultPolicy = () => StoreFault.None;

	/** Extra time that a call takes to arrive, as with a busy sender or a slow link. */
	getDelayMs: (call: StoreCall) => number = () => 0;

	/** Extra time that the response of an append or a read takes to reach its client. */
	getAnswerDelayMs: (call: StoreCall) => number = () => 0;

	/** Creates a client; fault policies receive its name. */
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
				await this.#simulateCall(client, 'read', ref);
				const partition = this.#getPartition(ref);
				const newest = {records: [...partition.newestByKey.values()], endOffset: partition.oldest + partition.records.length};
				await this.#delayAnswer({kind: 'read', ref, client});
				return newest;
			},
			join: async member => this.#join(client, member),
			getPartitionHolders: async group => {
				await this.#simulateCall(client, 'read');
				return [...new Set(this.#groups.get(group)?.owners.values())];
			},
			leave: async (group, member) => {
				await this.#simulateCall(client, 'join');
				const state = this.#groups.get(group);
				if (state?.members.delete(member)) {
					this.#assignPartitions(state);
				}
			},
		};
	}

	/** Appends a keyed record as an operator does, without a producer stamp or faults; without a value, the key is deleted. */
	put(ref: PartitionRef, key: string, value?: Buffer): void {
		this.#appendRecords(this.#getPartition(ref), [{key, ...(value && {value})}]);
	}

	/** Moves each partition of a group to the next member, without a call from any member. */
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
		const partition = this.#getPartition(ref);
		const count = Math.max(0, Math.min(partition.records.length, before - partition.oldest));
		partition.records.splice(0, count);
		partition.oldest += count;
	}

	#getPartition({topic, partition}: PartitionRef): Partition {
		const key = `${topic}/${partition}`;
		let found = this.#partitions.get(key);
		if (!found) {
			found = {
				records: [], oldest: 0, producers: new Map(), waiters: new Set(), newestByKey: new Map(),
			};
			this.#partitions.set(key, found);
		}

		return found;
	}

	/** Simulates the time that a call takes and throws if its fault says so; returns the fault for the operation to handle. */
	async #simulateCall(client: string, kind: 'append' | 'read' | 'join', ref?: PartitionRef): Promise<StoreFault> {
		this.calls[kind]++;
		const fault = this.getFault({kind, ref, client});
		const delayMs = this.getDelayMs({kind, ref, client});
		if (delayMs > 0) {
			await this.#clock.sleep(delayMs);
		}

		if (fault === StoreFault.Refuse) {
			await this.#clock.sleep(responseMs);
			throw createError(ErrorCode.StoreRefused, {step: `${kind} at stand-in`});
		}

		if (fault === StoreFault.LoseRequest) {
			await this.#clock.sleep(lostRequestMs);
			throw createError(ErrorCode.StoreUnanswered, {step: `${kind} at stand-in`});
		}

		await this.#clock.sleep(responseMs);
		return fault;
	}

	async #append(client: string, ref: PartitionRef, values: Array<Buffer | KeyedWrite>, options: AppendOptions): Promise<AppendResult> {
		const fault = await this.#simulateCall(client, 'append', ref);
		if (fault === StoreFault.ExecuteLate) {
			this.#clock.setTimer(() => {
				this.#tryAppend(this.#getPartition(ref), values, options);
			}, lateExecutionMs);
		}

		if (fault !== StoreFault.None) {
			if (fault === StoreFault.LoseAnswer) {
				this.#tryAppend(this.#getPartition(ref), values, options);
			}

			await this.#clock.sleep(options.timeoutMs);
			throw createError(ErrorCode.StoreUnanswered, {step: 'append at stand-in'});
		}

		const result = this.#tryAppend(this.#getPartition(ref), values, options);
		await this.#delayAnswer({kind: 'append', ref, client});
		return result;
	}

	async #delayAnswer(call: StoreCall): Promise<void> {
		const delayMs = this.getAnswerDelayMs(call);
		if (delayMs > 0) {
			await this.#clock.sleep(delayMs);
		}
	}

	#tryAppend(partition: Partition, values: Array<Buffer | KeyedWrite>, {stamp, atOffset}: AppendOptions): AppendResult {
		const endOffset = partition.oldest + partition.records.length;
		if (atOffset !== undefined && atOffset !== endOffset) {
			return {outcome: AppendOutcome.NotAtEnd, endOffset};
		}

		if (!stamp) {
			return this.#appendRecords(partition, values);
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

		const result = this.#appendRecords(partition, values);
		const results = known?.epoch === stamp.epoch ? known.results : new Map<number, AppendResult>();
		results.set(stamp.sequence, result);
		results.delete(stamp.sequence - retainedResults);
		partition.producers.set(stamp.producer, {epoch: stamp.epoch, sequence: stamp.sequence, results});
		return result;
	}

	#appendRecords(partition: Partition, values: Array<Buffer | KeyedWrite>): AppendResult {
		const offset = partition.oldest + partition.records.length;
		for (const value of values) {
			if (Buffer.isBuffer(value)) {
				partition.records.push(value);
				continue;
			}

			const recordOffset = partition.oldest + partition.records.length;
			partition.records.push(Buffer.from(JSON.stringify({key: value.key, value: value.value?.toString('base64')})));
			if (value.value) {
				partition.newestByKey.set(value.key, {key: value.key, value: value.value, offset: recordOffset});
			} else {
				partition.newestByKey.delete(value.key);
			}
		}

		for (const wake of partition.waiters) {
			wake();
		}

		return {outcome: AppendOutcome.Appended, offset, endOffset: partition.oldest + partition.records.length};
	}

	async #read(client: string, ref: PartitionRef, fromOffset: number, {waitMs, maxBytes = Number.POSITIVE_INFINITY, signal}: ReadOptions): Promise<StorePage> {
		await this.#simulateCall(client, 'read', ref);
		const partition = this.#getPartition(ref);
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
			throw createError(ErrorCode.StoreUnanswered, {step: 'read at stand-in', detail: 'aborted by the reader'});
		}

		const values = limitBytes(partition.records.slice(fromOffset - partition.oldest), maxBytes);
		if (sumBytes(values) > this.maxAnswerBytes) {
			throw createError(ErrorCode.StoreUnanswered, {step: 'read at stand-in', detail: 'response larger than maxAnswerBytes'});
		}

		const transferMs = sumBytes(values) / this.bytesPerMs;
		await this.#clock.sleep(Math.min(transferMs, readSlackMs));
		if (transferMs > readSlackMs) {
			throw createError(ErrorCode.StoreUnanswered, {step: 'read at stand-in', detail: 'transfer slower than the read timeout'});
		}

		const page = {
			records: values.map((value, index) => ({offset: fromOffset + index, value})),
			oldestOffset: partition.oldest,
			endOffset: partition.oldest + partition.records.length,
		};
		await this.#delayAnswer({kind: 'read', ref, client});
		return page;
	}

	async #join(client: string, {group, member, topics, ttlMs, generation}: GroupMember): Promise<GroupAssignment> {
		await this.#simulateCall(client, 'join');
		let state = this.#groups.get(group);
		if (!state) {
			state = {generation: 0, members: new Map(), owners: new Map()};
			this.#groups.set(group, state);
		}

		this.#removeExpired(state);
		const isNew = !state.members.has(member);
		state.members.set(member, {lastSeenMs: this.#clock.monotonicMs(), ttlMs, seenGeneration: generation});
		if (isNew) {
			this.#assignPartitions(state);
		}

		return {
			generation: state.generation,
			partitions: [...state.owners].filter(([, owner]) => owner === member).map(([partition]) => ({topic: topics[0]!, partition})),
		};
	}

	/**
	Removes members that have not called within their time to live. This includes a member that joins again too late: its partitions
	go to others before it is added again.
	*/
	#removeExpired(state: Group): void {
		const nowMs = this.#clock.monotonicMs();
		const expired = [...state.members].filter(([, {lastSeenMs, ttlMs}]) => nowMs - lastSeenMs > ttlMs);
		for (const [name] of expired) {
			state.members.delete(name);
		}

		if (expired.length > 0) {
			this.#assignPartitions(state);
		}
	}

	/** Assigns the partitions evenly; a partition stays with its member unless that member has left or would have too many. */
	#assignPartitions(state: Group): void {
		state.generation++;
		const names = [...state.members.keys()];
		const maxPerMember = Math.ceil(this.#partitionCount / Math.max(1, names.length));
		const counts = new Map(names.map(name => [name, 0]));
		for (const [partition, owner] of state.owners) {
			const count = counts.get(owner);
			if (count === undefined || count >= maxPerMember) {
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

/** Returns the leading values that fit into the limit, at least one. */
const limitBytes = (values: Buffer[], maxBytes: number): Buffer[] => {
	let sum = 0;
	const end = values.findIndex(({length}, index) => {
		sum += length;
		return index > 0 && sum > maxBytes;
	});
	return end === -1 ? values : values.slice(0, end);
};
