/**
The platform's store as the program uses it: partitioned topics with conditional appends, and groups that assign partitions
to their members. `platform.ts` has the simpler interface of an append-only log.
*/

/** A partition of a topic. */
export type PartitionRef = {
	topic: string;
	partition: number;
};

/** One record as read back. */
export type StoreRecord = {
	offset: number;
	value: Buffer;
};

/** Consecutive records of a partition. The next append gets `endOffset` or a later offset. */
export type StorePage = {
	records: StoreRecord[];
	oldestOffset: number;
	endOffset: number;
};

/** Latest record of a key in a keyed topic. */
export type KeyedRecord = {
	key: string;
	value: Buffer;
	offset: number;
};

/** The latest record of each key, and the offset from which to continue reading. */
export type KeyedPage = {
	records: KeyedRecord[];
	endOffset: number;
};

/** Identity of a writer in one partition: a repeated sequence number is not appended again, and a lower epoch is never appended. */
export type ProducerStamp = {
	producer: string;
	epoch: number;
	sequence: number;
};

/** Outcome of an append. */
export enum AppendOutcome {
	Appended = 'appended',
	/** A writer with a higher epoch has appended; this writer can append no more. */
	Fenced = 'fenced',
	/** The sequence number does not follow the last one. */
	WrongSequence = 'wrong-sequence',
	/** The partition does not end at the given offset. */
	NotAtEnd = 'not-at-end',
	/** Nothing was appended; the same append may be tried again. */
	Refused = 'refused',
}

/** Result of an append that was answered. */
export type AppendResult
	= | {outcome: AppendOutcome.Appended; offset: number; endOffset: number}
		| {outcome: AppendOutcome.Fenced}
		| {outcome: AppendOutcome.WrongSequence; expected: number}
		| {outcome: AppendOutcome.NotAtEnd; endOffset: number}
		| {outcome: AppendOutcome.Refused; reason: string};

/** Conditions of an append. */
export type AppendOptions = {
	stamp?: ProducerStamp;
	/** Append only if the partition ends at this offset. */
	atOffset?: number;
	timeoutMs: number;
};

/** Options of a read. */
export type ReadOptions = {
	waitMs: number;
	/** At least one record is returned even if it is larger; undefined: the store client's default. */
	maxBytes?: number;
	signal?: AbortSignal;
};

/** Membership in a group, as sent with each join. */
export type GroupMember = {
	group: string;
	member: string;
	topics: string[];
	ttlMs: number;
	/** Latest generation received; 0 in the first join. */
	generation: number;
};

/** Partitions assigned to a member as of a generation. */
export type GroupAssignment = {
	generation: number;
	partitions: PartitionRef[];
};

/** A write to a keyed topic; without a value, the key is deleted. */
export type KeyedWrite = {
	key: string;
	value?: Buffer;
};

/**
Client of the store. Calls throw `store-refused` if nothing was done, `store-unanswered` if it is unknown whether anything was,
and `offset-gone` for a read before the oldest record.
*/
export type StoreClient = {
	append(ref: PartitionRef, values: Buffer[], options: AppendOptions): Promise<AppendResult>;
	appendKeyed(ref: PartitionRef, writes: KeyedWrite[], options: AppendOptions): Promise<AppendResult>;
	/** Returns as soon as there is a record, or after `waitMs`, with at most about `maxBytes` of records. */
	read(ref: PartitionRef, fromOffset: number, options: ReadOptions): Promise<StorePage>;
	readKeyed(ref: PartitionRef, fromOffset: number, waitMs: number, signal?: AbortSignal): Promise<{records: Array<KeyedWrite & {offset: number}>; endOffset: number}>;
	readNewest(ref: PartitionRef, signal?: AbortSignal): Promise<KeyedPage>;
	join(member: GroupMember): Promise<GroupAssignment>;
	leave(group: string, member: string): Promise<void>;
	/** Gets the members of the group that have a partition assigned. */
	getPartitionHolders(group: string): Promise<string[]>;
};
