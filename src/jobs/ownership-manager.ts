/**
Manages this entry's ownership of shards: claims, renews and releases them, and knows which ones it owns now.
*/
import {getMessage} from '../core/errors.ts';
import {followLog} from '../core/log-reader.ts';
import {type Clock} from '../types/clock.ts';
import {Metric, type Metrics} from '../types/metrics.ts';
import {Stream, type PlatformLog} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';
import {createParser} from '../utils/parser.ts';
import {isSameOwner, OwnershipFold, type OwnerId} from './ownership-fold.ts';
import {OwnershipRecordType, ownershipRecordSchema, type OwnershipRecord} from './ownership-records.ts';
import {rankOwners} from './shard-hash.ts';

const log = createLogger(LogNamespace.Ownership);
const parseRecord = createParser('read ownership record', ownershipRecordSchema);
/** Share of a lease that its owner does not use, to allow for drift between its clock and the readers' clocks. */
const leaseSafetyMargin = 0.1;
const balanceStepsPerRenewal = 4;

/** Options of `OwnershipManager`. */
export type OwnershipOptions = {
	log: PlatformLog;
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: OwnerId;
	leaseMs: number;
	renewEveryMs: number;
	settleMs: number;
	/** Longest wait for a read of the log, and so the greatest age of what it returns. */
	logTimeoutMs: number;
	/** Shards that need an owner. */
	getShards(): Iterable<number>;
	/** This entry now owns the shard under the token. */
	onOwned(shard: number, fencingToken: number): void;
	/** This entry no longer owns the shard: another entry claimed it, or it was released. */
	onLost(shard: number): void;
	/** Completes calls in progress before the shard is released. */
	onRelease(shard: number): Promise<void>;
};

/** Ownership of shards by this entry. */
export class OwnershipManager {
	readonly fold: OwnershipFold;
	readonly #options: OwnershipOptions;
	readonly #sentAtMs = new Map<number, number>();
	readonly #owned = new Map<number, number>();
	readonly #releasing = new Set<number>();
	#sequence = 0;
	#leaseEndMs = Number.NEGATIVE_INFINITY;
	readonly #unownedSince = new Map<number, number>();

	constructor(options: OwnershipOptions) {
		this.#options = options;
		this.fold = new OwnershipFold(options.leaseMs + options.logTimeoutMs);
	}

	/** Owned shards with their fencing tokens. */
	get owned(): ReadonlyMap<number, number> {
		return this.#owned;
	}

	/** End of this entry's newest lease, which may be past. */
	get leaseEndMs(): number {
		return this.#leaseEndMs;
	}

	/** Tells whether this entry's lease is unexpired; it counts from the send time of the newest record that was read back. */
	hasLease(): boolean {
		return this.#options.clock.monotonicMs() < this.#leaseEndMs;
	}

	/** Tells whether this entry is releasing the shard. */
	isReleasing(shard: number): boolean {
		return this.#releasing.has(shard);
	}

	/** Drops the shard before the stream shows a newer owner, for example because a worker reported a newer token. */
	markSuperseded(shard: number): void {
		this.#dropShard(shard);
	}

	/** Follows the stream, and renews, claims and releases shards until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {log: platformLog, clock, random} = this.#options;
		const following = followLog({
			onRecord: ({offset, value}) => {
				this.#applyRecord(parseRecord(value), offset);
			},
			onGap: (_, oldestOffset) => {
				this.fold.markGap(oldestOffset);
			},
			onPage: ({endOffset}) => {
				this.fold.recordPage(endOffset, clock.monotonicMs());
			},
			onBadRecord: (record, error) => {
				this.#options.metrics.count(Metric.BadRecords, Stream.Ownership);
				log('Invalid ownership record at offset %d: %s', record.offset, getMessage(error));
			},
			onUnavailable: message => {
				this.#options.metrics.count(Metric.LogErrors, Stream.Ownership);
				log('Cannot read the ownership stream: %s', message);
			},
		}, {
			log: platformLog, stream: Stream.Ownership, clock, random, fromOffset: 0, signal,
		});
		await Promise.all([following, this.#renew(signal), this.#balance(signal)]);
	}

	/** Releases all shards, for a graceful shutdown. */
	async releaseAll(): Promise<void> {
		await this.#release([...this.#owned.keys()]);
	}

	#applyRecord(record: OwnershipRecord, offset: number): void {
		const {clock, self, leaseMs} = this.#options;
		const changed = this.fold.apply(record, offset, clock.monotonicMs());
		if (isSameOwner(record, self)) {
			// Only a record that is read back extends the lease, also if the answer to its append was lost.
			const sentAtMs = this.#sentAtMs.get(record.sequence);
			if (sentAtMs !== undefined) {
				this.#leaseEndMs = Math.max(this.#leaseEndMs, sentAtMs + (leaseMs * (1 - leaseSafetyMargin)));
				this.#sentAtMs.delete(record.sequence);
			}
		}

		for (const shard of changed) {
			this.#applyChange(shard);
		}
	}

	#applyChange(shard: number): void {
		const {self, metrics, onOwned} = this.#options;
		this.#unownedSince.delete(shard);
		const token = this.fold.getToken(shard);
		if (this.#owned.has(shard) && (this.#owned.get(shard) !== token || !isSameOwner(this.fold.getOwner(shard), self))) {
			this.#dropShard(shard);
		}

		if (!this.#owned.has(shard) && isSameOwner(this.fold.getOwner(shard), self)) {
			this.#owned.set(shard, token);
			metrics.count(Metric.ShardTakeovers);
			metrics.gauge(Metric.ShardsOwned, this.#owned.size);
			onOwned(shard, token);
		}
	}

	#dropShard(shard: number): void {
		if (this.#owned.delete(shard)) {
			this.#releasing.delete(shard);
			this.#options.metrics.count(Metric.ShardsLost);
			this.#options.metrics.gauge(Metric.ShardsOwned, this.#owned.size);
			this.#options.onLost(shard);
		}
	}

	async #renew(signal: AbortSignal): Promise<void> {
		const {clock, random, renewEveryMs} = this.#options;
		while (!signal.aborted) {
			await this.#append(OwnershipRecordType.Renew, [...this.#owned].map(([shard, fencingToken]) => ({shard, fencingToken})), signal);
			await clock.sleep(renewEveryMs * (0.75 + (random.next() / 2)), signal);
		}
	}

	async #balance(signal: AbortSignal): Promise<void> {
		const {clock, random, renewEveryMs} = this.#options;
		while (!signal.aborted) {
			await clock.sleep((renewEveryMs / balanceStepsPerRenewal) * (0.75 + (random.next() / 2)), signal);
			if (this.#isLivenessKnown() && !signal.aborted) {
				await this.#claimShards(signal);
				await this.#release(this.#getShardsToRelease());
			}
		}
	}

	/**
	Whether other entries are alive is decided only after the stream was followed for a whole lease: every live entry has renewed by
	then. A renewal interval suffices while at most one entry is known to be alive.
	*/
	#isLivenessKnown(): boolean {
		const nowMs = this.#options.clock.monotonicMs();
		const {caughtUpAtMs} = this.fold;
		const isEmpty = this.fold.offset < 0 || this.fold.getLive(nowMs).length <= 1;
		const waitMs = isEmpty ? this.#options.renewEveryMs : this.#options.leaseMs;
		return caughtUpAtMs !== undefined && this.fold.isFresh(nowMs) && this.hasLease() && nowMs - caughtUpAtMs >= waitMs;
	}

	async #claimShards(signal: AbortSignal): Promise<void> {
		const {clock, self, renewEveryMs, getShards} = this.#options;
		const nowMs = clock.monotonicMs();
		const live = this.fold.getLive(nowMs);
		const claims: Array<{shard: number; fencingToken: number}> = [];
		for (const shard of getShards()) {
			// The stream names this entry as the owner of a shard that it has dropped. No other entry can see that, so it claims the shard again.
			const isDropped = isSameOwner(this.fold.getOwner(shard), self);
			if (this.#owned.has(shard) || !(isDropped || this.fold.isLeaseExpired(shard, nowMs))) {
				continue;
			}

			const sinceMs = this.#unownedSince.get(shard) ?? nowMs;
			this.#unownedSince.set(shard, sinceMs);
			// The preferred entry claims at once and each further one later by its rank, so that usually only one entry claims a shard.
			const rank = rankOwners(shard, live).indexOf(self.processId);
			if (rank !== -1 && nowMs - sinceMs >= rank * renewEveryMs) {
				claims.push({shard, fencingToken: this.fold.getToken(shard)});
			}
		}

		if (claims.length > 0) {
			await this.#append(OwnershipRecordType.Claim, claims, signal);
		}
	}

	/** Owned shards that should move to another entry. Only entries alive for `settleMs` count: a short-lived one moves no shards. */
	#getShardsToRelease(): number[] {
		const {clock, self, settleMs} = this.#options;
		const nowMs = clock.monotonicMs();
		const stable = this.fold.getLive(nowMs).filter(processId => processId === self.processId || this.fold.getPresenceMs(processId, nowMs) >= settleMs);
		return [...this.#owned.keys()].filter(shard => !this.#releasing.has(shard) && rankOwners(shard, stable)[0] !== self.processId);
	}

	async #release(shards: number[]): Promise<void> {
		if (shards.length === 0) {
			return;
		}

		for (const shard of shards) {
			this.#releasing.add(shard);
		}

		await Promise.all(shards.map(async shard => this.#options.onRelease(shard)));
		const stillOwned = shards.filter(shard => this.#owned.has(shard)).map(shard => ({shard, fencingToken: this.#owned.get(shard)!}));
		await this.#append(OwnershipRecordType.Release, stillOwned);
	}

	async #append(type: OwnershipRecordType, shards: OwnershipRecord['shards'], signal?: AbortSignal): Promise<void> {
		const {clock, metrics, self, leaseMs} = this.#options;
		const record: OwnershipRecord = {
			type, ...self, sequence: this.#sequence++, shards,
		};
		const sentAtMs = clock.monotonicMs();
		if (type !== OwnershipRecordType.Release) {
			this.#sentAtMs.set(record.sequence, sentAtMs);
		}

		for (const [sequence, atMs] of this.#sentAtMs) {
			if (sentAtMs - atMs > leaseMs) {
				this.#sentAtMs.delete(sequence);
			}
		}

		try {
			await this.#options.log.append(Stream.Ownership, record, signal);
			metrics.count(Metric.LogAppends, Stream.Ownership);
		} catch (error) {
			metrics.count(Metric.LogErrors, Stream.Ownership);
			log('Append to the ownership stream failed: %s', getMessage(error));
			// If the append of a release failed, this entry keeps the shard and tries again in the next pass.
			if (type === OwnershipRecordType.Release) {
				for (const {shard} of shards) {
					this.#releasing.delete(shard);
				}
			}
		}
	}
}
