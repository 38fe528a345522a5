/**
Responses that arrive while the caller's thread is busy.
*/
import {Worker} from 'node:worker_threads';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {type StreamClient} from '../src/utils/call-stream-client.ts';
import {type HttpClient} from '../src/utils/keep-alive-client.ts';
import {createCallClients} from './call-clients.ts';

let client: StreamClient;
let http: HttpClient;
const cleanUp: Array<() => unknown> = [];

const call = async (address: string, timeoutMs = 1000) => client.call({
	address, path: '/echo', json: {}, timeoutMs, step: 'call',
});

afterEach(async () => {
	for (const cleanUpStep of cleanUp.splice(0)) {
		await cleanUpStep();
	}
});

/** Server that answers each request after 50 ms, run on its own thread. */
const serverThreadCode = String.raw`
	const {createServer} = require('node:http');
	const {parentPort} = require('node:worker_threads');
	const server = createServer((request, response) => {
		request.resume();
		request.on('end', () => setTimeout(() => response.end('{"n":1}'), 50));
	});
	server.on('upgrade', (request, socket) => {
		socket.write('HTTP/1.1 101 Switching Protocols\r\nconnection: Upgrade\r\nupgrade: chervilworks-calls\r\n\r\n');
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			for (const line of chunk.toString().split('\n').slice(0, -1)) {
				setTimeout(() => socket.write(line.split(' ')[0] + ' 200 {"n":1}\n'), 50);
			}
		});
	});
	server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

/** Guards against calls that time out although the response arrived in time, because a late event loop runs timers before input. */
describe('a response that arrives while the thread is busy for longer than the time-out', () => {
	const blockMs = 400;
	const start = async (): Promise<string> => {
		const worker = new Worker(serverThreadCode, {eval: true});
		cleanUp.push(async () => worker.terminate());
		const port = await new Promise<number>(resolve => {
			worker.once('message', resolve);
		});
		const clients = createCallClients();
		http = clients.http;
		client = clients.streams;
		cleanUp.push(clients.close);
		return `127.0.0.1:${port}`;
	};

	const blockThread = async (afterMs = 20): Promise<void> => {
		// The request must be sent first. Blocking from an immediate lets timers run before input afterwards.
		await new Promise(resolve => {
			if (afterMs > 0) {
				setTimeout(() => {
					setImmediate(resolve);
				}, afterMs);
			} else {
				setImmediate(resolve);
			}
		});
		const endMs = performance.now() + blockMs;
		while (performance.now() < endMs) {
			// Busy.
		}
	};

	it('is received on a call stream', async () => {
		const address = await start();
		await call(address);
		const answer = call(address, 200);
		await blockThread();
		expect(await answer).toEqual({status: 200, json: {n: 1}});
	});

	it('is received on an HTTP connection', async () => {
		const address = await start();
		const send = async () => http.callJson({
			address, method: 'POST', path: '/', json: {}, timeoutMs: 200, step: 'call',
		});
		await send();
		const answer = send();
		await blockThread();
		expect(await answer).toMatchObject({status: 200, json: {n: 1}});
	});

	it('is received on a connection that was accepted meanwhile', async () => {
		const address = await start();
		const answer = http.callJson({
			address, method: 'POST', path: '/', json: {}, timeoutMs: 2000, connectTimeoutMs: 100, step: 'call',
		});
		await blockThread(0);
		expect(await answer).toMatchObject({status: 200, json: {n: 1}});
	});
});
