/**
Transfers jobs of the owned partition's stream to the partitions of their services: operators have sent the jobs' queue to a service of
another partition, whose owner runs them. The next owner may repeat all that is written here, since a job that is in a stream is not added again.
*/
import {getPartition} from '../core/partitions.ts';
import {ProducerWriter} from '../core/producer-writer.ts';
import {type Clock} from '../types/clock.ts';
import {type StoreClient} from '../types/store.ts';
import {isFinal, type FoldedWorkflow} from './folded-workflow.ts';
import {type WorkflowFollower} from './follower.ts';
import {isRunIn} from './job-places.ts';
import {type OwnerLog} from './owner-log.ts';
import {
	encodeRecord, RecordType, workflowsTopic, type WorkflowRecord,
} from './records.ts';
import {createSnapshot} from './snapshot-writer.ts';

/** Options of the transfers. */
export type JobTransfersOptions = {
	store: StoreClient;
	clock: Clock;
	partition: number;
	/** Number of partitions. */
	partitions: number;
	epoch: number;
	maxCallBytes: number;
	getFollower: (partition: number) => WorkflowFollower;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** What the transfers write to the owned partition's stream with. */
export type TransferLog = Pick<OwnerLog, 'storeTransferred' | 'storeSnapshot'>;

/** Kinds of records that a transfer writes. */
type DueRecord = RecordType.Submit | RecordType.Transferred | RecordType.Snapshot | RecordType.Cancel;

type Transfer = {
	folded: FoldedWorkflow;
	/** Partition whose owner runs the job. */
	target: number;
	/** The newest record that was written for the job. */
	written: DueRecord | undefined;
	writtenAtMs: number;
	/** Since when there is nothing to write. */
	idleSinceMs: number | undefined;
};

const retryMs = 1000;
const gatherMs = 2;
/** Longer than the store takes to carry out an append late, after which a cancelled job may yet show up in the other stream. */
const lateAppendMs = 30_000;

/** Transfers of one owner. */
export class JobTransfers {
	readonly #options: JobTransfersOptions;
	readonly #log: TransferLog;
	/** By job. */
	readonly #transfers = new Map<string, Transfer>();
	readonly #writers = new Map<number, ProducerWriter>();

	constructor(options: JobTransfersOptions, log: TransferLog) {
		this.#options = options;
		this.#log = log;
	}

	/** Adds a job if another partition runs it; returns whether one does. */
	add(folded: FoldedWorkflow): boolean {
		const {partition, partitions} = this.#options;
		if (isRunIn(partition, folded, partitions)) {
			return false;
		}

		const transfer: Transfer = {
			folded, target: getPartition(folded.workflow.service, partitions), written: undefined, writtenAtMs: 0, idleSinceMs: undefined,
		};
		this.#transfers.set(folded.workflow.id, transfer);
		this.#update(transfer);
		return true;
	}

	/** Writes what the streams lack of each other. */
	update(): void {
		for (const transfer of this.#transfers.values()) {
			this.#update(transfer);
		}
	}

	#update(transfer: Transfer): void {
		const {clock} = this.#options;
		const nowMs = clock.monotonicMs();
		const due = this.#getDue(transfer);
		if (due === undefined) {
			transfer.idleSinceMs ??= nowMs;
			if (nowMs - transfer.idleSinceMs > lateAppendMs && isFinal(transfer.folded.state)) {
				this.#transfers.delete(transfer.folded.workflow.id);
			}

			return;
		}

		transfer.idleSinceMs = undefined;
		// What was written is due until it is read back.
		if (due !== transfer.written || nowMs - transfer.writtenAtMs >= retryMs) {
			transfer.written = due;
			transfer.writtenAtMs = nowMs;
			this.#write(transfer, due);
		}
	}

	/** Gets the kind of record that one of the two streams lacks. */
	#getDue({folded, target}: Transfer): DueRecord | undefined {
		const copy = this.#getCopy(target, folded);
		const isOver = copy !== undefined && isFinal(copy.state);
		if (isFinal(folded.state)) {
			return copy && !isOver ? RecordType.Cancel : undefined;
		}

		if (isOver) {
			return RecordType.Snapshot;
		}

		if (folded.isTransferred) {
			return undefined;
		}

		return copy ? RecordType.Transferred : RecordType.Submit;
	}

	#write({folded, target}: Transfer, due: DueRecord): void {
		const {clock, note} = this.#options;
		const {workflow} = folded;
		const {id} = workflow;
		switch (due) {
			case RecordType.Cancel: {
				void this.#append(target, {type: due, id});
				break;
			}

			case RecordType.Snapshot: {
				const {state} = this.#getCopy(target, folded)!;
				void this.#log.storeSnapshot(createSnapshot({...folded, state, isTransferred: true}, clock.now().getTime()));
				break;
			}

			case RecordType.Transferred: {
				void this.#log.storeTransferred(id);
				break;
			}

			case RecordType.Submit: {
				note('job transferred', {id, service: workflow.service, target});
				// Refusals are in the stream of the owned partition, which has accepted the job.
				void this.#append(target, {type: due, workflow});
				break;
			}
		}
	}

	#getCopy(target: number, {workflow: {id}}: FoldedWorkflow): FoldedWorkflow | undefined {
		return this.#options.getFollower(target).fold.workflows.get(id);
	}

	async #append(target: number, record: WorkflowRecord): Promise<void> {
		let writer = this.#writers.get(target);
		if (!writer) {
			const {store, clock, partition, epoch, maxCallBytes, note} = this.#options;
			const producer = `transfer-${partition}`;
			writer = new ProducerWriter({
				store,
				clock,
				ref: {topic: workflowsTopic, partition: target},
				producer,
				epoch,
				lingerMs: gatherMs,
				maxBatchBytes: maxCallBytes / 2,
				onEvent(event, detail) {
					note(`store ${event}`, {detail, writer: producer});
				},
			});
			this.#writers.set(target, writer);
		}

		await writer.write(encodeRecord(record));
	}
}
