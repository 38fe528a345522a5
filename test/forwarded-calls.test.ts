/**
Calls that one entry hands to another over a socket, also to and from processes that know nothing of it.
*/
import {
	afterEach, beforeEach, expect, it,
} from 'vitest';
import {ErrorCode, getErrorCode} from '../src/core/errors.ts';
import {
	createForwardClient, decodeLoad, serveEntry, type HandedAdmission,
} from '../src/plugins/entry-messages.ts';
import {type ForwardClient} from '../src/types/entries.ts';
import {LookupOutcome, SubmitOutcome} from '../src/types/job-api.ts';
import {createStreamClient, type StreamClient} from '../src/utils/call-stream-client.ts';
import {createJsonServer, type JsonServer} from '../src/utils/http-server.ts';
import {createHttpClient} from '../src/utils/keep-alive-client.ts';
import {LinkMeter} from '../src/utils/link-meter.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createSystemClock} from '../src/utils/system-clock.ts';
import {TurnScheduler} from '../src/utils/turn-scheduler.ts';
import {decodeEntry} from '../src/workflows/entry-directory.ts';
import {FakeJobs, queue, spec} from './routed-entries.ts';

const load = {
	lateShare: 0.01, openCalls: 2, stalenessMs: 10, isReady: true,
};
const job = {queue: queue.name, id: '00000000000000a1', spec};
let server: JsonServer;
let streams: StreamClient;
let client: ForwardClient;
let jobs: FakeJobs;
let sentBytes = 0;
let receivedBytes = 0;

beforeEach(() => {
	server = createJsonServer(createSystemClock());
	const http = createHttpClient(1);
	sentBytes = 0;
	receivedBytes = 0;
	streams = createStreamClient(http, new TurnScheduler(), (sent, received) => {
		sentBytes += sent;
		receivedBytes += received;
	});
	client = createForwardClient(streams);
	jobs = new FakeJobs();
});

afterEach(async () => {
	streams.close();
	await server.close();
});

const serve = async (admission?: HandedAdmission): Promise<string> => {
	const config = {
		version: 1, queues: [queue], services: [], limits: {
			maxBodyBytes: 1, maxHeaderBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
	serveEntry(server, Object.assign(jobs, {getConfig: () => config}), () => false, admission);
	return server.listen('127.0.0.1:0');
};

const getFailure = async (call: Promise<unknown>): Promise<ErrorCode | undefined> => {
	try {
		await call;
		return undefined;
	} catch (error) {
		return getErrorCode(error);
	}
};

it('are served once, and answered with the load', async () => {
	let open = 0;
	const address = await serve({
		tryAdmit() {
			open++;
			return () => {
				open--;
			};
		},
		getLoad: () => load,
	});
	expect(await client.submit(address, job, 1000)).toEqual({reply: {outcome: SubmitOutcome.Accepted}, load});
	expect(await client.countPending(address, queue.name, 1000)).toEqual({reply: undefined, load});
	expect(await client.getLoad(address, 1000)).toEqual(load);
	expect(jobs.submitted).toEqual([job.id]);
	expect(open).toBe(0);
	expect(sentBytes).toBeGreaterThan(100);
	expect(receivedBytes).toBeGreaterThan(100);
});

it('are refused without being done', async () => {
	const address = await serve({tryAdmit: () => undefined, getLoad: () => load});
	expect(await client.submit(address, job, 1000)).toEqual({reply: undefined, load});
	expect(jobs.submitted).toEqual([]);
});

/** Guards against calls to a process of the version before: it knows neither loads nor the request for one. */
it('are served by an entry that tells no load', async () => {
	const address = await serve();
	expect(await client.submit(address, job, 1000)).toEqual({reply: {outcome: SubmitOutcome.Accepted}, load: undefined});
	expect(await client.getLoad(address, 1000)).toBeUndefined();
});

/** Guards against the "absent" of a process of the version before, which stores no cancellation of an unknown job. */
it('to cancel an unknown job are passed on as absent only if the other entry has stored the cancellation', async () => {
	jobs.read = {outcome: LookupOutcome.Absent};
	const address = await serve();
	expect(await client.cancel(address, job, 1000)).toMatchObject({reply: LookupOutcome.Absent});
	const earlier = createJsonServer(createSystemClock());
	earlier.route('POST', '/v1/entry/cancel', () => ({body: {outcome: LookupOutcome.Absent}}));
	const earlierAddress = await earlier.listen('127.0.0.1:0');
	expect(await client.cancel(earlierAddress, job, 1000)).toMatchObject({reply: LookupOutcome.Unknown});
	await earlier.close();
});

it('throw that nothing was sent if no connection is made', async () => {
	const address = await serve();
	await server.close();
	expect(await getFailure(client.submit(address, job, 1000))).toBe(ErrorCode.PeerUnreached);
});

/** Guards against another entry that ends halfway, whose answer would be taken for a refusal. */
it('throw that the outcome is open if the connection ends before the answer', async () => {
	const address = await serve({tryAdmit: () => () => undefined, getLoad: () => load});
	await client.getLoad(address, 1000);
	jobs.submit = async () => {
		streams.close();
		return {outcome: SubmitOutcome.Accepted};
	};

	expect(await getFailure(client.submit(address, job, 1000))).toBe(ErrorCode.PeerUnavailable);
});

it('tell loads that lack fields or have other types as none', () => {
	expect(decodeLoad(undefined)).toBeUndefined();
	expect(decodeLoad({...load, lateShare: 'much'})).toBeUndefined();
	expect(decodeLoad({lateShare: 0, openCalls: 0, isReady: true})).toEqual({lateShare: 0, openCalls: 0, isReady: true});
});

it('come from entries whose registration tells their size, or does not', () => {
	const decode = (json: unknown) => decodeEntry(Buffer.from(JSON.stringify(json)));
	const sized = {
		host: 'a', address: 'a:1', failureDomain: 'hall', processors: 0.2, linkMbps: 7,
	};
	expect(decode(sized)).toEqual(sized);
	expect(decode({host: 'a', address: 'a:1'})).toEqual({host: 'a', address: 'a:1'});
	expect(decode({...sized, processors: 'many'})).toEqual({host: 'a', address: 'a:1'});
});

it('count towards the use of the link, which falls when they stop', async () => {
	const clock = new ManualClock();
	const meter = new LinkMeter(clock, 8);
	for (let index = 0; index < 100; index++) {
		meter.count(0, 50_000);
		await clock.advance(100);
	}

	expect(meter.share).toBeGreaterThan(0.45);
	expect(meter.share).toBeLessThan(0.55);
	await clock.advance(10_000);
	expect(meter.share).toBeLessThan(0.01);
	expect(new LinkMeter(clock, undefined).share).toBeUndefined();
});
