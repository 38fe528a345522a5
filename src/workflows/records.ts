/**
Records of the jobs stream of a service. Acceptance, cancellation, ends of runs and claims of ownership are in one partition and so have one order.
*/
import {Buffer} from 'node:buffer';
import {
	RunEnd, WorkflowState, type EndedRun, type TaskCrash, type Workflow, type WorkflowStep,
} from '../types/workflows.ts';
import {Fields, parseFields} from '../utils/fields.ts';

/** Name of the operation in errors. */
const step = 'read job record';

/** Topic of the jobs streams; the service determines the partition. */
export const workflowsTopic = 'workflows';

/** Kinds of records. */
export enum RecordType {
	/** A new owner has acquired the partition; earlier owners are fenced off from here on. */
	Claim = 'claim',
	Submit = 'submit',
	Cancel = 'cancel',
	/** Ends of runs; written by the owner. */
	Ends = 'ends',
	/** Worker crashes that are attributed to tasks; written by the owner. */
	Crashes = 'crashes',
	/** Jobs whose first run has started; written by the owner with a delay. */
	Begun = 'begun',
	/** Snapshot of a job: its complete state, written by the owner before the store drops the job's first record. */
	Whole = 'whole',
	/** Checkpoints of active runs; written by the owner with a delay. */
	Saved = 'saved',
	/** Interference between images as learned by the owner, for the next owner. */
	Harm = 'harm',
}

/** A worker crash that is attributed to a task. */
export type CrashedTask = TaskCrash & {taskId: string};

/** Newest checkpoint of an active run. */
export type SavedRun = {
	taskId: string;
	run: number;
	checkpoint: string;
};

/** Learned interference of a best-effort image with a latency-critical one. */
export type HarmPair = {
	/** Latency-critical image. */
	server: string;
	/** Best-effort image. */
	filler: string;
	/** Effect of using a tenth of a worker's processors, and its standard deviation. */
	mean: number;
	deviation: number;
};

/** Snapshot of a job. */
export type WholeWorkflow = {
	workflow: Workflow;
	state: WorkflowState;
	hasBegun: boolean;
	remaining: number | undefined;
	ledgers: Array<[unitId: string, ledger: TaskLedger]>;
	/** Wall clock time of the owner when it wrote the snapshot. */
	writtenAtMs: number;
};

/** State of a task with at least one ended, crashed or checkpointed run. A gang has one ledger for all of its members. */
export type TaskLedger = {
	isDone: boolean;
	/** Numbers of the failed runs. */
	failedRuns: number[];
	/** Worker crashes attributed to the task. */
	crashes: TaskCrash[];
	/** Highest run number in any record. */
	lastRun: number;
	checkpoint: string;
};

/** One record. */
export type WorkflowRecord
	= | {type: RecordType.Claim; epoch: number; owner: string}
		| {type: RecordType.Submit; workflow: Workflow}
		| {type: RecordType.Cancel; id: string}
		| {type: RecordType.Ends; ends: EndedRun[]}
		| {type: RecordType.Crashes; crashes: CrashedTask[]}
		| {type: RecordType.Begun; ids: string[]}
		| {type: RecordType.Whole; job: WholeWorkflow}
		| {type: RecordType.Saved; runs: SavedRun[]}
		| {type: RecordType.Harm; pairs: HarmPair[]};

/** Encodes a record. */
export const encodeRecord = (record: WorkflowRecord): Buffer => Buffer.from(JSON.stringify(record));

/** Decodes a record. Throws `bad-input`. */
export const decodeRecord = (value: Buffer): WorkflowRecord => {
	const fields = parseFields(value, step);
	const type = fields.oneOf('type', Object.values(RecordType));
	switch (type) {
		case RecordType.Claim: {
			return {type, epoch: fields.count('epoch'), owner: fields.text('owner')};
		}

		case RecordType.Submit: {
			return {type, workflow: decodeWorkflow(fields.fields('workflow'))};
		}

		case RecordType.Cancel: {
			return {type, id: fields.text('id')};
		}

		case RecordType.Ends: {
			return {type, ends: fields.list('ends', decodeEnd)};
		}

		case RecordType.Crashes: {
			return {type, crashes: fields.list('crashes', value => ({taskId: new Fields(value, step).text('taskId'), ...decodeCrash(value)}))};
		}

		case RecordType.Begun: {
			return {type, ids: fields.texts('ids')};
		}

		case RecordType.Whole: {
			return {type, job: decodeWhole(fields.fields('job'))};
		}

		case RecordType.Saved: {
			return {type, runs: fields.list('runs', decodeSaved)};
		}

		case RecordType.Harm: {
			return {type, pairs: fields.list('pairs', decodePair)};
		}
	}
};

const decodeWorkflow = (fields: Fields): Workflow => ({
	id: fields.text('id'),
	queue: fields.text('queue'),
	service: fields.text('service'),
	priority: fields.number('priority'),
	maxAttempts: fields.count('maxAttempts'),
	stretch: fields.amount('stretch'),
	targetLatencyMs: fields.amount('targetLatencyMs'),
	needsAdvice: fields.flag('needsAdvice'),
	receivedAtMs: fields.number('receivedAtMs'),
	input: fields.text('input'),
	steps: fields.list('steps', value => decodeStep(new Fields(value, step))),
	firstDueMs: fields.amount('firstDueMs'),
	intervalMs: fields.amount('intervalMs'),
	repeatCount: fields.count('repeatCount'),
});

const decodeStep = (fields: Fields): WorkflowStep => ({
	count: fields.count('count'),
	milliCpu: fields.amount('milliCpu'),
	memoryMb: fields.amount('memoryMb'),
	accelerators: fields.amount('accelerators'),
	estimateMs: fields.amount('estimateMs'),
	after: fields.counts('after'),
	isCheckpointing: fields.flag('isCheckpointing'),
	isGang: fields.flag('isGang'),
	isSameRack: fields.flag('isSameRack'),
	requiredLabel: getOptionalText(fields, 'requiredLabel'),
	dataRack: getOptionalText(fields, 'dataRack'),
	maxPerWorker: fields.count('maxPerWorker'),
	isSpeculative: fields.flag('isSpeculative'),
	isLasting: fields.flag('isLasting'),
	image: getOptionalText(fields, 'image'),
	targetMs: fields.amount('targetMs'),
	isFilling: fields.flag('isFilling'),
	maxAway: fields.has('maxAway') ? fields.count('maxAway') : undefined,
});

const getOptionalText = (fields: Fields, key: string): string | undefined => fields.has(key) ? fields.text(key) : undefined;

const decodeEnd = (value: unknown): EndedRun => {
	const fields = new Fields(value, step);
	return {
		taskId: fields.text('taskId'), run: fields.count('run'), end: fields.oneOf('end', Object.values(RunEnd)), checkpoint: fields.text('checkpoint'),
	};
};

const decodeCrash = (value: unknown): TaskCrash => {
	const fields = new Fields(value, step);
	return {
		run: fields.count('run'), ageMs: fields.amount('ageMs'), isNewest: fields.flag('isNewest'), host: fields.text('host'), isHostProven: fields.flag('isHostProven'), atMs: fields.number('atMs'),
	};
};

const decodeSaved = (value: unknown): SavedRun => {
	const fields = new Fields(value, step);
	return {taskId: fields.text('taskId'), run: fields.count('run'), checkpoint: fields.text('checkpoint')};
};

const decodeWhole = (fields: Fields): WholeWorkflow => ({
	workflow: decodeWorkflow(fields.fields('workflow')),
	state: fields.oneOf('state', Object.values(WorkflowState)),
	hasBegun: fields.flag('hasBegun'),
	remaining: fields.has('remaining') ? fields.count('remaining') : undefined,
	ledgers: fields.list('ledgers', decodeLedger),
	writtenAtMs: fields.number('writtenAtMs'),
});

const decodeLedger = (value: unknown): [string, TaskLedger] => {
	const row = new Fields(value, step);
	const ledger = row.fields(1);
	return [row.text(0), {
		isDone: ledger.flag('isDone'), failedRuns: ledger.counts('failedRuns'), crashes: ledger.has('crashes') ? ledger.list('crashes', decodeCrash) : [], lastRun: ledger.count('lastRun'), checkpoint: ledger.text('checkpoint'),
	}];
};

const decodePair = (value: unknown): HarmPair => {
	const fields = new Fields(value, step);
	return {
		server: fields.text('server'), filler: fields.text('filler'), mean: fields.number('mean'), deviation: fields.amount('deviation'),
	};
};
