import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {connect} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {
	Header, Outcome, RefusalReason, RequestClass,
} from '../src/types/requests.ts';
import {ClaimState, ServiceName} from '../src/types/services.ts';
import {
	createRequestsWorld, describe, send, sendRaw, type Behaviour,
} from './requests-world.ts';

let world: ReturnType<typeof createRequestsWorld>;

beforeEach(() => {
	world = createRequestsWorld();
});

afterEach(async () => {
	await world.close();
});

const answerOk: Behaviour = (_request, response) => {
	response.end('ok');
};

const post = (requestId: string, headers: Record<string, string> = {}) => ({
	method: 'POST', body: 'issue', headers: {[Header.RequestId]: requestId, ...headers},
});

test('what the contract does not allow is refused as not run, with its reason', async () => {
	const upstream = await world.startUpstream(answerOk);
	const entry = await world.startEntry({callers: {maxBodyBytes: 100}});
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
		expect(describe(await send(entry.address, options))).toEqual({status, reason, outcome: Outcome.NotRun});
		expect(entry.getCounts()[`refusals.${reason}`]).toBeGreaterThanOrEqual(1);
	}

	expect(upstream.requests).toEqual([]);
});

test('a large body that is refused does not cost the caller its answer', async () => {
	await world.startUpstream(answerOk);
	const entry = await world.startEntry({callers: {maxBodyBytes: 1000}});
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

test('bodies held at once are bounded, whatever the queues allow', async () => {
	const upstream = await world.startUpstream((_request, response) => {
		setTimeout(() => response.end('ok'), 100);
	});
	const entry = await world.startEntry({callers: {maxHeldBytes: 2500}});
	const answers = await Promise.all(Array.from({length: 5}, async () => send(entry.address, {method: 'PUT', body: 'x'.repeat(1000)})));
	expect(answers.filter(({status}) => status === 200)).toHaveLength(2);
	expect(describe(answers.find(({status}) => status !== 200)!)).toMatchObject({reason: RefusalReason.QueueFull, outcome: Outcome.NotRun});
	expect(upstream.requests).toHaveLength(2);
	expect(await send(entry.address, {method: 'PUT', body: 'x'.repeat(1000)})).toMatchObject({status: 200});
});

test('without any upstream the caller is told so at once, with when to come back', async () => {
	const entry = await world.startEntry();
	const answer = await send(entry.address);
	expect(describe(answer)).toEqual({status: 503, reason: RefusalReason.NoUpstream, outcome: Outcome.NotRun});
	expect(Number(answer.headers[Header.RetryAfter])).toBeGreaterThan(0);
	expect(Number(answer.headers[Header.RetryAfterMs])).toBeGreaterThan(0);
});

test('a request with an id runs once, and a duplicate gets the recorded answer, at any entry', async () => {
	const upstream = await world.startUpstream((_request, response) => {
		response.writeHead(201, {'content-type': 'text/plain'}).end(`title ${upstream.requests.length}`);
	});
	const [first, second] = [await world.startEntry(), await world.startEntry()];
	const requestId = world.createId();
	expect(await send(first.address, post(requestId))).toMatchObject({status: 201, body: 'title 1'});
	await world.waitUntil(() => second.kernel.get(ServiceName.Claims).lookup(requestId)?.state === ClaimState.Done);
	for (const {address} of [first, second]) {
		const answer = await send(address, post(requestId));
		expect(answer).toMatchObject({status: 201, body: 'title 1'});
		expect(answer.headers).toMatchObject({[Header.Replayed]: 'true', 'content-type': 'text/plain'});
	}

	expect(upstream.requests).toHaveLength(1);
	const status = await send(second.controlAddress, {path: `/v1/requests/${requestId}`});
	expect(JSON.parse(status.body)).toMatchObject({requestId, state: ClaimState.Done, status: 201});
});

test('an answer too large to keep is not replayed; the duplicate is told that the request ran', async () => {
	const upstream = await world.startUpstream((_request, response) => {
		response.end('x'.repeat(10_000));
	});
	const entry = await world.startEntry();
	const requestId = world.createId();
	await send(entry.address, post(requestId));
	const answer = await send(entry.address, post(requestId));
	expect(describe(answer)).toEqual({status: 409, reason: RefusalReason.AnswerNotKept, outcome: Outcome.Done});
	expect(answer.headers[Header.Status]).toBe('200');
	expect(upstream.requests).toHaveLength(1);
});

test('two entries and one id at once over sockets: one runs, the other is told that the id is in use', async () => {
	const upstream = await world.startUpstream((_request, response) => {
		setTimeout(() => response.end('ok'), 200);
	});
	const entries = [await world.startEntry(), await world.startEntry()];
	const requestId = world.createId();
	const answers = await Promise.all(entries.map(async ({address}) => send(address, post(requestId))));
	expect(answers.map(({status}) => status).toSorted((a, b) => a - b)).toEqual([200, 409]);
	const refused = answers.find(({status}) => status === 409)!;
	expect(describe(refused)).toMatchObject({reason: RefusalReason.RequestIdInUse, outcome: Outcome.Unknown});
	expect(upstream.requests).toHaveLength(1);
});

test('while the log is down a request with an id is not run, and checks go on', async () => {
	const upstream = await world.startUpstream(answerOk);
	world.log.faults.isDown = true;
	const entry = await world.startEntry();
	const answer = await send(entry.address, post(world.createId(), {[Header.DeadlineMs]: '400'}));
	expect(describe(answer)).toEqual({status: 503, reason: RefusalReason.ClaimUnavailable, outcome: Outcome.NotRun});
	expect(Number(answer.headers[Header.RetryAfterMs])).toBeGreaterThan(0);
	expect(upstream.requests).toEqual([]);
	expect(await send(entry.address)).toMatchObject({status: 200});
});

test('a silent upstream ends a request with an id as unknown at the deadline, once and listed', async () => {
	// The upstream takes an award and never answers. The caller must hear so by its deadline, and no entry may try again.
	const upstream = await world.startUpstream(() => undefined);
	const entry = await world.startEntry();
	const requestId = world.createId();
	const answer = await send(entry.address, post(requestId, {[Header.DeadlineMs]: '300'}));
	expect(describe(answer)).toEqual({status: 504, reason: RefusalReason.UpstreamTimeout, outcome: Outcome.Unknown});
	expect(describe(await send(entry.address, post(requestId)))).toMatchObject({reason: RefusalReason.RequestIdInUse, outcome: Outcome.Unknown});
	const open = await send(entry.controlAddress, {path: '/v1/requests?state=open'});
	expect(JSON.parse(open.body)).toMatchObject({count: 1, requests: [{requestId}]});
	expect(upstream.requests).toHaveLength(1);
	upstream.server.closeAllConnections();
	await world.waitUntil(() => entry.kernel.get(ServiceName.Claims).lookup(requestId)?.state === ClaimState.Unknown);
});

test('a request with an id that ends after its deadline is recorded all the same', async () => {
	await world.startUpstream((_request, response) => {
		setTimeout(() => response.end('late title'), 500);
	});
	const entry = await world.startEntry();
	const requestId = world.createId();
	const answer = await send(entry.address, post(requestId, {[Header.DeadlineMs]: '200'}));
	expect(describe(answer)).toMatchObject({status: 504, outcome: Outcome.Unknown});
	await world.waitUntil(() => entry.kernel.get(ServiceName.Claims).lookup(requestId)?.state === ClaimState.Done);
	expect(await send(entry.address, post(requestId))).toMatchObject({status: 200, body: 'late title'});
	expect(entry.getCounts().late_answers).toBe(1);
});

test('a request with an id whose answer is cut short is unknown and not tried again', async () => {
	let connections = 0;
	await world.startRawUpstream(socket => {
		connections++;
		socket.end('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf');
	});
	const entry = await world.startEntry();
	const answer = await send(entry.address, post(world.createId()));
	expect(describe(answer)).toEqual({status: 502, reason: RefusalReason.AnswerTruncated, outcome: Outcome.Unknown});
	expect(connections).toBe(1);
});

test('a caller that leaves: its queued request is dropped, its check is aborted, its issue request runs on', async () => {
	// A clerk closes the window. Work nobody waits for is stopped where that is safe; a title half issued is not.
	let closed = 0;
	const upstream = await world.startUpstream((request, response) => {
		response.once('close', () => {
			closed += response.writableFinished ? 0 : 1;
		});
		if (request.method === 'POST') {
			setTimeout(() => response.end('issued'), 300);
		}
	});
	const entry = await world.startEntry({}, 1);
	const leave = async (options: Parameters<typeof send>[1], isThere: () => boolean) => {
		const aborter = new AbortController();
		const sent = send(entry.address, {...options, signal: aborter.signal});
		await world.waitUntil(isThere);
		aborter.abort();
		await expect(sent).rejects.toThrow();
	};

	await leave({}, () => upstream.requests.length === 1);
	await world.waitUntil(() => closed === 1 && entry.slots.getHeld() === 0);

	const requestId = world.createId();
	await leave(post(requestId), () => upstream.requests.length === 2);
	const getState = () => entry.kernel.get(ServiceName.Claims).lookup(requestId)?.state;
	expect(getState()).toBe(ClaimState.Claimed);
	await leave({path: '/desk/queued'}, () => entry.getCounts().requests === 3);
	await world.waitUntil(() => getState() === ClaimState.Done);
	expect(closed).toBe(1);
	expect(upstream.requests.map(({url}) => url)).not.toContain('/desk/queued');
	await world.waitUntil(() => entry.slots.getHeld() === 0);
});

test('a caller that sends its body too slowly is refused, and nothing runs', async () => {
	const upstream = await world.startUpstream(answerOk);
	const entry = await world.startEntry({callers: {bodyTimeoutMs: 100}});
	const {text} = await sendRaw(entry.address, 'PUT /desk HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nslow');
	expect(text).toMatch(/^HTTP\/1.1 408 /);
	expect(text).toContain(`${Header.RefusalReason}: ${RefusalReason.SlowCaller}`);
	expect(upstream.requests).toEqual([]);
});

test('a caller that leaves in the middle of its body runs nothing', async () => {
	const upstream = await world.startUpstream(answerOk);
	const entry = await world.startEntry();
	const [host, port] = entry.address.split(':');
	const socket = connect(Number(port), host);
	await once(socket, 'connect');
	socket.write(`POST /desk HTTP/1.1\r\nhost: x\r\nrequest-id: ${world.createId()}\r\ncontent-length: 10\r\n\r\nhalf`);
	await world.waitUntil(() => entry.getCounts().requests === 1);
	socket.destroy();
	await world.waitUntil(() => entry.getCounts()[`refusals.${RefusalReason.CallerGone}`] === 1);
	expect(upstream.requests).toEqual([]);
});

test('only the region that the text names gets requests, and no issue request runs while the move settles', async () => {
	const upstream = await world.startUpstream(answerOk);
	const side = {region: 'elsewhere' as string | undefined, isSettled: true};
	world.moves.current = {getRegion: () => side.region, isSettled: () => side.isSettled};
	const entry = await world.startEntry();
	expect(describe(await send(entry.address))).toEqual({status: 503, reason: RefusalReason.WrongSide, outcome: Outcome.NotRun});
	side.region = 'local';
	side.isSettled = false;
	await world.clock.sleep(20);
	expect(await send(entry.address)).toMatchObject({status: 200});
	const requestId = world.createId();
	const refused = await send(entry.address, post(requestId));
	expect(describe(refused)).toEqual({status: 503, reason: RefusalReason.WrongSide, outcome: Outcome.NotRun});
	expect(Number(refused.headers[Header.RetryAfterMs])).toBeGreaterThan(0);
	side.isSettled = true;
	expect(await send(entry.address, post(requestId))).toMatchObject({status: 200});
	expect(upstream.requests).toHaveLength(2);
});

test('slots bound what is at an upstream at once, and what waits is served in turn', async () => {
	let inProgress = 0;
	let peak = 0;
	await world.startUpstream((_request, response) => {
		peak = Math.max(peak, ++inProgress);
		setTimeout(() => {
			inProgress--;
			response.end('ok');
		}, 20);
	});
	const entry = await world.startEntry({}, 2);
	// The deadline is far off: on a busy machine twenty checks must not be shed for their time.
	const options = {headers: {[Header.DeadlineMs]: '60000'}};
	const answers = await Promise.all(Array.from({length: 20}, async () => send(entry.address, options)));
	expect(answers.every(({status}) => status === 200)).toBe(true);
	expect(peak).toBe(2);
});
