/**
Serves callers: admits each request, routes it to an upstream of its service and forwards the complete answer.
*/
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {ErrorCode, getErrorCode, getMessage} from '../core/errors.ts';
import {type Kernel} from '../core/kernel.ts';
import {type CompleteAnswer} from '../requests/answer.ts';
import {Call} from '../requests/dispatch-call.ts';
import {getForwardedResponseHeaders, getForwardedRequestHeaders} from '../requests/headers.ts';
import {readRequestFacts, type RequestFacts} from '../requests/request-facts.ts';
import {Metric} from '../types/metrics.ts';
import {Header, Outcome, RefusalReason} from '../types/requests.ts';
import {ServiceName, type CallersService} from '../types/services.ts';
import {close, listen, readBody} from '../utils/http-server.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';
import {serveClaimedRequest} from './callers-claimed.ts';
import {createLanes} from './callers-lanes.ts';
import {sendRefusal, type CallerRefusal} from './callers-refusals.ts';

const log = createLogger(LogNamespace.Callers);
const stoppingRetryAfterMs = 200;
const noUpstreamRetryAfterMs = 1000;
const maxHeaderBytes = 32_768;

type CallParts = {
	facts: RequestFacts;
	arrivedAtMs: number;
	body?: Buffer;
};

/** Creates the server for callers. */
export const createCallersService = (kernel: Kernel): CallersService => {
	const settings = kernel.get(ServiceName.Settings);
	const metrics = kernel.get(ServiceName.Metrics);
	const clock = kernel.get(ServiceName.Clock);
	const claims = kernel.get(ServiceName.Claims);
	const control = kernel.get(ServiceName.Control);
	const bounds = {maxBytes: settings.callers.maxBodyBytes, timeoutMs: settings.callers.bodyTimeoutMs};
	const ownHeaders: Record<string, string> = {[Header.Entry]: kernel.get(ServiceName.Identity).processId};
	let activeRequests = 0;
	let heldBytes = 0;
	let onIdle: (() => void) | undefined;
	let isStopping = false;
	let boundAddress = '';

	const lanes = createLanes(kernel, call => {
		// A claimed request has reached its deadline: its caller gets a refusal at once, and the request keeps running.
		if (!call.isClosed) {
			refuse(call.target.response, {reason: RefusalReason.UpstreamTimeout, outcome: Outcome.Unknown, retryAfterMs: stoppingRetryAfterMs});
			call.close();
		}
	});

	const claimedOptions = {
		claims, clock, maxBodyBytes: settings.claims.maxBodyBytes, isSettled: (serviceName: string) => lanes.isSettled(serviceName),
	};

	const server = createServer({
		keepAliveTimeout: settings.callers.keepAliveMs, maxHeaderSize: maxHeaderBytes, insecureHTTPParser: false, requireHostHeader: true,
	}, async (request, response) => {
		activeRequests++;
		await serveSafely(request, response);
		activeRequests--;
		if (isStopping) {
			notifyIfIdle();
		}
	});
	server.maxConnections = settings.callers.maxConnections;

	const serveSafely = async (request: IncomingMessage, response: ServerResponse) => {
		try {
			await serve(request, response);
		} catch (error) {
			log('Request failed: %s', getMessage(error));
			refuse(response, {reason: RefusalReason.UpstreamFailed, outcome: Outcome.Unknown, retryAfterMs: 0});
		}
	};

	const notifyIfIdle = () => {
		if (activeRequests === 0) {
			onIdle?.();
		}
	};

	const serve = async (request: IncomingMessage, response: ServerResponse) => {
		const arrivedAtMs = clock.monotonicMs();
		metrics.count(Metric.Requests);
		const facts = readRequestFacts(request, settings.callers);
		if (typeof facts === 'string') {
			refuseUnread(request, response, {reason: facts, outcome: Outcome.NotRun, retryAfterMs: 0});
			return;
		}

		const early = findEarlyRefusal(facts);
		if (early) {
			refuseUnread(request, response, early);
			return;
		}

		if (!facts.hasBody) {
			await serveCall(request, response, {facts, arrivedAtMs});
			return;
		}

		const bytes = Number(request.headers['content-length'] ?? bounds.maxBytes);
		if (bytes > bounds.maxBytes) {
			refuseUnread(request, response, {reason: RefusalReason.BodyTooLarge, outcome: Outcome.NotRun, retryAfterMs: 0});
			return;
		}

		// Queues limit only the number of requests, so large bodies could still exhaust the memory.
		if (heldBytes + bytes > settings.callers.maxHeldBytes) {
			refuseUnread(request, response, {reason: RefusalReason.QueueFull, outcome: Outcome.NotRun, retryAfterMs: noUpstreamRetryAfterMs});
			return;
		}

		heldBytes += bytes;
		try {
			const body = await readCallerBody(request, response);
			if (body) {
				await serveCall(request, response, {facts, arrivedAtMs, body});
			}
		} finally {
			heldBytes -= bytes;
		}
	};

	const serveCall = async (request: IncomingMessage, response: ServerResponse, parts: CallParts) => {
		const {facts, arrivedAtMs} = parts;
		const call = createCall(request, response, parts);
		// The caller disconnected, or received its complete answer.
		response.once('close', () => {
			call.close();
		});
		await answer(call);
		metrics.timing(Metric.RequestMs, clock.monotonicMs() - arrivedAtMs, facts.requestClass);
	};

	const findEarlyRefusal = ({serviceName}: RequestFacts): CallerRefusal | undefined => {
		if (isStopping) {
			return {reason: RefusalReason.ShuttingDown, outcome: Outcome.NotRun, retryAfterMs: stoppingRetryAfterMs};
		}

		if (!kernel.get(ServiceName.Config).getSection(`service ${serviceName}`)?.values) {
			return {reason: RefusalReason.UnknownService, outcome: Outcome.NotRun, retryAfterMs: 0};
		}

		const obstacle = lanes.findRefusalReason(serviceName);
		return obstacle && {reason: obstacle, outcome: Outcome.NotRun, retryAfterMs: noUpstreamRetryAfterMs};
	};

	const readCallerBody = async (request: IncomingMessage, response: ServerResponse): Promise<Buffer | undefined> => {
		try {
			return await readBody(request, clock, bounds);
		} catch (error) {
			const code = getErrorCode(error);
			const reason = code === ErrorCode.BodyTooLarge ? RefusalReason.BodyTooLarge : RefusalReason.SlowCaller;
			refuseUnread(request, response, {
				reason: code === undefined ? RefusalReason.CallerGone : reason, outcome: Outcome.NotRun, retryAfterMs: 0,
			});
			return undefined;
		}
	};

	const createCall = (request: IncomingMessage, response: ServerResponse, {facts, arrivedAtMs, body}: CallParts): Call => new Call({
		facts,
		headers: getForwardedRequestHeaders(request.rawHeaders, request.headers.connection),
		body,
		arrivedAtMs,
		target: {
			response, bufferBytes: settings.answers.bufferBytes, ownHeaders, stalls: lanes.stalls,
		},
		mayWrite: () => facts.isIdempotent || (claims.isDispatchable(facts.requestId!) && lanes.isSettled(facts.serviceName)),
	});

	const answer = async (call: Call) => {
		const lane = lanes.get(call.facts.serviceName);
		const end = call.facts.isIdempotent ? await lane.run(call) : await serveClaimedRequest(call, lane, claimedOptions);
		const {response} = call.target;
		if (end.refusal) {
			refuse(response, end.refusal);
		} else if (end.answer) {
			sendAnswer(call, end.answer);
		}
	};

	const sendAnswer = (call: Call, {status, headers, body, isReplayed}: CompleteAnswer & {isReplayed?: boolean}) => {
		const {response} = call.target;
		if (call.isClosed || (body && response.headersSent)) {
			metrics.count(Metric.LateAnswers);
			return;
		}

		metrics.count(Metric.Answers);
		if (!body) {
			return;
		}

		const responseHeaders: Record<string, string | string[]> = {...getForwardedResponseHeaders(headers), ...getConnectionHeaders()};
		if (isReplayed) {
			responseHeaders[Header.Replayed] = 'true';
		}

		if (call.facts.method !== 'HEAD' && status !== 204 && status !== 304) {
			responseHeaders['content-length'] = String(body.length);
		}

		response.writeHead(status, responseHeaders);
		response.end(body);
		lanes.stalls.add(response);
	};

	const refuse = (response: ServerResponse, refusal: CallerRefusal) => {
		metrics.count(Metric.Refusals, refusal.reason);
		if (!response.writableEnded) {
			sendRefusal(response, refusal, {ownHeaders: getConnectionHeaders(), clock});
		}
	};

	const refuseUnread = (request: IncomingMessage, response: ServerResponse, refusal: CallerRefusal) => {
		const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;
		refuse(response, hasBody && !request.complete ? {...refusal, unreadRequest: request} : refusal);
	};

	const getConnectionHeaders = (): Record<string, string> => isStopping ? {...ownHeaders, connection: 'close'} : ownHeaders;

	control.addReadiness('callers', () => !isStopping);
	control.addStatus('callers', () => lanes.getStatus());

	return {
		getAddress: () => boundAddress,
		async start() {
			boundAddress = await listen(server, settings.entry.callerAddress);
		},
		async stop() {
			isStopping = true;
			lanes.close();
			// A request may be in transit on a connection that looks idle here, and closing it now would lose the request. During
			// this time each request gets an answer that closes its connection.
			await clock.sleep(settings.callers.drainMs);
			await close(server);
			// Requests whose callers disconnected keep running; their ends are recorded before the claims service stops.
			await new Promise<void>(resolve => {
				onIdle = resolve;
				notifyIfIdle();
			});
			await lanes.destroy();
		},
	};
};
