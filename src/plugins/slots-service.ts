/**
Slots of upstreams at this entry: reserves and releases them, requests shares from sponsors, and grants shares of the upstreams
that this entry sponsors.
*/
import {getMessage} from '../core/errors.ts';
import {type Kernel} from '../core/kernel.ts';
import {SlotClient, type RequestedShare} from '../requests/slot-client.ts';
import {parseSlotAnswer, parseSlotMessage} from '../requests/slot-messages.ts';
import {divideByDemand, getWaitingPart, type DivideSlots} from '../requests/slot-policy.ts';
import {SlotMode, SlotShare} from '../requests/slot-share.ts';
import {SlotSponsor} from '../requests/slot-sponsor.ts';
import {getSponsorId} from '../requests/sponsor-registry.ts';
import {HostState, type UpstreamAnnouncement} from '../types/announcements.ts';
import {Metric} from '../types/metrics.ts';
import {PeerMethod, ServiceName, type SlotsService} from '../types/services.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';

const log = createLogger(LogNamespace.Slots);
const forgetAfterFactor = 10;

enum SlotRefusal {
	NoShare = 'no-share',
	UnknownUpstream = 'unknown-upstream',
	HoldTooLong = 'hold-too-long',
}

/** Creates the slots service with a policy by which sponsors divide slots. */
export const createSlotsService = (kernel: Kernel, divide: DivideSlots = divideByDemand): SlotsService => {
	const {periodMs, leaseMs, maxHoldMs, entryCount} = kernel.get(ServiceName.Settings).slots;
	const {announceEveryMs} = kernel.get(ServiceName.Settings).membership;
	const clock = kernel.get(ServiceName.Clock);
	const random = kernel.get(ServiceName.Random);
	const metrics = kernel.get(ServiceName.Metrics);
	const upstreams = kernel.get(ServiceName.Upstreams);
	const peers = kernel.get(ServiceName.Peers);
	const control = kernel.get(ServiceName.Control);
	const {ownId} = kernel.get(ServiceName.Membership);
	const shares = new Map<string, SlotShare>();
	const wanted = new Map<string, number>();
	const demand = new Map<string, number>();
	const callbacks: Array<() => void> = [];
	const tasks = new Map<string, Promise<void>>();
	/** Upstream incarnations whose next sponsor has received the grants that this entry made. */
	const handedOver = new Set<string>();
	const aborter = new AbortController();
	const {signal} = aborter;
	let isLeaving = false;
	let running: Promise<void> | undefined;
	const sponsor = new SlotSponsor({
		clock, ownId, leaseMs, maxHoldMs, divide, getSponsorship: upstreams.getSponsorship,
	});

	const notifyFree = () => {
		for (const callback of callbacks) {
			callback();
		}
	};

	const getShare = (upstream: UpstreamAnnouncement): SlotShare => {
		const known = shares.get(upstream.upstreamId);
		if (known && known.incarnation >= upstream.incarnation) {
			known.setSponsor(upstream.sponsorId ?? '');
			return known;
		}

		const share = new SlotShare(clock, {...upstream, mode: getMode(upstream)});
		if (share.mode !== SlotMode.Sponsored) {
			share.share = share.mode === SlotMode.Guarded ? share.slots : Math.floor(share.slots / entryCount);
			share.leaseEndMs = Number.POSITIVE_INFINITY;
		}

		share.setSponsor(upstream.sponsorId ?? '');
		shares.set(upstream.upstreamId, share);
		return share;
	};

	const findShare = (upstreamId: string): SlotShare | undefined => {
		const upstream = upstreams.get(upstreamId);
		const known = shares.get(upstreamId);
		// A share of the previous incarnation does not apply to the one that would get the request.
		return upstream && known?.incarnation !== upstream.incarnation ? getShare(upstream) : known;
	};

	/** Updates the shares from the known upstreams, and grants this entry its part of those that it sponsors. */
	const reconcile = () => {
		const known = upstreams.list().filter(({state}) => state !== HostState.Gone);
		const perService = new Map<string, number>();
		for (const {service} of known) {
			perService.set(service, (perService.get(service) ?? 0) + 1);
		}

		const indexes = new Map<string, number>();
		const rotation = random.below(65_536);
		let hasGrown = false;
		for (const upstream of known) {
			const {upstreamId, service} = upstream;
			const share = getShare(upstream);
			const waiting = demand.get(service) ?? 0;
			const index = indexes.get(service) ?? 0;
			indexes.set(service, index + 1);
			const count = perService.get(service)!;
			wanted.set(upstreamId, share.measureWanted(getWaitingPart(waiting, (index + rotation) % count, count), waiting > 0, (index + 0.5) / count));
			hasGrown ||= grantOwn(upstreamId, share);
		}

		removeUnknown(new Set(known.map(({upstreamId}) => upstreamId)));
		if (hasGrown) {
			notifyFree();
		}
	};

	const grantOwn = (upstreamId: string, share: SlotShare): boolean => {
		if (share.mode !== SlotMode.Sponsored || share.sponsorId !== ownId) {
			return false;
		}

		const wasFree = share.free;
		const granted = sponsor.grantOwn(upstreamId, share.incarnation, {
			share: share.share, limit: share.getLimit(), wanted: wanted.get(upstreamId) ?? 0,
		});
		if (granted === undefined) {
			return false;
		}

		share.share = granted;
		share.leaseEndMs = clock.monotonicMs() + leaseMs;
		return share.free > wasFree;
	};

	const removeUnknown = (known: Set<string>) => {
		for (const upstreamId of shares.keys()) {
			if (!known.has(upstreamId)) {
				shares.delete(upstreamId);
				wanted.delete(upstreamId);
			}
		}

		sponsor.forget(upstreamId => known.has(upstreamId), (leaseMs + maxHoldMs) * forgetAfterFactor);
	};

	const getRequestedShares = (sponsorId: string): RequestedShare[] => {
		const requested: RequestedShare[] = [];
		for (const [upstreamId, share] of shares) {
			if (share.mode === SlotMode.Sponsored && share.sponsorId === sponsorId) {
				const isFormer = upstreams.get(upstreamId)?.formerSponsorId === ownId;
				requested.push({
					upstreamId,
					share,
					wanted: wanted.get(upstreamId) ?? 0,
					grants: isFormer ? sponsor.getGrants(upstreamId, share.incarnation) : undefined,
				});
			}
		}

		return requested;
	};

	/** Sends one request; true if a share shrank and the released slots must be reported at once, since others wait for them. */
	const requestShares = async (peerId: string, sponsorId: string, client: SlotClient): Promise<boolean> => {
		const composed = client.compose(getRequestedShares(sponsorId), clock.monotonicMs(), isLeaving);
		if (!composed) {
			return false;
		}

		const answer = parseSlotAnswer(await peers.call(peerId, PeerMethod.Slots, composed.message));
		for (const {upstreamId, incarnation, grants} of answer.isResync ? [] : composed.message.items) {
			if (grants && !answer.lapsed.includes(upstreamId)) {
				handedOver.add(getHandoverKey(upstreamId, incarnation));
			}
		}

		const {hasGrown, hasShrunk} = client.apply(composed, answer, leaseMs);
		if (hasGrown) {
			notifyFree();
		}

		return hasShrunk;
	};

	const requestFromPeer = async (peerId: string) => {
		let client: SlotClient | undefined;
		let clientSponsorId = '';
		while (!signal.aborted) {
			const peer = peers.list().find(({processId}) => processId === peerId);
			if (!peer) {
				break;
			}

			const sponsorId = getSponsorId(peerId, peer.incarnation);
			if (!client || clientSponsorId !== sponsorId) {
				client = new SlotClient(ownId, sponsorId);
				clientSponsorId = sponsorId;
			}

			try {
				if (peer.isAlive && await requestShares(peerId, sponsorId, client)) {
					await requestShares(peerId, sponsorId, client);
				}
			} catch (error) {
				log('Slot request to %s failed: %s', peerId, getMessage(error));
			}

			await clock.sleep(periodMs * (0.75 + (random.next() / 2)), signal);
		}

		tasks.delete(peerId);
	};

	const run = async () => {
		while (!signal.aborted) {
			for (const {processId} of peers.list()) {
				if (!tasks.has(processId)) {
					tasks.set(processId, requestFromPeer(processId));
				}
			}

			reconcile();
			const {sponsored, heldBack} = sponsor.getTotals();
			metrics.gauge(Metric.SlotsSponsored, sponsored);
			metrics.gauge(Metric.SlotsHeldBack, heldBack);
			await clock.sleep(periodMs, signal);
		}
	};

	const getRefusal = (share: SlotShare | undefined, holdMs: number): SlotRefusal => {
		if (!share) {
			return SlotRefusal.UnknownUpstream;
		}

		return holdMs > maxHoldMs ? SlotRefusal.HoldTooLong : SlotRefusal.NoShare;
	};

	/** Whether an upstream still names this entry as its sponsor, or its next sponsor has not received this entry's grants. */
	const isHandingOver = () => upstreams.list().some(({upstreamId, incarnation, sponsorId, formerSponsorId, state}) => state === HostState.Alive
		&& (sponsorId === ownId || (formerSponsorId === ownId && !handedOver.has(getHandoverKey(upstreamId, incarnation)) && sponsor.getGrants(upstreamId, incarnation) !== undefined)));

	peers.handle(PeerMethod.Slots, body => sponsor.answer(parseSlotMessage(body)));
	control.addStatus('slots', () => ({
		...sponsor.getTotals(),
		shares: Object.fromEntries([...shares].map(([upstreamId, {share, held, free, mode}]) => [upstreamId, {
			share, held, free, mode,
		}])),
	}));

	return {
		tryTake(upstreamId, holdMs) {
			const share = findShare(upstreamId);
			// The sponsor relies on this bound when it grants the slots of an unresponsive entry to others.
			const hold = holdMs > maxHoldMs ? undefined : share?.tryTake(holdMs, notifyFree);
			if (!hold) {
				metrics.count(Metric.SlotRefusals, getRefusal(share, holdMs));
			}

			return hold;
		},
		getFree: upstreamId => findShare(upstreamId)?.free ?? 0,
		getConnections(upstreamId) {
			const share = findShare(upstreamId);
			return share ? Math.floor(share.connections * share.share / share.slots) : 0;
		},
		setDemand(serviceName, waiting) {
			demand.set(serviceName, waiting);
		},
		onFree(callback) {
			callbacks.push(callback);
		},
		async start() {
			running = run();
		},
		async stop() {
			isLeaving = true;
			for (const share of shares.values()) {
				share.share = 0;
			}

			upstreams.resignSponsorships();
			// Long enough for the upstreams to name another sponsor and for it to receive the grants of this entry. Without them
			// it would hold back the granted slots until their leases and holds had expired.
			const endMs = clock.monotonicMs() + (2 * announceEveryMs) + (4 * periodMs);
			while (isHandingOver() && peers.list().some(({isAlive}) => isAlive) && clock.monotonicMs() < endMs) {
				await clock.sleep(periodMs);
			}

			aborter.abort();
			await Promise.all([running, ...tasks.values()]);
		},
	};
};

const getHandoverKey = (upstreamId: string, incarnation: number): string => `${upstreamId}@${incarnation}`;

const getMode = ({isGuarded, sponsorTerm}: UpstreamAnnouncement): SlotMode => {
	if (isGuarded) {
		return SlotMode.Guarded;
	}

	return sponsorTerm === undefined ? SlotMode.Static : SlotMode.Sponsored;
};
