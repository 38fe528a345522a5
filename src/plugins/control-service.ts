/**
Control server for operators, upstreams and workers, with the health checks.
*/
import {type Kernel} from '../core/kernel.ts';
import {ServiceName, type ControlService} from '../types/services.ts';
import {createJsonServer} from '../utils/http-server.ts';

/** Creates the control service. */
export const createControlService = (kernel: Kernel): ControlService => {
	const server = createJsonServer(kernel.get(ServiceName.Clock));
	const {controlAddress} = kernel.get(ServiceName.Settings).entry;
	const statuses = new Map<string, () => unknown>();
	const readinessChecks = new Map<string, () => boolean>();
	let boundAddress = '';

	server.route('GET', '/healthz', () => ({body: {isAlive: true}}));
	server.route('GET', '/readyz', () => {
		const unready = [...readinessChecks].filter(([, isReady]) => !isReady()).map(([name]) => name);
		return {status: unready.length === 0 ? 200 : 503, body: {isReady: unready.length === 0, unready}};
	});
	server.route('GET', '/statusz', () => {
		const parts = [...statuses].map(([name, getStatus]) => [name, getStatus()] as const);
		return {
			body: {
				identity: kernel.get(ServiceName.Identity),
				counts: kernel.get(ServiceName.Metrics).getCounts(),
				...Object.fromEntries(parts),
			},
		};
	});

	return {
		route: server.route,
		getAddress: () => boundAddress,
		addStatus(name, getStatus) {
			statuses.set(name, getStatus);
		},
		addReadiness(name, isReady) {
			readinessChecks.set(name, isReady);
		},
		async start() {
			boundAddress = await server.listen(controlAddress);
		},
		stop: async () => server.close(),
	};
};
