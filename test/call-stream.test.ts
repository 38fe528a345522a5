/**
Calls between processes over call streams.
*/
import {createServer, type Server} from 'node:http';
import {connect, createServer as createTcpServer, type Socket} from 'node:net';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {ErrorCode, getErrorCode} from '../src/core/errors.ts';
import {type StreamClient} from '../src/utils/call-stream-client.ts';
import {close, createJsonServer, listen} from '../src/utils/http-server.ts';
import {createSystemClock} from '../src/utils/system-clock.ts';
import {createCallClients} from './call-clients.ts';

let client: StreamClient;
const cleanUp: Array<() => unknown> = [];

const createClients = (): void => {
	const clients = createCallClients();
	client = clients.streams;
	cleanUp.push(clients.close);
};

const call = async (address: string, json: unknown, timeoutMs = 1000, signal?: AbortSignal) => client.call({
	address, path: '/echo', json, timeoutMs, signal, step: 'call',
});

const getCallErrorCode = async (answer: Promise<unknown>): Promise<ErrorCode | undefined> => {
	try {
		await answer;
		return undefined;
	} catch (error) {
		return getErrorCode(error);
	}
};

const serveEcho = async (): Promise<{address: string; stop: () => Promise<void>}> => {
	const clock = createSystemClock();
	const server = createJsonServer(clock);
	server.route('POST', '/echo', async ({body}) => {
		const {waitMs = 0} = body as {waitMs?: number};
		await clock.sleep(waitMs);
		return {body};
	});
	return {address: await server.listen('127.0.0.1:0'), stop: async () => server.close()};
};

afterEach(async () => {
	for (const cleanUpStep of cleanUp.splice(0)) {
		await cleanUpStep();
	}
});

describe('calls on a stream', () => {
	it('may be answered in any order; each gets its own response', async () => {
		createClients();
		const {address, stop} = await serveEcho();
		cleanUp.push(stop);
		const waits = [60, 5, 30, 0];
		const answers = await Promise.all(waits.map(async waitMs => call(address, {waitMs, text: 'line\nbreak é'})));
		expect(answers).toEqual(waits.map(waitMs => ({status: 200, json: {waitMs, text: 'line\nbreak é'}})));
	});

	it('report errors by their status', async () => {
		createClients();
		const {address, stop} = await serveEcho();
		cleanUp.push(stop);
		const {status} = await client.call({
			address, path: '/none', json: {}, timeoutMs: 1000, step: 'call',
		});
		expect(status).toBe(404);
	});

	it('go over HTTP to a peer that does not support call streams', async () => {
		createClients();
		const server: Server = createServer((request, response) => {
			response.writeHead(request.method === 'POST' ? 200 : 404);
			response.end('{"old":true}');
		});
		const address = await listen(server, '127.0.0.1:0');
		cleanUp.push(async () => {
			server.closeAllConnections();
			await close(server);
		});
		expect(await call(address, {})).toEqual({status: 200, json: {old: true}});
	});

	it('close a connection that delivers no more data, and continue over a new one', async () => {
		createClients();
		const {address, stop} = await serveEcho();
		cleanUp.push(stop);
		const [host, port] = address.split(':');
		let isUnresponsive = false;
		const sockets = new Set<Socket>();
		const proxy = createTcpServer(socket => {
			sockets.add(socket);
			const wasOpenedBefore = !isUnresponsive;
			const target = connect(Number(port), host);
			sockets.add(target);
			socket.on('data', chunk => {
				if (wasOpenedBefore && isUnresponsive) {
					return;
				}

				target.write(chunk);
			});
			target.on('data', chunk => {
				socket.write(chunk);
			});
			for (const end of [socket, target]) {
				end.on('error', () => undefined);
			}
		});
		await new Promise<void>(resolve => {
			proxy.listen(0, '127.0.0.1', resolve);
		});
		cleanUp.push(() => {
			for (const socket of sockets) {
				socket.destroy();
			}

			proxy.close();
		});
		const proxyAddress = `127.0.0.1:${(proxy.address() as {port: number}).port}`;
		await call(proxyAddress, {});
		isUnresponsive = true;
		expect(await getCallErrorCode(call(proxyAddress, {}, 100))).toBe(ErrorCode.PeerUnavailable);
		expect(await call(proxyAddress, {n: 2})).toEqual({status: 200, json: {n: 2}});
	});

	it('report that nothing was sent if there is no connection', async () => {
		createClients();
		const {address, stop} = await serveEcho();
		await stop();
		expect(await getCallErrorCode(call(address, {}))).toBe(ErrorCode.PeerUnreached);
	});

	it('end when their signal aborts; other calls continue', async () => {
		createClients();
		const {address, stop} = await serveEcho();
		cleanUp.push(stop);
		const aborter = new AbortController();
		const aborted = getCallErrorCode(call(address, {waitMs: 200}, 1000, aborter.signal));
		const other = call(address, {waitMs: 200});
		setTimeout(() => {
			aborter.abort();
		}, 50);
		expect(await aborted).toBe(ErrorCode.PeerUnavailable);
		expect((await other).status).toBe(200);
	});

	it('in progress are answered before the server closes, and idle connections are closed', async () => {
		createClients();
		const {address, stop} = await serveEcho();
		const answer = call(address, {waitMs: 100});
		await call(address, {});
		await stop();
		expect((await answer).status).toBe(200);
	});
});
