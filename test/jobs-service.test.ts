import {afterEach, expect, test} from 'vitest';
import {createError, ErrorCode} from '../src/core/errors.ts';
import {createSettings} from '../src/core/settings.ts';
import {type RunningKernel} from '../src/core/kernel.ts';
import {createEntry} from '../src/plugins/entry.ts';
import {MemoryLog} from '../src/standin/memory-log.ts';
import {JobState, type JobStatus} from '../src/types/jobs.ts';
import {
	PeerMethod, ServiceName, type PeerHandler, type PeersService,
} from '../src/types/services.ts';
import {callJson} from '../src/utils/json-client.ts';
import {createRandom} from '../src/utils/seeded-random.ts';
import {createSystemClock} from '../src/utils/system-clock.ts';
import {createSpec} from './jobs-harness.ts';

const anyAddress = '127.0.0.1:0';
const clock = createSystemClock();
let entries: RunningKernel[] = [];

afterEach(async () => {
	await Promise.all(entries.map(async entry => entry.stop()));
	entries = [];
});

/** Peers in one process: a call runs the other's handler directly, or fails if peers are not reachable. */
const createPeers = (handlers: Map<string, PeerHandler>, id: string, isReachable: boolean): PeersService => ({
	list: () => [],
	handle(method, handler) {
		if (method === PeerMethod.Jobs) {
			handlers.set(id, handler);
		}
	},
	async call(peerId, _, body) {
		if (!isReachable) {
			throw createError(ErrorCode.PeerUnavailable, {step: 'call peer', peer: peerId});
		}

		return handlers.get(peerId)!(body, id);
	},
});

const startEntries = async (isReachable: boolean) => {
	const log = new MemoryLog(clock, createRandom(1));
	const handlers = new Map<string, PeerHandler>();
	entries = ['entry-a', 'entry-b'].map((id, index) => {
		const entry = createEntry({
			clock,
			random: createRandom(index + 1),
			log,
			settings: createSettings({
				process: {id},
				entry: {callerAddress: anyAddress, controlAddress: anyAddress, peerAddress: anyAddress},
				jobs: {shards: 1},
				ownership: {leaseMs: 1000, renewEveryMs: 50},
			}),
		});
		entry.provide(ServiceName.Peers, createPeers(handlers, id, isReachable));
		return entry;
	});
	await Promise.all(entries.map(async entry => entry.start()));
};

const call = async (entry: RunningKernel, method: 'GET' | 'POST', path: string, body?: unknown): Promise<JobStatus> => callJson({
	method, url: `http://${entry.get(ServiceName.Control).getAddress()}/v1/jobs${path}`, body, timeoutMs: 10_000, step: 'test',
});

const isOwner = async (entry: RunningKernel): Promise<boolean> => {
	const {jobs} = await callJson<{jobs: {shards: Record<string, number>}}>({
		method: 'GET', url: `http://${entry.get(ServiceName.Control).getAddress()}/statusz`, timeoutMs: 10_000, step: 'test',
	});
	return Object.keys(jobs.shards).length > 0;
};

/** Waits until one entry owns the shard; resolves to the entries with the owner first. */
const sortByOwner = async (): Promise<RunningKernel[]> => {
	for (;;) {
		const owners = await Promise.all(entries.map(async entry => isOwner(entry)));
		if (owners.includes(true)) {
			return owners[0] ? entries : entries.toReversed();
		}

		await clock.sleep(20);
	}
};

test.each([true, false])('any entry accepts a job and reports its status (owner reachable: %s)', async isReachable => {
	await startEntries(isReachable);
	const [owner, other] = await sortByOwner();
	expect((await call(other!, 'POST', '', createSpec('a'))).state).toBe(JobState.Accepted);
	const atOwner = await call(owner!, 'GET', '/a');
	const atOther = await call(other!, 'GET', '/a');
	expect(atOwner.reason).toBe(undefined);
	expect(atOther.tasks[0]!.taskId).toBe('a/0');
	expect(atOther.reason).toBe(isReachable ? undefined : 'last known: the owner of the job was not reached');
	await expect(call(owner!, 'POST', '', createSpec('a', {priority: 7}))).rejects.toThrow('another job has this id');
	expect((await call(other!, 'POST', '/a/cancel')).state).toBe(JobState.Cancelled);
	await expect(call(owner!, 'GET', '/none')).rejects.toThrow('not found');
});
