/**
The micro-kernel: services register by name, are loaded on demand, and find each other by name.
*/
import {type Clock} from '../types/clock.ts';
import {type ServiceMap, type ServiceName} from '../types/services.ts';
import {createError, ErrorCode, getMessage} from './errors.ts';

/** A running part of a process. */
export type Service = {
	start?(): Promise<void>;
	/** Stops taking work, finishes what is in progress, then frees what is held. */
	stop?(): Promise<void>;
};

/** A part that can be loaded: what it needs, and how to create it. */
export type Plugin<Name extends ServiceName = ServiceName> = {
	name: Name;
	dependsOn: ServiceName[];
	/** Loads the module only when the process needs it, which keeps small roles small. */
	load(): Promise<(kernel: Kernel) => ServiceMap[Name]>;
};

/** The kernel as services see it. */
export type Kernel = {
	get<Name extends ServiceName>(name: Name): ServiceMap[Name];
	has(name: ServiceName): boolean;
};

/** Kernel with the calls that only its creator makes. */
export type RunningKernel = Kernel & {
	register<Name extends ServiceName>(plugin: Plugin<Name>): void;
	/** Puts a ready value under a name: clock, settings. */
	provide<Name extends ServiceName>(name: Name, value: ServiceMap[Name]): void;
	start(): Promise<void>;
	stop(): Promise<void>;
};

/** Creates a kernel whose services each stop within the bound. */
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
					const create = await plugins.get(name)!.load();
					const service = create(kernel);
					services.set(name, service);
					// Pushed before the start: a half-started service is stopped as well.
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
				await stopWithin(clock, services.get(name) as Service, name, stopBoundMs);
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

const stopWithin = async (clock: Clock, service: Service, name: string, boundMs: number): Promise<void> => {
	if (!service.stop) {
		return;
	}

	const aborter = new AbortController();
	const expire = async () => {
		await clock.sleep(boundMs, aborter.signal);
		if (!aborter.signal.aborted) {
			throw createError(ErrorCode.StopTimedOut, {step: `stop ${name}`, detail: `${boundMs} ms`});
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
