/**
Folds the ownership stream: who owns each shard under which token, and which entries are alive.
*/
import {OwnershipRecordType, type OwnershipRecord} from './ownership-records.ts';

/** One incarnation of an entry. */
export type OwnerId = {
	processId: string;
	incarnation: number;
};

type Holding = {
	fencingToken: number;
	owner?: OwnerId;
};

type Presence = {
	incarnation: number;
	firstReadAtMs: number;
	/** By the reader's monotonic clock, as it read the last record. */
	lastReadAtMs: number;
};

/** Tells whether both name the same incarnation of an entry. */
export const isSameOwner = (a: OwnerId | undefined, b: OwnerId): boolean =>
	a?.processId === b.processId && a.incarnation === b.incarnation;

/** Owners of shards as the log tells. */
export class OwnershipFold {
	offset = -1;
	/** When the reader first came to the end of the stream. */
	caughtUpAtMs?: number;
	readonly #holdings = new Map<number, Holding>();
	readonly #presences = new Map<string, Presence>();
	readonly #expireAfterMs: number;
	#lastPageAtMs?: number;
	#isTruncated = false;

	/** `expireAfterMs`: how long after the reading of its last record an entry counts as gone. */
	constructor(expireAfterMs: number) {
		this.#expireAfterMs = expireAfterMs;
	}

	/** Token of the shard's last valid claim, or -1. */
	getToken(shard: number): number {
		return this.#holdings.get(shard)?.fencingToken ?? -1;
	}

	/** Owner of the shard, dead or alive; none when it was given back. */
	getOwner(shard: number): OwnerId | undefined {
		return this.#holdings.get(shard)?.owner;
	}

	/** Shards that the entry holds. */
	getHeldShards(owner: OwnerId): number[] {
		return [...this.#holdings].filter(([, holding]) => isSameOwner(holding.owner, owner)).map(([shard]) => shard);
	}

	/** Entries whose last record was read within the lapse time. */
	getLive(nowMs: number): string[] {
		return [...this.#presences].filter(([, {lastReadAtMs}]) => nowMs - lastReadAtMs <= this.#expireAfterMs).map(([processId]) => processId);
	}

	/** How long the entry has been there without a lapse. */
	getPresenceMs(processId: string, nowMs: number): number {
		const presence = this.#presences.get(processId);
		return presence ? nowMs - presence.firstReadAtMs : 0;
	}

	/** Tells whether the owner's lease has lapsed for this reader. */
	isLeaseExpired(shard: number, nowMs: number): boolean {
		const owner = this.getOwner(shard);
		if (!owner) {
			return true;
		}

		const presence = this.#presences.get(owner.processId);
		return !presence || presence.incarnation > owner.incarnation || nowMs - presence.lastReadAtMs > this.#expireAfterMs;
	}

	/** Tells whether the stream was read to its end so lately that a judgement on others may be made. */
	isFresh(nowMs: number): boolean {
		return this.#lastPageAtMs !== undefined && nowMs - this.#lastPageAtMs <= this.#expireAfterMs / 2;
	}

	/** Records before the offset are gone. */
	markGap(oldestOffset: number): void {
		this.#isTruncated = true;
		this.offset = Math.max(this.offset, oldestOffset - 1);
	}

	/** A page was read. */
	recordPage(endOffset: number, nowMs: number): void {
		// While the log was away nobody could renew: all get a whole lease again, else every entry would take over from every other.
		if (this.#lastPageAtMs !== undefined && nowMs - this.#lastPageAtMs > this.#expireAfterMs / 2) {
			for (const presence of this.#presences.values()) {
				presence.lastReadAtMs = nowMs;
			}
		}

		this.#lastPageAtMs = nowMs;
		if (this.offset + 1 >= endOffset) {
			this.caughtUpAtMs ??= nowMs;
		}
	}

	/** Applies one record; gives the shards whose token or owner changed. */
	apply(record: OwnershipRecord, offset: number, nowMs: number): number[] {
		this.offset = offset;
		const {processId, incarnation} = record;
		const presence = this.#presences.get(processId);
		// Late records of an earlier incarnation neither claim nor keep anything alive.
		if (presence && presence.incarnation > incarnation) {
			return [];
		}

		this.#recordPresence(processId, incarnation, nowMs);
		return record.shards.filter(({shard, fencingToken}) => this.#applyShard(record, shard, fencingToken)).map(({shard}) => shard);
	}

	#recordPresence(processId: string, incarnation: number, nowMs: number): void {
		const known = this.#presences.get(processId);
		const isContinued = known?.incarnation === incarnation && nowMs - known.lastReadAtMs <= this.#expireAfterMs;
		this.#presences.set(processId, {incarnation, firstReadAtMs: isContinued ? known.firstReadAtMs : nowMs, lastReadAtMs: nowMs});
	}

	#applyShard({type, processId, incarnation}: OwnershipRecord, shard: number, fencingToken: number): boolean {
		const owner: OwnerId = {processId, incarnation};
		const token = this.getToken(shard);
		switch (type) {
			case OwnershipRecordType.Claim: {
				// Of two claims on the same token the first in the log wins; the second names a token that is gone.
				if (fencingToken !== token && !(this.#isTruncated && token === -1)) {
					return false;
				}

				this.#holdings.set(shard, {fencingToken: this.offset, owner});
				return true;
			}

			case OwnershipRecordType.Renew: {
				// The claim itself has lapsed from the log before this reader came: the renewal tells of it.
				if (fencingToken <= token) {
					return false;
				}

				this.#holdings.set(shard, {fencingToken, owner});
				return true;
			}

			case OwnershipRecordType.Release: {
				if (fencingToken !== token || !isSameOwner(this.getOwner(shard), owner)) {
					return false;
				}

				this.#holdings.set(shard, {fencingToken});
				return true;
			}
		}
	}
}
