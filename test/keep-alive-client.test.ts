/**
Errors of the HTTP client for calls without a response.
*/
import {createServer, type Server} from 'node:http';
import {connect} from 'node:net';
import {Worker} from 'node:worker_threads';
import {afterEach, expect, it} from 'vitest';
import {ErrorCode, getErrorCode} from '../src/core/errors.ts';
import {createHttpClient, type HttpClient} from '../src/utils/keep-alive-client.ts';
import {listen} from '../src/utils/http-server.ts';

let server: Server;
let http: HttpClient;

afterEach(() => {
	http.close();
	server.closeAllConnections();
	server.close();
});

const getCallErrorCode = async (address: string, timeoutMs: number, connectTimeoutMs?: number): Promise<ErrorCode | undefined> => {
	try {
		await http.call({
			address, method: 'POST', path: '/', body: 'text', timeoutMs, connectTimeoutMs, step: 'call',
		});
	} catch (error) {
		return getErrorCode(error);
	}

	return undefined;
};

it('reports that nothing was sent if there is no connection', async () => {
	server = createServer();
	const address = await listen(server, '127.0.0.1:0');
	await new Promise(resolve => {
		server.close(resolve);
	});
	http = createHttpClient(1);
	expect(await getCallErrorCode(address, 1000)).toBe(ErrorCode.PeerUnreached);
});

it('reports that a call may have been carried out if there was a connection, new or kept alive', async () => {
	server = createServer((request, response) => {
		if (request.method === 'GET') {
			response.end();
		}
	});
	const address = await listen(server, '127.0.0.1:0');
	http = createHttpClient(1);
	expect(await getCallErrorCode(address, 200)).toBe(ErrorCode.PeerUnavailable);
	await http.call({
		address, method: 'GET', path: '/', timeoutMs: 1000, step: 'call',
	});
	expect(await getCallErrorCode(address, 200)).toBe(ErrorCode.PeerUnavailable);
});

/** Server that listens but accepts nothing: once its backlog is full, connection requests are not answered. */
const unresponsiveServerCode = `
	const {createServer} = require('node:net');
	const {parentPort} = require('node:worker_threads');
	const server = createServer();
	server.listen({port: 0, host: '127.0.0.1', backlog: 1}, () => {
		parentPort.postMessage(server.address().port);
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 5000);
	});
`;

it('times out early on a host that does not answer connection requests', async () => {
	server = createServer();
	http = createHttpClient(1);
	const worker = new Worker(unresponsiveServerCode, {eval: true});
	const port = await new Promise<number>(resolve => {
		worker.once('message', resolve);
	});
	const backlogSockets = Array.from({length: 4}, () => connect(port, '127.0.0.1').on('error', () => undefined));
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	const startMs = performance.now();
	expect(await getCallErrorCode(`127.0.0.1:${port}`, 3000, 100)).toBe(ErrorCode.PeerUnreached);
	expect(performance.now() - startMs).toBeLessThan(1500);
	for (const backlogSocket of backlogSockets) {
		backlogSocket.destroy();
	}

	await worker.terminate();
});
