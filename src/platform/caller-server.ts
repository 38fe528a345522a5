/**
HTTP server for callers: submit a job, get its state, cancel it, and count the pending jobs of a queue.
*/
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	createError, ErrorCode, getErrorCode, getMessage,
} from '../core/errors.ts';
import {maxSteps, maxTasks} from '../core/record-limits.ts';
import {type Clock} from '../types/clock.ts';
import {LookupOutcome, SubmitOutcome, type JobApi} from '../types/job-api.ts';
import {type QueueConfig} from '../types/site.ts';
import {type WorkflowSpec, type WorkflowState, type WorkflowStep} from '../types/workflows.ts';
import {Fields, parseFields} from '../utils/fields.ts';
import {readBody} from '../utils/http-server.ts';
import {sum} from '../utils/sum.ts';

/** Deadline of a request without the `deadline-ms` header. */
const defaultDeadlineMs = 3000;
/** Subtracted from a caller's deadline, as time for the answer to reach the caller. */
const answerReserveMs = 150;
const idPattern = /^[\da-f]{16}$/i;

type Answer = {status: number; body?: {pendingCount?: number; state?: WorkflowState}; retryAfterMs?: number};

/** Called after each answer, for logging and metrics. */
export type AnswerHandler = (answer: {
	method: string; queue?: string; id?: string; status: number; reason?: string; tookMs: number; pendingCount?: number; state?: WorkflowState;
}) => void;

/** Options of the server. */
export type CallerServerOptions = {
	jobs: JobApi;
	clock: Clock;
	findQueue: (queues: QueueConfig[], host: string, path: string) => QueueConfig | undefined;
	onAnswer: AnswerHandler;
	/** Whether to close connections after the answer, so that callers connect elsewhere. */
	isClosing: () => boolean;
};

/** Creates the server; the caller of this function binds and closes it. */
export const createCallerServer = ({jobs, clock, findQueue, onAnswer, isClosing}: CallerServerOptions): Server => {
	const server = createServer(async (request, response) => {
		const startedAtMs = clock.monotonicMs();
		const url = request.url ?? '/';
		const path = url.split('?', 1)[0]!;
		const queue = findQueue(jobs.getConfig()?.queues ?? [], (request.headers.host ?? '').replace(/:\d+$/, ''), path);
		const id = queue && path.slice(queue.pathPrefix.length);
		let answer: Answer & {reason?: string};
		try {
			answer = await serve(request, queue, id ?? '');
		} catch (error) {
			answer = {status: getStatus(error), reason: getMessage(error)};
		}

		send(response, answer, isClosing());
		onAnswer({
			method: request.method ?? '', queue: queue?.name, id, status: answer.status, reason: answer.reason, tookMs: clock.monotonicMs() - startedAtMs, ...answer.body,
		});
	});

	const serve = async (request: IncomingMessage, queue: QueueConfig | undefined, id: string): Promise<Answer & {reason?: string}> => {
		const config = jobs.getConfig();
		if (!config) {
			return {status: 503, retryAfterMs: 1000, reason: 'no configuration yet'};
		}

		if (!queue) {
			return {status: 404, reason: 'no such queue'};
		}

		const timeoutMs = Math.max(answerReserveMs, Number(request.headers['deadline-ms'] ?? defaultDeadlineMs) - answerReserveMs);
		if (id === '' && request.method === 'GET') {
			const pendingCount = await jobs.countPending(queue, timeoutMs);
			return pendingCount === undefined ? {status: 503, retryAfterMs: 1000, reason: 'count unknown'} : {status: 200, body: {pendingCount}};
		}

		if (!idPattern.test(id)) {
			return {status: 404, reason: 'no such job'};
		}

		if (request.method === 'GET') {
			const {outcome, state} = await jobs.getState(queue, id, timeoutMs);
			return outcome === LookupOutcome.Found ? {status: 200, body: {state}} : getLookupAnswer(outcome);
		}

		if (request.method === 'DELETE') {
			return getLookupAnswer(await jobs.cancel(queue, id, timeoutMs));
		}

		if (request.method !== 'POST') {
			return {status: 405, reason: 'no such method'};
		}

		const {maxBodyBytes, headerTimeoutMs} = config.limits;
		const body = await readBody(request, clock, {maxBytes: maxBodyBytes, timeoutMs: Math.min(timeoutMs, headerTimeoutMs)});
		return decodeSubmitReply(await jobs.submit(queue, id, decodeWorkflowSpec(body), timeoutMs));
	};

	return server;
};

const decodeSubmitReply = ({outcome, retryAfterMs, reason}: {outcome: SubmitOutcome; retryAfterMs?: number; reason?: string}): Answer & {reason?: string} => {
	if (outcome === SubmitOutcome.Accepted) {
		return {status: 200};
	}

	if (outcome === SubmitOutcome.Refused) {
		return {status: 429, retryAfterMs: retryAfterMs ?? 1000, reason};
	}

	// 504: the job may run. 503: it never will.
	return outcome === SubmitOutcome.Unknown ? {status: 504, reason} : {status: 503, retryAfterMs: retryAfterMs ?? 1000, reason};
};

const getLookupAnswer = (outcome: LookupOutcome): Answer & {reason?: string} => {
	if (outcome === LookupOutcome.Found) {
		return {status: 200};
	}

	return outcome === LookupOutcome.Absent ? {status: 410, reason: 'no such job'} : {status: 503, retryAfterMs: 1000, reason: 'state unknown'};
};

const statusByCode: Partial<Record<ErrorCode, number>> = {
	[ErrorCode.BadInput]: 400,
	[ErrorCode.BodyTooSlow]: 408,
	[ErrorCode.BodyTooLarge]: 413,
};

const getStatus = (error: unknown): number => {
	const code = getErrorCode(error);
	return (code && statusByCode[code]) ?? 500;
};

const send = (response: ServerResponse, {status, body, retryAfterMs}: Answer, isClosing: boolean): void => {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const isFullyRead = response.req.complete;
	const text = JSON.stringify(body ?? {});
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
		...(retryAfterMs !== undefined && {'retry-after': String(Math.ceil(retryAfterMs / 1000))}),
		// The unread rest of a body would be parsed as the next request.
		...((!isFullyRead || isClosing) && {connection: 'close'}),
	});
	response.end(text);
};

/** Decodes a job as callers send it. Throws `bad-input`. */
export const decodeWorkflowSpec = (body: Buffer): WorkflowSpec => {
	const fields = parseFields(body, 'read job');
	const steps = fields.array('steps', value => new Fields(value, 'read step')).map((step, index) => decodeStep(step, index));
	if (steps.length === 0 || steps.length > maxSteps) {
		throw createError(ErrorCode.BadInput, {step: 'read job', detail: `no steps or too many: got ${steps.length} steps`});
	}

	const tasks = sum(steps.map(({count}) => count));
	if (tasks > maxTasks) {
		throw createError(ErrorCode.BadInput, {step: 'read job', detail: `expected at most ${maxTasks} tasks, found ${tasks}`});
	}

	return {
		input: fields.string('spec', ''),
		steps,
		firstDueMs: fields.nonNegativeNumber('firstMs', 0),
		intervalMs: fields.nonNegativeNumber('intervalMs', 0),
		repeatCount: fields.nonNegativeInteger('repeatCount', 0),
	};
};

const decodeStep = (fields: Fields, index: number): WorkflowStep => {
	const step: WorkflowStep = {
		count: fields.nonNegativeInteger('count', 0),
		milliCpu: fields.nonNegativeNumber('cpu', 0),
		memoryMb: fields.nonNegativeNumber('memMb', 0),
		accelerators: fields.nonNegativeNumber('gpu', 0),
		estimateMs: fields.nonNegativeNumber('estimateMs', 0),
		after: fields.nonNegativeIntegers('after'),
		isCheckpointing: fields.boolean('checkpointing', false),
		isGang: fields.boolean('gang', false),
		isSameRack: fields.boolean('sameRack', false),
		requiredLabel: fields.string('requirements', '') || undefined,
		dataRack: fields.string('affinity', '') || undefined,
		maxPerWorker: fields.nonNegativeInteger('antiAffinity', 0),
		isSpeculative: fields.boolean('speculative', false),
		isLasting: fields.boolean('longRunning', false),
		image: fields.string('image', '') || undefined,
		targetMs: fields.nonNegativeNumber('targetMs', 0),
		isFilling: fields.boolean('fills', false),
		maxAway: fields.has('mayMiss') ? fields.nonNegativeInteger('mayMiss') : undefined,
	};
	if (step.after.some(earlier => earlier >= index)) {
		throw createError(ErrorCode.BadInput, {step: 'read job', detail: `step ${index}: a dependency on itself or a later step`});
	}

	return step;
};
