/**
Cancelled ids as the readers of a stream keep them.
*/
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Cancellations, siteCancellations} from '../src/core/cancellations.ts';
import {WorkflowState, type Workflow} from '../src/types/workflows.ts';
import {WorkflowFold} from '../src/workflows/fold.ts';
import {createFolded} from '../src/workflows/folded-workflow.ts';
import {
	decodeRecord, encodeRecord, RecordType, type WorkflowRecord,
} from '../src/workflows/records.ts';
import {createSnapshot} from '../src/workflows/snapshot-writer.ts';
import {jobId, otherId} from './site-setup.ts';
import {createSpec, createStep} from './simulated-site.ts';

const startMs = 1_000_000_000;
const retentionMs = 20_000;

const createWorkflow = (receivedAtMs = startMs): Workflow => ({
	...createSpec([createStep({isLasting: true})]), id: jobId, queue: 'desk', service: 'desk', priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 500, needsAdvice: false, receivedAtMs,
});

const createFold = (records: WorkflowRecord[]): WorkflowFold => {
	const fold = new WorkflowFold();
	for (const [offset, record] of records.entries()) {
		fold.apply(decodeRecord(encodeRecord(record)), offset);
	}

	return fold;
};

const getState = (records: WorkflowRecord[]): WorkflowState | undefined => createFold(records).workflows.get(jobId)?.state;

const cancel: WorkflowRecord = {type: RecordType.Cancel, id: jobId, cancelledAtMs: startMs};
const cancelAgain: WorkflowRecord = {type: RecordType.Cancellations, rows: [[otherId, startMs], [jobId, startMs]]};
const submit: WorkflowRecord = {type: RecordType.Submit, workflow: createWorkflow(startMs + 500), asOf: 0};
const snapshot: WorkflowRecord = {type: RecordType.Snapshot, job: createSnapshot(createFolded(createWorkflow(startMs - 500), 0), startMs)};

describe('a job', () => {
	/** Guards against entries of which one runs a job that is cancelled for the others: they begin to read at different records. */
	it('is cancelled in any order of its cancellation and its submissions, whichever copy of it was read', () => {
		fc.assert(fc.property(fc.shuffledSubarray([cancel, cancelAgain, submit, submit, snapshot], {minLength: 2}), records => {
			const isCancelled = records.includes(cancel) || records.includes(cancelAgain);
			const isSubmitted = records.includes(submit) || records.includes(snapshot);
			fc.pre(isCancelled && isSubmitted);
			expect(getState(records)).toBe(WorkflowState.Cancelled);
		}), {seed: 73});
	});

	it('is not known for its cancellation alone', () => {
		expect(getState([cancel, cancelAgain])).toBeUndefined();
	});

	it('that was cancelled before its submission does not reach the owner', () => {
		const fold = createFold([cancel]);
		const submitted: string[] = [];
		fold.listener = {
			onSubmit({workflow: {id}}) {
				submitted.push(id);
			}, onFinished: () => undefined, onClaim: () => undefined, onGap: () => undefined,
		};
		fold.apply(submit, 1);
		fold.apply({type: RecordType.Submit, workflow: {...createWorkflow(), id: otherId}}, 2);
		expect(submitted).toEqual([otherId]);
	});

	/** Guards against a cancellation that ends a later job of the same id, long after all attempts of the first one. */
	it('of an id that was cancelled minutes ago runs, also if the cancellation is written again', () => {
		const late: WorkflowRecord = {type: RecordType.Submit, workflow: createWorkflow(startMs + 121_000)};
		expect(getState([cancel, late, cancelAgain])).toBe(WorkflowState.Queued);
	});

	it('stays cancelled if the store has dropped records that were not read', () => {
		const fold = createFold([cancel]);
		fold.restartAt(10);
		fold.apply(submit, 10);
		expect(fold.workflows.get(jobId)!.state).toBe(WorkflowState.Cancelled);
	});

	it('is cancelled by a record of a version that writes no time, once its snapshot follows', () => {
		expect(decodeRecord(Buffer.from(JSON.stringify({type: 'cancel', id: jobId})))).toEqual({type: RecordType.Cancel, id: jobId, cancelledAtMs: undefined});
		expect(getState([{type: RecordType.Cancel, id: jobId}, snapshot])).toBe(WorkflowState.Cancelled);
	});
});

describe('cancellations', () => {
	/** Guards against a time in which the store retains no record of a cancellation that still matters. */
	it('are written again before the store drops their records, until no attempt can be on its way', () => {
		const cancellations = new Cancellations(siteCancellations);
		cancellations.add([jobId, startMs]);
		let writtenAtMs = startMs;
		let lastWrittenAtMs = startMs;
		for (let nowMs = startMs; nowMs < startMs + 300_000; nowMs += 50) {
			for (const [id, cancelledAtMs] of cancellations.takeDue(nowMs, retentionMs)) {
				expect([id, cancelledAtMs]).toEqual([jobId, startMs]);
				expect(nowMs - writtenAtMs).toBeLessThan(retentionMs / 2);
				writtenAtMs = nowMs;
				lastWrittenAtMs = nowMs;
			}
		}

		expect(lastWrittenAtMs - startMs).toBeGreaterThan(120_000);
		expect(lastWrittenAtMs - startMs).toBeLessThan(160_000);
	});

	/** Guards against a call to the store for each cancelled job and third of the retention, each of which wakes all readers. */
	it('that come one after the other are written again together', () => {
		const cancellations = new Cancellations(siteCancellations);
		let records = 0;
		let rows = 0;
		for (let nowMs = startMs; nowMs < startMs + 100_000; nowMs += 50) {
			if (nowMs % 200 === 0) {
				cancellations.add([nowMs.toString(16).padStart(16, '0'), nowMs]);
			}

			const due = cancellations.takeDue(nowMs, retentionMs);
			records += due.length > 0 ? 1 : 0;
			rows += due.length;
		}

		expect(rows).toBeGreaterThan(3000);
		expect(records).toBeLessThan(100);
	});

	it('of the most that are kept are written again in time, in records far below the limit of the store', () => {
		const cancellations = new Cancellations(siteCancellations);
		for (let index = 0; index < 20_000; index++) {
			cancellations.add([index.toString(16).padStart(16, '0'), startMs]);
		}

		const written = new Set<string>();
		for (let nowMs = startMs; nowMs < startMs + (retentionMs * 2 / 3); nowMs += 50) {
			const rows = cancellations.takeDue(nowMs, retentionMs);
			expect(encodeRecord({type: RecordType.Cancellations, rows}).byteLength).toBeLessThan(20_000);
			for (const [id] of rows) {
				written.add(id);
			}
		}

		expect(written.size).toBe(20_000);
	});
});
