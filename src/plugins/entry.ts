/**
Creates an entry from its services.
*/
import {createKernel, type RunningKernel} from '../core/kernel.ts';
import {type Settings} from '../core/settings-schema.ts';
import {type Clock} from '../types/clock.ts';
import {type PlatformLog} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {ServiceName} from '../types/services.ts';
import {type PeerTransport} from './peers-transport.ts';

/** Options of an entry. */
export type EntryOptions = {
	settings: Settings;
	clock: Clock;
	random: Random;
	/** Replaces the log at the URL of the settings. */
	log?: PlatformLog;
	/** Replaces the gRPC transport for calls to peers. */
	peerTransport?: PeerTransport;
};

/** Creates an entry; the calling code starts and stops its kernel. */
export const createEntry = ({settings, clock, random, log, peerTransport}: EntryOptions): RunningKernel => {
	const kernel = createKernel(clock, settings.process.stopBoundMs);
	const {id, region, failureDomain} = settings.process;
	kernel.provide(ServiceName.Settings, settings);
	kernel.provide(ServiceName.Clock, clock);
	kernel.provide(ServiceName.Random, random);
	kernel.provide(ServiceName.Identity, {
		processId: id === '' ? `entry-${random.id()}` : id, incarnation: clock.now().getTime(), region, failureDomain,
	});
	if (log) {
		kernel.provide(ServiceName.Log, log);
	} else {
		kernel.register({
			name: ServiceName.Log,
			dependsOn: [],
			async load() {
				const {createLogClient} = await import('./log-client.ts');
				return () => createLogClient(settings.log.url, settings.log.timeoutMs);
			},
		});
	}

	kernel.register({
		name: ServiceName.Peers,
		dependsOn: [ServiceName.Log, ServiceName.Control],
		async load() {
			const {createPeersService} = await import('./peers-service.ts');
			return peerKernel => createPeersService(peerKernel, peerTransport);
		},
	});
	registerServices(kernel);
	return kernel;
};

const registerServices = (kernel: RunningKernel): void => {
	kernel.register({
		name: ServiceName.Metrics,
		dependsOn: [],
		load: async () => (await import('./metrics-service.ts')).createMetricsService,
	});
	kernel.register({
		name: ServiceName.Control,
		dependsOn: [ServiceName.Metrics],
		load: async () => (await import('./control-service.ts')).createControlService,
	});
	kernel.register({
		name: ServiceName.Config,
		dependsOn: [ServiceName.Log, ServiceName.Control, ServiceName.Peers],
		load: async () => (await import('./config-service.ts')).createConfigService,
	});
	kernel.register({
		name: ServiceName.Membership,
		dependsOn: [ServiceName.Peers, ServiceName.Control],
		load: async () => (await import('./membership-service.ts')).createMembershipService,
	});
	kernel.register({
		name: ServiceName.Upstreams,
		dependsOn: [ServiceName.Control, ServiceName.Membership],
		load: async () => (await import('./upstreams-service.ts')).createUpstreamsService,
	});
	kernel.register({
		name: ServiceName.Workers,
		dependsOn: [ServiceName.Control, ServiceName.Membership],
		load: async () => (await import('./workers-service.ts')).createWorkersService,
	});
	kernel.register({
		name: ServiceName.Moves,
		dependsOn: [ServiceName.Config, ServiceName.Upstreams],
		load: async () => (await import('./moves-service.ts')).createMovesService,
	});
	kernel.register({
		name: ServiceName.Jobs,
		dependsOn: [ServiceName.Log, ServiceName.Workers, ServiceName.Config, ServiceName.Peers, ServiceName.Moves],
		load: async () => (await import('./jobs-service.ts')).createJobsService,
	});
	kernel.register({
		name: ServiceName.Slots,
		dependsOn: [ServiceName.Upstreams],
		async load() {
			const {createSlotsService} = await import('./slots-service.ts');
			return slotsKernel => createSlotsService(slotsKernel);
		},
	});
	kernel.register({
		name: ServiceName.Claims,
		dependsOn: [ServiceName.Log, ServiceName.Control],
		load: async () => (await import('./claims-service.ts')).createClaimsService,
	});
	kernel.register({
		name: ServiceName.Callers,
		dependsOn: [ServiceName.Config, ServiceName.Upstreams, ServiceName.Slots, ServiceName.Moves, ServiceName.Claims],
		load: async () => (await import('./callers-service.ts')).createCallersService,
	});
};
