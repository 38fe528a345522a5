import {type Socket} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {AttemptFailure, getRetryReason, RetryBudget} from '../src/requests/retry.ts';
import {
	Header, Outcome, RefusalReason, RetryReason,
} from '../src/types/requests.ts';
import {ClaimState, ServiceName} from '../src/types/services.ts';
import {createSimulatedRequests, getRefusal, send} from './simulated-requests.ts';

let world: ReturnType<typeof createSimulatedRequests>;

beforeEach(() => {
	world = createSimulatedRequests();
});

afterEach(async () => {
	await world.close();
});

const post = (requestId: string, headers: Record<string, string> = {}) => ({
	method: 'POST', body: 'issue', headers: {[Header.RequestId]: requestId, ...headers},
});

test('only what cannot run twice by it is tried again', () => {
	expect(getRetryReason(AttemptFailure.NotWritten, false)).toBe(RetryReason.ConnectFailed);
	expect(getRetryReason(AttemptFailure.GuardRefused, false)).toBe(RetryReason.GuardRefused);
	expect(getRetryReason(AttemptFailure.Broken, false)).toBeUndefined();
	expect(getRetryReason(AttemptFailure.TimedOut, false)).toBeUndefined();
	expect(getRetryReason(AttemptFailure.Broken, true)).toBe(RetryReason.IdempotentFailed);
});

test('the budget allows a burst, and then a share of the first tries', () => {
	const budget = new RetryBudget(0.1, 5);
	let allowed = 0;
	for (let index = 0; index < 1000; index++) {
		budget.noteFirstTry();
		allowed += budget.tryTake() ? 1 : 0;
	}

	expect(allowed).toBeGreaterThanOrEqual(100);
	expect(allowed).toBeLessThanOrEqual(105);
});

test('a request whose connection is refused is tried elsewhere, also one with an id, and runs once', async () => {
	world.announceClosedPort();
	const upstream = await world.startUpstream((_request, response) => {
		response.end('ok');
	});
	const entry = await world.startEntry();
	for (let index = 0; index < 10; index++) {
		expect(await send(entry.address, post(world.createId()))).toMatchObject({status: 200});
		expect(await send(entry.address)).toMatchObject({status: 200});
	}

	expect(upstream.requests).toHaveLength(20);
	expect(entry.getCounts()[`retries.${RetryReason.ConnectFailed}`]).toBeGreaterThan(0);
});

test('with every connection refused the request was not run, and its id may be used again', async () => {
	world.announceClosedPort();
	const entry = await world.startEntry();
	const requestId = world.createId();
	const answer = await send(entry.address, post(requestId));
	expect(getRefusal(answer)).toEqual({status: 502, reason: RefusalReason.UpstreamFailed, outcome: Outcome.NotRun});
	expect(Number(answer.headers[Header.RetryAfterMs])).toBeGreaterThan(0);
	world.announcements.pop();
	await world.startUpstream((_request, response) => {
		response.end('ok');
	});
	await world.waitUntil(() => entry.kernel.get(ServiceName.Claims).lookup(requestId)?.state === ClaimState.NotRun);
	expect(await send(entry.address, post(requestId))).toMatchObject({status: 200});
});

test('a guard that refuses sends the request elsewhere', async () => {
	const guarded = await world.startUpstream((_request, response) => {
		response.writeHead(503, {[Header.Outcome]: Outcome.NotRun, [Header.RefusalReason]: RefusalReason.QueueFull}).end();
	}, true);
	await world.startUpstream((_request, response) => {
		response.end('ok');
	});
	const entry = await world.startEntry();
	for (let index = 0; index < 10; index++) {
		expect(await send(entry.address, post(world.createId()))).toMatchObject({status: 200});
	}

	expect(entry.getCounts()[`retries.${RetryReason.GuardRefused}`] ?? 0).toBe(guarded.requests.length);
});

test('with every guard full the caller is told so, as not run, and its id may be used again', async () => {
	let isFull = true;
	await world.startUpstream((_request, response) => {
		if (isFull) {
			response.writeHead(503, {[Header.Outcome]: Outcome.NotRun, [Header.RefusalReason]: RefusalReason.GuardFull}).end();
		} else {
			response.end('ok');
		}
	}, true);
	const entry = await world.startEntry();
	const requestId = world.createId();
	const answer = await send(entry.address, post(requestId));
	expect(getRefusal(answer)).toEqual({status: 503, reason: RefusalReason.GuardFull, outcome: Outcome.NotRun});
	expect(Number(answer.headers[Header.RetryAfterMs])).toBeGreaterThan(0);
	isFull = false;
	expect(await send(entry.address, post(requestId))).toMatchObject({status: 200});
});

test('a guard that got no answer from its upstream makes the request unknown, not done', async () => {
	// The guard answers whole, so the connection tells nothing. Kept as the answer of the request, the guard's error
	// would be replayed for ever, and an issue request that may have run would look refused.
	const upstream = await world.startUpstream((_request, response) => {
		response.writeHead(502, {[Header.Outcome]: Outcome.Unknown, [Header.RefusalReason]: RefusalReason.UpstreamFailed}).end();
	}, true);
	const entry = await world.startEntry();
	const requestId = world.createId();
	expect(getRefusal(await send(entry.address, post(requestId)))).toEqual({status: 502, reason: RefusalReason.UpstreamFailed, outcome: Outcome.Unknown});
	await world.waitUntil(() => entry.kernel.get(ServiceName.Claims).lookup(requestId)?.state === ClaimState.Unknown);
	expect(upstream.requests).toHaveLength(1);
	await send(entry.address);
	expect(upstream.requests.length).toBeGreaterThan(2);
});

test('a check that breaks is tried again, an issue request that breaks is not', async () => {
	let count = 0;
	await world.startRawUpstream(socket => {
		count++;
		if (count % 2 === 1) {
			socket.destroy();
		} else {
			socket.end('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
		}
	});
	const entry = await world.startEntry();
	const check = await send(entry.address);
	expect(check).toMatchObject({status: 200, body: 'ok'});
	expect(count).toBe(2);
	const issue = await send(entry.address, post(world.createId()));
	expect(getRefusal(issue)).toMatchObject({status: 502, outcome: Outcome.Unknown});
	expect(count).toBe(3);
});

test('one layer retries: a request from another of ours is tried once, and says so to whoever is behind', async () => {
	let count = 0;
	await world.startRawUpstream((socket, text) => {
		count++;
		expect(text).toContain('no-retry: 1');
		expect(text).toContain('request-attempt: 1');
		socket.destroy();
	});
	const entry = await world.startEntry();
	const answer = await send(entry.address, {headers: {[Header.NoRetry]: '1'}});
	expect(answer.status).toBe(502);
	expect(count).toBe(1);
});

test('a retry storm is bounded: failing upstreams see little more than the first tries', async () => {
	// All upstreams fail every connection after it was made. Retries of retries would multiply the load on them.
	let count = 0;
	const fail = (socket: Socket) => {
		count++;
		socket.destroy();
	};

	for (let index = 0; index < 3; index++) {
		await world.startRawUpstream(fail);
	}

	const entry = await world.startEntry({retries: {budgetBurst: 10, budgetShare: 0.1, maxAttempts: 3}});
	const requests = 300;
	for (let index = 0; index < requests; index += 10) {
		await Promise.all(Array.from({length: 10}, async () => send(entry.address)));
	}

	expect(count).toBeLessThanOrEqual((requests * 1.1) + 10);
	expect(count).toBeGreaterThan(requests);
	expect(entry.getCounts()[`retries_denied.${RetryReason.IdempotentFailed}`]).toBeGreaterThan(0);
});

test('no try is made past the deadline', async () => {
	let count = 0;
	await world.startRawUpstream(() => {
		count++;
	});
	const entry = await world.startEntry();
	const answer = await send(entry.address, {headers: {[Header.DeadlineMs]: '150'}});
	expect(getRefusal(answer)).toEqual({status: 504, reason: RefusalReason.UpstreamTimeout, outcome: Outcome.Unknown});
	expect(count).toBe(1);
	await world.waitUntil(() => entry.slots.getHeld() === 0);
});

test('an upstream that fails everything fast does not draw all traffic', async () => {
	// It answers an error within a millisecond, so by in-flight and latency alone it would look the best of all.
	const failing = await world.startUpstream((_request, response) => {
		response.writeHead(500).end();
	});
	for (let index = 0; index < 3; index++) {
		await world.startUpstream((_request, response) => {
			setTimeout(() => response.end('ok'), 5);
		});
	}

	const entry = await world.startEntry();
	const statuses: number[] = [];
	for (let index = 0; index < 40; index++) {
		const answers = await Promise.all(Array.from({length: 8}, async () => send(entry.address)));
		statuses.push(...answers.map(({status}) => status));
	}

	expect(failing.requests.length).toBeLessThan(320 / 4);
	expect(statuses.slice(160).filter(status => status === 200).length).toBeGreaterThan(140);
});
