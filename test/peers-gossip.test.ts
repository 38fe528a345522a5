import {expect, test} from 'vitest';
import {createKernel, type RunningKernel} from '../src/core/kernel.ts';
import {createSettings} from '../src/core/settings.ts';
import {createMetricsService} from '../src/plugins/metrics-service.ts';
import {MemoryNetwork} from '../src/plugins/peers-memory-transport.ts';
import {createPeersService} from '../src/plugins/peers-service.ts';
import {MemoryLog} from '../src/standin/memory-log.ts';
import {ServiceName, type ControlService} from '../src/types/services.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createRandom} from '../src/utils/seeded-random.ts';

const entryCount = 12;
const ignore = () => undefined;

// The log is unavailable when all entries start, and each knows only one seed. A heartbeat names only a few peers; all entries
// must still discover each other within seconds.
test('twelve entries that know one seed discover each other while the log is down', async () => {
	const clock = new ManualClock();
	const random = createRandom(3);
	const log = new MemoryLog(clock, random);
	log.faults.isDown = true;
	const network = new MemoryNetwork(clock, random);
	const entries: RunningKernel[] = [];
	for (let index = 0; index < entryCount; index++) {
		const kernel = createKernel(clock, 1000);
		const control: Partial<ControlService> = {
			route: ignore, addStatus: ignore, addReadiness: ignore, getAddress: () => '',
		};
		kernel.provide(ServiceName.Clock, clock);
		kernel.provide(ServiceName.Random, random);
		kernel.provide(ServiceName.Log, log);
		kernel.provide(ServiceName.Control, control as ControlService);
		kernel.provide(ServiceName.Settings, createSettings({entry: {seedPeers: ['127.0.0.1:1']}}));
		kernel.provide(ServiceName.Identity, {
			processId: `entry-${index}`, incarnation: 1, region: 'r', failureDomain: 'd',
		});
		kernel.register({name: ServiceName.Metrics, dependsOn: [], load: async () => createMetricsService});
		kernel.register({
			name: ServiceName.Peers, dependsOn: [ServiceName.Metrics], load: async () => peersKernel => createPeersService(peersKernel, network.createTransport()),
		});
		await kernel.start();
		entries.push(kernel);
	}

	await clock.advance(10_000);
	const alive = entries.map(entry => entry.get(ServiceName.Peers).list().filter(({isAlive}) => isAlive).length);
	expect(alive).toEqual(Array.from({length: entryCount}, () => entryCount - 1));
	const stopping = Promise.all(entries.map(async entry => entry.stop()));
	await clock.advance(60_000);
	await stopping;
});
