/**
Age of the pending counts that callers get from entries which have not read the jobs stream to its end.
*/
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {afterEach, expect, it} from 'vitest';
import {createCallerServer} from '../src/platform/caller-server.ts';
import {StoreFault} from '../src/standin/memory-store.ts';
import {SubmitOutcome} from '../src/types/job-api.ts';
import {type SiteConfig} from '../src/types/site.ts';
import {type WorkflowSpec} from '../src/types/workflows.ts';
import {findQueue} from '../src/workflows/queues.ts';
import {workflowsTopic} from '../src/workflows/records.ts';
import {createSite} from './site-setup.ts';
import {
	createSpec, createStep, queue, type SimulatedSite,
} from './simulated-site.ts';

const config: SiteConfig = {
	version: 1, queues: [queue], services: [], limits: {
		maxBodyBytes: 2000, maxHeaderBytes: 16_384, headerTimeoutMs: 100, idleTimeoutMs: 1000,
	},
};
/** How old a count may be. */
const maxAgeMs = 2000;
/** Tasks that no worker has room for. */
const waitingSpec = createSpec([createStep({milliCpu: 90_000})]);

let site: SimulatedSite;

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** Sends `GET PREFIX` to the callers' server of an entry, without a socket, so that all time is manual. */
const askCount = async (entryName: string): Promise<{status: number; retryAfter: unknown; count: unknown}> => {
	const {relay} = site.entries.get(entryName)!;
	relay.getConfig = () => config;
	const server = createCallerServer({
		jobs: relay, clock: site.clock, findQueue, isClosing: () => false, onAnswer: () => undefined,
	});
	return site.settle(new Promise(resolve => {
		const request = {
			method: 'GET', url: queue.pathPrefix, headers: {host: queue.host}, complete: true,
		} as unknown as IncomingMessage;
		let status = 0;
		let retryAfter: unknown;
		const response = {
			req: request,
			writeHead(code: number, headers: Record<string, unknown>) {
				status = code;
				retryAfter = headers['retry-after'];
			},
			end(text: string) {
				const {pendingCount} = JSON.parse(text) as {pendingCount?: unknown};
				resolve({status, retryAfter, count: pendingCount});
			},
		} as unknown as ServerResponse;
		server.emit('request', request, response);
	}));
};

/** Expects the true count or a refusal with a retry time, within the caller's deadline. */
const expectTrueCountOrRefusal = async (entryName: string, trueCount: number): Promise<void> => {
	const startMs = site.clock.monotonicMs();
	const {status, retryAfter, count} = await askCount(entryName);
	expect(site.clock.monotonicMs() - startMs).toBeLessThan(3000);
	expect({
		entryName, status, count, hasRetryTime: retryAfter !== undefined,
	}).toEqual(status === 503
		? {
			entryName, status, count: undefined, hasRetryTime: true,
		}
		: {
			entryName, status: 200, count: trueCount, hasRetryTime: false,
		});
};

const createRelayingSite = async (): Promise<void> => {
	site = await createSite(2, 3);
	site.isRelaying = true;
};

const submitMany = async (count: number, entryName: string, spec: WorkflowSpec = waitingSpec): Promise<void> => {
	for (let index = 0; index < count; index++) {
		expect(await site.submit((index + 1).toString(16).padStart(16, '0'), spec, entryName)).toMatchObject({outcome: SubmitOutcome.Accepted});
	}
};

/** Makes the store leave the reads of the jobs stream by these entries unanswered, but not their heartbeats. */
const stopReads = (...entryNames: string[]): void => {
	site.store.getFault = ({client, kind, ref}) => entryNames.includes(client) && kind === 'read' && ref?.topic === workflowsTopic ? StoreFault.LoseRequest : StoreFault.None;
};

it('is the true one from every entry that reads to the end of the stream', async () => {
	await createRelayingSite();
	await submitMany(6, 'entry-1');
	await site.clock.advance(maxAgeMs);
	for (const name of site.entries.keys()) {
		expect(await askCount(name)).toEqual({status: 200, retryAfter: undefined, count: 6});
	}
});

/** Guards against a count of 0 from an entry that has just started and whose first reads have timed out. */
it('is not 0 from an entry whose first reads time out', async () => {
	await createRelayingSite();
	await submitMany(6, 'entry-1');
	site.killEntry('entry-0');
	stopReads('entry-0');
	site.startEntry('entry-0');
	await site.clock.advance(5000);
	await expectTrueCountOrRefusal('entry-0', 6);
});

/** Guards against a count from before the store became silent to the entry alone, known to the entry or not. */
it.each([true, false])('is not an old one from an entry to which the store is silent (known: %s)', async isKnown => {
	await createRelayingSite();
	stopReads('entry-0');
	await site.clock.advance(1000);
	if (isKnown) {
		site.storeLost.add('entry-0');
	}

	await submitMany(6, 'entry-1');
	await site.clock.advance(maxAgeMs + 200);
	await expectTrueCountOrRefusal('entry-0', 6);
});

/** Guards against a count of half a stream: each read is answered before its time-out and brings some records, so no call fails. */
it('is not that of the first part of the stream while each read takes long', async () => {
	await createRelayingSite();
	const jobs = 80;
	await submitMany(jobs, 'entry-1', {...waitingSpec, input: 'x'.repeat(4000)});
	site.killEntry('entry-0');
	site.store.getDelayMs = ({client, kind, ref}) => client === 'entry-0' && kind === 'read' && ref?.topic === workflowsTopic ? 650 : 0;
	site.startEntry('entry-0');
	await site.clock.advance(3000);
	expect(site.entries.get('entry-0')!.follower.isCaughtUp).toBe(false);
	await expectTrueCountOrRefusal('entry-0', jobs);
});

/** Guards against a count from a view that is too old at every entry: the job has started since, and no entry can know it. */
it('is refused by all entries after all have lost the store for longer than a count may be old', async () => {
	await createRelayingSite();
	site.plan = () => ({workMs: 60_000});
	await submitMany(1, 'entry-1', createSpec([createStep()]));
	site.store.getFault = ({client}) => site.entries.has(client) ? StoreFault.LoseRequest : StoreFault.None;
	await site.clock.advance(maxAgeMs + 1500);
	expect(site.getStarts(`${'1'.padStart(16, '0')}.0.0.0`)).toBe(1);
	for (const name of site.entries.keys()) {
		site.storeLost.add(name);
	}

	for (const name of site.entries.keys()) {
		await expectTrueCountOrRefusal(name, 0);
	}
});
