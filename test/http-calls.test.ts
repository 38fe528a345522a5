/**
What the HTTP client says of a call without an answer.
*/
import {createServer, type Server} from 'node:http';
import {connect} from 'node:net';
import {Worker} from 'node:worker_threads';
import {afterEach, expect, it} from 'vitest';
import {ErrorCode, getErrorCode} from '../src/core/errors.ts';
import {createHttpClient, type HttpClient} from '../src/utils/http-calls.ts';
import {listen} from '../src/utils/http-server.ts';

let server: Server;
let http: HttpClient;

afterEach(() => {
	http.close();
	server.closeAllConnections();
	server.close();
});

const getCode = async (address: string, timeoutMs: number, connectTimeoutMs?: number): Promise<ErrorCode | undefined> => {
	try {
		await http.call({
			address, method: 'POST', path: '/', body: 'text', timeoutMs, connectTimeoutMs, step: 'call',
		});
	} catch (error) {
		return getErrorCode(error);
	}

	return undefined;
};

it('nothing was sent without a connection', async () => {
	server = createServer();
	const address = await listen(server, '127.0.0.1:0');
	await new Promise(resolve => {
		server.close(resolve);
	});
	http = createHttpClient(1);
	expect(await getCode(address, 1000)).toBe(ErrorCode.PeerUnreached);
});

it('it may have been carried out once there was a connection, a new one or a kept one', async () => {
	server = createServer((request, response) => {
		if (request.method === 'GET') {
			response.end();
		}
	});
	const address = await listen(server, '127.0.0.1:0');
	http = createHttpClient(1);
	expect(await getCode(address, 200)).toBe(ErrorCode.PeerUnavailable);
	await http.call({
		address, method: 'GET', path: '/', timeoutMs: 1000, step: 'call',
	});
	expect(await getCode(address, 200)).toBe(ErrorCode.PeerUnavailable);
});

/** Listens and accepts nothing: once its queue is full, opening packets get no answer. */
const listenDeaf = `
	const {createServer} = require('node:net');
	const {parentPort} = require('node:worker_threads');
	const server = createServer();
	server.listen({port: 0, host: '127.0.0.1', backlog: 1}, () => {
		parentPort.postMessage(server.address().port);
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 5000);
	});
`;

it('a host that answers no opening packet is given up soon', async () => {
	server = createServer();
	http = createHttpClient(1);
	const worker = new Worker(listenDeaf, {eval: true});
	const port = await new Promise<number>(resolve => {
		worker.once('message', resolve);
	});
	const fillers = Array.from({length: 4}, () => connect(port, '127.0.0.1').on('error', () => undefined));
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	const startMs = performance.now();
	expect(await getCode(`127.0.0.1:${port}`, 3000, 100)).toBe(ErrorCode.PeerUnreached);
	expect(performance.now() - startMs).toBeLessThan(1500);
	for (const filler of fillers) {
		filler.destroy();
	}

	await worker.terminate();
});
