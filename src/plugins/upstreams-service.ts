/**
Receives the announcements of upstreams and lists those that may get new requests.
*/
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type Kernel} from '../core/kernel.ts';
import {HostKind, parseUpstreamAnnouncement} from '../requests/membership-messages.ts';
import {getSponsorProcess, SponsorRegistry} from '../requests/sponsor-registry.ts';
import {HostState, type AnnouncementReply, type UpstreamAnnouncement} from '../types/announcements.ts';
import {Metric} from '../types/metrics.ts';
import {ServiceName, type UpstreamRegistry} from '../types/services.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';

const log = createLogger(LogNamespace.Membership);
/** Time until an upstream without a confirmed sponsor announces itself again; short, since it gets no requests before. */
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
	const sponsors = new SponsorRegistry(clock, membership.ownId);
	const aborter = new AbortController();
	let cleaning: Promise<void> | undefined;
	let isLeaving = false;
	let grouped: {upstreams: UpstreamAnnouncement[]; byService: Map<string, UpstreamAnnouncement[]>} = {upstreams: [], byService: new Map()};

	const acceptHere = (announcement: UpstreamAnnouncement, isMonitoredHere: boolean): AnnouncementReply => {
		const reply = membership.receiveAnnouncement(HostKind.Upstream, announcement.upstreamId, announcement, isMonitoredHere);
		if (!reply.isAccepted || announcement.isGuarded || announcement.sponsorTerm === undefined) {
			return reply;
		}

		const {sponsorId, sponsorTerm} = announcement;
		const isConfirmedSponsor = sponsorId === membership.ownId;
		if (sponsorId && !isConfirmedSponsor) {
			// The sponsor is a previous incarnation of this entry; that sponsorship ends only when the upstream's own lock expires.
			return {...reply, sponsorId, sponsorTerm};
		}

		if (isLeaving) {
			return {...reply, isSponsorLeaving: isConfirmedSponsor, nextAfterMs: handshakeMs};
		}

		const lockMs = Math.max(sponsorLockMs, reply.nextAfterMs * 3);
		return {...reply, ...sponsors.handleAnnouncement(announcement, lockMs), nextAfterMs: isConfirmedSponsor ? reply.nextAfterMs : handshakeMs};
	};

	const receive = async (announcement: UpstreamAnnouncement): Promise<AnnouncementReply> => {
		const {sponsorId, sponsorTerm} = announcement;
		const hasOtherSponsor = sponsorTerm !== undefined && !announcement.isGuarded && sponsorId && sponsorId !== membership.ownId;
		if (isLeaving && sponsorTerm !== undefined && !sponsorId) {
			throw createError(ErrorCode.Refused, {step: 'accept announcement', peer: announcement.upstreamId, detail: 'this entry is shutting down'});
		}

		if (!hasOtherSponsor) {
			return acceptHere(announcement, Boolean(sponsorId));
		}

		try {
			if (isPeerAlive(sponsorId)) {
				return await membership.forward(getSponsorProcess(sponsorId), announcement);
			}
		} catch (error) {
			log('Sponsor %s did not answer: %s', sponsorId, getMessage(error));
		}

		// The upstream stays locked to its sponsor until the lock expires by its own clock; no other entry may grant slots before.
		metrics.count(Metric.SponsorUnreachable);
		const reply = membership.receiveAnnouncement(HostKind.Upstream, announcement.upstreamId, announcement);
		return {...reply, sponsorId, sponsorTerm};
	};

	const isPeerAlive = (sponsorId: string) => peers.list().some(peer => peer.isAlive && `${peer.processId}#${peer.incarnation}` === sponsorId);

	const getByService = (serviceName: string): UpstreamAnnouncement[] => {
		const alive = membership.getAlive(HostKind.Upstream) as UpstreamAnnouncement[];
		if (alive !== grouped.upstreams) {
			grouped = {upstreams: alive, byService: groupByService(alive)};
		}

		return grouped.byService.get(serviceName) ?? [];
	};

	const cleanUp = async () => {
		while (!aborter.signal.aborted) {
			await clock.sleep(forgetAfterMs, aborter.signal);
			sponsors.forgetOlderThan(forgetAfterMs);
		}
	};

	membership.onForward(announcement => acceptHere(announcement, true));

	const registry: UpstreamRegistry = {
		announce: announcement => acceptHere(announcement, false),
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
			cleaning = cleanUp();
		},
		async stop() {
			aborter.abort();
			await cleaning;
		},
	};

	control.route('POST', '/v1/announcements/upstreams', async ({body}) => ({body: await receive(parseUpstreamAnnouncement(body))}));
	/** Marks an upstream as draining. Draining overrides alive within an incarnation, so its own announcements do not undo it. */
	const drain = (upstreamId: string): AnnouncementReply => {
		const known = registry.get(upstreamId);
		if (!known) {
			throw createError(ErrorCode.NotFound, {step: 'drain upstream', peer: upstreamId});
		}

		if (known.state !== HostState.Alive) {
			return {isAccepted: false, reason: `it is ${known.state}`, nextAfterMs: 0};
		}

		return membership.receiveAnnouncement(HostKind.Upstream, upstreamId, {...known, state: HostState.Draining, sequence: known.sequence + 1});
	};

	control.route('POST', '/v1/upstreams/:id/drain', ({params}) => ({body: drain(params.id ?? '')}));
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
