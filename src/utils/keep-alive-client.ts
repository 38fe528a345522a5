/**
HTTP client of the processes on a site: keep-alive connections and a time limit on each call. After a call has timed out, the idle
connections to its peer are closed.
*/
import {Buffer} from 'node:buffer';
import {Agent, type IncomingHttpHeaders} from 'node:http';
import {createError, ErrorCode} from '../core/errors.ts';
import {createPeerRequest} from './peer-request.ts';
import {afterPendingInput, TurnScheduler} from './turn-scheduler.ts';

/** A call to a peer. */
export type HttpCall = {
	address: string;
	method: string;
	path: string;
	headers?: Record<string, string>;
	body?: Buffer | string;
	timeoutMs: number;
	/** Longest wait for a connection, because a host without power does not answer connection requests; undefined: only `timeoutMs` applies. */
	connectTimeoutMs?: number;
	signal?: AbortSignal;
	/** Operation that the call is part of, for error messages. */
	step: string;
};

/** Complete response. */
export type HttpAnswer = {
	status: number;
	headers: IncomingHttpHeaders;
	body: Buffer;
};

/** Sends calls. Throws `peer-unavailable` without a complete response (the call may have been carried out), `peer-unreached` if nothing was sent. */
export type HttpClient = {
	call(call: HttpCall): Promise<HttpAnswer>;
	/** Parses a JSON response; undefined for an empty one. */
	callJson(call: Omit<HttpCall, 'body'> & {json?: unknown}): Promise<{status: number; headers: IncomingHttpHeaders; json: unknown}>;
	close(): void;
};

/** Called with the sizes of bodies that were sent and received. */
export type CountBytes = (sentBytes: number, receivedBytes: number) => void;

/** Creates the client, with at most `maxConnections` connections to each peer. */
export const createHttpClient = (maxConnections: number, turnScheduler = new TurnScheduler(), countBytes: CountBytes = () => undefined): HttpClient => {
	const agents = new Map<string, Agent>();
	const getAgent = (address: string): Agent => {
		let agent = agents.get(address);
		if (!agent) {
			agent = new Agent({keepAlive: true, maxSockets: maxConnections, scheduling: 'lifo'});
			agents.set(address, agent);
		}

		return agent;
	};

	/** A connection may stop delivering data without a reset. After a time-out, the idle connections to the peer may be in the same state, so they are closed. */
	const closeIdleConnections = (address: string) => {
		for (const sockets of Object.values(agents.get(address)?.freeSockets ?? {})) {
			for (const socket of sockets ?? []) {
				socket.destroy();
			}
		}
	};

	const call = async (options: HttpCall): Promise<HttpAnswer> => new Promise((resolve, reject) => {
		const {address, method, path, headers, body, timeoutMs, connectTimeoutMs, signal, step} = options;
		const bodyBytes = body === undefined ? undefined : Buffer.byteLength(body);
		const request = createPeerRequest(options, {
			method, path, agent: getAgent(address), headers: {...headers, ...(bodyBytes !== undefined && {'content-length': String(bodyBytes)})},
		});
		let isSettled = false;
		let isConnected = false;
		let connectTimer: NodeJS.Timeout | undefined;
		request.on('socket', socket => {
			if (!socket.connecting) {
				isConnected = true;
				return;
			}

			if (connectTimeoutMs !== undefined) {
				connectTimer = setTimeout(() => {
					afterPendingInput(() => {
						if (!isConnected) {
							fail(`no connection within ${connectTimeoutMs} ms`);
						}
					});
				}, connectTimeoutMs);
			}

			socket.once('connect', () => {
				isConnected = true;
				clearTimeout(connectTimer);
			});
		});
		const fail = (detail: string, cause?: Error) => {
			if (isSettled) {
				return;
			}

			isSettled = true;
			cleanUp();
			request.destroy();
			reject(createError(isConnected ? ErrorCode.PeerUnavailable : ErrorCode.PeerUnreached, {
				step, peer: address, detail, cause,
			}));
		};

		const onAbort = () => {
			fail('aborted by the caller');
		};

		const cleanUp = () => {
			clearTimeout(timer);
			clearTimeout(connectTimer);
			signal?.removeEventListener('abort', onAbort);
		};

		const timer = setTimeout(() => {
			afterPendingInput(() => {
				if (!isSettled) {
					closeIdleConnections(address);
					fail(`no response within ${timeoutMs} ms`);
				}
			});
		}, timeoutMs);
		signal?.addEventListener('abort', onAbort, {once: true});
		if (signal?.aborted) {
			onAbort();
			return;
		}

		request.on('error', error => {
			fail(error.message, error);
		});
		request.on('response', response => {
			const chunks: Buffer[] = [];
			response.on('data', (chunk: Buffer) => {
				chunks.push(chunk);
				countBytes(0, chunk.length);
			});
			response.on('end', () => {
				if (!isSettled) {
					isSettled = true;
					cleanUp();
					// Handling a response may take long; yield first, so that other work on the thread gets a turn.
					void turnScheduler.waitForTurn().then(() => {
						resolve({status: response.statusCode ?? 0, headers: response.headers, body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)});
					});
				}
			});
			response.on('error', error => {
				fail(error.message);
			});
			response.on('close', () => {
				fail('the connection was closed before the response was complete');
			});
		});
		request.setNoDelay(true);
		countBytes(bodyBytes ?? 0, 0);
		request.end(body);
	});

	return {
		call,
		async callJson({json, ...options}) {
			const answer = await call({
				...options,
				body: json === undefined ? undefined : JSON.stringify(json),
				headers: {...options.headers, ...(json !== undefined && {'content-type': 'application/json'})},
			});
			return {status: answer.status, headers: answer.headers, json: parseBody(answer.body, options.address, options.step)};
		},
		close() {
			for (const agent of agents.values()) {
				agent.destroy();
			}
		},
	};
};

const parseBody = (body: Buffer, peer: string, step: string): unknown => {
	if (body.length === 0) {
		return undefined;
	}

	try {
		return JSON.parse(body.toString('utf8')) as unknown;
	} catch (error) {
		throw createError(ErrorCode.BadInput, {
			step, peer, detail: 'the response is not JSON', cause: error,
		});
	}
};
