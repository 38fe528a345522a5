/**
The metrics page as a scraper reads it.
*/
import {afterEach, expect, it} from 'vitest';
import {createHttpClient} from '../src/utils/keep-alive-client.ts';
import {close, listen} from '../src/utils/http-server.ts';
import {
	alivePath, createMetricsPage, incarnationHeader, type MetricsPage,
} from '../src/utils/metrics-page.ts';

const http = createHttpClient(1);
let page: MetricsPage;

const scrape = async (address: string): Promise<string> => {
	const {body} = await http.call({
		address, method: 'GET', path: '/metrics', timeoutMs: 5000, step: 'scrape',
	});
	return body.toString();
};

afterEach(async () => {
	page.server.closeAllConnections();
	await close(page.server);
});

it('shows values recorded before and after the first read', async () => {
	page = createMetricsPage('life-1');
	const address = await listen(page.server, '127.0.0.1:0');
	page.count('start refused', 'no-room');
	page.count('start refused', 'no-room');
	page.observe('POST 200', 12);
	let ownedPartitions = 3;
	page.addGauge('chervilworks_partitions_owned', 'Partitions.', () => ownedPartitions);
	const first = await scrape(address);
	expect(first).toContain('chervilworks_events_total{event="start refused",reason="no-room"} 2');
	expect(first).toContain('chervilworks_duration_seconds_bucket{le="0.03",kind="POST 200"} 1');
	expect(first).toContain('chervilworks_partitions_owned 3');
	page.count('start refused', 'no-room');
	ownedPartitions = 0;
	const second = await scrape(address);
	expect(second).toContain('reason="no-room"} 3');
	expect(second).toContain('chervilworks_partitions_owned 0');
});

/** Guards against durations that are dropped, or counted in a wrong bucket, if they are recorded before the first read. */
it('counts each duration recorded before the first read in its bucket', async () => {
	page = createMetricsPage('life-1');
	const address = await listen(page.server, '127.0.0.1:0');
	for (let index = 0; index < 8000; index++) {
		page.observe('POST 200', [0.4, 2.2, 10, 10.1][index % 4]!);
	}

	const text = await scrape(address);
	for (const [bound, count] of [['0.001', 2000], ['0.003', 4000], ['0.01', 6000], ['0.03', 8000]] as const) {
		expect(text).toContain(`chervilworks_duration_seconds_bucket{le="${bound}",kind="POST 200"} ${count}`);
	}
});

/** Guards against a process that is taken for the earlier one at its address. */
it('tells the incarnation of the process in the liveness check', async () => {
	page = createMetricsPage('life-1');
	const address = await listen(page.server, '127.0.0.1:0');
	const {headers} = await http.call({
		address, method: 'GET', path: alivePath, timeoutMs: 5000, step: 'check',
	});
	expect(headers[incarnationHeader]).toBe('life-1');
});
