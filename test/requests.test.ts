import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {type ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {
	Header, Outcome, RefusalReason, RequestClass,
} from '../src/types/requests.ts';
import {ClaimState, ServiceName} from '../src/types/services.ts';
import {
	createSimulatedRequests, getRefusal, send, sendRaw, type Answer, type Behaviour,
} from './simulated-requests.ts';

let simulation: ReturnType<typeof createSimulatedRequests>;

beforeEach(() => {
	simulation = createSimulatedRequests();
});

afterEach(async () => {
	await simulation.close();
});

const answerOk: Behaviour = (_request, response) => {
	response.end('ok');
};

const post = (requestId: string, headers: Record<string, string> = {}) => ({
	method: 'POST', body: 'issue', headers: {[Header.RequestId]: requestId, ...headers},
});

test('a request that violates the contract is refused as not run, with the reason', async () => {
	const upstream = await simulation.startUpstream(answerOk);
	const entry = await simulation.startEntry({callers: {maxBodyBytes: 100}});
	const cases: Array<[Parameters<typeof send>[1], number, RefusalReason]> = [
		[{path: '/nobody/x'}, 404, RefusalReason.UnknownService],
		[{method: 'POST', body: 'x'}, 400, RefusalReason.MissingRequestId],
		[{headers: {[Header.RequestClass]: RequestClass.Long}}, 400, RefusalReason.MissingRequestId],
		[{headers: {[Header.RequestClass]: 'urgent'}}, 400, RefusalReason.BadRequest],
		[{headers: {[Header.DeadlineMs]: 'soon'}}, 400, RefusalReason.BadRequest],
		[post('not-an-id'), 400, RefusalReason.BadRequestId],
		[{method: 'PUT', body: 'x'.repeat(101)}, 413, RefusalReason.BodyTooLarge],
	];
	for (const [options, status, reason] of cases) {
		expect(getRefusal(await send(entry.address, options))).toEqual({status, reason, outcome: Outcome.NotRun});
		expect(entry.getCounts()[`refusals.${reason}`]).toBeGreaterThanOrEqual(1);
	}

	expect(upstream.requests).toEqual([]);
});

test('a caller that sends too large a body still gets the answer', async () => {
	await simulation.startUpstream(answerOk);
	const entry = await simulation.startEntry({callers: {maxBodyBytes: 1000}});
	for (let index = 0; index < 10; index++) {
		const answer = await send(entry.address, {method: 'PUT', body: 'x'.repeat(3_000_000)});
		expect(answer.status).toBe(413);
	}
});

test('the contract for callers names every refusal reason and outcome', () => {
	const contract = readFileSync(new URL('../docs/CALLERS.md', import.meta.url), 'utf8');
	for (const word of [...Object.values(RefusalReason), ...Object.values(Outcome)]) {
		expect(contract).toContain(`| \`${word}\` |`);
	}
});

test('the total size of held bodies is bounded, whatever the queues allow', async () => {
	const held: ServerResponse[] = [];
	const upstream = await simulation.startUpstream((_request, response) => {
		held.push(response);
	});
	const entry = await simulation.startEntry({callers: {maxHeldBytes: 2500}});
	const refused: Answer[] = [];
	const sent = Array.from({length: 5}, async () => {
		const answer = await send(entry.address, {method: 'PUT', body: 'x'.repeat(1000)});
		if (answer.status !== 200) {
			refused.push(answer);
		}

		return answer;
	});
	await simulation.waitUntil(() => refused.length === 3 && held.length === 2);
	expect(refused.map(answer => getRefusal(answer))).toMatchObject(refused.map(() => ({reason: RefusalReason.QueueFull, outcome: Outcome.NotRun})));
	for (const response of held) {
		response.end('ok');
	}

	const answers = await Promise.all(sent);
	expect(answers.filter(({status}) => status === 200)).toHaveLength(2);
	expect(upstream.requests).toHaveLength(2);
	const next = send(entry.address, {method: 'PUT', body: 'x'.repeat(1000)});
	await simulation.waitUntil(() => held.length === 3);
	held[2]!.end('ok');
	expect(await next).toMatchObject({status: 200});
});

test('without any upstream the caller is refused at once, with a time to retry', async () => {
	const entry = await simulation.startEntry();
	const answer = await send(entry.address);
	expect(getRefusal(answer)).toEqual({status: 503, reason: RefusalReason.NoUpstream, outcome: Outcome.NotRun});
	expect(Number(answer.headers[Header.RetryAfter])).toBeGreaterThan(0);
	expect(Number(answer.headers[Header.RetryAfterMs])).toBeGreaterThan(0);
});

test('a request with an id runs once, and a duplicate gets the recorded answer, at any entry', async () => {
	const upstream = await simulation.startUpstream((_request, response) => {
		response.writeHead(201, {'content-type': 'text/plain'}).end(`title ${upstream.requests.length}`);
	});
	const [first, second] = [await simulation.startEntry(), await simulation.startEntry()];
	const requestId = simulation.createId();
	expect(await send(first.address, post(requestId))).toMatchObject({status: 201, body: 'title 1'});
	await simulation.waitUntil(() => second.kernel.get(ServiceName.Claims).lookup(requestId)?.state === ClaimState.Done);
	for (const {address} of [first, second]) {
		const answer = await send(address, post(requestId));
		expect(answer).toMatchObject({status: 201, body: 'title 1'});
		expect(answer.headers).toMatchObject({[Header.Replayed]: 'true', 'content-type': 'text/plain'});
	}

	expect(upstream.requests).toHaveLength(1);
	const status = await send(second.controlAddress, {path: `/v1/requests/${requestId}`});
	expect(JSON.parse(status.body)).toMatchObject({requestId, state: ClaimState.Done, status: 201});
});

test('an answer too large to keep is not replayed; the duplicate is refused as done', async () => {
	const upstream = await simulation.startUpstream((_request, response) => {
		response.end('x'.repeat(10_000));
	});
	const entry = await simulation.startEntry();
	const requestId = simulation.createId();
	await send(entry.address, post(requestId));
	const answer = await send(entry.address, post(requestId));
	expect(getRefusal(answer)).toEqual({status: 409, reason: RefusalReason.AnswerNotKept, outcome: Outcome.Done});
	expect(answer.headers[Header.Status]).toBe('200');
	expect(upstream.requests).toHaveLength(1);
});

test('of two requests with one id at two entries at once, one runs and the other is refused as in use', async () => {
	const upstream = await simulation.startUpstream((_request, response) => {
		setTimeout(() => response.end('ok'), 200);
	});
	const entries = [await simulation.startEntry(), await simulation.startEntry()];
	const requestId = simulation.createId();
	const answers = await Promise.all(entries.map(async ({address}) => send(address, post(requestId))));
	expect(answers.map(({status}) => status).toSorted((a, b) => a - b)).toEqual([200, 409]);
	const refused = answers.find(({status}) => status === 409)!;
	expect(getRefusal(refused)).toMatchObject({reason: RefusalReason.RequestIdInUse, outcome: Outcome.Unknown});
	expect(upstream.requests).toHaveLength(1);
});

test('while the log is down a request with an id is not run, and idempotent requests are served', async () => {
	const upstream = await simulation.startUpstream(answerOk);
	simulation.log.faults.isDown = true;
	const entry = await simulation.startEntry();
	const answer = await send(entry.address, post(simulation.createId(), {[Header.DeadlineMs]: '400'}));
	expect(getRefusal(answer)).toEqual({status: 503, reason: RefusalReason.ClaimUnavailable, outcome: Outcome.NotRun});
	expect(Number(answer.headers[Header.RetryAfterMs])).toBeGreaterThan(0);
	expect(upstream.requests).toEqual([]);
	expect(await send(entry.address)).toMatchObject({status: 200});
});

test('a request with an id to an unresponsive upstream ends as unknown at the deadline, runs once and is listed as open', async () => {
	// The upstream receives a request and never answers. The caller must be notified by its deadline, and no entry may retry.
	const upstream = await simulation.startUpstream(() => undefined);
	const entry = await simulation.startEntry();
	const requestId = simulation.createId();
	const answer = await send(entry.address, post(requestId, {[Header.DeadlineMs]: '300'}));
	expect(getRefusal(answer)).toEqual({status: 504, reason: RefusalReason.UpstreamTimeout, outcome: Outcome.Unknown});
	expect(getRefusal(await send(entry.address, post(requestId)))).toMatchObject({reason: RefusalReason.RequestIdInUse, outcome: Outcome.Unknown});
	const open = await send(entry.controlAddress, {path: '/v1/requests?state=open'});
	expect(JSON.parse(open.body)).toMatchObject({count: 1, requests: [{requestId}]});
	expect(upstream.requests).toHaveLength(1);
	upstream.server.closeAllConnections();
	await simulation.waitUntil(() => entry.kernel.get(ServiceName.Claims).lookup(requestId)?.state === ClaimState.Unknown);
});

test('the end of a request with an id is recorded even after its deadline', async () => {
	let answerLate: (() => void) | undefined;
	await simulation.startUpstream((_request, response) => {
		answerLate = () => {
			response.end('late title');
		};
	});
	const entry = await simulation.startEntry();
	const requestId = simulation.createId();
	const answer = await send(entry.address, post(requestId, {[Header.DeadlineMs]: '2000'}));
	expect(getRefusal(answer)).toMatchObject({status: 504, outcome: Outcome.Unknown});
	answerLate!();
	await simulation.waitUntil(() => entry.kernel.get(ServiceName.Claims).lookup(requestId)?.state === ClaimState.Done);
	expect(await send(entry.address, post(requestId))).toMatchObject({status: 200, body: 'late title'});
	expect(entry.getCounts().late_answers).toBe(1);
});

test('a request with an id whose answer is truncated is unknown and not retried', async () => {
	let connections = 0;
	await simulation.startRawUpstream(socket => {
		connections++;
		socket.end('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf');
	});
	const entry = await simulation.startEntry();
	const answer = await send(entry.address, post(simulation.createId()));
	expect(getRefusal(answer)).toEqual({status: 502, reason: RefusalReason.AnswerTruncated, outcome: Outcome.Unknown});
	expect(connections).toBe(1);
});

test('when a caller disconnects, its queued request is dropped, its idempotent one aborted, and its request with an id completed', async () => {
	// Work that no caller waits for is stopped where that is safe; a non-idempotent request that has started is not.
	let closed = 0;
	const upstream = await simulation.startUpstream((request, response) => {
		response.once('close', () => {
			closed += response.writableFinished ? 0 : 1;
		});
		if (request.method === 'POST') {
			setTimeout(() => response.end('issued'), 300);
		}
	});
	const entry = await simulation.startEntry({}, 1);
	const leave = async (options: Parameters<typeof send>[1], isThere: () => boolean) => {
		const aborter = new AbortController();
		const sent = send(entry.address, {...options, signal: aborter.signal});
		await simulation.waitUntil(isThere);
		aborter.abort();
		await expect(sent).rejects.toThrow();
	};

	await leave({}, () => upstream.requests.length === 1);
	await simulation.waitUntil(() => closed === 1 && entry.slots.getHeld() === 0);

	const requestId = simulation.createId();
	await leave(post(requestId), () => upstream.requests.length === 2);
	const getState = () => entry.kernel.get(ServiceName.Claims).lookup(requestId)?.state;
	expect(getState()).toBe(ClaimState.Claimed);
	await leave({path: '/desk/queued'}, () => entry.getCounts().requests === 3);
	await simulation.waitUntil(() => getState() === ClaimState.Done);
	expect(closed).toBe(1);
	expect(upstream.requests.map(({url}) => url)).not.toContain('/desk/queued');
	await simulation.waitUntil(() => entry.slots.getHeld() === 0);
});

test('a caller that sends its body too slowly is refused, and nothing runs', async () => {
	const upstream = await simulation.startUpstream(answerOk);
	const entry = await simulation.startEntry({callers: {bodyTimeoutMs: 100}});
	const {text} = await sendRaw(entry.address, 'PUT /desk HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nslow');
	expect(text).toMatch(/^HTTP\/1.1 408 /);
	expect(text).toContain(`${Header.RefusalReason}: ${RefusalReason.SlowCaller}`);
	expect(upstream.requests).toEqual([]);
});

test('a request whose caller disconnects in the middle of its body does not run', async () => {
	const upstream = await simulation.startUpstream(answerOk);
	const entry = await simulation.startEntry();
	const [host, port] = entry.address.split(':');
	const socket = connect(Number(port), host);
	await once(socket, 'connect');
	socket.write(`POST /desk HTTP/1.1\r\nhost: x\r\nrequest-id: ${simulation.createId()}\r\ncontent-length: 10\r\n\r\nhalf`);
	await simulation.waitUntil(() => entry.getCounts().requests === 1);
	socket.destroy();
	await simulation.waitUntil(() => entry.getCounts()[`refusals.${RefusalReason.CallerGone}`] === 1);
	expect(upstream.requests).toEqual([]);
});

test('only the configured region serves requests, and no request with an id runs before the move has settled', async () => {
	const upstream = await simulation.startUpstream(answerOk);
	const owningRegion = {region: 'elsewhere' as string | undefined, isSettled: true};
	simulation.moves.current = {getRegion: () => owningRegion.region, isMoveSettled: () => owningRegion.isSettled};
	const entry = await simulation.startEntry();
	expect(getRefusal(await send(entry.address))).toEqual({status: 503, reason: RefusalReason.WrongRegion, outcome: Outcome.NotRun});
	owningRegion.region = 'local';
	owningRegion.isSettled = false;
	await simulation.clock.sleep(20);
	expect(await send(entry.address)).toMatchObject({status: 200});
	const requestId = simulation.createId();
	const refused = await send(entry.address, post(requestId));
	expect(getRefusal(refused)).toEqual({status: 503, reason: RefusalReason.WrongRegion, outcome: Outcome.NotRun});
	expect(Number(refused.headers[Header.RetryAfterMs])).toBeGreaterThan(0);
	owningRegion.isSettled = true;
	expect(await send(entry.address, post(requestId))).toMatchObject({status: 200});
	expect(upstream.requests).toHaveLength(2);
});

test('slots bound the concurrent requests at an upstream, and waiting requests are served afterwards', async () => {
	let inProgress = 0;
	let peak = 0;
	await simulation.startUpstream((_request, response) => {
		peak = Math.max(peak, ++inProgress);
		setTimeout(() => {
			inProgress--;
			response.end('ok');
		}, 20);
	});
	const entry = await simulation.startEntry({}, 2);
	// A distant deadline keeps the entry from refusing any of the twenty requests on a busy machine.
	const options = {headers: {[Header.DeadlineMs]: '60000'}};
	const answers = await Promise.all(Array.from({length: 20}, async () => send(entry.address, options)));
	expect(answers.every(({status}) => status === 200)).toBe(true);
	expect(peak).toBe(2);
});
