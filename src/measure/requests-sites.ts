/**
Sizes of the current installations, and the work that is offered to them.
*/
import {HostState, type UpstreamAnnouncement} from '../types/announcements.ts';
import {type Random} from '../types/random.ts';
import {RequestClass} from '../types/requests.ts';

/** One installation. */
export type Site = {
	name: string;
	service: string;
	failureDomains: string[];
	/** One-way delay between failure domains. */
	betweenDomainsMs: number;
	/** One-way delay within a failure domain. */
	withinDomainMs: number;
	/** One-way delay between a client and an entry. */
	clientMs: number;
	upstreamCount: number;
	slots: number;
	entryCount: number;
};

const common = {
	withinDomainMs: 0.2, clientMs: 3, upstreamCount: 11, slots: 8, entryCount: 3,
};

/** Both users' installations. */
export const sites: Site[] = [
	{
		...common, name: 'clydeside', service: 'lading-desk', betweenDomainsMs: 1.5, failureDomains: ['leith-hall', 'govan-hall', 'grange-hall'],
	},
	{
		...common, name: 'authority', service: 'tariff-relief', betweenDomainsMs: 1, failureDomains: ['hall-ktm', 'hall-ltp', 'hall-bkt', 'hall-hetauda'],
	},
];

/** How often requests of a class come and how long they run on an idle host. */
export type ClassLoad = {
	share: number;
	meanMs: number;
	/** Spread of the logarithm of the run time. */
	sigma: number;
	deadlineMs: number;
	/** Slowdown by each request of a class that runs on the same host. */
	slowdownBy: Record<RequestClass, number>;
};

/** Work of both classes. Checks may be retried; long requests may not. */
export const classLoads: Record<RequestClass, ClassLoad> = {
	[RequestClass.Check]: {
		share: 0.9, meanMs: 20, sigma: 0.6, deadlineMs: 1000, slowdownBy: {[RequestClass.Check]: 0.01, [RequestClass.Long]: 0.05},
	},
	[RequestClass.Long]: {
		share: 0.1, meanMs: 400, sigma: 0.8, deadlineMs: 10_000, slowdownBy: {[RequestClass.Check]: 0.005, [RequestClass.Long]: 0.03},
	},
};

const getFullHostMs = ({meanMs, slowdownBy}: ClassLoad, slots: number, longShare: number): number =>
	meanMs * (1 + ((slots - 1) * ((longShare * slowdownBy.long) + ((1 - longShare) * slowdownBy.check))));

/** Requests a second that all slots together carry, with the interference between requests on full hosts. */
export const getCapacityPerS = ({upstreamCount, slots}: Site): number => {
	const {check, long} = classLoads;
	let longShare = 0.5;
	let meanMs = 0;
	// Iterates until the share of the slots that long requests hold converges: they slow down checks more than checks slow them down.
	for (let round = 0; round < 20; round++) {
		const checkMs = check.share * getFullHostMs(check, slots, longShare);
		const longMs = long.share * getFullHostMs(long, slots, longShare);
		longShare = longMs / (checkMs + longMs);
		meanMs = checkMs + longMs;
	}

	return upstreamCount * slots * 1000 / meanMs;
};

/** Draws a run time on an idle host: log-normal with the class's mean. */
export const drawRunMs = ({meanMs, sigma}: ClassLoad, random: Random): number => {
	const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
	return meanMs * Math.exp((sigma * normal) - (sigma * sigma / 2));
};

/** Announcements of all upstreams of the site. */
export const createUpstreams = (site: Site): UpstreamAnnouncement[] => Array.from({length: site.upstreamCount}, (_, index) => ({
	upstreamId: `${site.service}-${index}`,
	service: site.service,
	incarnation: 1,
	sequence: 1,
	state: HostState.Alive,
	address: `127.0.0.1:${9000 + index}`,
	region: site.name,
	failureDomain: site.failureDomains[index % site.failureDomains.length]!,
	slots: site.slots,
	connections: 64,
	isGuarded: false,
}));

/** Slots of the upstream that the entry may use: divided evenly, with the remainder assigned in turn. */
export const getSlotShare = ({slots, entryCount}: Site, upstreamIndex: number, entryIndex: number): number => {
	const isExtra = (entryIndex + upstreamIndex) % entryCount < slots % entryCount;
	return Math.floor(slots / entryCount) + (isExtra ? 1 : 0);
};
