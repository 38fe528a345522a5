/**
Client of the worker on this host over HTTP, and the decoder of its announcements.
*/
import {
	createError, ErrorCode, getMessage, isConnectionRefused, isError,
} from '../core/errors.ts';
import {
	OrderRefusal, type EndedRow, type RunningRow, type WorkerAnswer, type WorkerClient, type WorkerListing, type WorkerReport,
} from '../types/fleet.ts';
import {RunEnd} from '../types/workflows.ts';
import {Fields, parseFields} from '../utils/fields.ts';
import {type HttpClient} from '../utils/keep-alive-client.ts';
import {formatWorkerId, getInstanceId, hasStartTime} from './worker-identity.ts';

/** Timeout of an order. The worker is on this host and answers in a few ms. */
const orderTimeoutMs = 700;
/** A worker lists at most this many ends at a time. */
const maxListedEnds = 500;

const refusalByReason: Record<string, OrderRefusal> = {
	fence: OrderRefusal.StaleFence,
	old: OrderRefusal.OldRun,
	late: OrderRefusal.StartTooLate,
	room: OrderRefusal.NoCapacity,
	ticket: OrderRefusal.Ticket,
};

const refusalByStatus: Record<number, OrderRefusal> = {
	400: OrderRefusal.Invalid,
	// The worker is another incarnation than the one named in the request.
	421: OrderRefusal.OtherWorkerIncarnation,
	429: OrderRefusal.Unhealthy,
	503: OrderRefusal.Unhealthy,
};

type Reply = {status: number; json: unknown};

/** Creates the client of the worker at the address. */
export const createWorkerClient = (http: HttpClient, address: string): WorkerClient => {
	const post = async (path: string, json: unknown, workerId: string | undefined, timeoutMs: number): Promise<Reply> => {
		const step = `call worker ${path}`;
		let answer;
		try {
			answer = await http.callJson({
				address, method: 'POST', path, json, timeoutMs, step, headers: workerId === undefined ? {} : {'expect-instance': getInstanceId(workerId)},
			});
		} catch (error) {
			// A busy worker may accept no connection for a while.
			throw isError(error, ErrorCode.PeerUnreached) && !isConnectionRefused(error) ? createError(ErrorCode.PeerUnavailable, {step, detail: getMessage(error)}) : error;
		}

		return {status: answer.status, json: answer.json};
	};

	return {
		async start(workerId, start, {fence, leaseUntilMs}) {
			return decodeAnswer(await post('/run-start', {
				task: start.taskId,
				run: start.run,
				spec: start.input,
				untilMs: Math.floor(leaseUntilMs),
				fence,
				...(start.checkpoint !== '' && {checkpoint: start.checkpoint}),
				...(start.ticket !== undefined && {ticket: start.ticket}),
			}, workerId, orderTimeoutMs));
		},
		stop: async (workerId, {taskId, run}, fence) => decodeAnswer(await post('/run-stop', {task: taskId, run, fence}, workerId, orderTimeoutMs)),
		throttle: async (workerId, {taskId, run, percent}, fence) => decodeAnswer(await post('/pace', {
			task: taskId, run, percent: Math.round(percent), fence,
		}, workerId, orderTimeoutMs)),
		// The worker has one path for three operations: renewing leases, dropping ends, and listing.
		async renew(workerId, {fence, forgetUpTo, leaseUntilMs, waitMs}) {
			const reply = await post('/hold', {
				fence,
				seenUpto: forgetUpTo,
				...(leaseUntilMs !== undefined && {untilMs: Math.floor(leaseUntilMs)}),
				...(waitMs > 0 && {waitMs: Math.floor(waitMs)}),
			}, workerId, waitMs + orderTimeoutMs);
			return reply.status === 200 ? decodeListing(reply, workerId) : {refusal: decodeAnswer(reply).refusal!};
		},
	};
};

/** Decodes an answer to an order. Throws `peer-unavailable` for one that leaves open whether the order was carried out. */
const decodeAnswer = ({status, json}: Reply): WorkerAnswer => {
	const fields = new Fields(json ?? {}, 'read worker answer');
	const clockMs = fields.has('clockMs') ? fields.number('clockMs') : undefined;
	if (status === 200) {
		return {isDone: true, clockMs};
	}

	const reason = fields.string('reason', '');
	const refusal = status === 409 ? refusalByReason[reason] : refusalByStatus[status];
	if (refusal === undefined) {
		// Any other answer leaves open whether the order was carried out.
		throw createError(ErrorCode.PeerUnavailable, {step: 'read worker answer', detail: `expected a known status and reason, found ${status} ${reason}`});
	}

	return {isDone: false, refusal, clockMs};
};

/** Decodes a listing. One that gives the time of its worker's start may come from another incarnation than the expected one, with the same id. */
const decodeListing = ({json}: Reply, expectedId: string | undefined): WorkerListing => {
	const fields = new Fields(json, 'read worker listing');
	const ended = fields.array('ended', decodeEnded);
	return {
		workerId: expectedId !== undefined && hasStartTime(expectedId) && fields.has('born') ? formatWorkerId(getInstanceId(expectedId), fields.nonNegativeInteger('born')) : expectedId,
		clockMs: fields.number('clockMs'),
		running: fields.array('running', decodeRunning),
		ended,
		hasMoreEnds: ended.length >= maxListedEnds,
	};
};

/** Decodes a row of task, run, checkpoint, percent and the recent measurement. */
const decodeRunning = (value: unknown): RunningRow => {
	const row = new Fields(value, 'read running run');
	return {
		taskId: row.string(0), run: row.nonNegativeInteger(1), checkpoint: row.string(2, ''), percent: row.nonNegativeNumber(3, 0), recent: row.nonNegativeNumber(4, 0),
	};
};

/** Decodes a row of number, task, run, how it ended, and checkpoint. */
const decodeEnded = (value: unknown): EndedRow => {
	const row = new Fields(value, 'read ended run');
	return {
		number: row.nonNegativeInteger(0), taskId: row.string(1), run: row.nonNegativeInteger(2), end: row.oneOf(3, Object.values(RunEnd)), checkpoint: row.string(4, ''),
	};
};

/** States of a worker in its announcements. */
enum AnnouncedState {
	Ready = 'ready',
	Draining = 'draining',
}

/**
Decodes a worker's announcement. Announcements may come from other writers, so one with a missing field, a field of another
type or an unknown state is rejected. Throws `bad-input`.
*/
export const decodeAnnouncement = (instanceId: string, body: Buffer | string): WorkerReport => {
	const fields = parseFields(body, 'read announcement');
	const capacity = fields.fields('capacity');
	return {
		workerId: formatWorkerId(instanceId, fields.has('born') ? fields.nonNegativeInteger('born') : undefined),
		service: fields.string('service'),
		failureDomain: fields.string('zone'),
		isDraining: fields.oneOf('state', Object.values(AnnouncedState)) === AnnouncedState.Draining,
		remainingMs: fields.has('remainingMs') ? fields.nonNegativeNumber('remainingMs') : undefined,
		warmupRemainingMs: fields.has('coldRemainingMs') ? fields.nonNegativeNumber('coldRemainingMs') : undefined,
		milliCpu: capacity.nonNegativeNumber('cpu'),
		memoryMb: capacity.nonNegativeNumber('memMb'),
		accelerators: capacity.nonNegativeNumber('gpu', 0),
		labels: fields.strings('labels'),
		sequence: fields.nonNegativeInteger('seq'),
	};
};
