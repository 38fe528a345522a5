/**
The guard, a proxy on the host of an upstream: announces the upstream, admits requests within its slots, and forwards them.

It runs on every host of an upstream, so it loads few modules: node:http, the announcer, and no schema library.
*/
import {
	Agent, createServer, request as sendRequest, type ClientRequest, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {connect, type Socket} from 'node:net';
import {pipeline} from 'node:stream/promises';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type Settings} from '../core/settings-schema.ts';
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';
import {Header, Outcome, RefusalReason} from '../types/requests.ts';
import {parseAddress} from '../utils/address.ts';
import {startAnnouncer, type Announcer, type PostAnnouncement} from '../utils/announcer.ts';
import {close, listen} from '../utils/http-server.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';
import {GuardAdmission} from './guard-admission.ts';

/** Options of a guard. */
export type GuardOptions = {
	settings: Pick<Settings, 'process' | 'guard'>;
	clock: Clock;
	random: Random;
};

/** A running guard. */
export type Guard = {
	/** Resolves to the bound address. */
	start(): Promise<string>;
	/** Announces that the upstream is draining, finishes requests in progress, then closes. */
	stop(): Promise<void>;
	/** Requests refused so far, by reason. */
	getRefusals(): Record<string, number>;
};

const log = createLogger(LogNamespace.Guard);
const hopByHop = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'te', 'trailer', 'proxy-connection', 'expect']);
const maxHoldMs = 600_000;
const probeTimeoutMs = 500;
const ignore = () => undefined;

/** Creates a guard. */
export const createGuard = ({settings, clock, random}: GuardOptions): Guard => {
	const {guard, process: identity} = settings;
	const upstream = parseAddress(guard.upstreamAddress);
	const admission = new GuardAdmission(clock, guard);
	const agent = new Agent({keepAlive: true, maxSockets: guard.connections});
	const refusals = new Map<RefusalReason, number>();
	const excessSockets = new WeakSet<Socket>();
	let connections = 0;
	let isClosing = false;
	let announcer: Announcer | undefined;

	const refuse = (response: ServerResponse, reason: RefusalReason, outcome: Outcome) => {
		refusals.set(reason, (refusals.get(reason) ?? 0) + 1);
		if (response.headersSent) {
			// The caller must be able to detect a truncated answer.
			response.destroy();
			return;
		}

		response.writeHead(outcome === Outcome.NotRun ? 503 : 502, {
			[Header.Outcome]: outcome, [Header.RefusalReason]: reason, ...(isClosing && {connection: 'close'}),
		});
		response.end();
	};

	const serve = async (request: IncomingMessage, response: ServerResponse) => {
		if (isClosing) {
			refuse(response, RefusalReason.GuardDraining, Outcome.NotRun);
			return;
		}

		if (excessSockets.has(request.socket) || !await admission.admit()) {
			refuse(response, RefusalReason.GuardFull, Outcome.NotRun);
			return;
		}

		try {
			// The sender may have disconnected while the request was queued; it is not run then.
			if (!response.destroyed) {
				await forward(request, response);
			}
		} finally {
			admission.release();
		}
	};

	const forward = async (request: IncomingMessage, response: ServerResponse) => {
		const upstreamRequest = sendRequest({
			...upstream, agent, method: request.method, path: request.url, headers: getForwardedHeaders(request.rawHeaders),
		});
		// The code below handles errors during the exchange; without these listeners, a later error would end the process.
		upstreamRequest.on('error', ignore);
		response.on('error', ignore);
		let isConnected = false;
		upstreamRequest.on('socket', (socket: Socket) => {
			isConnected ||= !socket.connecting;
			// A reused socket never emits the event, so each request would leave a listener on it.
			if (socket.connecting) {
				socket.once('connect', () => {
					isConnected = true;
				});
			}
		});
		// A request that never ends would hold its slot for ever; after this time no caller still waits for the answer.
		const timer = clock.setTimer(() => {
			upstreamRequest.destroy(createError(ErrorCode.TimedOut, {step: 'forward request', peer: guard.upstreamAddress}));
		}, maxHoldMs);
		try {
			const answer = await exchange(request, upstreamRequest);
			await forwardResponse(answer, response);
		} catch (error) {
			log('Request to the upstream failed: %s', getMessage(error));
			// Without a connection, no byte can have reached the upstream.
			refuse(response, RefusalReason.UpstreamFailed, isConnected ? Outcome.Unknown : Outcome.NotRun);
		} finally {
			timer.cancel();
		}
	};

	const isUpstreamUp = async (): Promise<boolean> => new Promise(resolve => {
		const socket = connect({...upstream, timeout: probeTimeoutMs});
		const finish = (isUp: boolean) => {
			socket.destroy();
			resolve(isUp);
		};

		socket.once('connect', () => {
			finish(true);
		});
		socket.once('timeout', () => {
			finish(false);
		});
		socket.once('error', () => {
			finish(false);
		});
	});

	const server = createServer(async (request, response) => {
		try {
			await serve(request, response);
		} catch (error) {
			log('Request failed: %s', getMessage(error));
			response.destroy();
		}
	});
	// Above `connections`, requests are refused as not run; above twice that number, sockets are not accepted.
	server.maxConnections = 2 * guard.connections;
	server.on('connection', socket => {
		connections++;
		if (connections > guard.connections) {
			excessSockets.add(socket);
		}

		socket.once('close', () => {
			connections--;
		});
	});

	return {
		async start() {
			const address = await listen(server, guard.address);
			announcer = startAnnouncer({
				clock,
				random,
				entryAddresses: guard.entryAddresses,
				path: 'upstreams',
				post: postJson,
				isReady: isUpstreamUp,
				body: {
					upstreamId: identity.id,
					service: guard.service,
					incarnation: clock.now().getTime(),
					address,
					region: identity.region,
					failureDomain: identity.failureDomain,
					slots: guard.slots,
					connections: guard.connections,
					isGuarded: true,
				},
			});
			return address;
		},
		async stop() {
			await announcer?.drain();
			// Entries that have not received the announcement yet may still send requests, which are served.
			await clock.sleep(guard.drainMs);
			isClosing = true;
			await admission.waitUntilIdle();
			announcer?.stop();
			await close(server);
			agent.destroy();
		},
		getRefusals: () => Object.fromEntries(refusals),
	};
};

const getForwardedHeaders = (rawHeaders: string[]): string[] => {
	const headers: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		if (!hopByHop.has(rawHeaders[index]!.toLowerCase())) {
			headers.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return headers;
};

/** Sends the body and resolves to the answer once its headers have arrived. */
const exchange = async (request: IncomingMessage, upstreamRequest: ClientRequest): Promise<IncomingMessage> => {
	const answered = new Promise<IncomingMessage>((resolve, reject) => {
		upstreamRequest.once('response', resolve);
		upstreamRequest.once('error', reject);
	});
	const send = async () => {
		try {
			await pipeline(request, upstreamRequest);
		} catch (error) {
			// The upstream must not take a body that the sender truncated for a complete one.
			upstreamRequest.destroy(error as Error);
		}
	};

	void send();
	return answered;
};

/** Forwards the answer, and reads it to its end even if the receiver disconnects. */
const forwardResponse = async (answer: IncomingMessage, response: ServerResponse): Promise<void> => {
	const ended = new Promise<void>(resolve => {
		answer.once('close', resolve);
	});
	response.writeHead(answer.statusCode!, answer.statusMessage, getForwardedHeaders(answer.rawHeaders));
	for await (const chunk of answer) {
		if (response.destroyed) {
			// The upstream is still working on the request, and its slot becomes free only when the answer is complete.
			continue;
		}

		if (!response.write(chunk)) {
			await waitForDrain(response);
		}
	}

	await ended;
	response.end();
};

const waitForDrain = async (response: ServerResponse): Promise<void> => {
	await new Promise<void>(resolve => {
		const finish = () => {
			response.off('drain', finish);
			response.off('close', finish);
			resolve();
		};

		response.once('drain', finish);
		response.once('close', finish);
	});
};

/** Posts JSON with node:http only. */
const postJson: PostAnnouncement = async (url, body, timeoutMs) => {
	const text = JSON.stringify(body);
	const call = sendRequest(url, {
		method: 'POST', headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}, timeout: timeoutMs,
	});
	call.once('timeout', () => {
		call.destroy(createError(ErrorCode.TimedOut, {step: 'announce', peer: url}));
	});
	call.end(text);
	const answer = await new Promise<IncomingMessage>((resolve, reject) => {
		call.once('response', resolve);
		call.once('error', reject);
	});
	const chunks: Buffer[] = [];
	for await (const chunk of answer) {
		chunks.push(chunk as Buffer);
	}

	if (answer.statusCode !== 200) {
		throw createError(ErrorCode.Refused, {step: 'announce', peer: url, detail: `status ${answer.statusCode}`});
	}

	return JSON.parse(Buffer.concat(chunks).toString('utf8')) as Awaited<ReturnType<PostAnnouncement>>;
};
