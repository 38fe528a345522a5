/**
Configuration as operators declare it: sections of the text, published as records of the log.
*/

/** Keys and values of one section. */
export type SectionValues = Record<string, string>;

/** One section in force. Without values it was deleted; its offset still orders later edits. */
export type ConfigSection = {
	name: string;
	/** Offset of the accepted record that last changed it. */
	offset: number;
	values?: SectionValues;
};

/** Types of records in the configuration stream. */
export enum ConfigRecordType {
	Publish = 'publish',
	Snapshot = 'snapshot',
	Move = 'move',
}

/** Change of one section: values, or none to delete it, based on the offset the author saw (-1: no such section). */
export type SectionChange = {
	baseOffset: number;
	values?: SectionValues;
};

/** A change published by an operator; it is accepted whole or not at all. */
export type ConfigPublish = {
	type: ConfigRecordType.Publish;
	id: string;
	author: string;
	publishedAt: string;
	sections: Record<string, SectionChange>;
};

/** The fold of all records up to an offset, re-published before those records lapse. */
export type ConfigSnapshot = {
	type: ConfigRecordType.Snapshot;
	id: string;
	upToOffset: number;
	sections: ConfigSection[];
	owners: ServiceOwner[];
	results: ConfigResult[];
};

/** Region that owns a service: its new requests go to upstreams there. */
export type ServiceOwner = {
	service: string;
	region: string;
	/** Region it was moved from, if it ever was. */
	previousRegion?: string;
	/** Offset of the record that made it the owner. */
	offset: number;
};

/**
Takes a service over into the region that its section declares.
Valid when the section still says so, its dependencies are where they are declared, and the owner is still the one it is based on.
*/
export type ConfigMove = {
	type: ConfigRecordType.Move;
	id: string;
	service: string;
	region: string;
	/** Offset of the owner that is replaced. */
	baseOffset: number;
	entryId: string;
};

/** Any record of the configuration stream. */
export type ConfigRecord = ConfigPublish | ConfigSnapshot | ConfigMove;

/** What became of a published change. */
export enum ConfigVerdict {
	Accepted = 'accepted',
	Conflict = 'conflict',
	Invalid = 'invalid',
}

/** Verdict on one published change, the same for every reader. */
export type ConfigResult = {
	id: string;
	author: string;
	offset: number;
	verdict: ConfigVerdict;
	sections: string[];
	/** For a refusal: what is wrong, or who won. */
	reason?: string;
	winnerId?: string;
	winnerAuthor?: string;
};
