/**
Micro-kernel: plugins are registered by name and loaded at start; services look each other up by name.
*/
import {type Clock} from '../types/clock.ts';
import {type ServiceMap, type ServiceName} from '../types/services.ts';
import {createError, ErrorCode, getMessage} from './errors.ts';

/** A component of a process with a lifecycle. */
export type Service = {
	start?(): Promise<void>;
	/** Stops accepting work, finishes work in progress, then releases resources. */
	stop?(): Promise<void>;
};

/** A service that can be loaded: its dependencies and how to create it. */
export type Plugin<Name extends ServiceName = ServiceName> = {
	name: Name;
	dependsOn: ServiceName[];
	/** Loads the module only if the process needs it, so that a process does not load the code of other roles. */
	load(): Promise<(kernel: Kernel) => ServiceMap[Name]>;
};

/** Lookup of services, as available to services. */
export type Kernel = {
	get<Name extends ServiceName>(name: Name): ServiceMap[Name];
	has(name: ServiceName): boolean;
};

/** Kernel with the methods for its creator: registration, start and stop. */
export type RunningKernel = Kernel & {
	register<Name extends ServiceName>(plugin: Plugin<Name>): void;
	/** Registers a value that is already created, such as the clock or the settings. */
	provide<Name extends ServiceName>(name: Name, value: ServiceMap[Name]): void;
	start(): Promise<void>;
	stop(): Promise<void>;
};

/** Creates a kernel that waits at most `stopBoundMs` for each service to stop. */
export const createKernel = (clock: Clock, stopBoundMs: number): RunningKernel => {
	const plugins = new Map<ServiceName, Plugin>();
	const services = new Map<ServiceName, unknown>();
	const started: ServiceName[] = [];

	const get = <Name extends ServiceName>(name: Name): ServiceMap[Name] => {
		const service = services.get(name);
		if (service === undefined) {
			throw createError(ErrorCode.ServiceUnknown, {step: 'find service', peer: name});
		}

		return service as ServiceMap[Name];
	};

	const kernel: RunningKernel = {
		get,
		has: name => services.has(name),
		register(plugin) {
			plugins.set(plugin.name, plugin);
		},
		provide(name, value) {
			services.set(name, value);
		},
		async start() {
			for (const name of getStartOrder(plugins, services)) {
				try {
					const createService = await plugins.get(name)!.load();
					const service = createService(kernel);
					services.set(name, service);
					// Added before `start`, so that a service that fails during its start is stopped as well.
					started.push(name);
					await (service as Service).start?.();
				} catch (error) {
					await stopAll();
					throw createError(ErrorCode.StartFailed, {step: `start ${name}`, cause: error});
				}
			}
		},
		async stop() {
			await stopAll();
		},
	};

	const stopAll = async () => {
		const errors: unknown[] = [];
		for (const name of started.splice(0).toReversed()) {
			try {
				await stopWithTimeout(clock, services.get(name) as Service, name, stopBoundMs);
			} catch (error) {
				errors.push(error);
			}
		}

		if (errors.length > 0) {
			throw createError(ErrorCode.StopTimedOut, {step: 'stop', detail: errors.map(error => getMessage(error)).join('; ')});
		}
	};

	return kernel;
};

const stopWithTimeout = async (clock: Clock, service: Service, name: string, timeoutMs: number): Promise<void> => {
	if (!service.stop) {
		return;
	}

	const aborter = new AbortController();
	const expire = async () => {
		await clock.sleep(timeoutMs, aborter.signal);
		if (!aborter.signal.aborted) {
			throw createError(ErrorCode.StopTimedOut, {step: `stop ${name}`, detail: `not stopped after ${timeoutMs} ms`});
		}
	};

	try {
		await Promise.race([service.stop(), expire()]);
	} finally {
		aborter.abort();
	}
};

const getStartOrder = (plugins: Map<ServiceName, Plugin>, provided: Map<ServiceName, unknown>): ServiceName[] => {
	const order: ServiceName[] = [];
	const visiting = new Set<ServiceName>();
	const visit = (name: ServiceName) => {
		if (order.includes(name) || provided.has(name)) {
			return;
		}

		const plugin = plugins.get(name);
		if (!plugin) {
			throw createError(ErrorCode.ServiceUnknown, {step: 'order services', peer: name});
		}

		if (visiting.has(name)) {
			throw createError(ErrorCode.ServiceCycle, {step: 'order services', detail: [...visiting, name].join(' > ')});
		}

		visiting.add(name);
		for (const dependency of plugin.dependsOn) {
			visit(dependency);
		}

		visiting.delete(name);
		order.push(name);
	};

	for (const name of plugins.keys()) {
		visit(name);
	}

	return order;
};
