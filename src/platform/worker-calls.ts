/**
Calls to the worker on this host, and its announcements, on the wire.
*/
import {createError, ErrorCode} from '../core/errors.ts';
import {
	OrderRefusal, type EndedRow, type RunningRow, type WorkerAnswer, type WorkerClient, type WorkerListing, type WorkerReport,
} from '../types/fleet.ts';
import {RunEnd} from '../types/workflows.ts';
import {type HttpClient} from '../utils/http-calls.ts';

/** The worker is on this host and answers in a few ms; no answer after this long is taken as none. */
const orderTimeoutMs = 700;

const refusalByReason: Record<string, OrderRefusal> = {
	fence: OrderRefusal.Fence,
	old: OrderRefusal.OldRun,
	late: OrderRefusal.Late,
	room: OrderRefusal.NoRoom,
	ticket: OrderRefusal.Ticket,
};

const refusalByStatus: Record<number, OrderRefusal> = {
	400: OrderRefusal.Invalid,
	// The worker that is there is another incarnation than the one named.
	421: OrderRefusal.OtherWorker,
	429: OrderRefusal.Unhealthy,
	503: OrderRefusal.Unhealthy,
};

const endByName: Record<string, RunEnd> = {
	done: RunEnd.Done,
	failed: RunEnd.Failed,
	stopped: RunEnd.Stopped,
	lapsed: RunEnd.Lapsed,
	broken: RunEnd.Broken,
	alone: RunEnd.Alone,
};

type Reply = {status: number; json: unknown; instanceId?: string};

/** Creates the client of the worker at the address. */
export const createWorkerClient = (http: HttpClient, address: string): WorkerClient => {
	const post = async (path: string, json: unknown, workerId: string | undefined, timeoutMs: number): Promise<Reply> => {
		const answer = await http.callJson({
			address, method: 'POST', path, json, timeoutMs, step: `call worker ${path}`, headers: workerId === undefined ? {} : {'expect-instance': workerId},
		});
		return {status: answer.status, json: answer.json, instanceId: answer.headers['instance-id'] as string | undefined};
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
		pace: async (workerId, {taskId, run, percent}, fence) => decodeAnswer(await post('/pace', {
			task: taskId, run, percent: Math.round(percent), fence,
		}, workerId, orderTimeoutMs)),
		// One wire name serves three uses: prolonging leases, forgetting ends, and listing.
		async renew(workerId, {fence, forgetUpTo, leaseUntilMs, waitMs}) {
			const reply = await post('/hold', {
				fence,
				seenUpto: forgetUpTo,
				...(leaseUntilMs !== undefined && {untilMs: Math.floor(leaseUntilMs)}),
				...(waitMs > 0 && {waitMs: Math.floor(waitMs)}),
			}, workerId, waitMs + orderTimeoutMs);
			return reply.status === 200 ? decodeListing(reply) : {refusal: decodeAnswer(reply).refusal ?? OrderRefusal.Invalid};
		},
	};
};

const decodeAnswer = ({status, json}: Reply): WorkerAnswer => {
	const {clockMs, reason} = (json ?? {}) as {clockMs?: number; reason?: string};
	if (status === 200) {
		return {isDone: true, clockMs};
	}

	const refusal = status === 409 ? refusalByReason[reason ?? ''] : refusalByStatus[status];
	return {isDone: false, refusal: refusal ?? OrderRefusal.Invalid, clockMs};
};

const decodeListing = ({json, instanceId}: Reply): WorkerListing => {
	const {clockMs, running, ended} = json as {
		clockMs: number; running?: Array<[string, number, string, number, number?]>; ended?: Array<[number, string, number, string, string]>;
	};
	return {
		workerId: instanceId,
		clockMs,
		running: (running ?? []).map(([taskId, run, checkpoint, percent, recent]): RunningRow => ({
			taskId, run, checkpoint, percent, recent: recent ?? 0,
		})),
		ended: (ended ?? []).map(([number, taskId, run, how, checkpoint]): EndedRow => ({
			number, taskId, run, end: decodeEnd(how), checkpoint,
		})),
	};
};

const decodeEnd = (how: string): RunEnd => {
	const end = endByName[how];
	if (end === undefined) {
		throw createError(ErrorCode.BadInput, {step: 'read ended run', detail: how});
	}

	return end;
};

/** Decodes a worker's announcement. Throws `bad-input`. */
export const decodeAnnouncement = (workerId: string, body: unknown): WorkerReport => {
	const {service, zone, state, remainingMs, capacity, labels, seq} = (body ?? {}) as {
		service?: string; zone?: string; state?: string; remainingMs?: number; seq?: number; labels?: string[];
		capacity?: {cpu?: number; memMb?: number; gpu?: number};
	};
	if (typeof service !== 'string' || typeof seq !== 'number') {
		throw createError(ErrorCode.BadInput, {step: 'read announcement', peer: workerId});
	}

	return {
		workerId,
		service,
		failureDomain: zone ?? '',
		isDraining: state === 'draining',
		remainingMs,
		milliCpu: capacity?.cpu ?? 0,
		memoryMb: capacity?.memMb ?? 0,
		accelerators: capacity?.gpu ?? 0,
		labels: labels ?? [],
		sequence: seq,
	};
};
