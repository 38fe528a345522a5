/**
Job API of an entry: answers callers from the fold of the jobs stream and appends their jobs to it.

A job is accepted once its record is in the stream. The outcome is "not accepted" only if the job never will be: no record was sent, or the
store refused it. Otherwise the outcome is unknown, and the caller submits again under the same id.

All jobs of a queue are appended to its home partition, whatever service operators send it to: a job that is submitted again is one job, also
between entries of different configurations.

Refusals of jobs that are known not to be served are records too. The order of the stream decides between a refusal and attempts at other
entries: a submission that was sent without knowing of a refusal in front of it is void, and nobody runs it.

A cancellation is a record whether or not the job is known: attempts to submit it may be on their way, and end as one cancelled job.
*/
import {ProducerWriter, WriteOutcome, type WriterEventHandler} from '../core/producer-writer.ts';
import {type Clock} from '../types/clock.ts';
import {
	LookupOutcome, SubmitOutcome, type JobApi, type StateReply, type SubmitReply,
} from '../types/job-api.ts';
import {type Random} from '../types/random.ts';
import {type QueueConfig, type SiteConfig} from '../types/site.ts';
import {type StoreClient} from '../types/store.ts';
import {WorkflowState, type Workflow, type WorkflowSpec} from '../types/workflows.ts';
import {isFinal} from './folded-workflow.ts';
import {type WorkflowFollower} from './follower.ts';
import {decideAdmission, type Refusal} from './job-admission.ts';
import {isRecent, JobPlaces} from './job-places.ts';
import {type QueueHomes} from './queue-homes.ts';
import {encodeRecord, RecordType, workflowsTopic} from './records.ts';

/** Admission of jobs at one entry. */
export type AdmissionOptions = {
	/** Whether jobs are refused that would end too late. */
	refusesLate: boolean;
	random: Pick<Random, 'next'>;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Options of the API. */
export type WorkflowApiOptions = {
	store: StoreClient;
	clock: Clock;
	partitions: number;
	homes: Pick<QueueHomes, 'get' | 'claim' | 'refresh'>;
	/** Name of this entry's producer; differs for each start of the process. */
	producer: string;
	maxCallBytes: number;
	getConfig: () => SiteConfig | undefined;
	getFollower: (partition: number) => WorkflowFollower;
	/** Whether the store has not answered this entry for a while. */
	isStoreLost: () => boolean;
	onWriterEvent: WriterEventHandler;
	/** Undefined: no job is refused while the store is reached. */
	admission?: AdmissionOptions | undefined;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Records are batched for this long: at the peak some ten a second come to an entry. */
const gatherMs = 2;
/** A record that the store has refused for this long is not accepted, so that the caller tries another entry. */
const recordExpiryMs = 400;
/** Retry interval proposed to callers: a few retries this far apart outlast an outage of the store. */
const retryAfterMs = 2000;
/** Time-out of reading to the end of the stream; after it the state of a job that was not found is unknown. */
const catchUpMs = 1200;
/** Accepted jobs whose records this entry may not have read yet. */
const maxPromised = 500;
/** A caller that has waited longer may have given up and come to another entry, which may have refused the job since. */
const maxPromptMs = 1000;

/** Job API of one entry. */
export class WorkflowApi implements JobApi {
	readonly #options: WorkflowApiOptions;
	readonly #places: JobPlaces;
	readonly #writers = new Map<number, ProducerWriter>();
	/** Jobs whose outcome was reported as unknown: their record may still be stored. */
	readonly #open = new Set<string>();
	/** Jobs that were reported as accepted, by id: the newest ones. */
	readonly #promised = new Map<string, {partition: number; workflow: Workflow}>();
	/** Those of them whose record was void, until they are stored again. */
	readonly #resubmitting = new Set<string>();

	constructor(options: WorkflowApiOptions) {
		this.#options = options;
		this.#places = new JobPlaces(options);
	}

	getConfig(): SiteConfig | undefined {
		return this.#options.getConfig();
	}

	async submit(queue: QueueConfig, id: string, spec: WorkflowSpec, timeoutMs: number): Promise<SubmitReply> {
		const {admission, homes, clock, getFollower, note} = this.#options;
		const endAtMs = clock.monotonicMs() + timeoutMs;
		const hasHome = homes.get(queue) !== undefined;
		// Without admission nothing would submit a job again whose record is void, so its records are always valid. Without a home no stream is known to have been read.
		const asOf = admission && (hasHome ? getFollower(this.#places.getHomePartition(queue)).fold.offset : 0);
		if (this.#places.getJob(queue, id)) {
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

		if (!hasHome && await homes.claim(queue, timeoutMs) === undefined) {
			return {outcome: SubmitOutcome.NotAccepted, retryAfterMs, reason: 'the store takes no home of the queue'};
		}

		const refusal = this.#decide(queue, id, spec);
		const refused = refusal && await this.#refuse(queue, id, refusal, timeoutMs);
		if (refused) {
			return refused;
		}

		const workflow = this.#createWorkflow(queue, id, spec);
		if (getFollower(this.#places.getHomePartition(queue)).fold.cancellations.includes(id, workflow.receivedAtMs)) {
			note('cancelled id submitted', {id, queue: queue.name});
		}

		const outcome = await this.#write(this.#places.getHomePartition(queue), encodeRecord({type: RecordType.Submit, workflow, asOf}), Math.max(1, endAtMs - clock.monotonicMs()));
		if (outcome === WriteOutcome.Stored) {
			return this.#confirm(queue, workflow, {endAtMs, timeoutMs});
		}

		if (outcome === WriteOutcome.Unknown) {
			this.#open.add(id);
		}

		return outcome === WriteOutcome.NotStored
			? {outcome: SubmitOutcome.NotAccepted, retryAfterMs, reason: 'the store takes nothing'}
			: {outcome: SubmitOutcome.Unknown, reason: 'the store gave no answer'};
	}

	async getState(queue: QueueConfig, id: string, timeoutMs: number): Promise<StateReply> {
		const places = this.#places;
		const known = places.getJob(queue, id);
		if (known && (isFinal(known.state) || places.isRecent(queue, id))) {
			return {outcome: LookupOutcome.Found, state: known.state};
		}

		const {homes, clock} = this.#options;
		const endAtMs = clock.monotonicMs() + Math.min(catchUpMs, timeoutMs);
		const isHomeKnown = homes.get(queue) !== undefined || await homes.refresh(endAtMs - clock.monotonicMs());
		const isCaughtUp = await places.catchUp(queue, id, endAtMs - clock.monotonicMs()) && isHomeKnown;
		const found = places.getJob(queue, id);
		if (found) {
			return {outcome: LookupOutcome.Found, state: found.state, isOld: !isCaughtUp && !isFinal(found.state)};
		}

		if (this.#resubmitting.has(id)) {
			return {outcome: LookupOutcome.Found, state: WorkflowState.Queued};
		}

		return {outcome: isCaughtUp ? LookupOutcome.Absent : LookupOutcome.Unknown};
	}

	async cancel(queue: QueueConfig, id: string, timeoutMs: number): Promise<LookupOutcome> {
		const {clock, isStoreLost} = this.#options;
		const endAtMs = clock.monotonicMs() + timeoutMs;
		const getLeftMs = () => Math.max(1, endAtMs - clock.monotonicMs());
		// The record cancels a known job however old its state is, so only an unknown one has to be read.
		const known = this.#places.getJob(queue, id);
		const {outcome, state} = known ? {outcome: LookupOutcome.Found, state: known.state} : await this.getState(queue, id, timeoutMs);
		if (outcome === LookupOutcome.Unknown || (outcome === LookupOutcome.Found && isFinal(state!))) {
			return outcome;
		}

		if (isStoreLost()) {
			return LookupOutcome.Unknown;
		}

		if (outcome === LookupOutcome.Absent) {
			return this.#cancelUnknown(queue, id, getLeftMs());
		}

		return await this.#writeCancellation(queue, id, getLeftMs()) ? outcome : LookupOutcome.Unknown;
	}

	async countPending(queue: QueueConfig, timeoutMs: number): Promise<number | undefined> {
		return this.#places.countPending(queue, Math.min(catchUpMs, timeoutMs));
	}

	/** Cancels an id without a job; resolves to absent only if that is stored, and no attempt that is on its way will run. */
	async #cancelUnknown(queue: QueueConfig, id: string, timeoutMs: number): Promise<LookupOutcome> {
		const {clock, homes, getFollower, note} = this.#options;
		const endAtMs = clock.monotonicMs() + timeoutMs;
		// An attempt that is on its way may claim a home that is not known here.
		if (await homes.claim(queue, timeoutMs) === undefined) {
			return LookupOutcome.Unknown;
		}

		const {cancellations} = getFollower(this.#places.getHomePartition(queue)).fold;
		const wallMs = clock.now().getTime();
		if (cancellations.isRecent(id, wallMs)) {
			return LookupOutcome.Absent;
		}

		if (!cancellations.hasRoom(wallMs)) {
			note('cancellation refused', {id, queue: queue.name, reason: 'too many cancelled ids'});
			return LookupOutcome.Unknown;
		}

		if (!await this.#writeCancellation(queue, id, Math.max(1, endAtMs - clock.monotonicMs()))) {
			return LookupOutcome.Unknown;
		}

		note('unknown id cancelled', {id, queue: queue.name});
		return this.#places.getJob(queue, id) ? LookupOutcome.Found : LookupOutcome.Absent;
	}

	/** Writes a cancellation to each stream that has the job, or may have it later; resolves to whether all of them have stored it. */
	async #writeCancellation(queue: QueueConfig, id: string, timeoutMs: number): Promise<boolean> {
		const record = encodeRecord({type: RecordType.Cancel, id, cancelledAtMs: this.#options.clock.now().getTime()});
		const outcomes = await Promise.all(this.#places.getCandidates(queue, id).map(async partition => this.#write(partition, record, timeoutMs)));
		return outcomes.every(outcome => outcome === WriteOutcome.Stored);
	}

	/** Decides on a job by what the newest owner has published; undefined: it is accepted. */
	#decide(queue: QueueConfig, id: string, spec: WorkflowSpec): Refusal | undefined {
		const {clock, admission, getConfig} = this.#options;
		const follower = this.#options.getFollower(this.#places.getServicePartition(queue));
		const read = follower.fold.admission.forecasts.get(queue.service);
		if (!admission || !read || !isRecent(follower)) {
			return undefined;
		}

		const input = {
			spec,
			queue,
			forecast: read.forecast,
			forecastAgeMs: clock.monotonicMs() - read.writtenAfterMs,
			waitedMs: this.#getWaitedMs(queue, id),
			mayFleetGrow: getConfig()?.services.some(({isSpare}) => isSpare) ?? false,
			...admission,
		};
		const refusal = decideAdmission(input);
		if (refusal) {
			admission.note('job refused', {
				id, queue: queue.name, ...refusal, waitedMs: Math.round(input.waitedMs), forecastAgeMs: Math.round(input.forecastAgeMs), epoch: read.forecast.epoch,
			});
		}

		return refusal;
	}

	/** Stores a refusal, and reads whether the job is in the stream before it. Resolves to undefined if the store does not take it. */
	async #refuse(queue: QueueConfig, id: string, {reason, retryAfterMs: afterMs}: Refusal, timeoutMs: number): Promise<SubmitReply | undefined> {
		const partition = this.#places.getHomePartition(queue);
		const endAtMs = this.#options.clock.monotonicMs() + timeoutMs;
		const outcome = await this.#write(partition, encodeRecord({type: RecordType.Refused, id}), timeoutMs);
		if (outcome === WriteOutcome.NotStored) {
			return undefined;
		}

		const leftMs = endAtMs - this.#options.clock.monotonicMs();
		if (outcome !== WriteOutcome.Stored || !await this.#options.getFollower(partition).catchUp(Math.min(catchUpMs, leftMs))) {
			return {outcome: SubmitOutcome.Unknown, reason: 'an earlier record of it may be stored'};
		}

		return this.#places.getJob(queue, id) ? {outcome: SubmitOutcome.Accepted} : {outcome: SubmitOutcome.Refused, retryAfterMs: afterMs, reason};
	}

	/** Reply for a job whose record is stored: valid, unless the job was refused since the attempt came. */
	async #confirm(queue: QueueConfig, workflow: Workflow, {endAtMs, timeoutMs}: {endAtMs: number; timeoutMs: number}): Promise<SubmitReply> {
		const partition = this.#places.getHomePartition(queue);
		const leftMs = endAtMs - this.#options.clock.monotonicMs();
		if (!this.#options.admission || timeoutMs - leftMs <= maxPromptMs) {
			this.#addPromised(partition, workflow);
			return {outcome: SubmitOutcome.Accepted};
		}

		if (!await this.#options.getFollower(partition).catchUp(Math.min(catchUpMs, leftMs))) {
			return {outcome: SubmitOutcome.Unknown, reason: 'its record was not read in time'};
		}

		return this.#places.getJob(queue, workflow.id) ? {outcome: SubmitOutcome.Accepted} : {outcome: SubmitOutcome.NotAccepted, retryAfterMs, reason: 'another entry has refused it'};
	}

	#createWorkflow(queue: QueueConfig, id: string, spec: WorkflowSpec): Workflow {
		const waitedMs = this.#getWaitedMs(queue, id);
		return {
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
			...(waitedMs > 0 && {waitedMs: Math.round(waitedMs)}),
		};
	}

	/** Time since the first refusal of the job was read. */
	#getWaitedMs(queue: QueueConfig, id: string): number {
		const refused = this.#options.getFollower(this.#places.getHomePartition(queue)).fold.admission.getRefusal(id);
		return refused?.firstReadAtMs === undefined ? 0 : this.#options.clock.monotonicMs() - refused.firstReadAtMs;
	}

	/** Keeps an accepted job until its record was read: this entry may not have known of a refusal that makes the record void. */
	#addPromised(partition: number, workflow: Workflow): void {
		const {fold} = this.#options.getFollower(partition);
		if (!this.#options.admission || fold.workflows.has(workflow.id)) {
			return;
		}

		this.#promised.set(workflow.id, {partition, workflow});
		if (this.#promised.size > maxPromised) {
			this.#promised.delete(this.#promised.keys().next().value!);
		}

		fold.admission.onVoidSubmission ??= id => {
			void this.#resubmit(id);
		};
	}

	/** Submits an accepted job again, whose record was void, until the store has taken it. */
	async #resubmit(id: string): Promise<void> {
		const promised = this.#promised.get(id);
		if (!promised) {
			return;
		}

		const {partition, workflow} = promised;
		const {fold} = this.#options.getFollower(partition);
		this.#resubmitting.add(id);
		for (let attempts = 0; !fold.workflows.has(id); attempts++) {
			this.#options.admission!.note('job submitted again', {id, attempts});
			const outcome = await this.#write(partition, encodeRecord({type: RecordType.Submit, workflow, asOf: fold.offset}), catchUpMs);
			if (outcome !== WriteOutcome.NotStored && outcome !== WriteOutcome.Unknown) {
				break;
			}
		}

		this.#resubmitting.delete(id);
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
