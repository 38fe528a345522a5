/**
Encoding of a forecast as rows of numbers: all entries read it, some over slow links.

Entries of the previous version apply the members `queues` and `fleet` to the jobs of all services, so a forecast for one service has its rows in
members that they do not know.
*/
import {type BacklogForecast, type QueueForecast, type WorkerShape} from '../types/admission.ts';
import {maxEpoch} from '../core/record-limits.ts';
import {Fields} from '../utils/fields.ts';

/** Name of the operation in errors. */
const step = 'read forecast';

type EncodedForecast = {epoch: number; queues: []; service: string | undefined; waits: unknown[][]; workers?: unknown[][]};

/** Encodes a forecast. */
export const encodeForecast = ({epoch, service, queues, fleet}: BacklogForecast): EncodedForecast => ({
	epoch,
	queues: [],
	service,
	waits: queues.map(({queue, measuredJobs, lowestRatio, medianRatio, waits}) => [queue, measuredJobs, lowestRatio, medianRatio, ...waits.flatMap(({fromCoreMs, waitMs}) => [fromCoreMs, waitMs])]),
	...(fleet && {workers: fleet.map(({milliCpu, memoryMb, accelerators, workers, labels}) => [milliCpu, memoryMb, accelerators, workers, ...labels])}),
});

/** Decodes a forecast. Throws `bad-input`. */
export const decodeForecast = (fields: Fields): BacklogForecast => ({
	epoch: fields.integerUpTo('epoch', maxEpoch),
	service: fields.has('service') ? fields.string('service') : undefined,
	queues: fields.array('waits', decodeQueue),
	fleet: fields.has('workers') ? fields.array('workers', decodeShape) : undefined,
});

const queueColumns = 4;
const shapeColumns = 4;

const decodeQueue = (value: unknown): QueueForecast => {
	const row = new Fields(value, step);
	const length = getLength(value);
	const waits = [];
	for (let column = queueColumns; column + 1 < length; column += 2) {
		waits.push({fromCoreMs: row.nonNegativeNumber(column), waitMs: row.nonNegativeNumber(column + 1)});
	}

	return {
		queue: row.string(0), measuredJobs: row.nonNegativeInteger(1), lowestRatio: row.nonNegativeNumber(2), medianRatio: row.nonNegativeNumber(3), waits,
	};
};

const decodeShape = (value: unknown): WorkerShape => {
	const row = new Fields(value, step);
	const labels = [];
	for (let column = shapeColumns; column < getLength(value); column++) {
		labels.push(row.string(column));
	}

	return {
		milliCpu: row.nonNegativeNumber(0), memoryMb: row.nonNegativeNumber(1), accelerators: row.nonNegativeNumber(2), workers: row.nonNegativeInteger(3), labels,
	};
};

const getLength = (value: unknown): number => Array.isArray(value) ? value.length : 0;
