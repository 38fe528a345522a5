/**
What the HTTP client says of a call without an answer.
*/
import {createServer, type Server} from 'node:http';
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

const getCode = async (address: string, timeoutMs: number): Promise<ErrorCode | undefined> => {
	try {
		await http.call({
			address, method: 'POST', path: '/', body: 'text', timeoutMs, step: 'call',
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
