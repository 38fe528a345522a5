/**
Takes the announcements of upstreams and tells which may get new requests.
*/
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type Kernel} from '../core/kernel.ts';
import {HostKind, parseUpstreamAnnouncement} from '../requests/membership-messages.ts';
import {getSponsorProcess, SponsorBook} from '../requests/sponsor-book.ts';
import {type AnnouncementReply, type UpstreamAnnouncement} from '../types/announcements.ts';
import {Metric} from '../types/metrics.ts';
import {ServiceName, type UpstreamRegistry} from '../types/services.ts';
import {createLogger, Part} from '../utils/logger.ts';

const log = createLogger(Part.Membership);
/** Until it is settled which entry grants its slots, an upstream gets no requests: it announces again soon. */
const handshakeMs = 50;

/** Creates the registry of upstreams. */
export const createUpstreamsService = (kernel: Kernel): UpstreamRegistry => {
	const {forgetAfterMs} = kernel.get(ServiceName.Settings).membership;
	const {sponsorLockMs} = kernel.get(ServiceName.Settings).slots;
	const clock = kernel.get(ServiceName.Clock);
	const membership = kernel.get(ServiceName.Membership);
	const peers = kernel.get(ServiceName.Peers);
	const control = kernel.get(ServiceName.Control);
	const metrics = kernel.get(ServiceName.Metrics);
	const sponsors = new SponsorBook(clock, membership.ownId);
	const aborter = new AbortController();
	let forgetting: Promise<void> | undefined;
	let isLeaving = false;
	let grouped: {of: UpstreamAnnouncement[]; byService: Map<string, UpstreamAnnouncement[]>} = {of: [], byService: new Map()};

	const takeOwn = (announcement: UpstreamAnnouncement, isOurs: boolean): AnnouncementReply => {
		const reply = membership.hear(HostKind.Upstream, announcement.upstreamId, announcement, isOurs);
		if (!reply.isAccepted || announcement.isGuarded || announcement.sponsorTerm === undefined) {
			return reply;
		}

		const {sponsorId, sponsorTerm} = announcement;
		const isSettled = sponsorId === membership.ownId;
		if (sponsorId && !isSettled) {
			// Meant for a former incarnation of this entry: only the upstream's own lock ends that sponsorship.
			return {...reply, sponsorId, sponsorTerm};
		}

		if (isLeaving) {
			return {...reply, isSponsorLeaving: isSettled, nextAfterMs: handshakeMs};
		}

		const lockMs = Math.max(sponsorLockMs, reply.nextAfterMs * 3);
		return {...reply, ...sponsors.note(announcement, lockMs), nextAfterMs: isSettled ? reply.nextAfterMs : handshakeMs};
	};

	const receive = async (announcement: UpstreamAnnouncement): Promise<AnnouncementReply> => {
		const {sponsorId, sponsorTerm} = announcement;
		const hasOtherSponsor = sponsorTerm !== undefined && !announcement.isGuarded && sponsorId && sponsorId !== membership.ownId;
		if (isLeaving && sponsorTerm !== undefined && !sponsorId) {
			throw createError(ErrorCode.Refused, {step: 'take announcement', peer: announcement.upstreamId, detail: 'this entry is leaving'});
		}

		if (!hasOtherSponsor) {
			return takeOwn(announcement, Boolean(sponsorId));
		}

		try {
			if (isPeerAlive(sponsorId)) {
				return await membership.forward(getSponsorProcess(sponsorId), announcement);
			}
		} catch (error) {
			log('Sponsor %s does not answer: %s', sponsorId, getMessage(error));
		}

		// The upstream stays locked to its sponsor until its own clock says otherwise; nobody else may grant before.
		metrics.count(Metric.SponsorUnreachable);
		const reply = membership.hear(HostKind.Upstream, announcement.upstreamId, announcement);
		return {...reply, sponsorId, sponsorTerm};
	};

	const isPeerAlive = (sponsorId: string) => peers.list().some(peer => peer.isAlive && `${peer.processId}#${peer.incarnation}` === sponsorId);

	const getByService = (serviceName: string): UpstreamAnnouncement[] => {
		const alive = membership.getAlive(HostKind.Upstream) as UpstreamAnnouncement[];
		if (alive !== grouped.of) {
			grouped = {of: alive, byService: groupByService(alive)};
		}

		return grouped.byService.get(serviceName) ?? [];
	};

	const forget = async () => {
		while (!aborter.signal.aborted) {
			await clock.sleep(forgetAfterMs, aborter.signal);
			sponsors.forgetOlderThan(forgetAfterMs);
		}
	};

	membership.onForward(announcement => takeOwn(announcement, true));

	const registry: UpstreamRegistry = {
		announce: announcement => takeOwn(announcement, false),
		receive,
		getRoutable: getByService,
		list: () => membership.list(HostKind.Upstream) as UpstreamAnnouncement[],
		getSponsorship: upstreamId => sponsors.get(upstreamId),
		get: upstreamId => membership.get(HostKind.Upstream, upstreamId) as UpstreamAnnouncement | undefined,
		resignSponsorships() {
			isLeaving = true;
			sponsors.resign();
		},
		async start() {
			forgetting = forget();
		},
		async stop() {
			aborter.abort();
			await forgetting;
		},
	};

	control.route('POST', '/v1/announcements/upstreams', async ({body}) => ({body: await receive(parseUpstreamAnnouncement(body))}));
	control.route('GET', '/v1/upstreams', () => ({body: {upstreams: registry.list()}}));
	return registry;
};

const groupByService = (upstreams: UpstreamAnnouncement[]): Map<string, UpstreamAnnouncement[]> => {
	const byService = new Map<string, UpstreamAnnouncement[]>();
	for (const upstream of upstreams) {
		const list = byService.get(upstream.service) ?? [];
		list.push(upstream);
		byService.set(upstream.service, list);
	}

	return byService;
};
