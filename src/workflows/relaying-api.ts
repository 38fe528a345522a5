/**
Job API that relays to other entries what this entry cannot do because the store refuses or does not answer its calls. Callers
on an open connection would otherwise be refused, or get an old state, although other entries can serve them.
*/
import {ErrorCode, getMessage, isError} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type EntryClient, type EntryRegistration} from '../types/entries.ts';
import {
	LookupOutcome, SubmitOutcome, type JobApi, type StateReply, type SubmitReply,
} from '../types/job-api.ts';
import {type QueueConfig, type SiteConfig} from '../types/site.ts';
import {type WorkflowSpec} from '../types/workflows.ts';
import {isFinal} from './folded-workflow.ts';

/** Options of the API. */
export type RelayingApiOptions = {
	/** Job API of this entry alone. */
	local: JobApi;
	client: EntryClient;
	clock: Clock;
	getOthers: () => readonly EntryRegistration[];
	/** Whether the store has not answered this entry for a while. */
	isStoreLost: () => boolean;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** A submission is relayed in parallel if the store, which normally answers within some ms, has not accepted it after this. */
const relayAfterMs = 250;
const maxTries = 3;
/** Entries asked while the store is not known to be lost: it may be unavailable to all entries, and each one asked delays the refusal. */
const maxEarlyTries = 1;
/** Another entry writes to the store within this; one that cannot refuses at once. */
const submitTimeoutMs = 800;
const lookupTimeoutMs = 300;
/** An entry that could not serve a call is not asked again for this long. */
const skipMs = 1000;
/** The same for an entry to which no connection could be made: its host is most likely lost, its registration remains, and each attempt delays a caller. */
const unreachedSkipMs = 10_000;

/** Bound on the jobs in `#open`: the callers of the oldest ones stop retrying long before as many new ones come. */
const maxOpen = 10_000;

const unansweredReply: SubmitReply = {outcome: SubmitOutcome.Unknown, reason: 'another entry was asked and gave no answer'};

/** Kinds of calls that are relayed. */
enum CallKind {
	Submit = 'submit',
	State = 'state',
	Cancel = 'cancel',
	Count = 'count',
}

/** A relayed call as it is logged: it is about a job, or a queue. */
type RelayedCall = {kind: CallKind; id?: string; queue?: string};

/** Asks one entry; resolves to undefined if it cannot serve the call. */
type Ask<Reply> = (address: string, timeoutMs: number) => Promise<Reply | undefined>;

/** Job API of an entry with the help of others. */
export class RelayingApi implements JobApi {
	readonly #options: RelayingApiOptions;
	/** Until when entries are skipped: by address, and by kind of call, since an entry that cannot give a state may accept jobs. */
	readonly #skippedUntilMs = new Map<string, number>();
	/** Jobs that another entry may have accepted without an answer. */
	readonly #open = new Set<string>();
	#next = 0;

	constructor(options: RelayingApiOptions) {
		this.#options = options;
	}

	getConfig(): SiteConfig | undefined {
		return this.#options.local.getConfig();
	}

	/** Submits to this entry and, if that takes long or fails, to others in parallel. A job that two entries have written is run once. */
	async submit(queue: QueueConfig, id: string, spec: WorkflowSpec, timeoutMs: number): Promise<SubmitReply> {
		const {local, clock} = this.#options;
		const endAtMs = clock.monotonicMs() + timeoutMs;
		const own = local.submit(queue, id, spec, timeoutMs);
		const early = await this.#settleWithin(own, relayAfterMs);
		if (early?.outcome === SubmitOutcome.Accepted) {
			return early;
		}

		if (early?.outcome === SubmitOutcome.Refused) {
			return this.#open.has(id) ? unansweredReply : early;
		}

		const relayed = this.#submitElsewhere(queue, id, spec, endAtMs);
		try {
			return await Promise.any([requireAccepted(own), requireAccepted(relayed)]);
		} catch {
			const replies = await Promise.all([own, relayed]);
			return replies.find(({outcome}) => outcome === SubmitOutcome.Unknown) ?? replies[0];
		}
	}

	async getState(queue: QueueConfig, id: string, timeoutMs: number): Promise<StateReply> {
		const {local, client, clock, isStoreLost} = this.#options;
		const endAtMs = clock.monotonicMs() + timeoutMs;
		const known = await local.getState(queue, id, isStoreLost() ? 0 : getOwnTimeMs(timeoutMs));
		if (known.outcome !== LookupOutcome.Unknown && !known.isOld) {
			return known;
		}

		const {reply} = await this.#ask({kind: CallKind.State, id}, {timeoutMs: lookupTimeoutMs, endAtMs}, async (address, askMs) => {
			const state = await client.getState(address, {queue: queue.name, id}, askMs);
			return state.outcome === LookupOutcome.Unknown || state.isOld ? undefined : state;
		});
		// A job that this entry has read exists, even if the other entry has not read it yet.
		return reply === undefined || (reply.outcome === LookupOutcome.Absent && known.outcome === LookupOutcome.Found) ? known : reply;
	}

	async cancel(queue: QueueConfig, id: string, timeoutMs: number): Promise<LookupOutcome> {
		const {local, client, clock, isStoreLost} = this.#options;
		if (!isStoreLost()) {
			return local.cancel(queue, id, timeoutMs);
		}

		const known = await local.getState(queue, id, 0);
		if (isFinished(known)) {
			return LookupOutcome.Found;
		}

		const {reply} = await this.#ask({kind: CallKind.Cancel, id}, {timeoutMs: submitTimeoutMs, endAtMs: clock.monotonicMs() + timeoutMs}, async (address, askMs) => {
			const outcome = await client.cancel(address, {queue: queue.name, id}, askMs);
			return outcome === LookupOutcome.Unknown ? undefined : outcome;
		});
		// A job that this entry has read exists, even if the other entry has not read it yet.
		return reply === undefined || (reply === LookupOutcome.Absent && known.outcome === LookupOutcome.Found) ? LookupOutcome.Unknown : reply;
	}

	async countPending(queue: QueueConfig, timeoutMs: number): Promise<number | undefined> {
		const {local, client, clock, isStoreLost} = this.#options;
		const endAtMs = clock.monotonicMs() + timeoutMs;
		const own = await local.countPending(queue, isStoreLost() ? 0 : getOwnTimeMs(timeoutMs));
		if (own !== undefined) {
			return own;
		}

		const {reply} = await this.#ask({kind: CallKind.Count, queue: queue.name}, {timeoutMs: lookupTimeoutMs, endAtMs}, async (address, askMs) => client.countPending(address, queue.name, askMs));
		return reply;
	}

	/** Submits to other entries. Resolves to not accepted only if none of those asked can have accepted the job. */
	async #submitElsewhere(queue: QueueConfig, id: string, spec: WorkflowSpec, endAtMs: number): Promise<SubmitReply> {
		const {client} = this.#options;
		let isOpen = false;
		const {reply, isUnanswered} = await this.#ask({kind: CallKind.Submit, id}, {timeoutMs: submitTimeoutMs, endAtMs}, async (address, askMs) => {
			const {outcome} = await client.submit(address, {queue: queue.name, id, spec}, askMs);
			isOpen ||= outcome === SubmitOutcome.Unknown;
			return outcome === SubmitOutcome.Accepted ? outcome : undefined;
		});
		if (reply !== undefined) {
			this.#open.delete(id);
			return {outcome: reply};
		}

		if (isOpen || isUnanswered) {
			this.#addOpen(id);
		}

		return this.#open.has(id)
			? unansweredReply
			: {outcome: SubmitOutcome.NotAccepted, reason: 'no other entry reaches the store'};
	}

	#addOpen(id: string): void {
		this.#open.add(id);
		if (this.#open.size > maxOpen) {
			this.#open.delete(this.#open.values().next().value!);
		}
	}

	/** Asks entries one after the other until one can serve the call. */
	async #ask<Reply>(call: RelayedCall, {timeoutMs, endAtMs}: {timeoutMs: number; endAtMs: number}, ask: Ask<Reply>): Promise<{reply?: Reply; isUnanswered: boolean}> {
		const {clock, note} = this.#options;
		let isUnanswered = false;
		for (const {host, address} of this.#choose(call.kind)) {
			const startedAtMs = clock.monotonicMs();
			const leftMs = endAtMs - startedAtMs;
			let pauseMs = skipMs;
			let key = getSkipKey(call.kind, address);
			if (leftMs <= 0) {
				break;
			}

			try {
				const reply = await ask(address, Math.min(timeoutMs, leftMs));
				note('relayed', {
					...call, host, reason: reply === undefined ? 'cannot help' : 'done', tookMs: Math.round(clock.monotonicMs() - startedAtMs),
				});
				if (reply !== undefined) {
					return {reply, isUnanswered};
				}
			} catch (error) {
				const isUnsent = isError(error, ErrorCode.PeerUnreached);
				isUnanswered ||= !isUnsent;
				if (isUnsent) {
					pauseMs = unreachedSkipMs;
					key = address;
				}

				note('relayed', {
					...call, host, reason: isUnsent ? 'unreached' : 'unanswered', error: getMessage(error),
				});
			}

			this.#skippedUntilMs.set(key, clock.monotonicMs() + pauseMs);
			this.#next++;
		}

		return {isUnanswered};
	}

	/** Chooses the entries to ask; the one that served the last call is first. */
	#choose(kind: CallKind): EntryRegistration[] {
		const nowMs = this.#options.clock.monotonicMs();
		const others = this.#options.getOthers();
		return others
			.map((_, index) => others[(this.#next + index) % others.length]!)
			.filter(({address}) => [address, getSkipKey(kind, address)].every(key => (this.#skippedUntilMs.get(key) ?? 0) <= nowMs))
			.slice(0, this.#options.isStoreLost() ? maxTries : maxEarlyTries);
	}

	async #settleWithin<Value>(promise: Promise<Value>, boundMs: number): Promise<Value | undefined> {
		const aborter = new AbortController();
		const expire = async (): Promise<undefined> => {
			await this.#options.clock.sleep(boundMs, aborter.signal);
		};

		const value = await Promise.race([promise, expire()]);
		aborter.abort();
		return value;
	}
}

/** Time for this entry's own read: the rest, at most half of all, is left to ask another entry. */
const getOwnTimeMs = (timeoutMs: number): number => Math.max(timeoutMs / 2, timeoutMs - lookupTimeoutMs);

const getSkipKey = (kind: CallKind, address: string): string => `${kind} ${address}`;

const isFinished = ({outcome, state}: StateReply): boolean => outcome === LookupOutcome.Found && isFinal(state!);

const requireAccepted = async (reply: Promise<SubmitReply>): Promise<SubmitReply> => {
	const known = await reply;
	if (known.outcome !== SubmitOutcome.Accepted) {
		throw new Error(known.reason ?? known.outcome);
	}

	return known;
};

/** Job API of an entry for others: serves them without relaying, and only while its own calls to the store succeed. */
export const createRelayTarget = (local: JobApi, isStoreFailing: () => boolean): Omit<JobApi, 'getConfig'> => ({
	async submit(queue, id, spec, timeoutMs) {
		return isStoreFailing()
			? {outcome: SubmitOutcome.NotAccepted, reason: 'the store is not reached'}
			: local.submit(queue, id, spec, timeoutMs);
	},
	async getState(queue, id, timeoutMs) {
		return isStoreFailing() ? {outcome: LookupOutcome.Unknown} : local.getState(queue, id, timeoutMs);
	},
	async cancel(queue, id, timeoutMs) {
		return isStoreFailing() ? LookupOutcome.Unknown : local.cancel(queue, id, timeoutMs);
	},
	countPending: async (queue, timeoutMs) => local.countPending(queue, isStoreFailing() ? 0 : timeoutMs),
});
