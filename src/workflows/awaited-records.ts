/**
Records of jobs that a fold does not know: the store has dropped their first record, and their snapshot follows later in the stream. They are
applied after the snapshot; a reader that starts between the two would otherwise miss a cancellation.
*/
import {type WorkflowRecord} from './records.ts';

/** Records that wait for the snapshots of their jobs. */
export class AwaitedRecords {
	readonly #records = new Map<string, WorkflowRecord[]>();

	/** Keeps a record until the snapshot of its job is read. */
	add(id: string, record: WorkflowRecord): void {
		const records = this.#records.get(id) ?? [];
		records.push(record);
		this.#records.set(id, records);
	}

	/** Returns the records of a job in their order, and forgets them. */
	take(id: string): WorkflowRecord[] {
		const records = this.#records.get(id) ?? [];
		this.#records.delete(id);
		return records;
	}

	clear(): void {
		this.#records.clear();
	}
}
