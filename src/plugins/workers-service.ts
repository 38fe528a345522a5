/**
Takes the announcements of workers and gives a client for each.
*/
import {z} from 'zod';
import {type Kernel} from '../core/kernel.ts';
import {AnnouncementBook} from '../requests/announcement-book.ts';
import {HostState, type WorkerAnnouncement} from '../types/announcements.ts';
import {Metric} from '../types/metrics.ts';
import {ServiceName, type WorkerRegistry} from '../types/services.ts';
import {createParser} from '../utils/parser.ts';
import {createWorkerClient, type HttpWorkerClient} from './worker-client.ts';

const parseAnnouncement = createParser('read announcement', z.object({
	workerId: z.string().min(1).max(128),
	incarnation: z.number().int().nonnegative(),
	sequence: z.number().int().nonnegative(),
	state: z.enum(HostState),
	address: z.string().max(64),
	region: z.string().max(64),
	failureDomain: z.string().max(64),
	rack: z.string().max(64),
	capacity: z.object({
		processors: z.number().nonnegative(),
		memoryMb: z.number().nonnegative(),
		accelerators: z.number().int().nonnegative(),
	}),
}));

/** Creates the registry of workers. */
export const createWorkersService = (kernel: Kernel): WorkerRegistry => {
	const {leaseMs, announceEveryMs} = kernel.get(ServiceName.Settings).membership;
	const book = new AnnouncementBook<WorkerAnnouncement>(kernel.get(ServiceName.Clock), leaseMs);
	const clients = new Map<string, {address: string; client: HttpWorkerClient}>();
	const control = kernel.get(ServiceName.Control);
	const metrics = kernel.get(ServiceName.Metrics);

	const setClient = ({workerId, address}: WorkerAnnouncement) => {
		const known = clients.get(workerId);
		if (known?.address === address) {
			return;
		}

		void known?.client.close();
		clients.set(workerId, {address, client: createWorkerClient(address)});
	};

	const registry: WorkerRegistry = {
		announce(announcement) {
			const isAccepted = book.take(announcement.workerId, announcement);
			if (isAccepted) {
				setClient(announcement);
			}

			metrics.gauge(Metric.WorkersAlive, book.getAlive().length);
			return {isAccepted, reason: isAccepted ? undefined : 'a newer announcement is known', nextAfterMs: announceEveryMs};
		},
		list: () => book.getAlive(),
		getClient: workerId => clients.get(workerId)?.client,
		async stop() {
			await Promise.all([...clients.values()].map(async ({client}) => client.close()));
		},
	};

	control.route('POST', '/v1/announcements/workers', ({body}) => ({body: registry.announce(parseAnnouncement(body))}));
	control.route('GET', '/v1/workers', () => ({body: {workers: registry.list()}}));
	return registry;
};
