/**
Counts metrics locally, and sends them to a statsd server if the settings name one.
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
	const gauges = new Map<string, number>();
	return {
		count(metric: Metric, reason?: string, amount = 1) {
			const key = reason === undefined ? metric : `${metric}.${reason}`;
			counts.set(key, (counts.get(key) ?? 0) + amount);
			client?.increment(metric, amount, reason === undefined ? [] : [`reason:${reason}`]);
		},
		gauge(metric, value) {
			gauges.set(metric, value);
			client?.gauge(metric, value);
		},
		timing(metric, valueMs, tag) {
			client?.timing(metric, valueMs, tag === undefined ? [] : [`class:${tag}`]);
		},
		getCounts: () => Object.fromEntries([...counts, ...gauges]),
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
	// Metrics must never stop the program: socket errors are ignored, as lost packets are.
	return new StatsD({
		host, port, prefix: `${prefix}.`, errorHandler: ignore,
	});
};
