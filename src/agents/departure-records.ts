/**
Departures of agents: what an agent that is told to stop leaves in its registration, for owners that cannot ask it any more.
*/
import {type AgentDeparture, type WatchReply, type WorkerReport} from '../types/fleet.ts';
import {RunEnd} from '../types/workflows.ts';
import {maxRunNumber} from '../core/record-limits.ts';
import {Fields} from '../utils/fields.ts';
import {encodeWatchReply} from './agent-state-rows.ts';

const step = 'read agent departure';

/** Encodes a departure as a member of the registration. */
export const encodeDeparture = ({leaseMs, state}: AgentDeparture): Record<string, unknown> => ({
	leaseMs, ...(state && {state: encodeWatchReply({...state, crashed: []})}),
});

/** Decodes a departure. Throws `bad-input`. */
export const decodeDeparture = (fields: Fields): AgentDeparture => ({
	leaseMs: fields.nonNegativeNumber('leaseMs'),
	...(fields.has('state') && {state: decodeState(fields.fields('state'))}),
});

/** A row with a higher number is left out: the next run of its task would have none. */
const isRunNumber = ({run}: {run: number}): boolean => run <= maxRunNumber;

const decodeState = (fields: Fields): WatchReply => {
	const rows = fields.fields('rows');
	return {
		agentLife: fields.string('agentLife'),
		session: fields.nonNegativeInteger('session'),
		version: fields.nonNegativeInteger('version'),
		agentClockMs: fields.number('agentClockMs'),
		worker: rows.has('worker') ? decodeReport(rows.fields('worker')) : undefined,
		workerClockMs: fields.number('workerClockMs'),
		leaseUntilMs: fields.number('leaseUntilMs'),
		isListed: fields.boolean('isListed'),
		isAnswering: fields.boolean('isAnswering'),
		isOver: fields.boolean('isOver'),
		running: rows.array('running', item => {
			const row = new Fields(item, step);
			return {
				taskId: row.string(0), run: row.nonNegativeInteger(1), checkpoint: row.string(2), percent: row.number(3), recent: row.number(4),
			};
		}).filter(row => isRunNumber(row)),
		ended: rows.array('ended', item => {
			const row = new Fields(item, step);
			return {
				number: row.nonNegativeInteger(0), taskId: row.string(1), run: row.nonNegativeInteger(2), end: row.oneOf(3, Object.values(RunEnd)), checkpoint: row.string(4),
			};
		}).filter(row => isRunNumber(row)),
		starting: rows.array('starting', item => {
			const row = new Fields(item, step);
			return {taskId: row.string(0), run: row.nonNegativeInteger(1)};
		}).filter(row => isRunNumber(row)),
		crashed: [],
		goneWorkerIds: fields.strings('goneWorkerIds'),
	};
};

const decodeReport = (row: Fields): WorkerReport => ({
	workerId: row.string(0),
	service: row.string(1),
	failureDomain: row.string(2),
	isDraining: row.boolean(3),
	remainingMs: row.has(4) ? row.number(4) : undefined,
	milliCpu: row.nonNegativeNumber(5),
	memoryMb: row.nonNegativeNumber(6),
	accelerators: row.nonNegativeNumber(7),
	labels: row.strings(8),
	sequence: row.nonNegativeInteger(9),
});
