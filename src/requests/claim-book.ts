/**
Claims of one entry: it may dispatch a request only after it has read its own claim as the first for that id.
*/
import {type LogFollower} from '../core/log-reader.ts';
import {type Settings} from '../core/settings-schema.ts';
import {type Clock} from '../types/clock.ts';
import {type LogPage, type LogRecord, type PlatformLog} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {type RefusalReason} from '../types/requests.ts';
import {
	ClaimState, type ClaimEnd, type ClaimResult, type ClaimStatus,
} from '../types/services.ts';
import {ClaimFold, toStatus, type KnownClaim} from './claim-fold.ts';
import {
	getIdLifetimeMs, getMarginMs, judgeRequestId, type IdWindow,
} from './claim-id.ts';
import {
	ClaimItemType, parseClaimRecord, type ClaimItem, type EndItem,
} from './claim-records.ts';
import {ClaimWriter} from './claim-writer.ts';
import {DeadlineHeap} from './deadline-heap.ts';

/** What a claim book works with. */
export type ClaimBookOptions = {
	log: PlatformLog;
	clock: Clock;
	random: Random;
	entryId: string;
	settings: Pick<Settings, 'claims' | 'log'>;
	/** Least time between two appends, as it is now; by default that of the settings. */
	getPaceMs?(): number;
	onAppend?(isSuccess: boolean, error?: unknown): void;
	/** An end could not be kept until the log took it; the request stays listed as open. */
	onEndDropped?(requestId: string): void;
};

type PendingClaim = {
	item: Extract<ClaimItem, {type: ClaimItemType.Claim}>;
	deadlineMs: number;
	resolve(result: ClaimResult): void;
};

type OwnClaim = {
	claimId: string;
	wonAtMs: number;
	wonAtWallMs: number;
};

const probeEveryMs = 250;

/** Claims request ids for one entry, and knows what all entries claimed. */
export class ClaimBook implements LogFollower {
	readonly #options: ClaimBookOptions;
	readonly #fold = new ClaimFold();
	readonly #writer: ClaimWriter;
	readonly #deadlines: DeadlineHeap<PendingClaim>;
	readonly #pending = new Map<string, PendingClaim>();
	/** Claims won and not yet ended, by request id. */
	readonly #own = new Map<string, OwnClaim>();
	/** Claim ids given back whose release was not read back yet. */
	readonly #releasing = new Set<string>();
	#floorMs = Number.NEGATIVE_INFINITY;
	#isAfterGap = false;
	#hasReadEnd = false;
	#failingSinceMs: number | undefined;
	#probedAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: ClaimBookOptions) {
		const {log, clock, random, entryId, settings} = options;
		this.#options = options;
		this.#writer = new ClaimWriter({
			log,
			clock,
			random,
			entryId,
			getPaceMs: options.getPaceMs ?? (() => settings.claims.appendEveryMs),
			isWanted: item => this.#isWanted(item),
			onAppend: (isSuccess, error) => {
				this.#noteLog(isSuccess);
				options.onAppend?.(isSuccess, error);
			},
		});
		this.#deadlines = new DeadlineHeap<PendingClaim>({
			clock,
			isWaiting: pending => this.#pending.has(pending.item.claimId),
			onDue: pending => {
				this.#giveUp(pending);
			},
		});
	}

	/** Claims with no known end. */
	get openCount(): number {
		return this.#fold.openCount;
	}

	/** Whether the stream was read to its end once. */
	get hasReadEnd(): boolean {
		return this.#hasReadEnd;
	}

	/** Whether the log has failed for so long that a claim is not worth waiting for. */
	get isLogDown(): boolean {
		const {clock, settings} = this.#options;
		return this.#failingSinceMs !== undefined && clock.monotonicMs() - this.#failingSinceMs >= settings.claims.failFastAfterMs;
	}

	/** Ids that may be claimed now. */
	get window(): IdWindow {
		const {clock, settings} = this.#options;
		const nowMs = clock.now().getTime();
		return {
			oldestMs: Math.max(this.#floorMs, nowMs - getIdLifetimeMs(settings)),
			newestMs: nowMs + settings.claims.maxClockErrorMs,
		};
	}

	/** Tells why the id may not be claimed, or undefined when it may. */
	judge(requestId: string): RefusalReason | undefined {
		return judgeRequestId(requestId, this.window);
	}

	/** Claims the id. Only after `isWon` may the request be dispatched, once, by this entry. */
	async claim(requestId: string, service: string, timeoutMs: number): Promise<ClaimResult> {
		const id = requestId.toLowerCase();
		const known = this.#fold.get(id);
		if (known && known.state !== ClaimState.NotRun && !this.#releasing.has(known.claimId)) {
			return {isWon: false, claim: toStatus(known)};
		}

		if (this.judge(id) !== undefined || !this.#isWorthTrying()) {
			return {isWon: false};
		}

		const {clock, random, settings} = this.#options;
		const waitMs = Math.min(timeoutMs, settings.claims.maxWaitMs);
		return new Promise<ClaimResult>(resolve => {
			const pending: PendingClaim = {
				item: {
					type: ClaimItemType.Claim, requestId: id, claimId: random.id() + random.id(), service,
				},
				deadlineMs: clock.monotonicMs() + waitMs,
				resolve,
			};
			this.#pending.set(pending.item.claimId, pending);
			this.#deadlines.add(pending, pending.deadlineMs, this.#pending.size);
			this.#writer.add(pending.item);
		});
	}

	/**
	Tells whether a claim that was won may still be dispatched; to be asked right before the first byte.
	Guards against an entry that was paused after it won: operators may meanwhile have settled the request by hand.
	Both clocks are read, because one of them stands still while a machine is suspended.
	*/
	isDispatchable(requestId: string): boolean {
		const own = this.#own.get(requestId.toLowerCase());
		if (!own) {
			return false;
		}

		const {clock, settings} = this.#options;
		const ageMs = Math.max(clock.monotonicMs() - own.wonAtMs, clock.now().getTime() - own.wonAtWallMs);
		return ageMs <= getMarginMs(settings);
	}

	/** Records the end of a claim that this entry won. */
	finish(requestId: string, end: ClaimEnd): void {
		const id = requestId.toLowerCase();
		const own = this.#own.get(id);
		if (!own) {
			return;
		}

		this.#own.delete(id);
		if (end.state === ClaimState.NotRun) {
			this.#release(id, own.claimId);
			return;
		}

		this.#writeEnd({
			type: ClaimItemType.End,
			requestId: id,
			claimId: own.claimId,
			state: end.state === ClaimState.Done ? ClaimState.Done : ClaimState.Unknown,
			status: end.status,
			body: end.body,
			contentType: end.contentType,
		});
	}

	lookup(requestId: string): ClaimStatus | undefined {
		const known = this.#fold.get(requestId.toLowerCase());
		return known && toStatus(known);
	}

	listOpen(): ClaimStatus[] {
		return this.#fold.listOpen().map(known => toStatus(known));
	}

	getStatus() {
		return {
			known: this.#fold.size,
			open: this.#fold.openCount,
			pending: this.#pending.size,
			unwritten: this.#writer.size,
			isLogDown: this.isLogDown,
			oldestIdMs: this.window.oldestMs,
		};
	}

	/** Writes claims and ends until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await this.#writer.run(signal);
	}

	/** Gives up what is pending, and writes what is not yet written. */
	async stop(): Promise<void> {
		for (const pending of this.#pending.values()) {
			this.#giveUp(pending);
		}

		this.#deadlines.stop();
		await this.#writer.flush();
	}

	onRecord({value}: LogRecord): void {
		const record = parseClaimRecord(value);
		if (this.#isAfterGap) {
			this.#isAfterGap = false;
			this.#raiseFloor(record.writtenAtMs + this.#options.settings.claims.maxClockErrorMs);
		}

		this.#fold.apply(record, (item, known) => {
			this.#onItem(item, known);
		});
	}

	/**
	Records before the oldest are gone. Guards against a log that kept less than the settings say: an id made before the
	oldest record that is left may have been claimed in one that is gone, and would run again.
	*/
	onGap(): void {
		this.#isAfterGap = true;
	}

	onPage({records, oldestOffset, endOffset}: LogPage): void {
		this.#noteLog(true);
		const lastOffset = records.at(-1)?.offset;
		this.#hasReadEnd ||= lastOffset === undefined || lastOffset + 1 >= endOffset;
		if (lastOffset === undefined && oldestOffset >= endOffset) {
			// With nothing left to read there is no oldest record to judge by: the retention of the settings is relied on.
			this.#isAfterGap = false;
		}

		this.#dropOld();
	}

	onUnavailable(): void {
		this.#noteLog(false);
	}

	#dropOld(): void {
		const {clock, settings} = this.#options;
		const nowMs = clock.now().getTime();
		// What was forgotten must not be claimed again, also when the wall clock is set back.
		this.#raiseFloor(this.#fold.dropBefore(this.window.oldestMs, nowMs - settings.log.retentionMs));
		this.#raiseFloor(this.#fold.shrinkTo(settings.claims.maxKnown));
	}

	#raiseFloor(floorMs: number | undefined): void {
		this.#floorMs = Math.max(this.#floorMs, floorMs ?? this.#floorMs);
	}

	#isWorthTrying(): boolean {
		const {clock, settings} = this.#options;
		if (this.#pending.size >= settings.claims.maxPending) {
			return false;
		}

		if (!this.isLogDown) {
			return true;
		}

		// One claim now and then finds out whether the log takes appends again.
		const nowMs = clock.monotonicMs();
		if (nowMs - this.#probedAtMs < probeEveryMs) {
			return false;
		}

		this.#probedAtMs = nowMs;
		return true;
	}

	#onItem(item: ClaimItem, known: KnownClaim | undefined): void {
		if (item.type === ClaimItemType.Release) {
			this.#releasing.delete(item.claimId);
			return;
		}

		const pending = item.type === ClaimItemType.Claim ? this.#pending.get(item.claimId) : undefined;
		if (pending && known) {
			this.#settle(pending, known);
		}
	}

	#settle(pending: PendingClaim, known: KnownClaim): void {
		const {item, deadlineMs, resolve} = pending;
		const {clock} = this.#options;
		if (known.claimId !== item.claimId) {
			this.#pending.delete(item.claimId);
			this.#writer.remove(item);
			resolve({isWon: false, claim: toStatus(known)});
			return;
		}

		// A paused entry may read its claim long after the caller was due an answer; the timer has not fired yet.
		// An id that has grown too old since may be forgotten here: the claim that looks first need not be.
		if (clock.monotonicMs() > deadlineMs || this.judge(item.requestId) !== undefined) {
			this.#giveUp(pending);
			return;
		}

		this.#pending.delete(item.claimId);
		this.#writer.remove(item);
		this.#own.set(item.requestId, {claimId: item.claimId, wonAtMs: clock.monotonicMs(), wonAtWallMs: clock.now().getTime()});
		resolve({isWon: true});
	}

	/** From here on the claim can never be dispatched by this entry; no other entry dispatches by it. */
	#giveUp({item, resolve}: PendingClaim): void {
		this.#pending.delete(item.claimId);
		if (!this.#writer.remove(item)) {
			this.#release(item.requestId, item.claimId);
		}

		resolve({isWon: false});
	}

	#release(requestId: string, claimId: string): void {
		const {settings, onEndDropped} = this.#options;
		if (this.#writer.size >= 2 * settings.claims.maxPending) {
			onEndDropped?.(requestId);
			return;
		}

		this.#releasing.add(claimId);
		this.#writer.add({type: ClaimItemType.Release, requestId, claimId});
	}

	#writeEnd(end: EndItem): void {
		const {settings, onEndDropped} = this.#options;
		this.#fold.applyEnd(end);
		const {maxPending} = settings.claims;
		if (this.#writer.size >= 2 * maxPending) {
			onEndDropped?.(end.requestId);
			return;
		}

		// While the log is down for long, ends wait in bounded memory; bodies go first.
		const isCrowded = this.#writer.size >= maxPending;
		this.#writer.add(isCrowded ? {...end, body: undefined, contentType: undefined} : end);
	}

	#isWanted(item: ClaimItem): boolean {
		return item.type === ClaimItemType.Claim ? this.#pending.has(item.claimId) : true;
	}

	#noteLog(isSuccess: boolean): void {
		if (isSuccess) {
			this.#failingSinceMs = undefined;
		} else {
			this.#failingSinceMs ??= this.#options.clock.monotonicMs();
		}
	}
}
