/**
Simulated entries on real sockets, with upstreams that a test controls, and slots counted locally.
*/
import {once} from 'node:events';
import {
	createServer as createHttpServer, type IncomingMessage, type Server as HttpServer, type ServerResponse,
} from 'node:http';
import {
	connect, createServer as createNetServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {createKernel} from '../src/core/kernel.ts';
import {createSettings} from '../src/core/settings.ts';
import {createCallersService} from '../src/plugins/callers-service.ts';
import {createClaimsService} from '../src/plugins/claims-service.ts';
import {createControlService} from '../src/plugins/control-service.ts';
import {createMetricsService} from '../src/plugins/metrics-service.ts';
import {MemoryLog} from '../src/standin/memory-log.ts';
import {HostState, type UpstreamAnnouncement} from '../src/types/announcements.ts';
import {Header} from '../src/types/requests.ts';
import {
	ServiceName, type ConfigService, type MovesService, type SlotsService, type UpstreamRegistry,
} from '../src/types/services.ts';
import {createRequestId} from '../src/utils/request-id.ts';
import {createRandom} from '../src/utils/seeded-random.ts';
import {createSystemClock} from '../src/utils/system-clock.ts';

/** Path of the service under test. */
export const deskPath = '/desk';
const host = '127.0.0.1';
const waitMs = 10_000;

/** Handles a request at an upstream, once its body was read. */
export type Behaviour = (request: IncomingMessage, response: ServerResponse, body: Buffer) => void;

/** An answer as text, and whether the connection ended with an error. */
export type RawAnswer = {
	text: string;
	isBroken: boolean;
};

/** An answer that a test checks. */
export type Answer = {
	status: number;
	headers: Record<string, string>;
	body: string;
};

type SeenRequest = {
	method: string;
	url: string;
	headers: IncomingMessage['headers'];
	body: string;
};

/** Slots that are counted at this entry only. */
const createLocalSlots = (slotCount: number): SlotsService & {getHeld(): number} => {
	const held = new Map<string, number>();
	const callbacks: Array<() => void> = [];
	const getFree = (upstreamId: string) => slotCount - (held.get(upstreamId) ?? 0);
	return {
		getFree,
		getHeld: () => [...held.values()].reduce((sum, count) => sum + count, 0),
		getConnections: () => slotCount,
		setDemand: () => undefined,
		onFree(callback) {
			callbacks.push(callback);
		},
		tryTake(upstreamId) {
			if (getFree(upstreamId) <= 0) {
				return undefined;
			}

			held.set(upstreamId, (held.get(upstreamId) ?? 0) + 1);
			let isHeld = true;
			return {
				release() {
					if (isHeld) {
						isHeld = false;
						held.set(upstreamId, held.get(upstreamId)! - 1);
						for (const callback of callbacks) {
							callback();
						}
					}
				},
			};
		},
	};
};

const listen = async (server: Server | HttpServer): Promise<string> => {
	server.listen(0, host);
	await once(server, 'listening');
	return `${host}:${(server.address() as AddressInfo).port}`;
};

type Overrides = Parameters<typeof createSettings>[0];

/** Creates a simulation; the test must await `close` at its end. */
export const createSimulatedRequests = () => {
	const clock = createSystemClock();
	const random = createRandom(5);
	const log = new MemoryLog(clock, random);
	const announcements: UpstreamAnnouncement[] = [];
	const closers: Array<() => Promise<void>> = [];
	const seen: SeenRequest[] = [];
	const moves: {current?: MovesService} = {};

	const announce = (address: string, isGuarded = false): UpstreamAnnouncement => {
		const upstream: UpstreamAnnouncement = {
			upstreamId: `desk-${announcements.length + 1}`,
			service: 'desk',
			incarnation: 1,
			sequence: 1,
			state: HostState.Alive,
			address,
			region: 'local',
			failureDomain: 'local-1',
			slots: 8,
			connections: 64,
			isGuarded,
		};
		announcements.push(upstream);
		return upstream;
	};

	const startEntry = async (overrides: Overrides = {}, slotCount = 8) => {
		const kernel = createKernel(clock, waitMs);
		const any = `${host}:0`;
		const settings = createSettings({
			...overrides,
			entry: {callerAddress: any, controlAddress: any},
			claims: {appendEveryMs: 2, ...overrides?.claims},
		});
		const slots = createLocalSlots(slotCount);
		kernel.provide(ServiceName.Settings, settings);
		kernel.provide(ServiceName.Clock, clock);
		kernel.provide(ServiceName.Random, random);
		kernel.provide(ServiceName.Identity, {
			processId: `entry-${closers.length}`, incarnation: 1, region: 'local', failureDomain: 'local-1',
		});
		kernel.provide(ServiceName.Log, log);
		kernel.provide(ServiceName.Slots, slots);
		kernel.provide(ServiceName.Config, {
			getSection: (name: string) => name === 'service desk' ? {name, offset: 0, values: {}} : undefined,
		} as ConfigService);
		kernel.provide(ServiceName.Upstreams, {
			getRoutable: (service: string) => service === 'desk' ? announcements : [],
			get: (upstreamId: string) => announcements.find(upstream => upstream.upstreamId === upstreamId),
			list: () => announcements,
		} as UpstreamRegistry);
		if (moves.current) {
			kernel.provide(ServiceName.Moves, moves.current);
		}

		kernel.register({name: ServiceName.Metrics, dependsOn: [], load: async () => createMetricsService});
		kernel.register({name: ServiceName.Control, dependsOn: [ServiceName.Metrics], load: async () => createControlService});
		kernel.register({name: ServiceName.Claims, dependsOn: [ServiceName.Control], load: async () => createClaimsService});
		kernel.register({name: ServiceName.Callers, dependsOn: [ServiceName.Claims], load: async () => createCallersService});
		await kernel.start();
		let stopped: Promise<void> | undefined;
		const stop = async () => {
			stopped ??= kernel.stop();
			return stopped;
		};

		closers.push(stop);
		return {
			kernel,
			slots,
			stop,
			address: kernel.get(ServiceName.Callers).getAddress(),
			controlAddress: kernel.get(ServiceName.Control).getAddress(),
			getCounts: () => kernel.get(ServiceName.Metrics).getCounts(),
		};
	};

	/** Starts an upstream that reads each request completely and then calls `behaviour`. */
	const startUpstream = async (behaviour: Behaviour, isGuarded = false) => {
		const requests: SeenRequest[] = [];
		const server = createHttpServer(async (request, response) => {
			const chunks: Buffer[] = [];
			try {
				for await (const chunk of request) {
					chunks.push(chunk as Buffer);
				}
			} catch {
				return;
			}

			const body = Buffer.concat(chunks);
			const {method = '', url = '', headers} = request;
			const seenRequest = {
				method, url, headers, body: body.toString(),
			};
			requests.push(seenRequest);
			seen.push(seenRequest);
			behaviour(request, response, body);
		});
		const upstream = announce(await listen(server), isGuarded);
		closers.push(async () => {
			server.closeAllConnections();
			server.close();
		});
		return {...upstream, requests, server};
	};

	/** Starts an upstream whose answers the test writes as raw bytes. */
	const startRawUpstream = async (onData: (socket: Socket, text: string, connection: number) => void) => {
		const sockets = new Set<Socket>();
		let connections = 0;
		const server = createNetServer(socket => {
			const connection = ++connections;
			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('data', data => {
				onData(socket, data.toString(), connection);
			});
		});
		const upstream = announce(await listen(server));
		closers.push(async () => {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		});
		return {...upstream, sockets};
	};

	/**
	Announces an upstream at port 1, where nothing listens. A port that was free a moment ago could meanwhile be used by another
	test.
	*/
	const announceClosedPort = () => announce(`${host}:1`);

	const waitUntil = async (isDone: () => boolean): Promise<void> => {
		const endMs = clock.monotonicMs() + waitMs;
		while (!isDone()) {
			if (clock.monotonicMs() > endMs) {
				throw new Error('condition not met within 10 s');
			}

			await clock.sleep(5);
		}
	};

	return {
		clock,
		log,
		random,
		seen,
		moves,
		announce,
		announcements,
		startEntry,
		startUpstream,
		startRawUpstream,
		announceClosedPort,
		waitUntil,
		createId: () => createRequestId(clock, random),
		async close() {
			await Promise.all(closers.toReversed().map(async closer => closer()));
		},
	};
};

/** Sends raw bytes and collects the bytes received until the connection ends. */
export const sendRaw = async (address: string, text: string): Promise<RawAnswer> => {
	const [hostName, port] = address.split(':');
	const socket = connect(Number(port), hostName);
	const chunks: Buffer[] = [];
	let isBroken = false;
	socket.on('data', chunk => chunks.push(chunk));
	socket.on('error', () => {
		isBroken = true;
	});
	socket.write(text);
	await new Promise<void>(resolve => {
		socket.once('close', resolve);
	});
	return {text: Buffer.concat(chunks).toString(), isBroken};
};

/** Options of a request. */
export type SendOptions = {
	method?: string;
	path?: string;
	headers?: Record<string, string>;
	body?: string;
	signal?: AbortSignal;
};

/** Sends one request on a new connection; rejects if the answer is incomplete. */
export const send = async (address: string, options: SendOptions = {}): Promise<Answer> => {
	const {method = 'GET', path = deskPath, headers = {}, body, signal} = options;
	const response = await fetch(`http://${address}${path}`, {
		method, headers: {connection: 'close', ...headers}, body, signal,
	});
	const answerHeaders = {...Object.fromEntries(response.headers), 'set-cookie': response.headers.getSetCookie().join(', ')};
	return {status: response.status, headers: answerHeaders, body: await response.text()};
};

/** Gets the status, reason and outcome of a refusal. */
export const getRefusal = ({status, headers}: Answer) => ({
	status, reason: headers[Header.RefusalReason], outcome: headers[Header.Outcome],
});
