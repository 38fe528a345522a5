/**
Fold of the claims stream: which claim holds each request id. All readers of the same records derive the same state.
*/
import {ClaimState, type ClaimStatus} from '../types/services.ts';
import {getRequestIdTimeMs} from '../utils/request-id.ts';
import {
	ClaimItemType, type ClaimItem, type ClaimRecord, type EndItem,
} from './claim-records.ts';

/** The state of one request id. */
export type KnownClaim = {
	requestId: string;
	claimId: string;
	service: string;
	entryId: string;
	claimedAtMs: number;
	state: ClaimState;
	status?: number;
	body?: string;
	contentType?: string;
	/** Ids of released claims; a delayed duplicate of one must not win. */
	releasedIds?: string[];
};

const bucketMs = 60_000;
/** A delayed duplicate of a released claim that is no longer listed could hold the id, but its request could not be dispatched. */
const maxReleasedIds = 16;
const maxOpen = 10_000;

/** Claims by request id, in buckets by the creation time that the ids contain. */
export class ClaimFold {
	readonly #buckets = new Map<number, Map<string, KnownClaim>>();
	/** Claims without a known end; retained longer than the rest, so that none is lost silently. */
	readonly #open = new Map<string, KnownClaim>();
	#size = 0;

	get size(): number {
		return this.#size;
	}

	/** Number of claims without a known end. */
	get openCount(): number {
		return this.#open.size;
	}

	get(requestId: string): KnownClaim | undefined {
		return this.#buckets.get(getBucket(requestId))?.get(requestId) ?? this.#open.get(requestId);
	}

	/** Claims without a known end, oldest first. */
	listOpen(): KnownClaim[] {
		return [...this.#open.values()].toSorted((a, b) => a.claimedAtMs - b.claimedAtMs);
	}

	/** Applies one record; calls `onItem` after each item with the resulting state of its request id. */
	apply(record: ClaimRecord, onItem?: (item: ClaimItem, known: KnownClaim | undefined) => void): void {
		for (const item of record.items) {
			this.#applyItem(item, record);
			onItem?.(item, this.get(item.requestId));
		}
	}

	/** Applies the end of a claim, also before it is read back from the log; it cannot change which claim holds the id. */
	applyEnd(end: EndItem): void {
		const known = this.get(end.requestId);
		// A late response may change unknown to done; done and not-run are final.
		if (known?.claimId !== end.claimId || known.state === ClaimState.Done || known.state === ClaimState.NotRun) {
			return;
		}

		known.state = end.state;
		known.status = end.status;
		known.body = end.body;
		known.contentType = end.contentType;
		if (end.state === ClaimState.Done) {
			this.#open.delete(end.requestId);
		}
	}

	/** Forgets ids created before `oldestMs`, and open claims made before `openOldestMs`. Returns a time as `shrinkTo` does. */
	dropBefore(oldestMs: number, openOldestMs: number): number | undefined {
		for (const [requestId, {claimedAtMs}] of this.#open) {
			if (claimedAtMs >= openOldestMs && this.#open.size <= maxOpen) {
				break;
			}

			this.#open.delete(requestId);
		}

		return this.#dropBuckets(bucket => (bucket + 1) * bucketMs <= oldestMs);
	}

	/** Forgets the oldest ids until at most `maxSize` are left. Returns the time before which all ids are forgotten, if any was. */
	shrinkTo(maxSize: number): number | undefined {
		return this.#size <= maxSize ? undefined : this.#dropBuckets(() => this.#size > maxSize && this.#buckets.size > 1);
	}

	#dropBuckets(isDropped: (bucket: number) => boolean): number | undefined {
		let oldestMs: number | undefined;
		for (const bucket of [...this.#buckets.keys()].toSorted((a, b) => a - b)) {
			if (!isDropped(bucket)) {
				break;
			}

			this.#size -= this.#buckets.get(bucket)!.size;
			this.#buckets.delete(bucket);
			oldestMs = (bucket + 1) * bucketMs;
		}

		return oldestMs;
	}

	#applyItem(item: ClaimItem, record: ClaimRecord): void {
		switch (item.type) {
			case ClaimItemType.Claim: {
				this.#applyClaim(item, record);
				break;
			}

			case ClaimItemType.Release: {
				this.#applyRelease(item, record);
				break;
			}

			case ClaimItemType.End: {
				this.applyEnd(item);
				break;
			}
		}
	}

	#applyClaim({requestId, claimId, service}: Extract<ClaimItem, {type: ClaimItemType.Claim}>, {entryId, writtenAtMs}: ClaimRecord): void {
		const known = this.get(requestId);
		// The first claim in the log wins. A released id may be claimed again, but not by a delayed duplicate of a released claim.
		if (known && (known.state !== ClaimState.NotRun || known.releasedIds?.includes(claimId))) {
			return;
		}

		const claim: KnownClaim = {
			requestId, claimId, service, entryId, claimedAtMs: writtenAtMs, state: ClaimState.Claimed, releasedIds: known?.releasedIds,
		};
		this.#set(claim);
		this.#open.set(requestId, claim);
	}

	#applyRelease({requestId, claimId}: Extract<ClaimItem, {type: ClaimItemType.Release}>, {entryId, writtenAtMs}: ClaimRecord): void {
		let known = this.get(requestId);
		if (!known) {
			// The claim may still arrive: its append was abandoned, and can take effect later.
			known = {
				requestId, claimId, service: '', entryId, claimedAtMs: writtenAtMs, state: ClaimState.NotRun,
			};
			this.#set(known);
		} else if (known.claimId === claimId && known.state === ClaimState.Claimed) {
			known.state = ClaimState.NotRun;
			this.#open.delete(requestId);
		}

		if (!known.releasedIds?.includes(claimId)) {
			known.releasedIds = [...known.releasedIds ?? [], claimId].slice(-maxReleasedIds);
		}
	}

	#set(claim: KnownClaim): void {
		const key = getBucket(claim.requestId);
		let bucket = this.#buckets.get(key);
		if (!bucket) {
			bucket = new Map();
			this.#buckets.set(key, bucket);
		}

		this.#size += bucket.has(claim.requestId) ? 0 : 1;
		bucket.set(claim.requestId, claim);
	}
}

/** Converts a known claim to the form that callers and operators see. */
export const toStatus = ({requestId, service, state, entryId, claimedAtMs, status, body, contentType}: KnownClaim): ClaimStatus => ({
	requestId, service, state, entryId, claimedAt: new Date(claimedAtMs).toISOString(), status, body, contentType,
});

const getBucket = (requestId: string): number => Math.floor((getRequestIdTimeMs(requestId) ?? 0) / bucketMs);
