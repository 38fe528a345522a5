import {once} from 'node:events';
import {connect} from 'node:net';
import {Agent, request} from 'undici';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {Header, Outcome, RefusalReason} from '../src/types/requests.ts';
import {ClaimState, ServiceName} from '../src/types/services.ts';
import {
	createSimulatedRequests, getRefusal, send, type Answer,
} from './simulated-requests.ts';

let simulation: ReturnType<typeof createSimulatedRequests>;

beforeEach(() => {
	simulation = createSimulatedRequests();
});

afterEach(async () => {
	await simulation.close();
});

test('a stop finishes requests in progress, refuses waiting ones, and loses no record', async () => {
	// An entry is replaced under load. Requests in progress must be answered completely. Waiting ones must be refused at once
	// as not run, so that the caller can send them to another entry.
	const upstream = await simulation.startUpstream((_request, response) => {
		setTimeout(() => response.end('done'), 300);
	});
	const entry = await simulation.startEntry({}, 2);
	const other = await simulation.startEntry();
	const requestIds = [simulation.createId(), simulation.createId()];
	const running = requestIds.map(async requestId => send(entry.address, {method: 'POST', body: 'x', headers: {[Header.RequestId]: requestId}}));
	await simulation.waitUntil(() => upstream.requests.length === 2);
	const waiting = Array.from({length: 5}, async () => send(entry.address));
	await simulation.waitUntil(() => entry.getCounts().requests === 7);
	const stopped = entry.stop();
	for (const answer of await Promise.all(waiting)) {
		expect(getRefusal(answer)).toEqual({status: 503, reason: RefusalReason.ShuttingDown, outcome: Outcome.NotRun});
		expect(Number(answer.headers[Header.RetryAfterMs])).toBeGreaterThan(0);
		expect(answer.headers.connection).toBe('close');
	}

	expect(upstream.requests).toHaveLength(2);
	for (const answer of await Promise.all(running)) {
		expect(answer).toMatchObject({status: 200, body: 'done'});
	}

	await stopped;
	await expect(send(entry.address)).rejects.toThrow();
	// The ends of the requests were recorded before the entry stopped.
	await simulation.waitUntil(() => requestIds.every(requestId => other.kernel.get(ServiceName.Claims).lookup(requestId)?.state === ClaimState.Done));
});

test('a stop under load breaks no request', async () => {
	await simulation.startUpstream((_request, response) => {
		setTimeout(() => response.end('ok'), 10);
	});
	const entry = await simulation.startEntry();
	const agent = new Agent({connections: 16, pipelining: 1});
	const answers: Answer[] = [];
	let broken = 0;
	// Each sender continues until it gets another status than 200, as the load balancer does.
	const sendInTurn = async () => {
		for (let status = 200; status === 200;) {
			try {
				const {statusCode, headers, body} = await request(`http://${entry.address}/desk`, {dispatcher: agent});
				answers.push({status: statusCode, headers: headers as Record<string, string>, body: await body.text()});
				status = statusCode;
			} catch {
				broken++;
				break;
			}
		}
	};

	const senders = Array.from({length: 16}, sendInTurn);
	await simulation.waitUntil(() => answers.length > 200);
	const stopped = entry.stop();
	await Promise.all(senders);
	await stopped;
	await agent.destroy();
	const refused = answers.filter(({status}) => status !== 200);
	expect(refused).toHaveLength(16);
	expect(refused.every(answer => getRefusal(answer).reason === RefusalReason.ShuttingDown)).toBe(true);
	expect(answers.filter(({status}) => status === 200).every(({body}) => body === 'ok')).toBe(true);
	expect(broken).toBe(0);
});

test('a stop waits for a request with an id whose caller disconnected, and records its end', async () => {
	const upstream = await simulation.startUpstream((_request, response) => {
		setTimeout(() => response.end('done'), 300);
	});
	const entry = await simulation.startEntry();
	const other = await simulation.startEntry();
	const aborter = new AbortController();
	const requestId = simulation.createId();
	const sent = send(entry.address, {
		method: 'POST', body: 'x', headers: {[Header.RequestId]: requestId}, signal: aborter.signal,
	});
	await simulation.waitUntil(() => upstream.requests.length === 1);
	aborter.abort();
	await expect(sent).rejects.toThrow();
	await entry.stop();
	await simulation.waitUntil(() => other.kernel.get(ServiceName.Claims).lookup(requestId)?.state === ClaimState.Done);
});

test('an open connection without any request does not delay the stop', async () => {
	const entry = await simulation.startEntry();
	const [host, port] = entry.address.split(':');
	const socket = connect(Number(port), host);
	await once(socket, 'connect');
	const closed = once(socket, 'close');
	socket.resume();
	await simulation.clock.sleep(20);
	await entry.stop();
	await closed;
});
