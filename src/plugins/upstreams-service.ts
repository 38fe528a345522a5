/**
Takes the announcements of upstreams and tells which may get new requests.
*/
import {z} from 'zod';
import {type Kernel} from '../core/kernel.ts';
import {AnnouncementBook} from '../requests/announcement-book.ts';
import {HostState, type UpstreamAnnouncement} from '../types/announcements.ts';
import {Metric} from '../types/metrics.ts';
import {ServiceName, type UpstreamRegistry} from '../types/services.ts';
import {createParser} from '../utils/parser.ts';

const parseAnnouncement = createParser('read announcement', z.object({
	upstreamId: z.string().min(1).max(128),
	service: z.string().min(1).max(64),
	incarnation: z.number().int().nonnegative(),
	sequence: z.number().int().nonnegative(),
	state: z.enum(HostState),
	address: z.string().max(64),
	region: z.string().max(64),
	failureDomain: z.string().max(64),
	slots: z.number().int().min(1).max(10_000),
	connections: z.number().int().min(1).max(100_000),
	isGuarded: z.boolean(),
	sponsorId: z.string().max(64).optional(),
	sponsorTerm: z.number().int().nonnegative().optional(),
}));

/** Creates the registry of upstreams. */
export const createUpstreamsService = (kernel: Kernel): UpstreamRegistry => {
	const {leaseMs, announceEveryMs} = kernel.get(ServiceName.Settings).membership;
	const book = new AnnouncementBook<UpstreamAnnouncement>(kernel.get(ServiceName.Clock), leaseMs);
	const control = kernel.get(ServiceName.Control);
	const metrics = kernel.get(ServiceName.Metrics);

	const registry: UpstreamRegistry = {
		announce(announcement) {
			const isAccepted = book.take(announcement.upstreamId, announcement);
			metrics.gauge(Metric.UpstreamsAlive, book.getAlive().length);
			return {isAccepted, reason: isAccepted ? undefined : 'a newer announcement is known', nextAfterMs: announceEveryMs};
		},
		getRoutable: serviceName => book.getAlive().filter(({service}) => service === serviceName),
		list: () => book.list(),
	};

	control.route('POST', '/v1/announcements/upstreams', ({body}) => ({body: registry.announce(parseAnnouncement(body))}));
	control.route('GET', '/v1/upstreams', () => ({body: {upstreams: registry.list()}}));
	return registry;
};
