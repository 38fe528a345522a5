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

let simulation: ReturnType<typeof createSimulatedRequests>;

beforeEach(() => {
	simulation = createSimulatedRequests();
});

afterEach(async () => {
	await simulation.close();
});

const post = (requestId: string, headers: Record<string, string> = {}) => ({
	method: 'POST', body: 'issue', headers: {[Header.RequestId]: requestId, ...headers},
});

test('only requests that were not run or are idempotent are retried', () => {
	expect(getRetryReason(AttemptFailure.NotWritten, false)).toBe(RetryReason.ConnectFailed);
	expect(getRetryReason(AttemptFailure.GuardRefused, false)).toBe(RetryReason.GuardRefused);
	expect(getRetryReason(AttemptFailure.Broken, false)).toBeUndefined();
	expect(getRetryReason(AttemptFailure.TimedOut, false)).toBeUndefined();
	expect(getRetryReason(AttemptFailure.Broken, true)).toBe(RetryReason.IdempotentFailed);
});

test('the budget allows a burst, and then a share of the first attempts', () => {
	const budget = new RetryBudget(0.1, 5);
	let allowed = 0;
	for (let index = 0; index < 1000; index++) {
		budget.recordFirstAttempt();
		allowed += budget.tryTake() ? 1 : 0;
	}

	expect(allowed).toBeGreaterThanOrEqual(100);
	expect(allowed).toBeLessThanOrEqual(105);
});

test('a request whose connection is refused is retried on another upstream, also one with an id, and runs once', async () => {
	simulation.announceClosedPort();
	const upstream = await simulation.startUpstream((_request, response) => {
		response.end('ok');
	});
	const entry = await simulation.startEntry();
	for (let index = 0; index < 10; index++) {
		expect(await send(entry.address, post(simulation.createId()))).toMatchObject({status: 200});
		expect(await send(entry.address)).toMatchObject({status: 200});
	}

	expect(upstream.requests).toHaveLength(20);
	expect(entry.getCounts()[`retries.${RetryReason.ConnectFailed}`]).toBeGreaterThan(0);
});

test('with every connection refused the request was not run, and its id may be used again', async () => {
	simulation.announceClosedPort();
	const entry = await simulation.startEntry();
	const requestId = simulation.createId();
	const answer = await send(entry.address, post(requestId));
	expect(getRefusal(answer)).toEqual({status: 502, reason: RefusalReason.UpstreamFailed, outcome: Outcome.NotRun});
	expect(Number(answer.headers[Header.RetryAfterMs])).toBeGreaterThan(0);
	simulation.announcements.pop();
	await simulation.startUpstream((_request, response) => {
		response.end('ok');
	});
	await simulation.waitUntil(() => entry.kernel.get(ServiceName.Claims).lookup(requestId)?.state === ClaimState.NotRun);
	expect(await send(entry.address, post(requestId))).toMatchObject({status: 200});
});

test('a request that a guard refuses is retried on another upstream', async () => {
	const guarded = await simulation.startUpstream((_request, response) => {
		response.writeHead(503, {[Header.Outcome]: Outcome.NotRun, [Header.RefusalReason]: RefusalReason.QueueFull}).end();
	}, true);
	await simulation.startUpstream((_request, response) => {
		response.end('ok');
	});
	const entry = await simulation.startEntry();
	for (let index = 0; index < 10; index++) {
		expect(await send(entry.address, post(simulation.createId()))).toMatchObject({status: 200});
	}

	expect(entry.getCounts()[`retries.${RetryReason.GuardRefused}`] ?? 0).toBe(guarded.requests.length);
});

test('with every guard full the request is refused as not run, and its id may be used again', async () => {
	let isFull = true;
	await simulation.startUpstream((_request, response) => {
		if (isFull) {
			response.writeHead(503, {[Header.Outcome]: Outcome.NotRun, [Header.RefusalReason]: RefusalReason.GuardFull}).end();
		} else {
			response.end('ok');
		}
	}, true);
	const entry = await simulation.startEntry();
	const requestId = simulation.createId();
	const answer = await send(entry.address, post(requestId));
	expect(getRefusal(answer)).toEqual({status: 503, reason: RefusalReason.GuardFull, outcome: Outcome.NotRun});
	expect(Number(answer.headers[Header.RetryAfterMs])).toBeGreaterThan(0);
	isFull = false;
	expect(await send(entry.address, post(requestId))).toMatchObject({status: 200});
});

test('a guard that received no answer from its upstream makes the outcome unknown, not done', async () => {
	// The guard's answer is complete, so the connection shows no error. If the guard's error were recorded as the answer of
	// the request, it would be replayed on every retry, and a request that may have run would look refused.
	const upstream = await simulation.startUpstream((_request, response) => {
		response.writeHead(502, {[Header.Outcome]: Outcome.Unknown, [Header.RefusalReason]: RefusalReason.UpstreamFailed}).end();
	}, true);
	const entry = await simulation.startEntry();
	const requestId = simulation.createId();
	expect(getRefusal(await send(entry.address, post(requestId)))).toEqual({status: 502, reason: RefusalReason.UpstreamFailed, outcome: Outcome.Unknown});
	await simulation.waitUntil(() => entry.kernel.get(ServiceName.Claims).lookup(requestId)?.state === ClaimState.Unknown);
	expect(upstream.requests).toHaveLength(1);
	await send(entry.address);
	expect(upstream.requests.length).toBeGreaterThan(2);
});

test('a check whose connection fails is retried, a non-idempotent request is not', async () => {
	let count = 0;
	await simulation.startRawUpstream(socket => {
		count++;
		if (count % 2 === 1) {
			socket.destroy();
		} else {
			socket.end('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
		}
	});
	const entry = await simulation.startEntry();
	const check = await send(entry.address);
	expect(check).toMatchObject({status: 200, body: 'ok'});
	expect(count).toBe(2);
	const issue = await send(entry.address, post(simulation.createId()));
	expect(getRefusal(issue)).toMatchObject({status: 502, outcome: Outcome.Unknown});
	expect(count).toBe(3);
});

test('only one layer retries: a request with no-retry is attempted once and forwards the header', async () => {
	let count = 0;
	await simulation.startRawUpstream((socket, text) => {
		count++;
		expect(text).toContain('no-retry: 1');
		expect(text).toContain('request-attempt: 1');
		socket.destroy();
	});
	const entry = await simulation.startEntry();
	const answer = await send(entry.address, {headers: {[Header.NoRetry]: '1'}});
	expect(answer.status).toBe(502);
	expect(count).toBe(1);
});

test('retry storms are bounded: failing upstreams get few requests beyond the first attempts', async () => {
	// All upstreams drop every connection after accepting it. Unbounded retries would multiply the load on them.
	let count = 0;
	const fail = (socket: Socket) => {
		count++;
		socket.destroy();
	};

	for (let index = 0; index < 3; index++) {
		await simulation.startRawUpstream(fail);
	}

	const entry = await simulation.startEntry({retries: {budgetBurst: 10, budgetShare: 0.1, maxAttempts: 3}});
	const requests = 300;
	for (let index = 0; index < requests; index += 10) {
		await Promise.all(Array.from({length: 10}, async () => send(entry.address)));
	}

	expect(count).toBeLessThanOrEqual((requests * 1.1) + 10);
	expect(count).toBeGreaterThan(requests);
	expect(entry.getCounts()[`retries_denied.${RetryReason.IdempotentFailed}`]).toBeGreaterThan(0);
});

test('no attempt is started after the deadline', async () => {
	let count = 0;
	await simulation.startRawUpstream(() => {
		count++;
	});
	const entry = await simulation.startEntry();
	const answer = await send(entry.address, {headers: {[Header.DeadlineMs]: '150'}});
	expect(getRefusal(answer)).toEqual({status: 504, reason: RefusalReason.UpstreamTimeout, outcome: Outcome.Unknown});
	expect(count).toBe(1);
	await simulation.waitUntil(() => entry.slots.getHeld() === 0);
});

test('an upstream that fails every request quickly does not attract all traffic', async () => {
	// It answers with an error within a millisecond, so by requests in flight and latency alone it would look best.
	const failing = await simulation.startUpstream((_request, response) => {
		response.writeHead(500).end();
	});
	for (let index = 0; index < 3; index++) {
		await simulation.startUpstream((_request, response) => {
			setTimeout(() => response.end('ok'), 5);
		});
	}

	const entry = await simulation.startEntry();
	const statuses: number[] = [];
	for (let index = 0; index < 40; index++) {
		const answers = await Promise.all(Array.from({length: 8}, async () => send(entry.address)));
		statuses.push(...answers.map(({status}) => status));
	}

	expect(failing.requests.length).toBeLessThan(320 / 4);
	expect(statuses.slice(160).filter(status => status === 200).length).toBeGreaterThan(140);
});
