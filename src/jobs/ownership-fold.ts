/**
Fold of the ownership stream: the owner and fencing token of each shard, and which entries are alive.
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
	/** When the last record was read, by the reader's monotonic clock. */
	lastReadAtMs: number;
};

/** Tells whether both are the same incarnation of the same entry. */
export const isSameOwner = (a: OwnerId | undefined, b: OwnerId): boolean =>
	a?.processId === b.processId && a.incarnation === b.incarnation;

/** Owners of shards and live entries, derived from the ownership stream. */
export class OwnershipFold {
	offset = -1;
	/** When the reader first reached the end of the stream. */
	caughtUpAtMs?: number;
	readonly #holdings = new Map<number, Holding>();
	readonly #presences = new Map<string, Presence>();
	readonly #expireAfterMs: number;
	#lastPageAtMs?: number;
	#isTruncated = false;

	/** `expireAfterMs`: an entry counts as gone this long after its last record was read. */
	constructor(expireAfterMs: number) {
		this.#expireAfterMs = expireAfterMs;
	}

	/** Fencing token of the shard's last valid claim, or -1. */
	getToken(shard: number): number {
		return this.#holdings.get(shard)?.fencingToken ?? -1;
	}

	/** Owner of the shard, alive or not; undefined if the shard was released or never claimed. */
	getOwner(shard: number): OwnerId | undefined {
		return this.#holdings.get(shard)?.owner;
	}

	/** Shards that the entry owns. */
	getHeldShards(owner: OwnerId): number[] {
		return [...this.#holdings].filter(([, holding]) => isSameOwner(holding.owner, owner)).map(([shard]) => shard);
	}

	/** Entries whose last record was read within `expireAfterMs`. */
	getLive(nowMs: number): string[] {
		return [...this.#presences].filter(([, {lastReadAtMs}]) => nowMs - lastReadAtMs <= this.#expireAfterMs).map(([processId]) => processId);
	}

	/** How long the entry has been alive without its lease expiring. */
	getPresenceMs(processId: string, nowMs: number): number {
		const presence = this.#presences.get(processId);
		return presence ? nowMs - presence.firstReadAtMs : 0;
	}

	/** Tells whether this reader may treat the owner's lease as expired; true for a shard without owner. */
	isLeaseExpired(shard: number, nowMs: number): boolean {
		const owner = this.getOwner(shard);
		if (!owner) {
			return true;
		}

		const presence = this.#presences.get(owner.processId);
		return !presence || presence.incarnation > owner.incarnation || nowMs - presence.lastReadAtMs > this.#expireAfterMs;
	}

	/** Tells whether the stream was read recently enough to decide whether other entries are alive. */
	isFresh(nowMs: number): boolean {
		return this.#lastPageAtMs !== undefined && nowMs - this.#lastPageAtMs <= this.#expireAfterMs / 2;
	}

	/** Notes that records before the offset expired from the log before they were read. */
	markGap(oldestOffset: number): void {
		this.#isTruncated = true;
		this.offset = Math.max(this.offset, oldestOffset - 1);
	}

	/** Notes that a page was read. */
	recordPage(endOffset: number, nowMs: number): void {
		// No entry could renew while the log was unavailable. All get a whole lease again, or each would claim all others' shards.
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

	/** Applies one record; returns the shards whose token or owner changed. */
	apply(record: OwnershipRecord, offset: number, nowMs: number): number[] {
		this.offset = offset;
		const {processId, incarnation} = record;
		const presence = this.#presences.get(processId);
		// A late record of an earlier incarnation neither claims a shard nor counts as a sign of life.
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
				// Of two claims on the same token the first in the log wins: it replaces the token that the second one names.
				if (fencingToken !== token && !(this.#isTruncated && token === -1)) {
					return false;
				}

				this.#holdings.set(shard, {fencingToken: this.offset, owner});
				return true;
			}

			case OwnershipRecordType.Renew: {
				// The claim expired from the log before this reader started; the renewal carries its token.
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
