/**
Measures the cost of an announcement over HTTP: processor time of both ends together, and bytes.
*/
import {Agent} from 'undici';
import {parseUpstreamAnnouncement} from '../requests/membership-messages.ts';
import {HostState, type UpstreamAnnouncement} from '../types/announcements.ts';
import {callJson} from '../utils/json-client.ts';
import {createJsonServer} from '../utils/http-server.ts';
import {createSystemClock} from '../utils/system-clock.ts';
import {getCpuUs} from './process-cost.ts';
import {fitSlope, type Slope} from './slope.ts';

const counts = [500, 1000, 2000];
const warmUpCount = 500;
const concurrency = 16;
const timeoutMs = 5000;

/** Measures announcements over real sockets on loopback. */
export const measureAnnouncements = async (): Promise<Slope[]> => {
	const server = createJsonServer(createSystemClock());
	server.route('POST', '/v1/announcements/upstreams', ({body}) => ({
		body: {
			isAccepted: true, sponsorId: parseUpstreamAnnouncement(body).upstreamId, sponsorTerm: 1, nextAfterMs: 1000,
		},
	}));
	const address = await server.listen('127.0.0.1:0');
	const agent = new Agent({connections: concurrency});
	const send = async (count: number) => {
		let left = count;
		const sendRemaining = async () => {
			while (left-- > 0) {
				await callJson({
					method: 'POST', url: `http://${address}/v1/announcements/upstreams`, body: announcement, timeoutMs, dispatcher: agent, step: 'announce',
				});
			}
		};

		await Promise.all(Array.from({length: concurrency}, sendRemaining));
	};

	await send(warmUpCount);
	const samples = [];
	for (const count of counts) {
		samples.push({size: count, value: await getCpuUs(async () => send(count))});
	}

	await agent.close();
	await server.close();
	return [
		fitSlope('processor time of both ends, us', 'announcement over HTTP', samples),
		fitSlope('body of an announcement, bytes', 'announcement', [{size: 1, value: JSON.stringify(announcement).length}]),
	];
};

const announcement: UpstreamAnnouncement = {
	upstreamId: 'tariff-relief-11',
	service: 'tariff-relief',
	incarnation: 1_796_243_000_000,
	sequence: 123_456,
	state: HostState.Alive,
	address: '127.0.0.1:10000',
	region: 'scot-central',
	failureDomain: 'grange-hall',
	slots: 8,
	connections: 64,
	isGuarded: false,
	sponsorId: 'entry-1#1796243000000',
	sponsorTerm: 3,
};
