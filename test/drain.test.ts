import {afterEach, expect, test} from 'vitest';
import {type RunningKernel} from '../src/core/kernel.ts';
import {createSettings} from '../src/core/settings.ts';
import {createEntry} from '../src/plugins/entry.ts';
import {MemoryNetwork} from '../src/plugins/peers-memory-transport.ts';
import {MemoryLog} from '../src/standin/memory-log.ts';
import {HostState, type UpstreamAnnouncement} from '../src/types/announcements.ts';
import {ServiceName} from '../src/types/services.ts';
import {callJson} from '../src/utils/json-client.ts';
import {createRandom} from '../src/utils/seeded-random.ts';
import {createSystemClock} from '../src/utils/system-clock.ts';

const any = '127.0.0.1:0';
const timeoutMs = 20_000;
const started: RunningKernel[] = [];

afterEach(async () => {
	await Promise.all(started.splice(0).map(async entry => entry.stop()));
});

const announcement: UpstreamAnnouncement = {
	upstreamId: 'desk-1',
	service: 'desk',
	incarnation: 1,
	sequence: 1,
	state: HostState.Alive,
	address: '127.0.0.1:1',
	region: 'local',
	failureDomain: 'local-1',
	slots: 8,
	connections: 64,
	isGuarded: false,
};

// An operator drains an upstream at one entry. The upstream is not informed and keeps announcing itself as alive, also to the
// other entry. No entry may route requests to it again.
test('an operator drains an upstream at any entry, and its own announcements do not undo it', async () => {
	const clock = createSystemClock();
	const random = createRandom(1);
	const log = new MemoryLog(clock, random);
	const network = new MemoryNetwork(clock, random);
	for (const id of ['a', 'b']) {
		const entry = createEntry({
			clock,
			random,
			log,
			peerTransport: network.createTransport(),
			settings: createSettings({process: {id}, entry: {callerAddress: any, controlAddress: any, peerAddress: any}}),
		});
		await entry.start();
		started.push(entry);
	}

	const [a, b] = started as [RunningKernel, RunningKernel];
	const isRoutable = (entry: RunningKernel) => entry.get(ServiceName.Upstreams).getRoutable('desk').length > 0;
	const waitFor = async (isDone: () => boolean) => {
		const endMs = clock.monotonicMs() + timeoutMs;
		while (!isDone() && clock.monotonicMs() < endMs) {
			await clock.sleep(20);
		}

		expect(isDone()).toBe(true);
	};

	a.get(ServiceName.Upstreams).announce(announcement);
	await waitFor(() => isRoutable(a) && isRoutable(b));
	const url = `http://${b.get(ServiceName.Control).getAddress()}/v1/upstreams/desk-1/drain`;
	const drain = async () => callJson<{isAccepted: boolean}>({
		method: 'POST', url, timeoutMs, step: 'drain',
	});
	expect(await drain()).toMatchObject({isAccepted: true});
	await waitFor(() => !isRoutable(a) && !isRoutable(b));
	for (const entry of [a, b]) {
		entry.get(ServiceName.Upstreams).announce({...announcement, sequence: 9});
		expect(isRoutable(entry)).toBe(false);
	}

	expect(await drain()).toMatchObject({isAccepted: false});
	// A restarted upstream is a new incarnation and gets requests again.
	a.get(ServiceName.Upstreams).announce({...announcement, incarnation: 2});
	await waitFor(() => isRoutable(a) && isRoutable(b));
});
