/**
Routing of one entry: keeps the loads that other entries report, asks for it while this entry is late, and bounds the calls that
it forwards and takes.
*/
import {ErrorCode, getMessage, isError} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {
	type EntryLoad, type EntryRegistration, type ForwardedReply, type ForwardClient,
} from '../types/entries.ts';
import {type Random} from '../types/random.ts';
import {
	areUneven, choosePolled, chooseTarget, getMaxAdmitted, getPressure, isFresh, isLate, maxForwarded, mayWithdraw, mustForward, type KnownEntry, type RoutingView,
} from './entry-routing.ts';

/** Options of the router. */
export type EntryRouterOptions = {
	own: EntryRegistration;
	client: Pick<ForwardClient, 'getLoad'>;
	clock: Clock;
	random: Random;
	getOthers: () => readonly EntryRegistration[];
	/** Load of this entry, apart from the calls that the router counts. */
	getOwnLoad: () => Omit<EntryLoad, 'openCalls'>;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** A call as it is logged: it is about a job, or a queue. */
export type RoutedCall = {kind: string; id?: string; queue?: string};

/** Answer to a call that was forwarded. */
export type RoutedReply<Reply> = ForwardedReply<Reply> & {
	tookMs: number;
	/** Whether the other entry may have carried out the call although it gave no answer. */
	isUnanswered: boolean;
};

/** Interval of asking others for their load while this entry is late. */
const pollIntervalMs = 250;
/** Interval of checking the own load otherwise; each call of a caller checks it as well. */
const checkIntervalMs = 1000;
const pollTimeoutMs = 400;
/** How long a call waits for the first answer about loads: entries answer within some ms. */
const pollWaitMs = 60;
/** An entry that gave no answer is left out for this long. */
const skipMs = 1000;
/** The same for one that refused: its answer has its load, which changes from moment to moment. */
const refusedSkipMs = 100;
/** The same for one to which no connection could be made: its host is most likely lost. */
const unreachedSkipMs = 5000;
/** An overloaded entry withdraws only after this: forwarding takes as long to show in the lateness of its timers. */
const withdrawAfterMs = 2000;
/** Minimum time between two log lines on calls that could not be forwarded. */
const reportIntervalMs = 1000;

/** Routes calls of one entry's callers, and admits those of other entries. */
export class EntryRouter {
	readonly #options: EntryRouterOptions;
	readonly #known = new Map<string, KnownEntry>();
	#isForwarding = false;
	#polling: Promise<unknown> | undefined;
	#isWithdrawn = false;
	#openCalls = 0;
	#forwarded = 0;
	#admitted = 0;
	#overloadedAtMs: number | undefined;
	#kept = 0;
	#reportedAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: EntryRouterOptions) {
		this.#options = options;
	}

	/** Whether this entry answers late and there are entries of another size. */
	get isForwarding(): boolean {
		this.#update();
		return this.#isForwarding;
	}

	/** Load of this entry, as it reports it to others. */
	getLoad(): EntryLoad {
		return {...this.#options.getOwnLoad(), openCalls: this.#openCalls + this.#admitted};
	}

	/** Follows the own load until the signal aborts; asks others for theirs while this entry is late. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			if (this.isForwarding) {
				await this.#pollOthers();
			}

			await this.#options.clock.sleep(this.#isForwarding ? pollIntervalMs : checkIntervalMs, signal);
		}
	}

	/** Counts a call of a caller while it is open. */
	async track<Reply>(call: Promise<Reply>): Promise<Reply> {
		this.#openCalls++;
		try {
			return await call;
		} finally {
			this.#openCalls--;
		}
	}

	/** Forwards a call to another entry; undefined if none has capacity, so that nothing was sent. */
	async forward<Reply>(call: RoutedCall, send: (address: string) => Promise<ForwardedReply<Reply>>): Promise<RoutedReply<Reply> | undefined> {
		await this.#waitForLoads();
		const target = this.#choose();
		if (!target) {
			return undefined;
		}

		const {clock, note} = this.#options;
		const {host, address} = target.registration;
		const startedAtMs = clock.monotonicMs();
		const getTookMs = () => clock.monotonicMs() - startedAtMs;
		this.#forwarded++;
		target.openCalls++;
		try {
			const {reply, load} = await send(address);
			this.#setLoad(target, load, startedAtMs);
			note('forwarded', {
				...call, host, reason: reply === undefined ? 'refused' : 'done', tookMs: Math.round(getTookMs()),
			});
			if (reply === undefined) {
				target.skippedUntilMs = clock.monotonicMs() + refusedSkipMs;
			}

			return {
				reply, load, isUnanswered: false, tookMs: getTookMs(),
			};
		} catch (error) {
			const isUnanswered = !isError(error, ErrorCode.PeerUnreached);
			this.#skip(target, isUnanswered ? skipMs : unreachedSkipMs);
			note('forwarded', {
				...call, host, reason: isUnanswered ? 'unanswered' : 'unreached', error: getMessage(error), tookMs: Math.round(getTookMs()),
			});
			return {isUnanswered, tookMs: getTookMs()};
		} finally {
			target.openCalls--;
			this.#forwarded--;
		}
	}

	/** Admits a call that another entry forwards; returns undefined if this entry is late itself or serves enough of them, otherwise what to call at its end. */
	tryAdmit(kind: string): (() => void) | undefined {
		const {own, note} = this.#options;
		const isBusy = isLate(this.getLoad());
		if (isBusy || this.#admitted >= getMaxAdmitted(own.processors ?? 0)) {
			note('forwarded call', {
				kind, reason: isBusy ? 'no capacity' : 'budget', openCalls: this.#openCalls, admitted: this.#admitted,
			});
			return undefined;
		}

		this.#admitted++;
		return () => {
			this.#admitted--;
			note('forwarded call', {kind, reason: 'done'});
		};
	}

	/** Whether this entry, overloaded or not, should be out of rotation because of its load. */
	isWithdrawn(isOverloaded: boolean): boolean {
		const {clock, getOthers, own, note} = this.#options;
		if (!areUneven([own, ...getOthers()])) {
			return isOverloaded;
		}

		const nowMs = clock.monotonicMs();
		this.#overloadedAtMs = isOverloaded ? this.#overloadedAtMs ?? nowMs : undefined;
		const isDue = this.#overloadedAtMs !== undefined && nowMs - this.#overloadedAtMs >= withdrawAfterMs;
		const isWithdrawn = isDue && mayWithdraw(this.#getView(), this.#isWithdrawn);
		if (isWithdrawn !== this.#isWithdrawn) {
			this.#isWithdrawn = isWithdrawn;
			note(isWithdrawn ? 'withdrawn' : 'back in rotation', {isOverloaded});
		}

		return isWithdrawn;
	}

	#update(): void {
		const {own, getOthers, note} = this.#options;
		const load = this.getLoad();
		const pressure = getPressure(load);
		const isForwarding = mustForward(pressure, this.#isForwarding) && areUneven([own, ...getOthers()]);
		if (isForwarding !== this.#isForwarding) {
			this.#isForwarding = isForwarding;
			note(isForwarding ? 'forwards' : 'stops forwarding', {
				pressure: round(pressure),
				lateShare: round(load.lateShare),
				linkShare: round(load.linkShare),
				stalenessMs: round(load.stalenessMs),
				openCalls: load.openCalls,
				isStoreFailing: load.isStoreFailing,
			});
		}
	}

	/** Waits a moment for the first loads: right after this entry has become late it knows none. */
	async #waitForLoads(): Promise<void> {
		const {others, nowMs} = this.#getView();
		if (others.some(entry => isFresh(entry, nowMs))) {
			return;
		}

		const aborter = new AbortController();
		await Promise.race([this.#pollOthers(), this.#options.clock.sleep(pollWaitMs, aborter.signal)]);
		aborter.abort();
	}

	async #pollOthers(): Promise<void> {
		const poll = async () => {
			await Promise.all(choosePolled(this.#getView(), this.#options.random).map(async entry => this.#poll(entry)));
			this.#polling = undefined;
		};

		this.#polling ??= poll();
		await this.#polling;
	}

	#choose(): KnownEntry | undefined {
		const target = this.#forwarded < maxForwarded ? chooseTarget(this.#getView(), this.getLoad(), this.#options.random) : undefined;
		if (!target) {
			this.#reportKept();
		}

		return target;
	}

	#reportKept(): void {
		const {clock, note} = this.#options;
		this.#kept++;
		const nowMs = clock.monotonicMs();
		if (nowMs - this.#reportedAtMs >= reportIntervalMs) {
			note('not forwarded', {
				reason: this.#forwarded < maxForwarded ? 'no capacity' : 'budget', calls: this.#kept, forwarded: this.#forwarded, known: this.#known.size,
			});
			this.#reportedAtMs = nowMs;
			this.#kept = 0;
		}
	}

	#getView(): RoutingView {
		const {own, getOthers, clock} = this.#options;
		const others = getOthers().map(registration => {
			let entry = this.#known.get(registration.host);
			if (entry?.registration.address !== registration.address) {
				entry = {
					registration, loadReadAtMs: Number.NEGATIVE_INFINITY, skippedUntilMs: Number.NEGATIVE_INFINITY, openCalls: 0,
				};
				this.#known.set(registration.host, entry);
			}

			entry.registration = registration;
			return entry;
		});
		return {own, others, nowMs: clock.monotonicMs()};
	}

	async #poll(entry: KnownEntry): Promise<void> {
		const startedAtMs = this.#options.clock.monotonicMs();
		try {
			this.#setLoad(entry, await this.#options.client.getLoad(entry.registration.address, pollTimeoutMs), startedAtMs);
		} catch (error) {
			this.#skip(entry, isError(error, ErrorCode.PeerUnreached) ? unreachedSkipMs : skipMs);
		}
	}

	/** Records a load, which is at most as old as the call that it answers. */
	#setLoad(entry: KnownEntry, load: EntryLoad | undefined, askedAtMs: number): void {
		if (load === undefined) {
			this.#skip(entry, unreachedSkipMs);
		} else if (askedAtMs >= entry.loadReadAtMs) {
			entry.load = load;
			entry.loadReadAtMs = askedAtMs;
		}
	}

	#skip(entry: KnownEntry, durationMs: number): void {
		entry.load = undefined;
		entry.skippedUntilMs = this.#options.clock.monotonicMs() + durationMs;
	}
}

const round = (value: number | undefined): number | undefined => value === undefined ? undefined : Number(value.toFixed(2));
