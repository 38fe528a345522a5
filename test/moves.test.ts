import {describe, expect, test} from 'vitest';
import {getChanges, publishChanges, readConfig} from '../src/core/config-publisher.ts';
import {parseConfigText} from '../src/core/config-text.ts';
import {createKernel, type RunningKernel} from '../src/core/kernel.ts';
import {createSettings} from '../src/core/settings.ts';
import {createConfigService} from '../src/plugins/config-service.ts';
import {createMetricsService} from '../src/plugins/metrics-service.ts';
import {createMovesService} from '../src/plugins/moves-service.ts';
import {Stream} from '../src/types/platform.ts';
import {MemoryLog} from '../src/standin/memory-log.ts';
import {type UpstreamAnnouncement} from '../src/types/announcements.ts';
import {
	type PeerHandler, PeerMethod, ServiceName, type UpstreamRegistry, type PeersService, type ControlService,
} from '../src/types/services.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createRandom} from '../src/utils/seeded-random.ts';

const settings = createSettings({moves: {warmMs: 3000, settleMs: 4000, checkEveryMs: 500}, config: {peerEveryMs: 500}});

/** Creates entries of two regions on one log; the test controls which upstreams they see. */
const createEntries = (seed: number) => {
	const clock = new ManualClock();
	const random = createRandom(seed);
	const log = new MemoryLog(clock, random);
	const upstreams: UpstreamAnnouncement[] = [];
	const handlers = new Map<string, PeerHandler>();

	const createEntry = async (processId: string, region: string, entryLog = log): Promise<RunningKernel> => {
		const kernel = createKernel(clock, 1000);
		const provide = <Name extends ServiceName>(name: Name, value: unknown) => {
			kernel.provide(name, value as never);
		};

		provide(ServiceName.Clock, clock);
		provide(ServiceName.Random, random);
		provide(ServiceName.Settings, settings);
		provide(ServiceName.Log, entryLog);
		provide(ServiceName.Identity, {
			processId, incarnation: 1, region, failureDomain: `${region}-1`,
		});
		provide(ServiceName.Control, {route: ignore, addStatus: ignore, addReadiness: ignore} satisfies Partial<ControlService>);
		provide(ServiceName.Upstreams, {getRoutable: service => upstreams.filter(upstream => upstream.service === service)} satisfies Partial<UpstreamRegistry>);
		provide(ServiceName.Peers, {
			list: () => [...handlers.keys()].filter(peerId => peerId !== processId).map(peerId => ({
				processId: peerId, incarnation: 1, region: '', failureDomain: '', peerAddress: '', controlAddress: '', isAlive: true,
			})),
			handle(_method, handler) {
				handlers.set(processId, handler);
			},
			call: async (peerId, method, body) => method === PeerMethod.Config ? handlers.get(peerId)!(body, processId) : undefined,
		} satisfies PeersService);
		kernel.register({name: ServiceName.Metrics, dependsOn: [], load: async () => createMetricsService});
		kernel.register({name: ServiceName.Config, dependsOn: [], load: async () => createConfigService});
		kernel.register({name: ServiceName.Moves, dependsOn: [ServiceName.Config], load: async () => createMovesService});
		await kernel.start();
		return kernel;
	};

	const publish = async (text: string) => {
		const changes = getChanges(await readConfig(log), parseConfigText(text).sections);
		const publishing = publishChanges(changes, {
			log, clock, random, author: 'ann', timeoutMs: 5000,
		});
		await clock.advance(1000);
		return publishing;
	};

	const announce = (service: string, region: string) => {
		upstreams.push({service, region} as UpstreamAnnouncement);
	};

	return {
		clock, log, upstreams, createEntry, publish, announce, random,
	};
};

const ignore = () => undefined;
const createConfigText = (region: string) => `[service register]\nregion = ${region}\n[service desk]\nregion = ${region}\ndependsOn = register\n`;
const getRegion = (kernel: RunningKernel, service: string) => kernel.get(ServiceName.Moves).getRegion(service);

describe('a move between data centres', () => {
	// The operators change the region of two services, one of which depends on the other. The old region must keep serving each
	// of them until the new region has warm upstreams for it, and the dependency must move first.
	test('the old region serves until the new one is warm, and dependencies move first', async () => {
		const {clock, createEntry, publish, announce} = createEntries(1);
		const old = await createEntry('entry-old', 'scot');
		const fresh = await createEntry('entry-new', 'bagmati');
		await publish(createConfigText('scot'));
		await publish(createConfigText('bagmati'));
		announce('desk', 'bagmati');
		await clock.advance(10_000);
		expect(getRegion(old, 'desk')).toBe('scot');
		expect(getRegion(old, 'register')).toBe('scot');

		announce('register', 'bagmati');
		await clock.advance(2500);
		expect(getRegion(old, 'register')).toBe('scot');
		await clock.advance(2500);
		expect(getRegion(old, 'register')).toBe('bagmati');
		await clock.advance(2500);
		expect(getRegion(old, 'desk')).toBe('bagmati');
		expect(getRegion(fresh, 'desk')).toBe('bagmati');
		await Promise.all([old.stop(), fresh.stop()]);
	});

	// Right after a move the old region may not have read it from the log yet. If the new region accepted a non-idempotent
	// request at once, it could run at the same time as one that the old region still starts.
	test('the new region accepts non-idempotent requests only after the old region had time to stop', async () => {
		const {clock, createEntry, publish, announce} = createEntries(2);
		const entry = await createEntry('entry-new', 'bagmati');
		await publish(createConfigText('scot'));
		expect(entry.get(ServiceName.Moves).isMoveSettled('register')).toBe(true);
		announce('register', 'bagmati');
		await publish(createConfigText('bagmati'));
		while (getRegion(entry, 'register') !== 'bagmati') {
			await clock.advance(100);
		}

		expect(entry.get(ServiceName.Moves).isMoveSettled('register')).toBe(false);
		await clock.advance(settings.moves.settleMs + 1000);
		expect(entry.get(ServiceName.Moves).isMoveSettled('register')).toBe(true);
		await entry.stop();
	});

	// The upstreams of the new region fail before the move, and the operators roll the change back.
	test('after a rollback before the move, the service stays in its region', async () => {
		const {clock, createEntry, publish, announce, upstreams} = createEntries(3);
		const entry = await createEntry('entry-new', 'bagmati');
		await publish(createConfigText('scot'));
		await publish(createConfigText('bagmati'));
		announce('register', 'bagmati');
		await clock.advance(1500);
		upstreams.length = 0;
		await publish(createConfigText('scot'));
		announce('register', 'bagmati');
		await clock.advance(20_000);
		expect(getRegion(entry, 'register')).toBe('scot');
		await entry.stop();
	});

	// Two entries of the new region see the same state, and both append a move.
	test('moves appended by two entries at once take effect once', async () => {
		const {clock, createEntry, publish, announce} = createEntries(4);
		const entries = [await createEntry('entry-a', 'bagmati'), await createEntry('entry-b', 'bagmati')];
		await publish(createConfigText('scot'));
		announce('register', 'bagmati');
		await publish(createConfigText('bagmati'));
		await clock.advance(10_000);
		const owners = entries.map(entry => entry.get(ServiceName.Config).getOwner('register'));
		expect(owners[0]).toEqual(owners[1]);
		expect(owners[0]?.region).toBe('bagmati');
		await Promise.all(entries.map(async entry => entry.stop()));
	});

	// The log becomes unavailable before a change can take effect; an entry must not move a service on stale configuration.
	test('nothing moves while the log cannot be read', async () => {
		const {clock, log, createEntry, publish, announce} = createEntries(5);
		const entry = await createEntry('entry-new', 'bagmati');
		await publish(createConfigText('scot'));
		await publish(createConfigText('bagmati'));
		log.faults.isDown = true;
		announce('register', 'bagmati');
		await clock.advance(60_000);
		expect(getRegion(entry, 'register')).toBe('scot');
		log.faults.isDown = false;
		await clock.advance(15_000);
		expect(getRegion(entry, 'register')).toBe('bagmati');
		await entry.stop();
	});
});

describe('configuration while the log is down', () => {
	// An entry is replaced during an outage of the log. It must not serve without a configuration, and gets one from a peer
	// within seconds.
	test('an entry that starts during an outage gets the configuration from a peer', async () => {
		const {clock, log, random, createEntry, publish} = createEntries(6);
		const entry = await createEntry('entry-a', 'scot');
		await publish(createConfigText('scot'));
		log.faults.isDown = true;
		const late = await createEntry('entry-b', 'scot');
		expect(late.get(ServiceName.Config).isReady()).toBe(false);
		await clock.advance(2000);
		expect(late.get(ServiceName.Config).isReady()).toBe(true);
		expect(late.get(ServiceName.Config).getSection('service desk')?.values).toEqual({region: 'scot', dependsOn: 'register'});

		// With a log that lost everything, the offsets of the old one must not be taken for newer ones.
		const empty = new MemoryLog(clock, random);
		const other = await createEntry('entry-c', 'scot', empty);
		await clock.advance(2000);
		expect(other.get(ServiceName.Config).getOffset()).toBe(entry.get(ServiceName.Config).getOffset());
		await Promise.all([entry, late, other].map(async kernel => kernel.stop()));
	});

	// Records expire while nobody publishes; without a snapshot a new entry could not restore the configuration.
	test('a snapshot is written before the records expire', async () => {
		const simulation = createEntries(7);
		const entry = await simulation.createEntry('entry-a', 'scot');
		await simulation.publish(createConfigText('scot'));
		const before = simulation.log.appends;
		await simulation.clock.advance(settings.config.snapshotEveryMs * 1.2);
		expect(simulation.log.appends - before).toBe(1);
		simulation.log.truncate(Stream.Config, before);
		expect((await readConfig(simulation.log)).sections.size).toBe(2);
		await entry.stop();
	});
});
