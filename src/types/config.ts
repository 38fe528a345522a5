/**
Configuration that operators declare: sections of a text, published as records of the log.
*/

/** Keys and values of one section. */
export type SectionValues = Record<string, string>;

/** One section in effect. A section without values was deleted; later changes are still checked against its offset. */
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

/** Change of one section; without values, the section is deleted. */
export type SectionChange = {
	/** Offset of the section that the author based the change on; -1: no such section. */
	baseOffset: number;
	values?: SectionValues;
};

/** A change published by an operator; all its sections are accepted, or none. */
export type ConfigPublish = {
	type: ConfigRecordType.Publish;
	id: string;
	author: string;
	publishedAt: string;
	sections: Record<string, SectionChange>;
};

/** The fold of all records up to an offset, published again before the log drops those records. */
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
	/** Region that the service was last moved from; undefined if it was never moved. */
	previousRegion?: string;
	/** Offset of the record that made it the owner. */
	offset: number;
};

/**
Moves a service to the region that its section declares.
Valid while the section still declares that region, the service's dependencies are in their declared regions, and the owner is
still the one that the move is based on.
*/
export type ConfigMove = {
	type: ConfigRecordType.Move;
	id: string;
	service: string;
	region: string;
	/** Offset of the record of the owner that is replaced. */
	baseOffset: number;
	entryId: string;
};

/** Any record of the configuration stream. */
export type ConfigRecord = ConfigPublish | ConfigSnapshot | ConfigMove;

/** Whether a published change was accepted. */
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
	/** For a refusal: what is invalid, or which change won the conflict. */
	reason?: string;
	winnerId?: string;
	winnerAuthor?: string;
};
