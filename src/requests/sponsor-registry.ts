/**
Sponsorships: which upstreams let this entry grant their slots, and until when this entry may rely on it.

The upstream ensures that it has one sponsor at a time. Each reply to an announcement carries a term; the upstream echoes
the last term that it received, and accepts another sponsor only after the lock time has passed on its own clock since it
received that reply. An echoed term thus proves that the upstream has no other sponsor until (send time of the reply +
lock time). The proof holds whatever the delays: it counts from the sending at this entry, which precedes the receipt.
*/
import {type AnnouncementReply, type UpstreamAnnouncement} from '../types/announcements.ts';
import {type Clock} from '../types/clock.ts';

/** One sponsorship of this entry. */
export type Sponsorship = {
	incarnation: number;
	/** Term at which it began; a different epoch means that another sponsor may have granted slots in between. */
	epoch: number;
	startedAtMs: number;
	validUntilMs: number;
	/** No entry has granted slots of this incarnation before. */
	isFirst: boolean;
	formerSponsorId?: string;
	slots: number;
};

type Term = {
	term: number;
	epoch: number;
	sentAtMs: number;
	lockMs: number;
};

type Sponsored = {
	incarnation: number;
	terms: Term[];
	sponsorship?: Sponsorship;
	lastAnnouncedAtMs: number;
};

/** Fraction of the lock time that is relied on: clocks of two hosts may run at slightly different rates. */
const trustedFraction = 0.9;
const maxTerms = 16;

/** Gets the sponsor id of one incarnation of an entry. A restarted entry is another sponsor. */
export const getSponsorId = (processId: string, incarnation: number): string => `${processId}#${incarnation}`;

/** Gets the process id of the entry from a sponsor id. */
export const getSponsorProcess = (sponsorId: string): string => sponsorId.slice(0, sponsorId.lastIndexOf('#'));

/** Sponsorships of one entry. */
export class SponsorRegistry {
	readonly ownId: string;
	readonly #clock: Clock;
	readonly #sponsored = new Map<string, Sponsored>();
	#lastTerm: number;

	constructor(clock: Clock, ownId: string) {
		this.#clock = clock;
		this.ownId = ownId;
		this.#lastTerm = 0;
	}

	/** Handles an announcement that names this entry as sponsor, or none; returns the fields of the reply. */
	handleAnnouncement(announcement: UpstreamAnnouncement, lockMs: number): Pick<AnnouncementReply, 'sponsorId' | 'sponsorTerm' | 'sponsorLockMs'> {
		const sponsored = this.#get(announcement);
		sponsored.lastAnnouncedAtMs = this.#clock.monotonicMs();
		if (announcement.incarnation < sponsored.incarnation) {
			return {};
		}

		if (announcement.sponsorId !== this.ownId) {
			const term = this.#issue(sponsored, lockMs);
			return {sponsorId: this.ownId, sponsorTerm: term, sponsorLockMs: lockMs};
		}

		const echoed = sponsored.terms.find(({term}) => term === announcement.sponsorTerm);
		if (!echoed) {
			// The term is no longer remembered: no new term is issued, so the upstream's lock expires.
			return {sponsorId: this.ownId, sponsorTerm: announcement.sponsorTerm, sponsorLockMs: lockMs};
		}

		this.#extend(sponsored, echoed, announcement);
		const term = this.#issue(sponsored, lockMs, echoed.epoch);
		return {sponsorId: this.ownId, sponsorTerm: term, sponsorLockMs: lockMs};
	}

	/** Gets the sponsorship of the upstream while it is valid. */
	get(upstreamId: string): Sponsorship | undefined {
		const sponsorship = this.#sponsored.get(upstreamId)?.sponsorship;
		return sponsorship && sponsorship.validUntilMs > this.#clock.monotonicMs() ? sponsorship : undefined;
	}

	/** Ends all sponsorships, so that other entries can become sponsors without waiting. */
	resign(): void {
		this.#sponsored.clear();
	}

	/** Forgets upstreams that have not announced themselves here for `ageMs`. */
	forgetOlderThan(ageMs: number): void {
		const oldestMs = this.#clock.monotonicMs() - ageMs;
		for (const [upstreamId, {lastAnnouncedAtMs}] of this.#sponsored) {
			if (lastAnnouncedAtMs < oldestMs) {
				this.#sponsored.delete(upstreamId);
			}
		}
	}

	#extend(sponsored: Sponsored, echoed: Term, announcement: UpstreamAnnouncement): void {
		const validUntilMs = echoed.sentAtMs + (echoed.lockMs * trustedFraction);
		const known = sponsored.sponsorship;
		if (known?.epoch === echoed.epoch) {
			known.validUntilMs = Math.max(known.validUntilMs, validUntilMs);
			return;
		}

		// A delayed duplicate can echo a term of an earlier epoch; it must not end the current sponsorship.
		if (known && known.epoch > echoed.epoch) {
			return;
		}

		sponsored.sponsorship = {
			incarnation: announcement.incarnation,
			epoch: echoed.epoch,
			startedAtMs: this.#clock.monotonicMs(),
			validUntilMs,
			isFirst: announcement.formerSponsorId === undefined,
			formerSponsorId: announcement.formerSponsorId,
			slots: announcement.slots,
		};
	}

	#issue(sponsored: Sponsored, lockMs: number, epoch?: number): number {
		const term = ++this.#lastTerm;
		sponsored.terms.push({
			term, epoch: epoch ?? term, sentAtMs: this.#clock.monotonicMs(), lockMs,
		});
		if (sponsored.terms.length > maxTerms) {
			sponsored.terms.shift();
		}

		return term;
	}

	#get({upstreamId, incarnation}: UpstreamAnnouncement): Sponsored {
		let sponsored = this.#sponsored.get(upstreamId);
		if (!sponsored || sponsored.incarnation < incarnation) {
			sponsored = {incarnation, terms: [], lastAnnouncedAtMs: 0};
			this.#sponsored.set(upstreamId, sponsored);
		}

		return sponsored;
	}
}
