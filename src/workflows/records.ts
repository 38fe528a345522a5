/**
Records of the jobs stream of a service. Acceptance, cancellation, ends of runs and claims of ownership are in one partition and so have one order.
*/
import {Buffer} from 'node:buffer';
import {type BacklogForecast} from '../types/admission.ts';
import {
	RunEnd, WorkflowState, type EndedRun, type TaskCrash, type Workflow, type WorkflowStep,
} from '../types/workflows.ts';
import {type Cancellation} from '../core/cancellations.ts';
import {maxEpoch, maxRunNumber, maxTasks} from '../core/record-limits.ts';
import {Fields, parseFields} from '../utils/fields.ts';
import {decodeForecast, encodeForecast} from './forecast-rows.ts';

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
	/** Cancellations that an owner writes again before the store drops their records. */
	Cancellations = 'cancellations',
	/** Ends of runs; written by the owner. */
	Ends = 'ends',
	/** Worker crashes that are attributed to tasks; written by the owner. */
	Crashes = 'crashes',
	/** Jobs whose first run has started; written by the owner with a delay. */
	Started = 'begun',
	/** Snapshot of a job: its complete state, written by the owner before the store drops the job's first record. */
	Snapshot = 'whole',
	/** Checkpoints of active runs; written by the owner with a delay. */
	Checkpoints = 'saved',
	/** Interference between images as learned by the owner, for the next owner. */
	Interference = 'harm',
	/** An agent was declared lost, and the declaration is stored in the control stream; written by the owner, for the next owner. */
	AgentLost = 'agent-lost',
	/** The departure of an agent was read from its registration; written by the owner, for the next owner. */
	AgentDeparted = 'agent-departed',
	/** Forecast of waits, and sizes of the workers; written by the owner, for entries. */
	Forecast = 'forecast',
	/** An entry refuses a job, unless it is in the stream already. */
	Refused = 'refused',
	/** Jobs that are in the stream of their own service as well, whose owner runs them; written by the owner. */
	Transferred = 'transferred',
}

/** A worker crash that is attributed to a task. */
export type AttributedCrash = TaskCrash & {taskId: string};

/** Newest checkpoint of an active run. */
export type RunCheckpoint = {
	taskId: string;
	run: number;
	checkpoint: string;
};

/** Learned interference of a best-effort image with a latency-critical one. */
export type InterferencePair = {
	/** Latency-critical image. */
	server: string;
	/** Best-effort image. */
	filler: string;
	/** Effect of using a tenth of a worker's processors, and its standard deviation. */
	mean: number;
	deviation: number;
};

/** Snapshot of a job. */
export type WorkflowSnapshot = {
	workflow: Workflow;
	state: WorkflowState;
	hasBegun: boolean;
	remaining: number | undefined;
	ledgers: Array<[unitId: string, ledger: TaskLedger]>;
	/** Wall clock time of the owner when it wrote the snapshot. */
	writtenAtMs: number;
	/** Whether the owner of another partition runs the job; undefined: it does not. */
	isTransferred?: boolean | undefined;
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
	/** `knownFromOffset`: the owner has read all records from there on; undefined: it is of a version that does not know losses of earlier owners. */
	= | {type: RecordType.Claim; epoch: number; owner: string; knownFromOffset?: number | undefined}
		/** `asOf`: the entry had read the stream up to this offset when the attempt came. */
		| {type: RecordType.Submit; workflow: Workflow; asOf?: number | undefined}
		| {type: RecordType.Forecast; forecast: BacklogForecast}
		/** `cancelledAtMs`: wall clock time of the entry; undefined: the entry is of a version that cancels known jobs only. */
		| {type: RecordType.Cancel; id: string; cancelledAtMs?: number | undefined}
		| {type: RecordType.Cancellations; rows: Cancellation[]}
		| {type: RecordType.Refused; id: string}
		| {type: RecordType.Ends; ends: EndedRun[]}
		| {type: RecordType.Crashes; crashes: AttributedCrash[]}
		| {type: RecordType.Started | RecordType.Transferred; ids: string[]}
		| {type: RecordType.Snapshot; job: WorkflowSnapshot}
		| {type: RecordType.Checkpoints; runs: RunCheckpoint[]}
		| {type: RecordType.Interference; pairs: InterferencePair[]}
		| {type: RecordType.AgentLost | RecordType.AgentDeparted; host: string; session: number};

/** Encodes a record. */
export const encodeRecord = (record: WorkflowRecord): Buffer =>
	Buffer.from(JSON.stringify(record.type === RecordType.Forecast ? {type: record.type, ...encodeForecast(record.forecast)} : record));

/** Decodes a record. Throws `bad-input`. */
export const decodeRecord = (value: Buffer): WorkflowRecord => {
	const fields = parseFields(value, step);
	const type = fields.oneOf('type', Object.values(RecordType));
	switch (type) {
		case RecordType.Claim: {
			return {
				type,
				epoch: fields.integerUpTo('epoch', maxEpoch),
				owner: fields.string('owner'),
				knownFromOffset: fields.has('knownFromOffset') ? fields.nonNegativeInteger('knownFromOffset') : undefined,
			};
		}

		case RecordType.Submit: {
			return {type, workflow: decodeWorkflow(fields.fields('workflow')), asOf: fields.has('asOf') ? fields.nonNegativeInteger('asOf') : undefined};
		}

		case RecordType.Cancel: {
			return {type, id: fields.string('id'), cancelledAtMs: fields.has('cancelledAtMs') ? fields.number('cancelledAtMs') : undefined};
		}

		case RecordType.Cancellations: {
			return {type, rows: fields.array('rows', decodeCancellation)};
		}

		case RecordType.Refused: {
			return {type, id: fields.string('id')};
		}

		case RecordType.Forecast: {
			return {type, forecast: decodeForecast(fields)};
		}

		case RecordType.Ends: {
			return {type, ends: fields.array('ends', decodeEnd)};
		}

		case RecordType.Crashes: {
			return {type, crashes: fields.array('crashes', value => ({taskId: new Fields(value, step).string('taskId'), ...decodeCrash(value)}))};
		}

		case RecordType.Started:
		case RecordType.Transferred: {
			return {type, ids: fields.strings('ids')};
		}

		case RecordType.Snapshot: {
			return {type, job: decodeSnapshot(fields.fields('job'))};
		}

		case RecordType.Checkpoints: {
			return {type, runs: fields.array('runs', decodeCheckpoint)};
		}

		case RecordType.Interference: {
			return {type, pairs: fields.array('pairs', decodePair)};
		}

		case RecordType.AgentLost:
		case RecordType.AgentDeparted: {
			return {type, host: fields.string('host'), session: fields.nonNegativeInteger('session')};
		}
	}
};

const decodeWorkflow = (fields: Fields): Workflow => ({
	id: fields.string('id'),
	queue: fields.string('queue'),
	service: fields.string('service'),
	priority: fields.number('priority'),
	maxAttempts: fields.nonNegativeInteger('maxAttempts'),
	stretch: fields.nonNegativeNumber('stretch'),
	targetLatencyMs: fields.nonNegativeNumber('targetLatencyMs'),
	needsAdvice: fields.boolean('needsAdvice'),
	receivedAtMs: fields.number('receivedAtMs'),
	waitedMs: fields.has('waitedMs') ? fields.nonNegativeNumber('waitedMs') : undefined,
	input: fields.string('input'),
	steps: fields.array('steps', value => decodeStep(new Fields(value, step))),
	firstDueMs: fields.nonNegativeNumber('firstDueMs'),
	intervalMs: fields.nonNegativeNumber('intervalMs'),
	repeatCount: fields.nonNegativeInteger('repeatCount'),
});

const decodeStep = (fields: Fields): WorkflowStep => ({
	count: fields.integerUpTo('count', maxTasks),
	milliCpu: fields.nonNegativeNumber('milliCpu'),
	memoryMb: fields.nonNegativeNumber('memoryMb'),
	accelerators: fields.nonNegativeNumber('accelerators'),
	estimateMs: fields.nonNegativeNumber('estimateMs'),
	after: fields.nonNegativeIntegers('after'),
	isCheckpointing: fields.boolean('isCheckpointing'),
	isGang: fields.boolean('isGang'),
	isSameRack: fields.boolean('isSameRack'),
	requiredLabel: getOptionalText(fields, 'requiredLabel'),
	dataRack: getOptionalText(fields, 'dataRack'),
	maxPerWorker: fields.nonNegativeInteger('maxPerWorker'),
	isSpeculative: fields.boolean('isSpeculative'),
	isLasting: fields.boolean('isLasting'),
	image: getOptionalText(fields, 'image'),
	targetMs: fields.nonNegativeNumber('targetMs'),
	isFilling: fields.boolean('isFilling'),
	maxAway: fields.has('maxAway') ? fields.nonNegativeInteger('maxAway') : undefined,
});

const getOptionalText = (fields: Fields, key: string): string | undefined => fields.has(key) ? fields.string(key) : undefined;

const decodeCancellation = (value: unknown): Cancellation => {
	const row = new Fields(value, step);
	return [row.string(0), row.number(1)];
};

const decodeEnd = (value: unknown): EndedRun => {
	const fields = new Fields(value, step);
	return {
		taskId: fields.string('taskId'), run: fields.integerUpTo('run', maxRunNumber), end: fields.oneOf('end', Object.values(RunEnd)), checkpoint: fields.string('checkpoint'),
	};
};

const decodeCrash = (value: unknown): TaskCrash => {
	const fields = new Fields(value, step);
	return {
		run: fields.integerUpTo('run', maxRunNumber), ageMs: fields.nonNegativeNumber('ageMs'), isNewest: fields.boolean('isNewest'), host: fields.string('host'), isHostProven: fields.boolean('isHostProven'), atMs: fields.number('atMs'),
	};
};

const decodeCheckpoint = (value: unknown): RunCheckpoint => {
	const fields = new Fields(value, step);
	return {taskId: fields.string('taskId'), run: fields.integerUpTo('run', maxRunNumber), checkpoint: fields.string('checkpoint')};
};

const decodeSnapshot = (fields: Fields): WorkflowSnapshot => ({
	workflow: decodeWorkflow(fields.fields('workflow')),
	state: fields.oneOf('state', Object.values(WorkflowState)),
	hasBegun: fields.boolean('hasBegun'),
	remaining: fields.has('remaining') ? fields.nonNegativeInteger('remaining') : undefined,
	ledgers: fields.array('ledgers', decodeLedger),
	writtenAtMs: fields.number('writtenAtMs'),
	isTransferred: fields.has('isTransferred') ? fields.boolean('isTransferred') : undefined,
});

const decodeLedger = (value: unknown): [string, TaskLedger] => {
	const row = new Fields(value, step);
	const ledger = row.fields(1);
	return [row.string(0), {
		isDone: ledger.boolean('isDone'), failedRuns: ledger.nonNegativeIntegers('failedRuns'), crashes: ledger.has('crashes') ? ledger.array('crashes', decodeCrash) : [], lastRun: ledger.integerUpTo('lastRun', maxRunNumber), checkpoint: ledger.string('checkpoint'),
	}];
};

const decodePair = (value: unknown): InterferencePair => {
	const fields = new Fields(value, step);
	return {
		server: fields.string('server'), filler: fields.string('filler'), mean: fields.number('mean'), deviation: fields.nonNegativeNumber('deviation'),
	};
};
