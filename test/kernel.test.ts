import {describe, expect, test} from 'vitest';
import {ErrorCode, isError} from '../src/core/errors.ts';
import {createKernel, type Service} from '../src/core/kernel.ts';
import {ServiceName} from '../src/types/services.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';

const stopTimeoutMs = 1000;

const setUpKernel = () => {
	const events: string[] = [];
	const clock = new ManualClock();
	const kernel = createKernel(clock, stopTimeoutMs);
	const registerService = (name: ServiceName, dependsOn: ServiceName[], service: Partial<Service> = {}) => {
		kernel.register({
			name,
			dependsOn,
			load: async () => () => {
				const fullService: Service = {
					async start() {
						events.push(`start ${name}`);
					},
					async stop() {
						events.push(`stop ${name}`);
					},
					...service,
				};
				return fullService as never;
			},
		});
	};

	return {
		events, clock, kernel, registerService,
	};
};

describe('kernel', () => {
	test('services start after their dependencies and stop in reverse order', async () => {
		const {events, kernel, registerService} = setUpKernel();
		registerService(ServiceName.Jobs, [ServiceName.Log, ServiceName.Config]);
		registerService(ServiceName.Config, [ServiceName.Log]);
		registerService(ServiceName.Log, []);
		await kernel.start();
		await kernel.stop();
		expect(events).toEqual(['start log', 'start config', 'start jobs', 'stop jobs', 'stop config', 'stop log']);
	});

	// The second service fails to start because its port is in use. The first one must be stopped again, and the error must name
	// the service that failed.
	test('a failed start stops the services already started and names the failed one', async () => {
		const {events, kernel, registerService} = setUpKernel();
		registerService(ServiceName.Log, []);
		registerService(ServiceName.Config, [ServiceName.Log], {
			async start() {
				throw new Error('address in use');
			},
		});
		await expect(kernel.start()).rejects.toThrow(/start config.*address in use/);
		expect(events).toEqual(['start log', 'stop config', 'stop log']);
	});

	// One service hangs at shutdown. The others must still be stopped within the time limit.
	test('a service that does not stop times out, and the others are stopped', async () => {
		const {events, clock, kernel, registerService} = setUpKernel();
		registerService(ServiceName.Log, []);
		registerService(ServiceName.Config, [ServiceName.Log], {
			async stop() {
				await new Promise(() => {
					// Never settles.
				});
			},
		});
		await kernel.start();
		const stopping = kernel.stop().catch((error: unknown) => error);
		await clock.advance(stopTimeoutMs);
		expect(isError(await stopping, ErrorCode.StopTimedOut)).toBe(true);
		expect(events).toContain('stop log');
	});

	test('a circular dependency and an unknown service are refused', async () => {
		const circular = setUpKernel();
		circular.registerService(ServiceName.Log, [ServiceName.Config]);
		circular.registerService(ServiceName.Config, [ServiceName.Log]);
		await expect(circular.kernel.start()).rejects.toThrow(/circular dependency/);
		const unknown = setUpKernel();
		unknown.registerService(ServiceName.Config, [ServiceName.Log]);
		await expect(unknown.kernel.start()).rejects.toThrow(/no such service/);
	});
});
