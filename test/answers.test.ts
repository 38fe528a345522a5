import {once} from 'node:events';
import {connect} from 'node:net';
import {type Dispatcher} from 'undici';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {Attempt, type AttemptEnd} from '../src/requests/dispatch-attempt.ts';
import {AnswerCollector} from '../src/requests/answer.ts';
import {AttemptFailure} from '../src/requests/retry.ts';
import {Header, Outcome, RefusalReason} from '../src/types/requests.ts';
import {
	createSimulatedRequests, getRefusal, send, sendRaw,
} from './simulated-requests.ts';

let world: ReturnType<typeof createSimulatedRequests>;

beforeEach(() => {
	world = createSimulatedRequests();
});

afterEach(async () => {
	await world.close();
});

const get = (path = '/desk', headers = '') => `GET ${path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n${headers}\r\n`;

test('a whole answer comes back with its status, headers and body, and says which entry served it', async () => {
	await world.startUpstream((request, response) => {
		response.writeHead(201, {
			'x-own': '1', 'set-cookie': ['a=1', 'b=2'], connection: 'x-hop', 'x-hop': '2',
		});
		response.end(`hello ${request.url}`);
	});
	const entry = await world.startEntry();
	const answer = await send(entry.address, {path: '/desk/a?b=c', headers: {'x-mine': 'yes', connection: 'close'}});
	expect(answer).toMatchObject({status: 201, body: 'hello /desk/a?b=c'});
	expect(answer.headers).toMatchObject({'x-own': '1', 'set-cookie': 'a=1, b=2', [Header.Entry]: 'entry-1'});
	expect(answer.headers['x-hop']).toBeUndefined();
	expect(world.seen[0]!.headers['x-mine']).toBe('yes');
});

test('headers of the hop, also those that connection names, go no further', async () => {
	await world.startUpstream((_request, response) => {
		response.end('ok');
	});
	const entry = await world.startEntry();
	await sendRaw(entry.address, [
		'GET /desk HTTP/1.1', 'host: x', 'connection: close, x-secret', 'x-secret: 1', 'te: trailers', 'keep-alive: 5', 'proxy-authorization: p', 'x-kept: 1', 'no-retry: 1', '', '',
	].join('\r\n'));
	const {headers} = world.seen[0]!;
	expect(headers).toMatchObject({'x-kept': '1'});
	for (const name of ['x-secret', 'te', 'keep-alive', 'proxy-authorization']) {
		expect(headers[name], name).toBeUndefined();
	}
});

test('a check whose answer is cut short gets a clean error, never half an answer', async () => {
	// An upstream dies while it writes. A clerk must not read half a consignment as the whole.
	await world.startRawUpstream(socket => {
		socket.end('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf of it');
	});
	const entry = await world.startEntry();
	const answer = await send(entry.address);
	expect(getRefusal(answer)).toEqual({status: 502, reason: RefusalReason.AnswerTruncated, outcome: Outcome.Unknown});
	expect(answer.body).not.toContain('half');
});

test('answers that break the protocol or do not say where they end never pass', async () => {
	const answers = [
		'HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n',
		'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n',
		'HTTP/1.1 200 OK\r\n\r\nuntil the end',
		'nonsense\r\n\r\n',
		'HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nabc',
	];
	let next = 0;
	await world.startRawUpstream(socket => {
		socket.end(answers[next]!);
	});
	const entry = await world.startEntry({retries: {maxAttempts: 1}});
	for (next = 0; next < answers.length; next++) {
		const answer = await send(entry.address);
		expect(answer.status, answers[next]).toBe(502);
		expect(answer.headers[Header.Outcome]).toBe(Outcome.Unknown);
	}
});

test('a large answer cut short after its start breaks the connection of the caller', async () => {
	// Its head is out already, so it cannot become an error any more: the caller must see it break, also without a length.
	for (const head of ['content-length: 1000000', 'transfer-encoding: chunked']) {
		await world.startRawUpstream(socket => {
			const chunk = 'x'.repeat(100_000);
			socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${head.startsWith('t') ? `${(100_000).toString(16)}\r\n` : ''}${chunk}\r\n`);
			setTimeout(() => socket.destroy(), 30);
		});
		const entry = await world.startEntry();
		await expect(send(entry.address), head).rejects.toThrow();
		const raw = await sendRaw(entry.address, get().replace('HTTP/1.1', 'HTTP/1.0'));
		expect(raw.isBroken, head).toBe(true);
		world.announcements.pop();
	}
});

test('large answers stream whole', async () => {
	const size = 30_000_000;
	await world.startUpstream((_request, response) => {
		response.writeHead(200, {'content-length': size});
		let left = size;
		const write = () => {
			while (left > 0) {
				left -= 100_000;
				if (!response.write(Buffer.alloc(100_000, 97))) {
					response.once('drain', write);
					return;
				}
			}

			response.end();
		};

		write();
	});
	const entry = await world.startEntry();
	// Far longer than it takes, also on a busy machine: at its deadline a streamed answer is broken off.
	const answer = await send(entry.address, {headers: {[Header.DeadlineMs]: '60000'}});
	expect(answer.body).toHaveLength(size);
});

test('a caller that stops reading is cut off, and its slot comes back', async () => {
	// A client hangs in the middle of a large download. It would hold a slot and memory until the deadline.
	await world.startUpstream((_request, response) => {
		response.on('error', () => undefined);
		response.writeHead(200);
		const write = () => {
			while (!response.destroyed) {
				if (!response.write(Buffer.alloc(100_000))) {
					response.once('drain', write);
					return;
				}
			}
		};

		write();
	});
	const entry = await world.startEntry({answers: {stalledCallerMs: 200}});
	const [host, port] = entry.address.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => undefined);
	socket.write(get('/desk', 'request-deadline-ms: 600000\r\n'));
	await once(socket, 'readable');
	socket.pause();
	await world.waitUntil(() => entry.slots.getHeld() === 1);
	await world.waitUntil(() => entry.slots.getHeld() === 0);
	expect(entry.getCounts()[`refusals.${RefusalReason.SlowCaller}`]).toBe(1);
	socket.destroy();
});

test('an answer that comes after its request was closed reaches nobody, and its connection is not used again', async () => {
	// An upstream answers the first request after its deadline, on a connection kept alive.
	// The next caller must not get that answer for its own.
	let count = 0;
	const connections: number[] = [];
	await world.startRawUpstream((socket, text, connection) => {
		connections.push(connection);
		const body = /GET (\S+)/.exec(text)![1]!;
		count++;
		setTimeout(() => {
			socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
		}, count === 1 ? 300 : 0);
	});
	const entry = await world.startEntry({}, 1);
	const late = await send(entry.address, {path: '/desk/first', headers: {[Header.DeadlineMs]: '100'}});
	expect(getRefusal(late)).toEqual({status: 504, reason: RefusalReason.UpstreamTimeout, outcome: Outcome.Unknown});
	for (const path of ['/desk/second', '/desk/third']) {
		expect(await send(entry.address, {path})).toMatchObject({status: 200, body: path});
	}

	await world.clock.sleep(300);
	expect(await send(entry.address, {path: '/desk/fourth'})).toMatchObject({status: 200, body: '/desk/fourth'});
	expect(connections[1]).not.toBe(connections[0]);
});

test('an upstream that answers twice does not answer the next request', async () => {
	await world.startRawUpstream((socket, text) => {
		const body = /GET (\S+)/.exec(text)![1]!;
		const answer = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
		socket.write(answer + answer);
	});
	const entry = await world.startEntry({}, 1);
	for (let index = 0; index < 20; index++) {
		const path = `/desk/${index}`;
		const answer = await send(entry.address, {path});
		expect(answer.status === 200 ? answer.body : path).toBe(path);
	}
});

test('many requests at once each get their own answer', async () => {
	await world.startUpstream((request, response) => {
		setTimeout(() => {
			response.end(request.url);
		}, Math.random() * 10);
	});
	const entry = await world.startEntry();
	const paths = Array.from({length: 200}, (_, index) => `/desk/${index}`);
	const answers = await Promise.all(paths.map(async path => send(entry.address, {path})));
	expect(answers.map(({body}) => body)).toEqual(paths);
});

test('HEAD, 204 and 304 have no body and keep their headers', async () => {
	await world.startUpstream((request, response) => {
		if (request.method === 'HEAD') {
			response.writeHead(200, {'content-length': 123}).end();
		} else {
			response.writeHead(Number(request.url!.split('/')[2])).end();
		}
	});
	const entry = await world.startEntry();
	const head = await send(entry.address, {method: 'HEAD'});
	expect(head).toMatchObject({status: 200, body: ''});
	expect(head.headers['content-length']).toBe('123');
	expect(await send(entry.address, {path: '/desk/204'})).toMatchObject({status: 204, body: ''});
	expect(await send(entry.address, {path: '/desk/304'})).toMatchObject({status: 304, body: ''});
});

test('requests that could be read in two ways, upgrades and tunnels reach no upstream', async () => {
	// Smuggling: two hops that disagree about where a request ends let a caller write another caller's request.
	await world.startUpstream((_request, response) => {
		response.end('ok');
	});
	const entry = await world.startEntry();
	const post = 'POST /desk HTTP/1.1\r\nhost: x\r\n';
	const smuggled = [
		`${post}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /desk HTTP/1.1\r\n\r\n`,
		`${post}content-length: 5\r\ncontent-length: 6\r\n\r\nhello!`,
		`${post}transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n`,
		`${post}transfer-encoding : chunked\r\n\r\n0\r\n\r\n`,
		'GET /desk HTTP/1.1\r\nhost: x\r\nx: a\rb\r\n\r\n',
		'GET /desk HTTP/1.1\r\nhost: x\r\n folded: 1\r\n\r\n',
		'GET /desk HTTP/1.1\r\n\r\n',
		'CONNECT desk:80 HTTP/1.1\r\nhost: x\r\n\r\n',
		get('/desk', 'upgrade: websocket\r\n').replace('connection: close', 'connection: upgrade, close'),
		get('http://other/desk'),
		get().replace('GET', 'TRACE'),
	];
	for (const text of smuggled) {
		const {text: answer} = await sendRaw(entry.address, text);
		expect(answer === '' || /^HTTP\/1.1 4\d\d /.test(answer), text + answer).toBe(true);
	}

	expect(world.seen).toEqual([]);
});

test('a body announced with expect is taken', async () => {
	await world.startUpstream((_request, response, body) => {
		response.end(body);
	});
	const entry = await world.startEntry();
	const {text} = await sendRaw(entry.address, 'PUT /desk HTTP/1.1\r\nhost: x\r\nconnection: close\r\nexpect: 100-continue\r\ncontent-length: 5\r\n\r\nhello');
	expect(text).toContain('HTTP/1.1 100 Continue');
	expect(text.endsWith('hello')).toBe(true);
	expect(world.seen[0]!.headers.expect).toBeUndefined();
});

/** A try whose client library does as the test says. */
const createAttempt = (dispatch: (handler: Dispatcher.DispatchHandler) => void, mayWrite = () => true) => {
	const ends: AttemptEnd[] = [];
	const attempt = new Attempt({
		upstreamId: 'desk-1',
		request: {method: 'POST', path: '/desk', headers: []},
		collector: new AnswerCollector({} as ConstructorParameters<typeof AnswerCollector>[0]),
		mayWrite,
		onEnd(end) {
			ends.push(end);
		},
		dispatcher: {
			dispatch(_options, handler) {
				dispatch(handler);
				return true;
			},
		},
	});
	return {attempt, ends};
};

const createController = (onAbort: (error: Error) => void): Dispatcher.DispatchController => ({
	aborted: false, paused: false, reason: null, pause: () => undefined, resume: () => undefined, abort: onAbort,
});

test('a try sent again by the client library itself is stopped before its first byte', () => {
	// The library may write a request once more when a connection dies under it. The first writing may have run.
	let aborts = 0;
	const {attempt, ends} = createAttempt(handler => {
		const controller = createController(error => {
			aborts++;
			handler.onResponseError?.(controller, error);
		});
		handler.onRequestStart?.(controller, {});
		expect(aborts).toBe(0);
		handler.onRequestStart?.(controller, {});
	});
	attempt.start();
	expect(aborts).toBe(1);
	expect(ends).toMatchObject([{isWritten: true, failure: AttemptFailure.Broken}]);
});

test('a try given up before its connection came writes nothing when the connection comes', () => {
	let isAborted = false;
	let connectNow: (() => void) | undefined;
	const {attempt, ends} = createAttempt(handler => {
		connectNow = () => {
			handler.onRequestStart?.(createController(() => {
				isAborted = true;
			}), {});
		};
	});
	attempt.start();
	attempt.abort(AttemptFailure.TimedOut);
	expect(ends).toMatchObject([{isWritten: false}]);
	connectNow!();
	expect(isAborted).toBe(true);
	expect(attempt.isWritten).toBe(false);
});

test('a try whose time or claim has run out when its connection comes writes nothing', () => {
	// The entry won the claim, and stood still while the connection was made.
	let isAborted = false;
	const {attempt, ends} = createAttempt(handler => {
		const controller = createController(error => {
			isAborted = true;
			handler.onResponseError?.(controller, error);
		});
		handler.onRequestStart?.(controller, {});
	}, () => false);
	attempt.start();
	expect(isAborted).toBe(true);
	expect(ends).toMatchObject([{isWritten: false, failure: AttemptFailure.NotWritten}]);
});
