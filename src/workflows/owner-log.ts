/**
Writes an owner's records to the jobs stream: its claim, ends of runs, started jobs, checkpoints, interference,
forecasts, losses, departures and snapshots.
*/
import {
	controlTopic, ControlRecordType, encodeControlRecord,
} from '../agents/control-records.ts';
import {getMessage} from '../core/errors.ts';
import {ProducerWriter, WriteOutcome} from '../core/producer-writer.ts';
import {type BacklogForecast} from '../types/admission.ts';
import {type Clock} from '../types/clock.ts';
import {AppendOutcome, type StoreClient} from '../types/store.ts';
import {type EndedRun} from '../types/workflows.ts';
import {claimSequence, ownerProducer} from './control-writer.ts';
import {type WorkflowFollower} from './follower.ts';
import {dropExpired, getDueSnapshots} from './snapshot-writer.ts';
import {
	encodeRecord, RecordType, workflowsTopic, type AttributedCrash, type InterferencePair, type RunCheckpoint, type WorkflowRecord, type WorkflowSnapshot,
} from './records.ts';

/** Options of the log. */
export type OwnerLogOptions = {
	store: StoreClient;
	clock: Clock;
	follower: WorkflowFollower;
	partition: number;
	host: string;
	epoch: number;
	maxCallBytes: number;
	/** How long the store retains records. */
	retentionMs: number;
	/** The stream refuses the records of this owner, because a newer one has written to it. */
	onFenced: () => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Records are batched for this long: one call stores them all and wakes all readers once. */
const gatherMs = 15;
const startedIntervalMs = 400;
/** An owner that dies loses at most this much of what it has learned. */
const interferenceIntervalMs = 3000;
/** Workers save a checkpoint each second. */
const checkpointIntervalMs = 1000;
const retryMs = 150;
const storeTimeoutMs = 1000;

/** Writes the records of one owner. */
export class OwnerLog {
	readonly #options: OwnerLogOptions;
	readonly #writer: ProducerWriter;
	readonly #started = new Set<string>();
	#startedSentAtMs = 0;
	#interferenceSentAtMs = 0;
	#checkpointsSentAtMs = 0;
	#lastEnds: Promise<boolean> = Promise.resolve(true);

	constructor(options: OwnerLogOptions) {
		const {store, clock, partition, epoch, maxCallBytes, note} = options;
		this.#options = options;
		this.#writer = new ProducerWriter({
			store,
			clock,
			ref: {topic: workflowsTopic, partition},
			producer: ownerProducer,
			epoch,
			lingerMs: gatherMs,
			maxBatchBytes: maxCallBytes / 2,
			onEvent(event, detail) {
				note(`store ${event}`, {detail, writer: ownerProducer});
			},
		});
	}

	/**
	Acquires ownership: fences off the previous owner in the jobs stream, notifies agents on the control stream, and reads the
	jobs stream to its end. Resolves to the next offset then; undefined if there is a newer owner.
	*/
	async claim(signal: AbortSignal): Promise<number | undefined> {
		const {epoch, host, follower, clock} = this.#options;
		let knownFromOffset: number | undefined;
		while (!signal.aborted) {
			// Again if records were dropped unread since: other entries must not count losses that this owner does not know.
			if (knownFromOffset !== follower.fold.knownFromOffset) {
				({knownFromOffset} = follower.fold);
				const record: WorkflowRecord = {
					type: RecordType.Claim, epoch, owner: host, knownFromOffset,
				};
				if (!await this.#write(record)) {
					return undefined;
				}
			}

			const isNotified = await this.#notifyAgents();
			if (isNotified === false) {
				return undefined;
			}

			if (isNotified && await follower.catchUp(storeTimeoutMs) && follower.fold.epoch >= epoch && follower.fold.knownFromOffset === knownFromOffset) {
				return follower.fold.epoch === epoch ? follower.fold.offset : undefined;
			}

			await clock.sleep(retryMs, signal);
		}

		return undefined;
	}

	/** Stores ends of runs; resolves to whether these and all earlier ones are stored. */
	async storeEnds(ends: EndedRun[]): Promise<boolean> {
		const earlier = this.#lastEnds;
		const write = ends.length === 0 ? earlier : this.#write({type: RecordType.Ends, ends});
		this.#lastEnds = (async () => {
			const stored = await Promise.all([earlier, write]);
			return stored.every(Boolean);
		})();
		return this.#lastEnds;
	}

	/** Stores crashes that are attributed to tasks; resolves to whether they are stored. */
	async storeCrashes(crashes: AttributedCrash[]): Promise<boolean> {
		return crashes.length === 0 || this.#write({type: RecordType.Crashes, crashes});
	}

	/** Stores for later owners that an agent was declared lost; only once the declaration is stored in the control stream. */
	async storeLoss(host: string, session: number): Promise<boolean> {
		return this.#write({type: RecordType.AgentLost, host, session});
	}

	/** Stores for later owners that the departure of an agent was read: they count its leases from when they read the record. */
	async storeDeparture(host: string, session: number): Promise<boolean> {
		return this.#write({type: RecordType.AgentDeparted, host, session});
	}

	/** Stores that the job is in the stream of its own service; resolves to whether that is stored. */
	async storeTransferred(id: string): Promise<boolean> {
		return this.#write({type: RecordType.Transferred, ids: [id]});
	}

	/** Stores a snapshot; resolves to whether it is stored. */
	async storeSnapshot(job: WorkflowSnapshot): Promise<boolean> {
		return this.#write({type: RecordType.Snapshot, job});
	}

	/** Records that the first run of a job has started; `sendStarted` stores it. */
	recordStarted(id: string): void {
		this.#started.add(id);
	}

	/** Stores which jobs have started, at most once per interval. */
	sendStarted(): void {
		const nowMs = this.#options.clock.monotonicMs();
		if (this.#started.size > 0 && nowMs - this.#startedSentAtMs >= startedIntervalMs) {
			this.#startedSentAtMs = nowMs;
			const ids = [...this.#started];
			this.#started.clear();
			void this.#write({type: RecordType.Started, ids});
		}
	}

	/** Stores checkpoints of active runs once per interval, in case all hosts that know them lose power together. */
	storeCheckpoints(getCheckpoints: () => RunCheckpoint[]): void {
		const nowMs = this.#options.clock.monotonicMs();
		if (nowMs - this.#checkpointsSentAtMs < checkpointIntervalMs) {
			return;
		}

		this.#checkpointsSentAtMs = nowMs;
		const runs = getCheckpoints();
		if (runs.length > 0) {
			void this.#write({type: RecordType.Checkpoints, runs});
		}
	}

	/** Stores the learned interference once per interval, for the next owner. */
	storeInterference(getPairs: () => InterferencePair[]): void {
		const nowMs = this.#options.clock.monotonicMs();
		if (nowMs - this.#interferenceSentAtMs < interferenceIntervalMs) {
			return;
		}

		this.#interferenceSentAtMs = nowMs;
		const pairs = getPairs();
		if (pairs.length > 0) {
			void this.#write({type: RecordType.Interference, pairs});
		}
	}

	/** Stores the forecast for the entries; resolves to whether it is stored. */
	async storeForecast(forecast: BacklogForecast): Promise<boolean> {
		return this.#write({type: RecordType.Forecast, forecast});
	}

	/** Writes snapshots of jobs and cancellations whose records the store will drop, and forgets expired ones. */
	writeSnapshots(): void {
		const {follower: {fold}, clock, retentionMs} = this.#options;
		const rows = fold.cancellations.takeDue(clock.now().getTime(), retentionMs);
		if (rows.length > 0) {
			void this.#write({type: RecordType.Cancellations, rows});
		}

		for (const record of getDueSnapshots(fold, clock, retentionMs)) {
			void this.#write(record);
		}

		dropExpired(fold, clock, retentionMs);
	}

	/** Stores the claim in the control stream; undefined: not known to be stored; false: there is a newer owner. */
	async #notifyAgents(): Promise<boolean | undefined> {
		const {store, partition, epoch, host, note} = this.#options;
		try {
			const {outcome} = await store.append({topic: controlTopic, partition}, [encodeControlRecord({type: ControlRecordType.Claim, epoch, owner: host})], {
				stamp: {producer: ownerProducer, epoch, sequence: claimSequence}, timeoutMs: storeTimeoutMs,
			});
			if (outcome === AppendOutcome.Fenced) {
				return false;
			}

			return outcome === AppendOutcome.Appended ? true : undefined;
		} catch (error) {
			note('claim not stored', {error: getMessage(error)});
			return undefined;
		}
	}

	async #write(record: WorkflowRecord): Promise<boolean> {
		const outcome = await this.#writer.write(encodeRecord(record));
		if (outcome === WriteOutcome.Fenced || outcome === WriteOutcome.Unknown) {
			this.#options.onFenced();
		}

		return outcome === WriteOutcome.Stored;
	}
}
