/**
Counters, gauges and latency histograms of a process, served in the Prometheus text format. `prom-client` is loaded when the page is
first read, because loading it occupies the processor of a small host for most of a second. Until then, values are buffered.
*/
import {createServer, type Server} from 'node:http';
import {type Counter, type Histogram, type Registry} from 'prom-client';

/** Metrics of a process. */
export type MetricsPage = {
	/** Server of the page; the caller binds and closes it. */
	server: Server;
	/** Counts an event; `reason` is its second label. */
	count(event: string, reason?: string): void;
	/** Records a duration in ms for a kind of work. */
	observe(kind: string, tookMs: number): void;
	/** Adds a gauge whose value is read each time the page is read. */
	addGauge(name: string, help: string, read: () => number): void;
};

type Loaded = {
	registry: Registry;
	events: Counter<'event' | 'reason'>;
	durations: Histogram<'kind'>;
};

/** Path of the liveness check; cheaper than reading the page. */
export const alivePath = '/alive';
/** Header of its answer: the incarnation of the process. */
export const incarnationHeader = 'incarnation';

/** Upper bounds of the histogram's buckets in seconds, from a response out of memory to the longest latency objective. */
const bucketsS = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30];

/** Creates the metrics of a process; the liveness check tells its incarnation. */
export const createMetricsPage = (incarnation: string): MetricsPage => {
	let loaded: Loaded | undefined;
	const gauges: Array<{name: string; help: string; read: () => number}> = [];
	const counts = new Map<string, {event: string; reason: string; amount: number}>();
	/** Buffered durations by kind and in whole milliseconds. Rounding up does not change the bucket, because all bounds are whole milliseconds. */
	const bufferedDurations = new Map<string, {kind: string; tookMs: number; amount: number}>();
	const loadMetrics = async (): Promise<Loaded> => {
		if (!loaded) {
			const {Counter, Gauge, Histogram, Registry} = await import('prom-client');
			const registry = new Registry();
			loaded ??= {
				registry,
				events: new Counter({
					name: 'chervilworks_events_total', help: 'Events by name and reason.', labelNames: ['event', 'reason'], registers: [registry],
				}),
				durations: new Histogram({
					name: 'chervilworks_duration_seconds', help: 'Durations by kind of work.', labelNames: ['kind'], buckets: bucketsS, registers: [registry],
				}),
			};
			for (const {name, help, read} of gauges) {
				// eslint-disable-next-line no-new -- a gauge registers itself.
				new Gauge({
					name, help, registers: [registry], collect() {
						this.set(read());
					},
				});
			}
		}

		for (const {event, reason, amount} of counts.values()) {
			loaded.events.inc({event, reason}, amount);
		}

		counts.clear();
		for (const {kind, tookMs, amount} of bufferedDurations.values()) {
			for (let index = 0; index < amount; index++) {
				loaded.durations.observe({kind}, tookMs / 1000);
			}
		}

		bufferedDurations.clear();

		return loaded;
	};

	return {
		count(event, reason = '') {
			const key = `${event}#${reason}`;
			const entry = counts.get(key) ?? {event, reason, amount: 0};
			entry.amount++;
			counts.set(key, entry);
		},
		observe(kind, tookMs) {
			if (loaded) {
				loaded.durations.observe({kind}, tookMs / 1000);
				return;
			}

			const wholeMs = Math.ceil(tookMs);
			const key = `${kind}#${wholeMs}`;
			const entry = bufferedDurations.get(key) ?? {kind, tookMs: wholeMs, amount: 0};
			entry.amount++;
			bufferedDurations.set(key, entry);
		},
		addGauge(name, help, read) {
			gauges.push({name, help, read});
		},
		server: createServer(async (request, response) => {
			if (request.url === alivePath) {
				response.writeHead(204, {[incarnationHeader]: incarnation});
				response.end();
				return;
			}

			const {registry} = await loadMetrics();
			response.writeHead(200, {'content-type': registry.contentType});
			response.end(await registry.metrics());
		}),
	};
};
