/**
Job API of an entry: answers callers from the fold of the jobs stream and appends their jobs to it.

A job is accepted once its record is in the stream. The outcome is "not accepted" only if the job never will be: no record was
sent, or the store refused it. Otherwise the outcome is unknown, and the caller submits again under the same id.
*/
import {ProducerWriter, WriteOutcome, type WriterEventHandler} from '../core/producer-writer.ts';
import {getPartition} from '../core/partitions.ts';
import {type Clock} from '../types/clock.ts';
import {
	LookupOutcome, SubmitOutcome, type JobApi, type StateReply, type SubmitReply,
} from '../types/job-api.ts';
import {type QueueConfig, type SiteConfig} from '../types/site.ts';
import {type StoreClient} from '../types/store.ts';
import {type WorkflowSpec} from '../types/workflows.ts';
import {isFinal, type FoldedWorkflow} from './fold.ts';
import {type WorkflowFollower} from './follower.ts';
import {encodeRecord, RecordType, workflowsTopic} from './records.ts';

/** Options of the API. */
export type WorkflowApiOptions = {
	store: StoreClient;
	clock: Clock;
	partitions: number;
	/** Name of this entry's producer; differs for each start of the process. */
	producer: string;
	maxCallBytes: number;
	getConfig: () => SiteConfig | undefined;
	getFollower: (partition: number) => WorkflowFollower;
	/** Whether the store has not answered this entry for a while. */
	isStoreLost: () => boolean;
	onWriterEvent: WriterEventHandler;
};

/** Records are batched for this long: at the peak some ten a second come to an entry. */
const gatherMs = 2;
/** A record that the store has refused for this long is not accepted, so that the caller tries another entry. */
const recordExpiryMs = 400;
/** Retry interval proposed to callers: a few retries this far apart outlast an outage of the store. */
const retryAfterMs = 2000;
/** Counts and states that callers get may be this old. */
const maxStalenessMs = 2000;
/** Time-out of reading to the end of the stream; after it the state of a job that was not found is unknown. */
const catchUpMs = 1200;

/** Job API of one entry. */
export class WorkflowApi implements JobApi {
	readonly #options: WorkflowApiOptions;
	readonly #writers = new Map<number, ProducerWriter>();
	/** Jobs whose outcome was reported as unknown: their record may still be stored. */
	readonly #open = new Set<string>();

	constructor(options: WorkflowApiOptions) {
		this.#options = options;
	}

	getConfig(): SiteConfig | undefined {
		return this.#options.getConfig();
	}

	async submit(queue: QueueConfig, id: string, spec: WorkflowSpec, timeoutMs: number): Promise<SubmitReply> {
		const partition = this.#getPartition(queue);
		if (this.#find(queue, id)) {
			return {outcome: SubmitOutcome.Accepted};
		}

		// The job may still be stored, so "not accepted" would be wrong.
		if (this.#open.has(id)) {
			return {outcome: SubmitOutcome.Unknown, reason: 'an earlier record of it is still open'};
		}

		// Refuse at once: a store that does not answer would keep the caller waiting until its deadline.
		if (this.#options.isStoreLost()) {
			return {outcome: SubmitOutcome.NotAccepted, retryAfterMs, reason: 'the store is not reached'};
		}

		const outcome = await this.#write(partition, encodeRecord({
			type: RecordType.Submit,
			workflow: {
				...spec,
				id,
				queue: queue.name,
				service: queue.service,
				priority: queue.priority,
				maxAttempts: queue.maxAttempts,
				stretch: queue.stretch,
				targetLatencyMs: queue.targetLatencyMs,
				needsAdvice: queue.advice !== undefined,
				receivedAtMs: this.#options.clock.now().getTime(),
			},
		}), timeoutMs);
		if (outcome === WriteOutcome.Stored) {
			return {outcome: SubmitOutcome.Accepted};
		}

		if (outcome === WriteOutcome.Unknown) {
			this.#open.add(id);
		}

		return outcome === WriteOutcome.NotStored
			? {outcome: SubmitOutcome.NotAccepted, retryAfterMs, reason: 'the store takes nothing'}
			: {outcome: SubmitOutcome.Unknown, reason: 'the store gave no answer'};
	}

	async getState(queue: QueueConfig, id: string, timeoutMs: number): Promise<StateReply> {
		const follower = this.#options.getFollower(this.#getPartition(queue));
		const known = this.#find(queue, id);
		if (known && (isFinal(known.state) || isRecent(follower))) {
			return {outcome: LookupOutcome.Found, state: known.state};
		}

		const isCaughtUp = await follower.catchUp(Math.min(catchUpMs, timeoutMs));
		const found = this.#find(queue, id);
		if (found) {
			return {outcome: LookupOutcome.Found, state: found.state, isOld: !isCaughtUp && !isFinal(found.state)};
		}

		return {outcome: isCaughtUp ? LookupOutcome.Absent : LookupOutcome.Unknown};
	}

	async cancel(queue: QueueConfig, id: string, timeoutMs: number): Promise<LookupOutcome> {
		const startedAtMs = this.#options.clock.monotonicMs();
		// The record cancels a known job however old its state is, so only an unknown one has to be read.
		const known = this.#find(queue, id);
		const {outcome, state} = known ? {outcome: LookupOutcome.Found, state: known.state} : await this.getState(queue, id, timeoutMs);
		if (outcome !== LookupOutcome.Found || isFinal(state!)) {
			return outcome;
		}

		if (this.#options.isStoreLost()) {
			return LookupOutcome.Unknown;
		}

		const remainingMs = Math.max(1, timeoutMs - (this.#options.clock.monotonicMs() - startedAtMs));
		const written = await this.#write(this.#getPartition(queue), encodeRecord({type: RecordType.Cancel, id}), remainingMs);
		return written === WriteOutcome.Stored ? LookupOutcome.Found : LookupOutcome.Unknown;
	}

	async countPending(queue: QueueConfig, timeoutMs: number): Promise<number | undefined> {
		const follower = this.#options.getFollower(this.#getPartition(queue));
		return isRecent(follower) || await follower.catchUp(Math.min(catchUpMs, timeoutMs)) ? follower.fold.countPending(queue.name) : undefined;
	}

	#getPartition(queue: QueueConfig): number {
		return getPartition(queue.service, this.#options.partitions);
	}

	#find(queue: QueueConfig, id: string): FoldedWorkflow | undefined {
		return this.#options.getFollower(this.#getPartition(queue)).fold.workflows.get(id);
	}

	async #write(partition: number, value: Parameters<ProducerWriter['write']>[0], timeoutMs: number): Promise<WriteOutcome> {
		let writer = this.#writers.get(partition);
		if (!writer) {
			const {store, clock, producer, maxCallBytes, onWriterEvent: onWriterNote} = this.#options;
			writer = new ProducerWriter({
				store, clock, ref: {topic: workflowsTopic, partition}, producer, epoch: 1, lingerMs: gatherMs, expireAfterMs: recordExpiryMs, maxBatchBytes: maxCallBytes / 2, onEvent: onWriterNote,
			});
			this.#writers.set(partition, writer);
		}

		return writer.write(value, timeoutMs);
	}
}

const isRecent = ({stalenessMs}: WorkflowFollower): boolean => stalenessMs !== undefined && stalenessMs <= maxStalenessMs;
