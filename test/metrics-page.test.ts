/**
The page of counters and durations, as a scraper reads it.
*/
import {afterEach, expect, it} from 'vitest';
import {createHttpClient} from '../src/utils/http-calls.ts';
import {close, listen} from '../src/utils/http-server.ts';
import {createMetricsPage, type MetricsPage} from '../src/utils/metrics-page.ts';

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

it('shows what was counted before and after it was first read', async () => {
	page = createMetricsPage();
	const address = await listen(page.server, '127.0.0.1:0');
	page.count('start refused', 'no-room');
	page.count('start refused', 'no-room');
	page.observe('POST 200', 12);
	let level = 3;
	page.addGauge('chervilworks_partitions_owned', 'Partitions.', () => level);
	const first = await scrape(address);
	expect(first).toContain('chervilworks_events_total{event="start refused",reason="no-room"} 2');
	expect(first).toContain('chervilworks_duration_seconds_bucket{le="0.03",kind="POST 200"} 1');
	expect(first).toContain('chervilworks_partitions_owned 3');
	page.count('start refused', 'no-room');
	level = 0;
	const second = await scrape(address);
	expect(second).toContain('reason="no-room"} 3');
	expect(second).toContain('chervilworks_partitions_owned 0');
});
