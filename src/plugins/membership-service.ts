/**
Shares the state of hosts among the entries: one task per peer pulls the changes of the hosts that the peer monitors.
*/
import {z} from 'zod';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type Kernel, type Service} from '../core/kernel.ts';
import {AnnouncementOutcome} from '../requests/announcement-registry.ts';
import {FlapDamper} from '../requests/flap-damper.ts';
import {AnnouncementBudget} from '../requests/membership-budget.ts';
import {
	getHostKey, HostKind, parsePull, parsePullAnswer, parseUpstreamAnnouncement, type HostAnnouncement,
} from '../requests/membership-messages.ts';
import {MembershipState} from '../requests/membership-state.ts';
import {getSponsorId} from '../requests/sponsor-registry.ts';
import {type AnnouncementReply, type UpstreamAnnouncement} from '../types/announcements.ts';
import {Metric} from '../types/metrics.ts';
import {PeerMethod, ServiceName} from '../types/services.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';
import {createParser} from '../utils/parser.ts';

const log = createLogger(LogNamespace.Membership);

enum RelayKind {
	Pull = 'pull',
	Forward = 'forward',
}

const parseRelay = createParser('read relay', z.object({kind: z.enum(RelayKind), content: z.unknown()}));
const leaseFactor = 3;

/** Handles an announcement that another entry forwarded to this one, the sponsor. */
export type ForwardHandler = (announcement: UpstreamAnnouncement) => AnnouncementReply;

/** Hosts known to the entries. */
export type MembershipService = Service & {
	/** Id of this incarnation of the entry, as a sponsor and as the owner of its set of monitored hosts. */
	readonly ownId: string;
	/** Applies an announcement of a host. `isMonitoredHere`: this entry monitors the host even if another one does too. */
	receiveAnnouncement(kind: HostKind, id: string, announcement: HostAnnouncement, isMonitoredHere?: boolean): AnnouncementReply;
	getAlive(kind: HostKind): HostAnnouncement[];
	get(kind: HostKind, id: string): HostAnnouncement | undefined;
	list(kind: HostKind): HostAnnouncement[];
	/** Forwards an announcement to its sponsor and resolves to the sponsor's reply. */
	forward(peerId: string, announcement: UpstreamAnnouncement): Promise<AnnouncementReply>;
	onForward(handler: ForwardHandler): void;
};

/** Creates the membership service. */
export const createMembershipService = (kernel: Kernel): MembershipService => {
	const settings = kernel.get(ServiceName.Settings).membership;
	const clock = kernel.get(ServiceName.Clock);
	const random = kernel.get(ServiceName.Random);
	const metrics = kernel.get(ServiceName.Metrics);
	const peers = kernel.get(ServiceName.Peers);
	const control = kernel.get(ServiceName.Control);
	const {processId, incarnation} = kernel.get(ServiceName.Identity);
	const ownId = getSponsorId(processId, incarnation);
	const damper = new FlapDamper(clock, {holdAt: settings.flapHoldAt, releaseAt: settings.flapReleaseAt, halfLifeMs: settings.flapHalfLifeMs});
	const state = new MembershipState(clock, ownId, {...settings, getSpread: createIdHash(random.below(65_536))}, damper);
	const budget = new AnnouncementBudget(clock, settings.announceEveryMs, settings.announcementsPerSecond);
	const aborter = new AbortController();
	const {signal} = aborter;
	const tasks = new Map<string, Promise<void>>();
	const repliedPeers = new Set<string>();
	const startedAtMs = clock.monotonicMs();
	let running: Promise<void> | undefined;
	let forwardHandler: ForwardHandler | undefined;

	const pull = async (peerId: string, ownerId: string) => {
		const request = state.createPull(ownerId);
		const sentAtMs = clock.monotonicMs();
		try {
			const answer = await peers.call(peerId, PeerMethod.Announcements, {kind: RelayKind.Pull, content: request});
			state.applyAnswer(parsePullAnswer(answer), sentAtMs);
			repliedPeers.add(peerId);
		} catch (error) {
			state.handleFailure(request);
			log('Changes of hosts not pulled from %s: %s', peerId, getMessage(error));
		}
	};

	const pullFromPeer = async (peerId: string) => {
		while (!signal.aborted) {
			const peer = peers.list().find(({processId: id}) => id === peerId);
			if (!peer) {
				break;
			}

			if (peer.isAlive) {
				await pull(peerId, getSponsorId(peerId, peer.incarnation));
			}

			await clock.sleep(settings.relayEveryMs * (0.75 + (random.next() / 2)), signal);
		}

		tasks.delete(peerId);
	};

	const run = async () => {
		let lastMs = clock.monotonicMs();
		while (!signal.aborted) {
			for (const {processId: peerId} of peers.list()) {
				if (!tasks.has(peerId)) {
					tasks.set(peerId, pullFromPeer(peerId));
				}
			}

			await clock.sleep(settings.relayEveryMs, signal);
			const nowMs = clock.monotonicMs();
			state.expire(nowMs - lastMs > settings.leaseMs / 2);
			lastMs = nowMs;
			setGauges();
		}
	};

	const setGauges = () => {
		metrics.gauge(Metric.UpstreamsAlive, state.getAlive(HostKind.Upstream).length);
		metrics.gauge(Metric.WorkersAlive, state.getAlive(HostKind.Worker).length);
		metrics.gauge(Metric.HostsMonitored, state.monitoredCount);
		metrics.gauge(Metric.HostsHeldDown, damper.countHeldDown());
	};

	peers.handle(PeerMethod.Announcements, body => {
		const {kind, content} = parseRelay(body);
		if (kind === RelayKind.Pull) {
			return state.servePull(parsePull(content));
		}

		if (!forwardHandler) {
			throw createError(ErrorCode.Refused, {step: 'accept forwarded announcement', detail: 'no handler is registered yet'});
		}

		return forwardHandler(parseUpstreamAnnouncement(content));
	});
	// An entry that has just started knows no hosts and would refuse callers for lack of upstreams that all others know.
	control.addReadiness('membership', () => clock.monotonicMs() - startedAtMs >= settings.announceEveryMs
		&& peers.list().every(({processId: peerId, isAlive}) => !isAlive || repliedPeers.has(peerId)));
	control.addStatus('membership', () => ({ownId, hostsInCare: state.monitoredCount, heldDown: damper.countHeldDown()}));

	return {
		ownId,
		receiveAnnouncement(kind, id, announcement, isMonitoredHere = false) {
			const nextAfterMs = budget.recordAnnouncement(state.monitoredCount);
			if (nextAfterMs > settings.announceEveryMs) {
				metrics.count(Metric.AnnouncementsSlowed);
			}

			// The lease must not expire because the host was asked to announce itself less often.
			const leaseMs = Math.max(settings.leaseMs, nextAfterMs * leaseFactor);
			const outcome = state.receiveAnnouncement(getHostKey(kind, id), announcement, leaseMs, isMonitoredHere);
			metrics.count(Metric.Announcements, outcome);
			return outcome === AnnouncementOutcome.Stale
				? {isAccepted: false, reason: 'a newer announcement is known', nextAfterMs}
				: {isAccepted: true, nextAfterMs};
		},
		getAlive: kind => state.getAlive(kind),
		get: (kind, id) => state.get(getHostKey(kind, id)),
		list: kind => state.list(kind),
		forward: async (peerId, announcement) =>
			peers.call(peerId, PeerMethod.Announcements, {kind: RelayKind.Forward, content: announcement}) as Promise<AnnouncementReply>,
		onForward(handler) {
			forwardHandler = handler;
		},
		async start() {
			running = run();
		},
		async stop() {
			aborter.abort();
			await Promise.all([running, ...tasks.values()]);
		},
	};
};

/** Creates a hash that maps ids evenly to [0, 1); the salt makes it differ between processes. */
const createIdHash = (salt: number) => (id: string): number => {
	let hash = salt;
	for (let index = 0; index < id.length; index++) {
		hash = Math.imul(hash ^ id.codePointAt(index)!, 16_777_619);
	}

	return (hash >>> 0) / (2 ** 32);
};
