/**
Counts locally and sends to a statsd server when one is set.
*/
import {StatsD} from 'hot-shots';
import {type Kernel, type Service} from '../core/kernel.ts';
import {type Metric, type Metrics} from '../types/metrics.ts';
import {ServiceName} from '../types/services.ts';
import {parseAddress} from '../utils/address.ts';

/** Creates the metrics service. */
export const createMetricsService = (kernel: Kernel): Metrics & Service => {
	const {statsdAddress, prefix} = kernel.get(ServiceName.Settings).metrics;
	const client = statsdAddress === '' ? undefined : createClient(statsdAddress, prefix);
	const counts = new Map<string, number>();
	const levels = new Map<string, number>();
	return {
		count(metric: Metric, reason?: string, amount = 1) {
			const key = reason === undefined ? metric : `${metric}.${reason}`;
			counts.set(key, (counts.get(key) ?? 0) + amount);
			client?.increment(metric, amount, reason === undefined ? [] : [`reason:${reason}`]);
		},
		gauge(metric, value) {
			levels.set(metric, value);
			client?.gauge(metric, value);
		},
		timing(metric, valueMs, tag) {
			client?.timing(metric, valueMs, tag === undefined ? [] : [`class:${tag}`]);
		},
		getCounts: () => Object.fromEntries([...counts, ...levels]),
		async stop() {
			await new Promise<void>(resolve => {
				if (client) {
					client.close(() => {
						resolve();
					});
				} else {
					resolve();
				}
			});
		},
	};
};

const ignore = () => undefined;

const createClient = (address: string, prefix: string): StatsD => {
	const {host, port} = parseAddress(address);
	// Metrics must never stop the program: errors of the socket are dropped, as the packets would be.
	return new StatsD({
		host, port, prefix: `${prefix}.`, errorHandler: ignore,
	});
};
