/**
Minimal HTTP server for JSON calls of the program's processes, the platform and operators, with limits on the size and duration of bodies.
*/
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {
	createError, ErrorCode, getErrorCode, getMessage,
} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {parseAddress} from './address.ts';
import {CallStreams} from './call-stream-server.ts';

/** A request to a JSON route. */
export type JsonRequest = {
	/** Values of the `:name` parts of the route. */
	params: Record<string, string>;
	query: URLSearchParams;
	body: unknown;
	signal: AbortSignal;
};

/** Response of a JSON route; the default status is 200. */
export type JsonReply = {
	status?: number;
	body: unknown;
};

/** Handles one JSON request. */
export type JsonHandler = (request: JsonRequest) => Promise<JsonReply> | JsonReply;

/** A server of JSON routes. */
export type JsonServer = {
	route(method: string, path: string, handler: JsonHandler): void;
	/** Binds to `host:port`; resolves to the address bound. */
	listen(address: string): Promise<string>;
	/** Stops accepting connections and resolves when requests in progress are done. */
	close(): Promise<void>;
};

/** Limits on the body of a request. */
export type BodyLimits = {
	maxBytes: number;
	timeoutMs: number;
};

type Route = {
	method: string;
	parts: string[];
	handler: JsonHandler;
};

const defaultBounds: BodyLimits = {maxBytes: 4_194_304, timeoutMs: 10_000};
const idleSweepMs = 20;
const statusByCode: Partial<Record<ErrorCode, number>> = {
	[ErrorCode.BadInput]: 400,
	[ErrorCode.NotFound]: 404,
	[ErrorCode.BodyTooSlow]: 408,
	[ErrorCode.Conflict]: 409,
	[ErrorCode.BodyTooLarge]: 413,
	[ErrorCode.Refused]: 409,
	[ErrorCode.LogUnavailable]: 503,
	[ErrorCode.PeerUnavailable]: 503,
	[ErrorCode.PeerUnreached]: 503,
};

/** Creates a server of JSON routes. */
export const createJsonServer = (clock: Clock, bounds = defaultBounds): JsonServer => {
	const routes: Route[] = [];
	const server = createServer(async (request, response) => {
		await answer(request, response);
	});

	const answer = async (request: IncomingMessage, response: ServerResponse) => {
		const aborter = new AbortController();
		response.once('close', () => {
			aborter.abort();
		});
		const {status, body} = await run(async () => {
			const url = new URL(request.url ?? '/', 'http://localhost');
			const {route, params} = findRoute(routes, request.method ?? 'GET', url.pathname);
			return route.handler({
				params, query: url.searchParams, body: await readJson(request, clock, bounds), signal: aborter.signal,
			});
		});
		send(response, status, body);
	};

	const streams = new CallStreams(async (path, body, signal) => run(async () => {
		const {route, params} = findRoute(routes, 'POST', path);
		return route.handler({
			params, query: new URLSearchParams(), body, signal,
		});
	}));
	server.on('upgrade', (request: IncomingMessage, socket: Socket, head: Buffer) => {
		streams.accept(request, socket, head);
	});

	return {
		route(method, path, handler) {
			routes.push({method, parts: path.split('/'), handler});
		},
		listen: async address => listen(server, address),
		async close() {
			streams.close();
			await close(server);
		},
	};
};

/** Runs a handler; an error becomes a response with its status and code. */
const run = async (handler: () => Promise<JsonReply>): Promise<{status: number; body: unknown}> => {
	try {
		const {status = 200, body} = await handler();
		return {status, body};
	} catch (error) {
		const code = getErrorCode(error);
		return {status: (code && statusByCode[code]) ?? 500, body: {error: getMessage(error), code}};
	}
};

const openSockets = new WeakMap<Server, Set<Socket>>();

/** Binds the server to `host:port`; resolves to the address bound. */
export const listen = async (server: Server, address: string): Promise<string> => {
	const {host, port} = parseAddress(address);
	const sockets = new Set<Socket>();
	openSockets.set(server, sockets);
	server.on('connection', (socket: Socket) => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return `${host}:${(server.address() as AddressInfo).port}`;
};

/** Stops accepting, closes idle connections and resolves when requests in progress are done. */
export const close = async (server: Server): Promise<void> => {
	if (!server.listening) {
		return;
	}

	await new Promise<void>(resolve => {
		// A connection that becomes idle after this call would stay open until its keep-alive time-out.
		const sweep = setInterval(() => {
			server.closeIdleConnections();
		}, idleSweepMs);
		server.close(() => {
			clearInterval(sweep);
			resolve();
		});
		server.closeIdleConnections();
		closeUnusedConnections(server);
	});
};

/** Node counts a connection that has not received any data as busy, so a connection that a client opened in advance would delay the close. */
const closeUnusedConnections = (server: Server): void => {
	for (const socket of openSockets.get(server) ?? []) {
		if (socket.bytesRead === 0) {
			socket.destroy();
		}
	}
};

/**
Reads a body within limits on size and time. Throws `body-too-large`, `body-too-slow` or `peer-unavailable`; the request is then
paused but stays open, so that a response can still be sent.
*/
export const readBody = async (request: IncomingMessage, clock: Clock, bounds: BodyLimits): Promise<Buffer> => new Promise((resolve, reject) => {
	const chunks: Buffer[] = [];
	let size = 0;
	const cleanUp = () => {
		timer.cancel();
		request.off('data', onData);
		request.off('end', onEnd);
		request.off('error', onError);
		request.off('close', onClose);
	};

	const fail = (error: Error) => {
		cleanUp();
		request.pause();
		reject(error);
	};

	const onData = (chunk: Buffer) => {
		size += chunk.length;
		chunks.push(chunk);
		if (size > bounds.maxBytes) {
			fail(createError(ErrorCode.BodyTooLarge, {step: 'read body', detail: `more than ${bounds.maxBytes} bytes`}));
		}
	};

	const onEnd = () => {
		cleanUp();
		resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
	};

	const onError = (error: Error) => {
		fail(error);
	};

	const onClose = () => {
		fail(createError(ErrorCode.PeerUnavailable, {step: 'read body', detail: 'the client closed the connection'}));
	};

	// Without a time limit, a client that sends very slowly would occupy memory and a socket indefinitely.
	const timer = clock.setTimer(() => {
		fail(createError(ErrorCode.BodyTooSlow, {step: 'read body', detail: `not complete after ${bounds.timeoutMs} ms`}));
	}, bounds.timeoutMs);
	request.on('data', onData);
	request.on('end', onEnd);
	request.on('error', onError);
	request.on('close', onClose);
});

const readJson = async (request: IncomingMessage, clock: Clock, bounds: BodyLimits): Promise<unknown> => {
	const body = await readBody(request, clock, bounds);
	if (body.length === 0) {
		return undefined;
	}

	try {
		return JSON.parse(body.toString('utf8')) as unknown;
	} catch (error) {
		throw createError(ErrorCode.BadInput, {step: 'read body', detail: 'the body is not JSON', cause: error});
	}
};

const findRoute = (routes: Route[], method: string, path: string) => {
	const parts = path.split('/');
	for (const route of routes) {
		const params = route.method === method ? match(route.parts, parts) : undefined;
		if (params) {
			return {route, params};
		}
	}

	throw createError(ErrorCode.NotFound, {step: 'find route', detail: `${method} ${path}`});
};

const match = (pattern: string[], parts: string[]): Record<string, string> | undefined => {
	if (pattern.length !== parts.length) {
		return undefined;
	}

	const params: Record<string, string> = {};
	for (const [index, part] of pattern.entries()) {
		if (part.startsWith(':')) {
			params[part.slice(1)] = decodeURIComponent(parts[index]!);
		} else if (part !== parts[index]) {
			return undefined;
		}
	}

	return params;
};

const send = (response: ServerResponse, status: number, body: unknown): void => {
	if (response.headersSent || response.destroyed) {
		return;
	}

	// If the body was not read to its end, its rest would be parsed as the next request, and a stalled client would keep the connection open.
	const isRead = response.req.complete;
	response.writeHead(status, {'content-type': 'application/json', ...(!isRead && {connection: 'close'})});
	response.end(JSON.stringify(body ?? {}));
};
