/**
Keeps this entry's ownership of shards: claims, renews, gives back, and tells at each moment which shards it may act for.
*/
import {getMessage} from '../core/errors.ts';
import {followLog} from '../core/log-reader.ts';
import {type Clock} from '../types/clock.ts';
import {Metric, type Metrics} from '../types/metrics.ts';
import {Stream, type PlatformLog} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {createLogger, Part} from '../utils/logger.ts';
import {createParser} from '../utils/parser.ts';
import {isSameOwner, OwnershipFold, type OwnerId} from './ownership-fold.ts';
import {OwnershipRecordType, ownershipRecordSchema, type OwnershipRecord} from './ownership-records.ts';
import {rankOwners} from './shard-hash.ts';

const log = createLogger(Part.Ownership);
const parseRecord = createParser('read ownership record', ownershipRecordSchema);
/** Part of a lease that an owner does not use, for the drift between its clock and its reader's. */
const leaseSafetyMargin = 0.1;
const balanceStepsPerRenewal = 4;

/** What ownership needs. */
export type OwnershipOptions = {
	log: PlatformLog;
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: OwnerId;
	leaseMs: number;
	renewEveryMs: number;
	settleMs: number;
	/** Longest age of what a read answers. */
	logTimeoutMs: number;
	/** Shards that must have an owner. */
	getShards(): Iterable<number>;
	/** A shard is owned from now on under the token. */
	onOwned(shard: number, fencingToken: number): void;
	/** A shard is owned no more: another claim came first, or it was given back. */
	onLost(shard: number): void;
	/** Finishes what is in progress before the shard is given back. */
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

	/** Shards owned, with their tokens. */
	get owned(): ReadonlyMap<number, number> {
		return this.#owned;
	}

	/** Until when this entry's lease lasts or lasted. */
	get leaseEndMs(): number {
		return this.#leaseEndMs;
	}

	/** Tells whether this entry's lease, counted from before its last renewal was sent, has not run out by its own clock. */
	hasLease(): boolean {
		return this.#options.clock.monotonicMs() < this.#leaseEndMs;
	}

	/** Tells whether the shard is on its way to another entry. */
	isReleasing(shard: number): boolean {
		return this.#releasing.has(shard);
	}

	/** A worker knows a newer token of the shard: this entry was deposed before it could read so. */
	markSuperseded(shard: number): void {
		this.#dropShard(shard);
	}

	/** Follows the stream, and renews, claims and gives back until the signal aborts. */
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
				log('Bad record at offset %d: %s', record.offset, getMessage(error));
			},
			onUnavailable: message => {
				this.#options.metrics.count(Metric.LogErrors, Stream.Ownership);
				log('Cannot read the log: %s', message);
			},
		}, {
			log: platformLog, stream: Stream.Ownership, clock, random, fromOffset: 0, signal,
		});
		await Promise.all([following, this.#renew(signal), this.#balance(signal)]);
	}

	/** Gives all shards back, for a graceful shutdown. */
	async releaseAll(): Promise<void> {
		await this.#release([...this.#owned.keys()]);
	}

	#applyRecord(record: OwnershipRecord, offset: number): void {
		const {clock, self, leaseMs} = this.#options;
		const changed = this.fold.apply(record, offset, clock.monotonicMs());
		if (isSameOwner(record, self)) {
			// Only a record read back counts: one whose answer was lost counts as well, one behind another's claim does not help.
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

	/** A reader judges others only once it has followed the stream for a whole lease: whoever lives has renewed by then. */
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
		const wanted: Array<{shard: number; fencingToken: number}> = [];
		for (const shard of getShards()) {
			if (this.#owned.has(shard) || !this.fold.isLeaseExpired(shard, nowMs)) {
				continue;
			}

			const sinceMs = this.#unownedSince.get(shard) ?? nowMs;
			this.#unownedSince.set(shard, sinceMs);
			// The preferred entry goes first; the others come after it, each later, so that one claim is the rule.
			const rank = rankOwners(shard, live).indexOf(self.processId);
			if (rank !== -1 && nowMs - sinceMs >= rank * renewEveryMs) {
				wanted.push({shard, fencingToken: this.fold.getToken(shard)});
			}
		}

		if (wanted.length > 0) {
			await this.#append(OwnershipRecordType.Claim, wanted, signal);
		}
	}

	/** Shards that belong to an entry which has been there long enough: an entry that comes and goes moves nothing. */
	#getShardsToRelease(): number[] {
		const {clock, self, settleMs} = this.#options;
		const nowMs = clock.monotonicMs();
		const settled = this.fold.getLive(nowMs).filter(processId => processId === self.processId || this.fold.getPresenceMs(processId, nowMs) >= settleMs);
		return [...this.#owned.keys()].filter(shard => !this.#releasing.has(shard) && rankOwners(shard, settled)[0] !== self.processId);
	}

	async #release(shards: number[]): Promise<void> {
		if (shards.length === 0) {
			return;
		}

		for (const shard of shards) {
			this.#releasing.add(shard);
		}

		await Promise.all(shards.map(async shard => this.#options.onRelease(shard)));
		const held = shards.filter(shard => this.#owned.has(shard)).map(shard => ({shard, fencingToken: this.#owned.get(shard)!}));
		await this.#append(OwnershipRecordType.Release, held);
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
			log('Append failed: %s', getMessage(error));
			// A release that is not in the log leaves the shard here; the next round tries again.
			if (type === OwnershipRecordType.Release) {
				for (const {shard} of shards) {
					this.#releasing.delete(shard);
				}
			}
		}
	}
}
