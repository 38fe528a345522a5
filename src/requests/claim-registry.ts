/**
Claims of request ids by one entry. The entry may dispatch a request only after it has read its own claim back from the
log as the first claim of that id.
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
	getIdLifetimeMs, getMarginMs, checkIdAgainstWindow, type IdWindow,
} from './claim-id.ts';
import {
	ClaimItemType, parseClaimRecord, type ClaimItem, type EndItem,
} from './claim-records.ts';
import {ClaimWriter} from './claim-writer.ts';
import {DeadlineHeap} from './deadline-heap.ts';

/** Options of a claim registry. */
export type ClaimRegistryOptions = {
	log: PlatformLog;
	clock: Clock;
	random: Random;
	entryId: string;
	settings: Pick<Settings, 'claims' | 'log'>;
	/** Returns the current minimum time between two appends; by default `claims.appendEveryMs`. */
	getAppendIntervalMs?(): number;
	onAppend?(isSuccess: boolean, error?: unknown): void;
	/** Called when an end or a release is dropped because the write buffer is full; the request stays listed as open. */
	onEndDropped?(requestId: string): void;
};

type PendingClaim = {
	item: Extract<ClaimItem, {type: ClaimItemType.Claim}>;
	deadlineMs: number;
	resolve(result: ClaimResult): void;
};

type WonClaim = {
	claimId: string;
	wonAtMs: number;
	wonAtWallMs: number;
};

const probeIntervalMs = 250;

/** Claims request ids for one entry and tracks the claims of all entries. */
export class ClaimRegistry implements LogFollower {
	readonly #options: ClaimRegistryOptions;
	readonly #fold = new ClaimFold();
	readonly #writer: ClaimWriter;
	readonly #deadlines: DeadlineHeap<PendingClaim>;
	readonly #pending = new Map<string, PendingClaim>();
	/** Claims that this entry won and has not finished, by request id. */
	readonly #won = new Map<string, WonClaim>();
	/** Ids of released claims whose release has not been read back from the log. */
	readonly #releasing = new Set<string>();
	#forgottenBeforeMs = Number.NEGATIVE_INFINITY;
	#isAfterGap = false;
	#hasReadEnd = false;
	#failingSinceMs: number | undefined;
	#probedAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: ClaimRegistryOptions) {
		const {log, clock, random, entryId, settings} = options;
		this.#options = options;
		this.#writer = new ClaimWriter({
			log,
			clock,
			random,
			entryId,
			getAppendIntervalMs: options.getAppendIntervalMs ?? (() => settings.claims.appendEveryMs),
			shouldRetry: item => this.#shouldRetry(item),
			onAppend: (isSuccess, error) => {
				this.#recordLogResult(isSuccess);
				options.onAppend?.(isSuccess, error);
			},
		});
		this.#deadlines = new DeadlineHeap<PendingClaim>({
			clock,
			isWaiting: pending => this.#pending.has(pending.item.claimId),
			onDue: pending => {
				this.#abandon(pending);
			},
		});
	}

	/** Number of claims without a known end. */
	get openCount(): number {
		return this.#fold.openCount;
	}

	/** Whether the stream has been read to its end at least once. */
	get hasReadEnd(): boolean {
		return this.#hasReadEnd;
	}

	/** Whether the log has failed for at least `claims.failFastAfterMs`; claims other than probes then fail at once. */
	get isLogDown(): boolean {
		const {clock, settings} = this.#options;
		return this.#failingSinceMs !== undefined && clock.monotonicMs() - this.#failingSinceMs >= settings.claims.failFastAfterMs;
	}

	/** Range of the creation times of ids that may be claimed now. */
	get window(): IdWindow {
		const {clock, settings} = this.#options;
		const nowMs = clock.now().getTime();
		return {
			oldestMs: Math.max(this.#forgottenBeforeMs, nowMs - getIdLifetimeMs(settings)),
			newestMs: nowMs + settings.claims.maxClockErrorMs,
		};
	}

	/** Returns why the id may not be claimed, or undefined if it may. */
	checkRequestId(requestId: string): RefusalReason | undefined {
		return checkIdAgainstWindow(requestId, this.window);
	}

	/** Claims the id. Only if the result has `isWon` may this entry dispatch the request, once. */
	async claim(requestId: string, service: string, timeoutMs: number): Promise<ClaimResult> {
		const id = requestId.toLowerCase();
		const known = this.#fold.get(id);
		if (known && known.state !== ClaimState.NotRun && !this.#releasing.has(known.claimId)) {
			return {isWon: false, claim: toStatus(known)};
		}

		if (this.checkRequestId(id) !== undefined || !this.#isWorthTrying()) {
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
	Tells whether the request of a won claim may still be dispatched; to be called right before the first byte is sent.
	Guards against an entry that was paused after it won: operators may meanwhile have resolved the request by hand.
	Both clocks are read, because one of them stops while a machine is suspended.
	*/
	isDispatchable(requestId: string): boolean {
		const won = this.#won.get(requestId.toLowerCase());
		if (!won) {
			return false;
		}

		const {clock, settings} = this.#options;
		const ageMs = Math.max(clock.monotonicMs() - won.wonAtMs, clock.now().getTime() - won.wonAtWallMs);
		return ageMs <= getMarginMs(settings);
	}

	/** Records how the request of a claim that this entry won ended. */
	finish(requestId: string, end: ClaimEnd): void {
		const id = requestId.toLowerCase();
		const won = this.#won.get(id);
		if (!won) {
			return;
		}

		this.#won.delete(id);
		if (end.state === ClaimState.NotRun) {
			this.#release(id, won.claimId);
			return;
		}

		this.#writeEnd({
			type: ClaimItemType.End,
			requestId: id,
			claimId: won.claimId,
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

	/** Writes claims, releases and ends until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await this.#writer.run(signal);
	}

	/** Abandons the pending claims and writes all items that are not written yet. */
	async stop(): Promise<void> {
		for (const pending of this.#pending.values()) {
			this.#abandon(pending);
		}

		this.#deadlines.stop();
		await this.#writer.flush();
	}

	onRecord({value}: LogRecord): void {
		const record = parseClaimRecord(value);
		if (this.#isAfterGap) {
			this.#isAfterGap = false;
			this.#raiseForgottenBefore(record.writtenAtMs + this.#options.settings.claims.maxClockErrorMs);
		}

		this.#fold.apply(record, (item, known) => {
			this.#onItem(item, known);
		});
	}

	/**
	Records expired from the log before they were read. Guards against a log that retains records for less than
	`log.retentionMs`: an id created before the oldest remaining record may have been claimed in an expired one, and its
	request would run again.
	*/
	onGap(): void {
		this.#isAfterGap = true;
	}

	onPage({records, oldestOffset, endOffset}: LogPage): void {
		this.#recordLogResult(true);
		const lastOffset = records.at(-1)?.offset;
		this.#hasReadEnd ||= lastOffset === undefined || lastOffset + 1 >= endOffset;
		if (lastOffset === undefined && oldestOffset >= endOffset) {
			// The log is empty, so there is no oldest record to derive a time from: the configured retention is relied on.
			this.#isAfterGap = false;
		}

		this.#dropOld();
	}

	onUnavailable(): void {
		this.#recordLogResult(false);
	}

	#dropOld(): void {
		const {clock, settings} = this.#options;
		const nowMs = clock.now().getTime();
		// Forgotten ids must not become claimable again, even if the wall clock is set back.
		this.#raiseForgottenBefore(this.#fold.dropBefore(this.window.oldestMs, nowMs - settings.log.retentionMs));
		this.#raiseForgottenBefore(this.#fold.shrinkTo(settings.claims.maxKnown));
	}

	#raiseForgottenBefore(timeMs: number | undefined): void {
		this.#forgottenBeforeMs = Math.max(this.#forgottenBeforeMs, timeMs ?? this.#forgottenBeforeMs);
	}

	#isWorthTrying(): boolean {
		const {clock, settings} = this.#options;
		if (this.#pending.size >= settings.claims.maxPending) {
			return false;
		}

		if (!this.isLogDown) {
			return true;
		}

		// One claim in each probe interval tests whether the log accepts appends again.
		const nowMs = clock.monotonicMs();
		if (nowMs - this.#probedAtMs < probeIntervalMs) {
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
			this.#resolvePending(pending, known);
		}
	}

	#resolvePending(pending: PendingClaim, known: KnownClaim): void {
		const {item, deadlineMs, resolve} = pending;
		const {clock} = this.#options;
		if (known.claimId !== item.claimId) {
			this.#pending.delete(item.claimId);
			this.#writer.remove(item);
			resolve({isWon: false, claim: toStatus(known)});
			return;
		}

		// An entry that was paused may read its claim long after the deadline, before the deadline timer fires.
		// An id that has become too old since may have been forgotten here, with an earlier claim of it.
		if (clock.monotonicMs() > deadlineMs || this.checkRequestId(item.requestId) !== undefined) {
			this.#abandon(pending);
			return;
		}

		this.#pending.delete(item.claimId);
		this.#writer.remove(item);
		this.#won.set(item.requestId, {claimId: item.claimId, wonAtMs: clock.monotonicMs(), wonAtWallMs: clock.now().getTime()});
		resolve({isWon: true});
	}

	/** Abandons a claim: this entry can no longer dispatch the request, and no other entry dispatches by this claim. */
	#abandon({item, resolve}: PendingClaim): void {
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

		// While the log is down for long, ends wait in a bounded buffer; bodies are dropped first.
		const isCrowded = this.#writer.size >= maxPending;
		this.#writer.add(isCrowded ? {...end, body: undefined, contentType: undefined} : end);
	}

	#shouldRetry(item: ClaimItem): boolean {
		return item.type === ClaimItemType.Claim ? this.#pending.has(item.claimId) : true;
	}

	#recordLogResult(isSuccess: boolean): void {
		if (isSuccess) {
			this.#failingSinceMs = undefined;
		} else {
			this.#failingSinceMs ??= this.#options.clock.monotonicMs();
		}
	}
}
