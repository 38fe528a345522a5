/**
Records of the jobs stream of a service. One partition orders acceptance, cancellation, ends of runs and ownership.
*/
import {Buffer} from 'node:buffer';
import {createError, ErrorCode} from '../core/errors.ts';
import {type EndedRun, type Workflow, type WorkflowState} from '../types/workflows.ts';

/** Topic of the jobs streams; the partition is that of the service. */
export const workflowsTopic = 'workflows';

/** Kinds of records. */
export enum RecordType {
	/** From here on, jobs are run by this owner and no earlier one. */
	Claim = 'claim',
	Submit = 'submit',
	Cancel = 'cancel',
	/** Runs that ended; written by the owner. */
	Ends = 'ends',
	/** Jobs of which a first task has started; written by the owner, some time later. */
	Begun = 'begun',
	/** All that is known of a job, written again by the owner before the store lets its first record go. */
	Whole = 'whole',
	/** What the owner has learned of images that harm each other, for the next owner. */
	Harm = 'harm',
}

/** Learned effect of an image that fills on one that serves. */
export type HarmPair = {
	server: string;
	filler: string;
	/** Of a tenth of a worker, and how far it may be off. */
	mean: number;
	deviation: number;
};

/** A job with its ends so far. */
export type WholeWorkflow = {
	workflow: Workflow;
	state: WorkflowState;
	hasBegun: boolean;
	remaining: number | undefined;
	ledgers: Array<[unitId: string, ledger: TaskLedger]>;
	/** Wall clock of the owner as it wrote this. */
	writtenAtMs: number;
};

/** What is known of a task that ended at least once. A gang has one ledger for all of its members. */
export type TaskLedger = {
	isDone: boolean;
	/** Numbers of the runs that failed. */
	failedRuns: number[];
	/** Highest number of a run that ended. */
	lastRun: number;
	checkpoint: string;
};

/** One record. */
export type WorkflowRecord
	= | {type: RecordType.Claim; epoch: number; owner: string}
		| {type: RecordType.Submit; workflow: Workflow}
		| {type: RecordType.Cancel; id: string}
		| {type: RecordType.Ends; ends: EndedRun[]}
		| {type: RecordType.Begun; ids: string[]}
		| {type: RecordType.Whole; job: WholeWorkflow}
		| {type: RecordType.Harm; pairs: HarmPair[]};

const types = new Set<string>(Object.values(RecordType));

/** Encodes a record. */
export const encodeRecord = (record: WorkflowRecord): Buffer => Buffer.from(JSON.stringify(record));

/** Decodes a record. Throws `bad-input`. */
export const decodeRecord = (value: Buffer): WorkflowRecord => {
	const record = JSON.parse(value.toString('utf8')) as WorkflowRecord;
	if (!types.has(record.type)) {
		throw createError(ErrorCode.BadInput, {step: 'read job record', detail: String(record.type)});
	}

	return record;
};
