import {afterEach, expect, test} from 'vitest';
import {type RunningKernel} from '../src/core/kernel.ts';
import {createSettings} from '../src/core/settings.ts';
import {createEntry} from '../src/plugins/entry.ts';
import {MemoryNetwork} from '../src/plugins/peers-memory-transport.ts';
import {createGrpcTransport} from '../src/plugins/peers-transport.ts';
import {MemoryLog} from '../src/standin/memory-log.ts';
import {Stream} from '../src/types/platform.ts';
import {PeerMethod, ServiceName} from '../src/types/services.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createRandom} from '../src/utils/seeded-random.ts';

const anyAddress = '127.0.0.1:0';
let clock = new ManualClock();
const started: RunningKernel[] = [];

const createSimulation = () => {
	clock = new ManualClock();
	const random = createRandom(7);
	const log = new MemoryLog(clock, random);
	const network = new MemoryNetwork(clock, random);
	const startEntry = async (id: string, seedPeers: string[] = []) => {
		const entry = createEntry({
			clock,
			random,
			log,
			peerTransport: network.createTransport(),
			settings: createSettings({
				process: {id}, entry: {
					callerAddress: anyAddress, controlAddress: anyAddress, peerAddress: anyAddress, seedPeers,
				},
			}),
		});
		await entry.start();
		started.push(entry);
		return entry;
	};

	return {log, network, startEntry};
};

const getAlive = (entry: RunningKernel) => entry.get(ServiceName.Peers).list().filter(({isAlive}) => isAlive).map(({processId}) => processId).toSorted();

const stopAndAdvance = async (entry: RunningKernel) => {
	const status = {isStopped: false};
	const stop = async () => {
		await entry.stop();
		status.isStopped = true;
	};

	const stopping = stop();
	while (!status.isStopped) {
		await clock.advance(20);
	}

	await stopping;
};

afterEach(async () => {
	const stopping = Promise.all(started.splice(0).map(async entry => entry.stop()));
	await clock.advance(60_000);
	await stopping;
});

test('entries discover each other through the log and see each other as lost when a link breaks', async () => {
	const {network, startEntry} = createSimulation();
	const [a, b, c] = [await startEntry('a'), await startEntry('b'), await startEntry('c')];
	await clock.advance(1000);
	expect([a, b, c].map(entry => getAlive(entry))).toEqual([['b', 'c'], ['a', 'c'], ['a', 'b']]);
	const address = (entry: RunningKernel, id: string) => entry.get(ServiceName.Peers).list().find(({processId}) => processId === id)!.peerAddress;
	network.setLinkBroken(address(b, 'a'), address(a, 'b'), true);
	await clock.advance(2000);
	expect([a, b, c].map(entry => getAlive(entry))).toEqual([['c'], ['c'], ['a', 'b']]);
	network.restoreAllLinks();
	await clock.advance(4000);
	expect(getAlive(a)).toEqual(['b', 'c']);
});

test('entries discover each other through seeds and peers while the log is down', async () => {
	// An entry is replaced during an outage of the log. The others cannot read its record, so they would never call it, and its
	// callers would get no upstream. It calls one seed, which names it to the others.
	const {log, startEntry} = createSimulation();
	log.faults.isDown = true;
	const a = await startEntry('a');
	const seed = '127.0.0.1:1';
	const b = await startEntry('b', [seed]);
	const c = await startEntry('c', [seed]);
	await clock.advance(5000);
	expect([a, b, c].map(entry => getAlive(entry))).toEqual([['b', 'c'], ['a', 'c'], ['a', 'b']]);
});

test('a record appended twice, an old record and a bad record change nothing', async () => {
	const {log, startEntry} = createSimulation();
	const a = await startEntry('a');
	const presence = {
		processId: 'x', incarnation: 5, region: 'r', failureDomain: 'd', peerAddress: '127.0.0.1:900', controlAddress: '', recordId: 'r1', isLeaving: false,
	};
	await log.append(Stream.Entries, presence);
	await log.append(Stream.Entries, presence);
	await log.append(Stream.Entries, {...presence, incarnation: 4, peerAddress: '127.0.0.1:901'});
	await log.append(Stream.Entries, {nonsense: true});
	await clock.advance(500);
	expect(a.get(ServiceName.Peers).list()).toMatchObject([{
		processId: 'x', incarnation: 5, peerAddress: '127.0.0.1:900', isAlive: false,
	}]);
});

test('an entry that stops notifies its peers, and is removed after a long absence', async () => {
	const {startEntry} = createSimulation();
	const a = await startEntry('a');
	const b = await startEntry('b');
	await clock.advance(1000);
	started.splice(started.indexOf(b), 1);
	await stopAndAdvance(b);
	// At once, although the lease of the peer has not expired yet.
	expect(getAlive(a)).toEqual([]);
	await clock.advance(800_000);
	expect(a.get(ServiceName.Peers).list()).toEqual([]);
});

test('calls go over gRPC, and an answer from another process at the same address is refused', async () => {
	const [server, client] = [createGrpcTransport(), createGrpcTransport()];
	const address = await server.listen(anyAddress, async ({toId, body}) => {
		if (toId !== 'me') {
			throw new Error('not me');
		}

		return {echo: body};
	});
	const request = {fromId: 'x', method: PeerMethod.Hello, body: {text: 'hello', list: [1, 2]}};
	await expect(client.call(address, {...request, toId: 'me'}, 2000)).resolves.toEqual({echo: request.body});
	await expect(client.call(address, {...request, toId: 'other'}, 2000)).rejects.toThrow('not me');
	await server.close();
	await expect(client.call(address, {...request, toId: 'me'}, 500)).rejects.toThrow('call hello');
	await client.close();
});
