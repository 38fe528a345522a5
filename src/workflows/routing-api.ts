/**
Job API of an entry that forwards the work of calls to another entry while it would answer late itself. What it can prove from its own view
of the jobs it answers itself, since that costs less than a call.
*/
import {type Clock} from '../types/clock.ts';
import {type EntryLoad, type ForwardClient} from '../types/entries.ts';
import {
	LookupOutcome, SubmitOutcome, type JobApi, type StateReply, type SubmitReply,
} from '../types/job-api.ts';
import {type QueueConfig, type SiteConfig} from '../types/site.ts';
import {type WorkflowSpec} from '../types/workflows.ts';
import {type EntryRouter, type RoutedReply} from './entry-router.ts';
import {isFinal} from './folded-workflow.ts';

/** Options of the API. */
export type RoutingApiOptions = {
	/** Job API of this entry alone. */
	local: JobApi;
	/** Job API that does a call which is not forwarded. */
	fallback: JobApi;
	router: EntryRouter;
	client: ForwardClient;
	clock: Clock;
};

/** Another entry writes to the store within this. */
const submitTimeoutMs = 800;
const lookupTimeoutMs = 300;
/** A job that the other entry has not accepted after this is written by this entry as well: longer than a call to a slow store takes. */
const ownSubmitAfterMs = 400;
/** Counts and states that callers get may be this old. */
const maxStalenessMs = 2000;
/** Bound on the jobs whose outcome at another entry is open: callers of the oldest ones stop retrying long before as many new ones come. */
const maxOpen = 10_000;

/** Job API of one entry. */
export class RoutingApi implements JobApi {
	readonly #options: RoutingApiOptions;
	/** Jobs that another entry may have accepted without an answer. */
	readonly #unanswered = new Set<string>();
	/** Number of calls that are on their way with a job. */
	readonly #inFlight = new Map<string, number>();

	constructor(options: RoutingApiOptions) {
		this.#options = options;
	}

	getConfig(): SiteConfig | undefined {
		return this.#options.local.getConfig();
	}

	async submit(queue: QueueConfig, id: string, spec: WorkflowSpec, timeoutMs: number): Promise<SubmitReply> {
		const {router, fallback} = this.#options;
		const reply = await router.track(this.#mayForward(queue) ? this.#submitRouted(queue, id, spec, timeoutMs) : fallback.submit(queue, id, spec, timeoutMs));
		if (reply.outcome === SubmitOutcome.Accepted) {
			this.#unanswered.delete(id);
			return reply;
		}

		return reply.outcome !== SubmitOutcome.Unknown && this.#isOpen(id)
			? {outcome: SubmitOutcome.Unknown, reason: 'the job was forwarded to another entry, which gave no answer'}
			: reply;
	}

	async getState(queue: QueueConfig, id: string, timeoutMs: number): Promise<StateReply> {
		const {router, fallback} = this.#options;
		return router.track(this.#mayForward(queue) ? this.#getStateRouted(queue, id, timeoutMs) : fallback.getState(queue, id, timeoutMs));
	}

	async cancel(queue: QueueConfig, id: string, timeoutMs: number): Promise<LookupOutcome> {
		const {router, fallback} = this.#options;
		return router.track(this.#mayForward(queue) ? this.#cancelRouted(queue, id, timeoutMs) : fallback.cancel(queue, id, timeoutMs));
	}

	async countPending(queue: QueueConfig, timeoutMs: number): Promise<number | undefined> {
		const {router, fallback} = this.#options;
		return router.track(this.#mayForward(queue) ? this.#countRouted(queue, timeoutMs) : fallback.countPending(queue, timeoutMs));
	}

	/** Queues without a name cannot be named to another entry. */
	#mayForward({name}: QueueConfig): boolean {
		return name !== '' && this.#options.router.isForwarding;
	}

	async #submitRouted(queue: QueueConfig, id: string, spec: WorkflowSpec, timeoutMs: number): Promise<SubmitReply> {
		const {fallback, clock} = this.#options;
		const getLeftMs = this.#startTimer(timeoutMs);
		const forwarded = this.#submitElsewhere(queue, id, spec, Math.min(submitTimeoutMs, timeoutMs));
		const aborter = new AbortController();
		const early = await Promise.race([forwarded, clock.sleep(Math.min(ownSubmitAfterMs, timeoutMs / 2), aborter.signal)]);
		aborter.abort();
		// A submission that this entry sent before it has read the other one's refusal would be void.
		if (early?.outcome === SubmitOutcome.Accepted || early?.outcome === SubmitOutcome.Refused) {
			return early;
		}

		const own = fallback.submit(queue, id, spec, getLeftMs());
		const first = await Promise.race([own, forwarded]);
		if (first.outcome === SubmitOutcome.Accepted) {
			return first;
		}

		const replies = await Promise.all([own, forwarded]);
		return replies.find(({outcome}) => outcome === SubmitOutcome.Accepted) ?? replies[0];
	}

	/** Forwards a job to another entry; what is not accepted has not been sent, or was refused by that entry. */
	async #submitElsewhere(queue: QueueConfig, id: string, spec: WorkflowSpec, timeoutMs: number): Promise<SubmitReply> {
		const {router, client} = this.#options;
		this.#inFlight.set(id, (this.#inFlight.get(id) ?? 0) + 1);
		const forwarded = await router.forward({kind: 'submit', id}, async address => client.submit(address, {queue: queue.name, id, spec}, timeoutMs));
		this.#removeInFlight(id);
		if (forwarded !== undefined && (forwarded.isUnanswered || forwarded.reply?.outcome === SubmitOutcome.Unknown)) {
			this.#addUnanswered(id);
		}

		return forwarded?.reply ?? {outcome: SubmitOutcome.NotAccepted};
	}

	async #getStateRouted(queue: QueueConfig, id: string, timeoutMs: number): Promise<StateReply> {
		const {local, fallback, router, client} = this.#options;
		const known = await local.getState(queue, id, 0);
		if (known.outcome === LookupOutcome.Found && !known.isOld) {
			return known;
		}

		const getLeftMs = this.#startTimer(timeoutMs);
		const forwarded = await router.forward({kind: 'state', id}, async address => client.getState(address, {queue: queue.name, id}, Math.min(lookupTimeoutMs, timeoutMs / 2)));
		const reply = forwarded?.reply;
		const isProven = reply !== undefined && (reply.outcome === LookupOutcome.Found
			? !reply.isOld && (isFinal(reply.state!) || isRecent(forwarded!))
			// A job that this entry has read exists, even if the other entry has not read it yet.
			: reply.outcome === LookupOutcome.Absent && known.outcome !== LookupOutcome.Found);
		return isProven ? reply : fallback.getState(queue, id, getLeftMs());
	}

	async #cancelRouted(queue: QueueConfig, id: string, timeoutMs: number): Promise<LookupOutcome> {
		const {local, fallback, router, client} = this.#options;
		const known = await local.getState(queue, id, 0);
		if (known.outcome === LookupOutcome.Found && isFinal(known.state!)) {
			return LookupOutcome.Found;
		}

		const getLeftMs = this.#startTimer(timeoutMs);
		const forwarded = await router.forward({kind: 'cancel', id}, async address => client.cancel(address, {queue: queue.name, id}, Math.min(submitTimeoutMs, timeoutMs / 2)));
		const outcome = forwarded?.reply;
		return outcome === LookupOutcome.Found || (outcome === LookupOutcome.Absent && known.outcome !== LookupOutcome.Found)
			? outcome
			: fallback.cancel(queue, id, getLeftMs());
	}

	async #countRouted(queue: QueueConfig, timeoutMs: number): Promise<number | undefined> {
		const {local, fallback, router, client} = this.#options;
		const own = await local.countPending(queue, 0);
		if (own !== undefined) {
			return own;
		}

		const getLeftMs = this.#startTimer(timeoutMs);
		const forwarded = await router.forward({kind: 'count', queue: queue.name}, async address => client.countPending(address, queue.name, Math.min(lookupTimeoutMs, timeoutMs / 2)));
		return forwarded?.reply !== undefined && isRecent(forwarded) ? forwarded.reply : fallback.countPending(queue, getLeftMs());
	}

	/** Returns what tells the time that is left. */
	#startTimer(timeoutMs: number): () => number {
		const {clock} = this.#options;
		const endAtMs = clock.monotonicMs() + timeoutMs;
		return () => Math.max(1, endAtMs - clock.monotonicMs());
	}

	#isOpen(id: string): boolean {
		return this.#unanswered.has(id) || this.#inFlight.has(id);
	}

	#removeInFlight(id: string): void {
		const others = this.#inFlight.get(id)! - 1;
		if (others === 0) {
			this.#inFlight.delete(id);
		} else {
			this.#inFlight.set(id, others);
		}
	}

	#addUnanswered(id: string): void {
		this.#unanswered.add(id);
		if (this.#unanswered.size > maxOpen) {
			this.#unanswered.delete(this.#unanswered.values().next().value!);
		}
	}
}

/** Whether an answer of another entry is recent now: its age there, and the time that the call took. */
const isRecent = ({load, tookMs}: RoutedReply<unknown> & {load?: EntryLoad}): boolean =>
	load?.stalenessMs !== undefined && load.stalenessMs + tookMs <= maxStalenessMs;
