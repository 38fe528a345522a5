/**
Receives the announcements of workers and creates a client for each.
*/
import {type Kernel} from '../core/kernel.ts';
import {HostKind, parseWorkerAnnouncement} from '../requests/membership-messages.ts';
import {type WorkerAnnouncement} from '../types/announcements.ts';
import {ServiceName, type WorkerRegistry} from '../types/services.ts';
import {createWorkerClient, type HttpWorkerClient} from './worker-client.ts';

/** Creates the registry of workers. */
export const createWorkersService = (kernel: Kernel): WorkerRegistry => {
	const membership = kernel.get(ServiceName.Membership);
	const clients = new Map<string, {address: string; client: HttpWorkerClient}>();
	const control = kernel.get(ServiceName.Control);

	const getClient = ({workerId, address}: WorkerAnnouncement): HttpWorkerClient => {
		const known = clients.get(workerId);
		if (known?.address === address) {
			return known.client;
		}

		void known?.client.close();
		const client = createWorkerClient(address);
		clients.set(workerId, {address, client});
		closeUnusedClients();
		return client;
	};

	/** Closes the clients of unknown workers once there are more than twice as many clients as known workers. */
	const closeUnusedClients = () => {
		if (clients.size <= 2 * membership.list(HostKind.Worker).length) {
			return;
		}

		for (const [workerId, {client}] of clients) {
			if (!membership.get(HostKind.Worker, workerId)) {
				clients.delete(workerId);
				void client.close();
			}
		}
	};

	const registry: WorkerRegistry = {
		announce: announcement => membership.receiveAnnouncement(HostKind.Worker, announcement.workerId, announcement),
		list: () => membership.getAlive(HostKind.Worker) as WorkerAnnouncement[],
		getClient(workerId) {
			const announcement = membership.get(HostKind.Worker, workerId) as WorkerAnnouncement | undefined;
			return announcement && getClient(announcement);
		},
		async stop() {
			await Promise.all([...clients.values()].map(async ({client}) => client.close()));
		},
	};

	control.route('POST', '/v1/announcements/workers', ({body}) => ({body: registry.announce(parseWorkerAnnouncement(body))}));
	control.route('GET', '/v1/workers', () => ({body: {workers: registry.list()}}));
	return registry;
};
