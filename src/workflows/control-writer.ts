/**
Appends an owner's records to the control stream under its epoch: once a newer owner has claimed it, the store refuses them.
*/
import {controlTopic, encodeControlRecord, type ControlRecord} from '../agents/control-records.ts';
import {ErrorCode, isError} from '../core/errors.ts';
import {AppendOutcome, type StoreClient} from '../types/store.ts';

/** Producer name of all owners: their epochs differ, and the store fences off those with an older one. */
export const ownerProducer = 'owner';
/** The claim is the first record of an epoch. */
export const claimSequence = 0;

const storeTimeoutMs = 1000;

/** Options of the writer. */
export type ControlWriterOptions = {
	store: StoreClient;
	partition: number;
	epoch: number;
};

/** Writes the records of one owner after its claim. */
export class ControlWriter {
	readonly #options: ControlWriterOptions;
	#sequence = claimSequence + 1;
	/** Whether an append under the present sequence number was not answered: it may have been or be carried out. */
	#isInDoubt = false;
	#last: Promise<unknown> = Promise.resolve();

	constructor(options: ControlWriterOptions) {
		this.#options = options;
	}

	/** Appends a record, behind those before it; resolves to the outcome. Throws the errors of the store, after which it may be carried out. */
	async append(record: ControlRecord): Promise<AppendOutcome> {
		const append = this.#appendAfter(this.#last, record);
		this.#last = append.catch(() => undefined);
		return append;
	}

	async #appendAfter(earlier: Promise<unknown>, record: ControlRecord): Promise<AppendOutcome> {
		await earlier;
		const outcome = await this.#tryAppend(record);
		return outcome === AppendOutcome.WrongSequence ? this.#tryAppend(record) : outcome;
	}

	/** Tries once. A number in doubt is left out, since the store would answer with the result of the record that took it. */
	async #tryAppend(record: ControlRecord): Promise<AppendOutcome> {
		const {store, partition, epoch} = this.#options;
		this.#sequence += this.#isInDoubt ? 1 : 0;
		this.#isInDoubt = false;
		try {
			const result = await store.append({topic: controlTopic, partition}, [encodeControlRecord(record)], {
				stamp: {producer: ownerProducer, epoch, sequence: this.#sequence}, timeoutMs: storeTimeoutMs,
			});
			if (result.outcome === AppendOutcome.Appended) {
				this.#sequence++;
			} else if (result.outcome === AppendOutcome.WrongSequence) {
				this.#sequence = result.expected;
			}

			return result.outcome;
		} catch (error) {
			this.#isInDoubt = !isError(error, ErrorCode.StoreRefused);
			throw error;
		}
	}
}
