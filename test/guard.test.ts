import {
	Agent, createServer, request as sendRequest, type IncomingMessage, type ServerResponse,
} from 'node:http';
import process from 'node:process';
import {afterEach, expect, test} from 'vitest';
import {createSettings} from '../src/core/settings.ts';
import {createGuard, type Guard} from '../src/plugins/guard.ts';
import {HostState, type UpstreamAnnouncement} from '../src/types/announcements.ts';
import {type Settings} from '../src/core/settings-schema.ts';
import {listen} from '../src/utils/http-server.ts';
import {createRandom} from '../src/utils/seeded-random.ts';
import {createSystemClock} from '../src/utils/system-clock.ts';

const anyAddress = '127.0.0.1:0';
const clock = createSystemClock();
const cleanups: Array<() => Promise<void>> = [];

afterEach(async () => {
	for (const cleanup of cleanups.splice(0).toReversed()) {
		await cleanup();
	}
});

const startServer = async (handle: (request: IncomingMessage, response: ServerResponse) => void) => {
	const server = createServer(handle);
	const address = await listen(server, anyAddress);
	cleanups.push(async () => {
		server.closeAllConnections();
		server.close();
	});
	return address;
};

/** An upstream that holds each request until the test answers it. */
const startUpstream = async () => {
	const held: Array<{path: string; response: ServerResponse; body: string}> = [];
	const address = await startServer(async (request, response) => {
		let body = '';
		for await (const chunk of request) {
			body += String(chunk);
		}

		held.push({path: request.url!, response, body});
	});
	return {address, held};
};

const startGuard = async (upstreamAddress: string, guard: Partial<Settings['guard']> = {}) => {
	const announcements: UpstreamAnnouncement[] = [];
	const entryAddress = await startServer(async (request, response) => {
		let text = '';
		for await (const chunk of request) {
			text += String(chunk);
		}

		announcements.push(JSON.parse(text) as UpstreamAnnouncement);
		response.end(JSON.stringify({isAccepted: true, nextAfterMs: 20}));
	});
	const running = createGuard({
		clock,
		random: createRandom(3),
		settings: createSettings({
			process: {id: 'desk-1'},
			guard: {
				address: anyAddress, upstreamAddress, entryAddresses: [entryAddress], service: 'lading-desk', slots: 2, queueLimit: 0, drainMs: 0, ...guard,
			},
		}),
	});
	const address = await running.start();
	let stopping: Promise<void> | undefined;
	const stop = async () => {
		stopping ??= running.stop();
		return stopping;
	};

	cleanups.push(stop);
	return {
		running, address, announcements, stop,
	};
};

type Answer = {status: number; headers: IncomingMessage['headers']; text: string};

const sendRequestTo = async (address: string, path: string, options: {body?: string; agent?: Agent} = {}): Promise<Answer> => {
	const [host, port] = address.split(':');
	const call = sendRequest({
		host, port, path, method: 'POST', agent: options.agent ?? false,
	});
	call.end(options.body ?? '');
	const answer = await new Promise<IncomingMessage>((resolve, reject) => {
		call.once('response', resolve);
		call.once('error', reject);
	});
	let text = '';
	for await (const chunk of answer) {
		text += String(chunk);
	}

	return {status: answer.statusCode!, headers: answer.headers, text};
};

const waitUntil = async (isDone: () => boolean) => {
	while (!isDone()) {
		await clock.sleep(2);
	}
};

const countRefusals = (guard: Guard) => Object.values(guard.getRefusals()).reduce((sum, count) => sum + count, 0);

test('admits as many requests as it has slots and refuses the rest as not run', async () => {
	const {address: upstream, held} = await startUpstream();
	const {running, address} = await startGuard(upstream);
	const answers = Array.from({length: 5}, async (_, index) => sendRequestTo(address, `/${index}`, {body: `document ${index}`}));
	await waitUntil(() => held.length === 2 && countRefusals(running) === 3);
	for (const {path, body, response} of held) {
		response.end(`${path} ${body}`);
	}

	const done = await Promise.all(answers);
	const refused = done.filter(({status}) => status === 503);
	expect(refused.map(({headers}) => [headers['request-outcome'], headers['refusal-reason']])).toEqual(Array.from({length: 3}, () => ['not-run', 'guard-full']));
	const answered = done.filter(({status}) => status === 200).map(({text}) => text);
	expect(answered.toSorted()).toEqual(held.map(({path}) => `${path} document ${path.slice(1)}`).toSorted());
	expect(held).toHaveLength(2);
});

test('a request waits in the bounded queue and gets the next free slot', async () => {
	const {address: upstream, held} = await startUpstream();
	const {running, address} = await startGuard(upstream, {slots: 1, queueLimit: 1, queueMs: 20_000});
	const first = sendRequestTo(address, '/1');
	await waitUntil(() => held.length === 1);
	const others = [sendRequestTo(address, '/2'), sendRequestTo(address, '/3')];
	await waitUntil(() => countRefusals(running) === 1);
	held[0]!.response.end('done');
	await waitUntil(() => held.length === 2);
	held[1]!.response.end('done');
	const statuses = (await Promise.all([first, ...others])).map(({status}) => status);
	expect(statuses.toSorted((a, b) => a - b)).toEqual([200, 200, 503]);
});

test('the caller detects a truncated answer', async () => {
	// The upstream fails in the middle of an answer. If the guard ended its own answer normally, the caller would take a
	// truncated document for a complete one.
	const {address: upstream, held} = await startUpstream();
	const {address} = await startGuard(upstream);
	const lengths = [{'content-length': '100'}, {'transfer-encoding': 'chunked'}];
	for (const [index, headers] of lengths.entries()) {
		const answer = sendRequestTo(address, '/half');
		await waitUntil(() => held.length === index + 1);
		const {response} = held[index]!;
		response.writeHead(200, headers);
		response.write('half');
		const broken = expect(answer).rejects.toThrow('aborted');
		await clock.sleep(20);
		response.destroy();
		await broken;
	}
});

test('reports a request as not run only if no byte can have reached the upstream', async () => {
	const {address: upstream, held} = await startUpstream();
	const {address} = await startGuard(upstream);
	const answer = sendRequestTo(address, '/lost');
	await waitUntil(() => held.length === 1);
	held[0]!.response.destroy();
	const lost = await answer;
	expect([lost.status, lost.headers['request-outcome']]).toEqual([502, 'unknown']);
	const {address: alone} = await startGuard('127.0.0.1:1');
	const refused = await sendRequestTo(alone, '/never');
	expect([refused.status, refused.headers['request-outcome'], refused.headers['refusal-reason']]).toEqual([503, 'not-run', 'upstream-failed']);
});

test('a caller that disconnects does not free the slot of a request that still runs', async () => {
	// Callers time out on a slow upstream and disconnect. If that freed their slots at once, the guard would keep sending
	// requests to the upstream while all the earlier ones still ran.
	const {address: upstream, held} = await startUpstream();
	const {address} = await startGuard(upstream, {slots: 1});
	const [host, port] = address.split(':');
	const leaving = sendRequest({
		host, port, path: '/left', method: 'POST', agent: false,
	});
	leaving.on('error', () => undefined);
	leaving.end('x');
	await waitUntil(() => held.length === 1);
	leaving.destroy();
	await clock.sleep(20);
	expect((await sendRequestTo(address, '/next')).headers['refusal-reason']).toBe('guard-full');
	held[0]!.response.end('done');
	let status = 503;
	const served = async () => {
		while (status === 503) {
			({status} = await sendRequestTo(address, '/next'));
		}
	};

	const serving = served();
	await waitUntil(() => held.length === 2);
	held[1]!.response.end('done');
	await serving;
	expect(status).toBe(200);
});

test('a guard that stops announces draining, finishes requests in progress and refuses the rest as not run', async () => {
	const {address: upstream, held} = await startUpstream();
	const {address, announcements, stop} = await startGuard(upstream);
	await waitUntil(() => announcements.length > 0);
	expect(announcements[0]).toMatchObject({
		upstreamId: 'desk-1', service: 'lading-desk', state: HostState.Alive, isGuarded: true, slots: 2, address,
	});
	const agent = new Agent({keepAlive: true});
	const other = new Agent({keepAlive: true});
	const opening = sendRequestTo(address, '/open', {agent: other});
	await waitUntil(() => held.length === 1);
	held[0]!.response.end('open');
	await opening;
	const running = sendRequestTo(address, '/running', {agent});
	await waitUntil(() => held.length === 2);
	const stopping = stop();
	await waitUntil(() => announcements.at(-1)!.state === HostState.Draining);
	await clock.sleep(20);
	const late = await sendRequestTo(address, '/late', {agent: other});
	expect([late.headers['request-outcome'], late.headers['refusal-reason']]).toEqual(['not-run', 'guard-draining']);
	held[1]!.response.end('whole');
	expect((await running).text).toBe('whole');
	await stopping;
	agent.destroy();
	other.destroy();
});

test('requests on connections above the limit are refused as not run', async () => {
	const {address: upstream, held} = await startUpstream();
	const {address} = await startGuard(upstream, {connections: 1, slots: 1});
	const agents = [new Agent({keepAlive: true}), new Agent({keepAlive: true})] as const;
	const first = sendRequestTo(address, '/1', {agent: agents[0]});
	await waitUntil(() => held.length === 1);
	held[0]!.response.end('one');
	await first;
	const second = await sendRequestTo(address, '/2', {agent: agents[1]});
	expect([second.headers['request-outcome'], second.headers['refusal-reason']]).toEqual(['not-run', 'guard-full']);
	for (const agent of agents) {
		agent.destroy();
	}
});

test('requests on reused connections leave no listeners behind', async () => {
	// Guards against a leak: each request left a listener on the connection to the upstream, and after 20,000 requests the
	// guard used 312 MB.
	const {address: upstream, held} = await startUpstream();
	const {address} = await startGuard(upstream, {slots: 1});
	const warnings: string[] = [];
	const recordWarning = ({name}: Error) => {
		warnings.push(name);
	};

	process.on('warning', recordWarning);
	const agent = new Agent({keepAlive: true});
	for (let index = 0; index < 40; index++) {
		const answer = sendRequestTo(address, '/again', {agent});
		await waitUntil(() => held.length === index + 1);
		held[index]!.response.end('done');
		await answer;
	}

	await clock.sleep(20);
	agent.destroy();
	process.off('warning', recordWarning);
	expect(warnings).toEqual([]);
});
