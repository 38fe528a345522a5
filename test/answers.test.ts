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

let simulation: ReturnType<typeof createSimulatedRequests>;

beforeEach(() => {
	simulation = createSimulatedRequests();
});

afterEach(async () => {
	await simulation.close();
});

const get = (path = '/desk', headers = '') => `GET ${path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n${headers}\r\n`;

test('a complete answer is returned with its status, headers and body, and names the entry that served it', async () => {
	await simulation.startUpstream((request, response) => {
		response.writeHead(201, {
			'x-own': '1', 'set-cookie': ['a=1', 'b=2'], connection: 'x-hop', 'x-hop': '2',
		});
		response.end(`hello ${request.url}`);
	});
	const entry = await simulation.startEntry();
	const answer = await send(entry.address, {path: '/desk/a?b=c', headers: {'x-mine': 'yes', connection: 'close'}});
	expect(answer).toMatchObject({status: 201, body: 'hello /desk/a?b=c'});
	expect(answer.headers).toMatchObject({'x-own': '1', 'set-cookie': 'a=1, b=2', [Header.Entry]: 'entry-1'});
	expect(answer.headers['x-hop']).toBeUndefined();
	expect(simulation.seen[0]!.headers['x-mine']).toBe('yes');
});

test('hop-by-hop headers, including those named in connection, are not forwarded', async () => {
	await simulation.startUpstream((_request, response) => {
		response.end('ok');
	});
	const entry = await simulation.startEntry();
	await sendRaw(entry.address, [
		'GET /desk HTTP/1.1', 'host: x', 'connection: close, x-secret', 'x-secret: 1', 'te: trailers', 'keep-alive: 5', 'proxy-authorization: p', 'x-kept: 1', 'no-retry: 1', '', '',
	].join('\r\n'));
	const {headers} = simulation.seen[0]!;
	expect(headers).toMatchObject({'x-kept': '1'});
	for (const name of ['x-secret', 'te', 'keep-alive', 'proxy-authorization']) {
		expect(headers[name], name).toBeUndefined();
	}
});

test('a check whose answer is truncated gets an error, never a partial answer', async () => {
	// An upstream crashes while it writes its answer. The caller must not take a partial answer for a complete one.
	await simulation.startRawUpstream(socket => {
		socket.end('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf of it');
	});
	const entry = await simulation.startEntry();
	const answer = await send(entry.address);
	expect(getRefusal(answer)).toEqual({status: 502, reason: RefusalReason.AnswerTruncated, outcome: Outcome.Unknown});
	expect(answer.body).not.toContain('half');
});

test('answers that violate the protocol or have no framing are never forwarded', async () => {
	const answers = [
		'HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n',
		'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n',
		'HTTP/1.1 200 OK\r\n\r\nuntil the end',
		'nonsense\r\n\r\n',
		'HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nabc',
	];
	let next = 0;
	await simulation.startRawUpstream(socket => {
		socket.end(answers[next]!);
	});
	const entry = await simulation.startEntry({retries: {maxAttempts: 1}});
	for (next = 0; next < answers.length; next++) {
		const answer = await send(entry.address);
		expect(answer.status, answers[next]).toBe(502);
		expect(answer.headers[Header.Outcome]).toBe(Outcome.Unknown);
	}
});

test('a large answer that is truncated while streaming resets the connection of the caller', async () => {
	// The head is already sent, so an error status is no longer possible: the caller must see the connection fail, also without a content length.
	for (const head of ['content-length: 1000000', 'transfer-encoding: chunked']) {
		await simulation.startRawUpstream(socket => {
			const chunk = 'x'.repeat(100_000);
			socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${head.startsWith('t') ? `${(100_000).toString(16)}\r\n` : ''}${chunk}\r\n`);
			setTimeout(() => socket.destroy(), 30);
		});
		const entry = await simulation.startEntry();
		await expect(send(entry.address), head).rejects.toThrow();
		const raw = await sendRaw(entry.address, get().replace('HTTP/1.1', 'HTTP/1.0'));
		expect(raw.isBroken, head).toBe(true);
		simulation.announcements.pop();
	}
});

test('large answers are streamed completely', async () => {
	const size = 30_000_000;
	await simulation.startUpstream((_request, response) => {
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
	const entry = await simulation.startEntry();
	// Far longer than the answer takes, also on a busy machine: at its deadline a streamed answer is aborted.
	const answer = await send(entry.address, {headers: {[Header.DeadlineMs]: '60000'}});
	expect(answer.body).toHaveLength(size);
});

test('a caller that stops reading is disconnected, and its slot is released', async () => {
	// A client that hangs in the middle of a large download would hold a slot and memory until the deadline.
	await simulation.startUpstream((_request, response) => {
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
	const entry = await simulation.startEntry({answers: {stalledCallerMs: 200}});
	const [host, port] = entry.address.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => undefined);
	socket.write(get('/desk', 'request-deadline-ms: 600000\r\n'));
	await once(socket, 'readable');
	socket.pause();
	await simulation.waitUntil(() => entry.slots.getHeld() === 1);
	await simulation.waitUntil(() => entry.slots.getHeld() === 0);
	expect(entry.getCounts()[`refusals.${RefusalReason.SlowCaller}`]).toBe(1);
	socket.destroy();
});

test('an answer that arrives after its request was closed is discarded, and its connection is not reused', async () => {
	// An upstream answers the first request after its deadline, on a connection kept alive.
	// The next caller must not receive that answer.
	const connections: number[] = [];
	let answerFirst: (() => void) | undefined;
	await simulation.startRawUpstream((socket, text, connection) => {
		connections.push(connection);
		const body = /GET (\S+)/.exec(text)![1]!;
		const answer = () => {
			socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
		};

		if (connections.length === 1) {
			answerFirst = answer;
		} else {
			answer();
		}
	});
	const entry = await simulation.startEntry({}, 1);
	const late = await send(entry.address, {path: '/desk/first', headers: {[Header.DeadlineMs]: '1000'}});
	expect(getRefusal(late)).toEqual({status: 504, reason: RefusalReason.UpstreamTimeout, outcome: Outcome.Unknown});
	for (const path of ['/desk/second', '/desk/third']) {
		expect(await send(entry.address, {path})).toMatchObject({status: 200, body: path});
	}

	answerFirst!();
	await simulation.clock.sleep(100);
	expect(await send(entry.address, {path: '/desk/fourth'})).toMatchObject({status: 200, body: '/desk/fourth'});
	expect(connections[1]).not.toBe(connections[0]);
});

test('a second answer of an upstream to one request is not forwarded for the next request', async () => {
	await simulation.startRawUpstream((socket, text) => {
		const body = /GET (\S+)/.exec(text)![1]!;
		const answer = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
		socket.write(answer + answer);
	});
	const entry = await simulation.startEntry({}, 1);
	for (let index = 0; index < 20; index++) {
		const path = `/desk/${index}`;
		const answer = await send(entry.address, {path});
		expect(answer.status === 200 ? answer.body : path).toBe(path);
	}
});

test('many concurrent requests each get their own answer', async () => {
	await simulation.startUpstream((request, response) => {
		setTimeout(() => {
			response.end(request.url);
		}, Math.random() * 10);
	});
	const entry = await simulation.startEntry();
	const paths = Array.from({length: 200}, (_, index) => `/desk/${index}`);
	const answers = await Promise.all(paths.map(async path => send(entry.address, {path, headers: {[Header.DeadlineMs]: '20000'}})));
	expect(answers.map(({body}) => body)).toEqual(paths);
});

test('HEAD, 204 and 304 have no body and keep their headers', async () => {
	await simulation.startUpstream((request, response) => {
		if (request.method === 'HEAD') {
			response.writeHead(200, {'content-length': 123}).end();
		} else {
			response.writeHead(Number(request.url!.split('/')[2])).end();
		}
	});
	const entry = await simulation.startEntry();
	const head = await send(entry.address, {method: 'HEAD'});
	expect(head).toMatchObject({status: 200, body: ''});
	expect(head.headers['content-length']).toBe('123');
	expect(await send(entry.address, {path: '/desk/204'})).toMatchObject({status: 204, body: ''});
	expect(await send(entry.address, {path: '/desk/304'})).toMatchObject({status: 304, body: ''});
});

test('ambiguous requests, upgrades and tunnels reach no upstream', async () => {
	// Request smuggling: if two hops disagree about where a request ends, a caller can inject a request on another caller's connection.
	await simulation.startUpstream((_request, response) => {
		response.end('ok');
	});
	const entry = await simulation.startEntry();
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

	expect(simulation.seen).toEqual([]);
});

test('a body announced with expect: 100-continue is accepted', async () => {
	await simulation.startUpstream((_request, response, body) => {
		response.end(body);
	});
	const entry = await simulation.startEntry();
	const {text} = await sendRaw(entry.address, 'PUT /desk HTTP/1.1\r\nhost: x\r\nconnection: close\r\nexpect: 100-continue\r\ncontent-length: 5\r\n\r\nhello');
	expect(text).toContain('HTTP/1.1 100 Continue');
	expect(text.endsWith('hello')).toBe(true);
	expect(simulation.seen[0]!.headers.expect).toBeUndefined();
});

/** Creates an attempt with a stand-in for the client library. */
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

test('a request that the client library resends by itself is stopped before its first byte', () => {
	// The library may resend a request when its connection fails, although the request may have run.
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

test('an attempt aborted before it had a connection writes nothing when the connection is made', () => {
	let isAborted = false;
	let startConnection: (() => void) | undefined;
	const {attempt, ends} = createAttempt(handler => {
		startConnection = () => {
			handler.onRequestStart?.(createController(() => {
				isAborted = true;
			}), {});
		};
	});
	attempt.start();
	attempt.abort(AttemptFailure.TimedOut);
	expect(ends).toMatchObject([{isWritten: false}]);
	startConnection!();
	expect(isAborted).toBe(true);
	expect(attempt.isWritten).toBe(false);
});

test('an attempt whose deadline or claim has expired when its connection is made writes nothing', () => {
	// The entry won the claim, and was paused while the connection was made.
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
