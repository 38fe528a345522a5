import {connect} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {createJsonServer, type JsonServer} from '../src/utils/http-server.ts';
import {createSystemClock} from '../src/utils/system-clock.ts';

const servers: JsonServer[] = [];

afterEach(async () => {
	await Promise.all(servers.splice(0).map(async server => server.close()));
});

const start = async (timeoutMs = 30_000): Promise<string> => {
	const server = createJsonServer(createSystemClock(), {maxBytes: 100, timeoutMs});
	servers.push(server);
	server.route('POST', '/things/:id', ({params, body}) => ({body: {id: params.id, body}}));
	return server.listen('127.0.0.1:0');
};

const post = async (address: string, path: string, body: string) => {
	const answer = await fetch(`http://${address}${path}`, {method: 'POST', body});
	return {status: answer.status, body: await answer.json()};
};

test('a handler gets the parameters of its route and the body', async () => {
	const address = await start();
	expect(await post(address, '/things/a%20b', '{"x":1}')).toEqual({status: 200, body: {id: 'a b', body: {x: 1}}});
});

test.each([
	['too large', '/things/a', `"${'x'.repeat(200)}"`, 413],
	['not JSON', '/things/a', '{"x":', 400],
	['no such route', '/nothing', '{}', 404],
])('%s: the response has an error message and a code', async (_name, path, body, status) => {
	const address = await start();
	const answer = await post(address, path, body);
	expect(answer.status).toBe(status);
	expect(answer.body).toMatchObject({error: expect.any(String) as string, code: expect.any(String) as string});
});

// A client announces a body and does not send it to its end. Its connection must be closed after the time limit.
test('the connection of a stalled sender is closed after the time limit', async () => {
	const address = await start(100);
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	const closed = new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
	});
	socket.on('error', () => undefined);
	socket.resume();
	socket.write('POST /things/a HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{');
	await closed;
	expect(socket.destroyed).toBe(true);
});
