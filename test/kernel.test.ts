import {describe, expect, test} from 'vitest';
import {ErrorCode, isError} from '../src/core/errors.ts';
import {createKernel, type Service} from '../src/core/kernel.ts';
import {ServiceName} from '../src/types/services.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';

const boundMs = 1000;

const createWorld = () => {
	const events: string[] = [];
	const clock = new ManualClock();
	const kernel = createKernel(clock, boundMs);
	const add = (name: ServiceName, dependsOn: ServiceName[], service: Partial<Service> = {}) => {
		kernel.register({
			name,
			dependsOn,
			load: async () => () => {
				const full: Service = {
					async start() {
						events.push(`start ${name}`);
					},
					async stop() {
						events.push(`stop ${name}`);
					},
					...service,
				};
				return full as never;
			},
		});
	};

	return {
		events, clock, kernel, add,
	};
};

describe('kernel', () => {
	test('services start after what they depend on and stop in reverse', async () => {
		const {events, kernel, add} = createWorld();
		add(ServiceName.Jobs, [ServiceName.Log, ServiceName.Config]);
		add(ServiceName.Config, [ServiceName.Log]);
		add(ServiceName.Log, []);
		await kernel.start();
		await kernel.stop();
		expect(events).toEqual(['start log', 'start config', 'start jobs', 'stop jobs', 'stop config', 'stop log']);
	});

	// A port is taken, so the second service fails to start. The first one must not be left running,
	// and the operator must be told which service failed.
	test('a failed start stops what had started and names the service', async () => {
		const {events, kernel, add} = createWorld();
		add(ServiceName.Log, []);
		add(ServiceName.Config, [ServiceName.Log], {
			async start() {
				throw new Error('address in use');
			},
		});
		await expect(kernel.start()).rejects.toThrow(/start config.*address in use/);
		expect(events).toEqual(['start log', 'stop config', 'stop log']);
	});

	// One service hangs at shutdown. The others must still be stopped, within the bound.
	test('a service that does not stop is given up after the bound and the others are stopped', async () => {
		const {events, clock, kernel, add} = createWorld();
		add(ServiceName.Log, []);
		add(ServiceName.Config, [ServiceName.Log], {
			async stop() {
				await new Promise(() => {
					// Never settles.
				});
			},
		});
		await kernel.start();
		const stopping = kernel.stop().catch((error: unknown) => error);
		await clock.advance(boundMs);
		expect(isError(await stopping, ErrorCode.StopTimedOut)).toBe(true);
		expect(events).toContain('stop log');
	});

	test('a circle of dependencies and an unknown service are refused', async () => {
		const circle = createWorld();
		circle.add(ServiceName.Log, [ServiceName.Config]);
		circle.add(ServiceName.Config, [ServiceName.Log]);
		await expect(circle.kernel.start()).rejects.toThrow(/circle/);
		const unknown = createWorld();
		unknown.add(ServiceName.Config, [ServiceName.Log]);
		await expect(unknown.kernel.start()).rejects.toThrow(/no such service/);
	});
});
