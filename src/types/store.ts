/**
The platform's store as the program uses it: partitioned topics with conditional appends, and groups that deal
partitions to members. The platform's own log calls are in `platform.ts`; this is the wider interface.
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

/** A stretch of a partition. The next append gets `endOffset` or later. */
export type StorePage = {
	records: StoreRecord[];
	oldestOffset: number;
	endOffset: number;
};

/** Newest record of a key in a keyed topic. */
export type KeyedRecord = {
	key: string;
	value: Buffer;
	offset: number;
};

/** All newest records, and the offset from which a reader goes on. */
export type KeyedPage = {
	records: KeyedRecord[];
	endOffset: number;
};

/** Identity of a writer in one partition: a repeated sequence number appends nothing twice, an older epoch nothing at all. */
export type ProducerStamp = {
	producer: string;
	epoch: number;
	sequence: number;
};

/** What became of an append. */
export enum AppendOutcome {
	Appended = 'appended',
	/** A writer with a higher epoch has appended: this one never will. */
	Fenced = 'fenced',
	/** The sequence number does not follow the last one. */
	WrongSequence = 'wrong-sequence',
	/** The partition does not end at the offset named. */
	NotAtEnd = 'not-at-end',
	/** Nothing was done; the same append may be tried again. */
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
	atOffset?: number;
	timeoutMs: number;
};

/** Terms of a read. */
export type ReadOptions = {
	waitMs: number;
	/** At least one record is given; undefined: as much as the store gives. */
	maxBytes?: number;
	signal?: AbortSignal;
};

/** A member's place in a group. */
export type GroupMember = {
	group: string;
	member: string;
	topics: string[];
	ttlMs: number;
	/** The last one received; 0 at first. */
	generation: number;
};

/** Partitions that belong to a member as of a generation. */
export type GroupShare = {
	generation: number;
	partitions: PartitionRef[];
};

/** A record of a keyed topic that is to be written; without a value the key is dropped. */
export type KeyedWrite = {
	key: string;
	value?: Buffer;
};

/**
Client of the store. Calls throw `store-refused` when nothing was done, `store-unanswered` when that is not known, and
`offset-gone` for a read before the oldest record.
*/
export type StoreClient = {
	append(ref: PartitionRef, values: Buffer[], options: AppendOptions): Promise<AppendResult>;
	appendKeyed(ref: PartitionRef, writes: KeyedWrite[], options: AppendOptions): Promise<AppendResult>;
	/** Answers as soon as a record is there, at the latest after `waitMs`, with at most about `maxBytes` of records. */
	read(ref: PartitionRef, fromOffset: number, options: ReadOptions): Promise<StorePage>;
	readKeyed(ref: PartitionRef, fromOffset: number, waitMs: number, signal?: AbortSignal): Promise<{records: Array<KeyedWrite & {offset: number}>; endOffset: number}>;
	newest(ref: PartitionRef, signal?: AbortSignal): Promise<KeyedPage>;
	join(member: GroupMember): Promise<GroupShare>;
	leave(group: string, member: string): Promise<void>;
	/** Members of the group that hold a partition. */
	getOwners(group: string): Promise<string[]>;
};
