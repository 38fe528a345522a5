/**
Sponsorships: which upstreams let this entry grant their slots, and until when it may believe so.

The upstream serialises who grants. Each reply carries a term; the upstream echoes the last term it got, and takes
another sponsor only when, by its own clock, the lock time has passed since it got that reply. An echo of a term thus
proves that until (the reply was sent + lock time) the upstream has no other sponsor. The proof outlives any delay:
it counts from the entry's own sending, before the upstream's own counting begins.
*/
import {type AnnouncementReply, type UpstreamAnnouncement} from '../types/announcements.ts';
import {type Clock} from '../types/clock.ts';

/** One sponsorship of this entry. */
export type Sponsorship = {
	incarnation: number;
	/** Term at which it began; another epoch means that another sponsor may have granted in between. */
	epoch: number;
	startedAtMs: number;
	believedUntilMs: number;
	/** No entry granted slots of this incarnation before. */
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
	noticedAtMs: number;
};

/** Part of the lock time that is trusted: clocks of two hosts may run at slightly different rates. */
const trustedShare = 0.9;
const keptTerms = 16;

/** Gets the sponsor id of one incarnation of an entry. A restarted entry is another sponsor. */
export const getSponsorId = (processId: string, incarnation: number): string => `${processId}#${incarnation}`;

/** Gets the entry that a sponsor id names. */
export const getSponsorProcess = (sponsorId: string): string => sponsorId.slice(0, sponsorId.lastIndexOf('#'));

/** Sponsorships of one entry. */
export class SponsorBook {
	readonly ownId: string;
	readonly #clock: Clock;
	readonly #sponsored = new Map<string, Sponsored>();
	#lastTerm: number;

	constructor(clock: Clock, ownId: string) {
		this.#clock = clock;
		this.ownId = ownId;
		this.#lastTerm = 0;
	}

	/** Takes an announcement that names this entry as sponsor, or none; tells what to reply. */
	note(announcement: UpstreamAnnouncement, lockMs: number): Pick<AnnouncementReply, 'sponsorId' | 'sponsorTerm' | 'sponsorLockMs'> {
		const sponsored = this.#get(announcement);
		sponsored.noticedAtMs = this.#clock.monotonicMs();
		if (announcement.incarnation < sponsored.incarnation) {
			return {};
		}

		if (announcement.sponsorId !== this.ownId) {
			const term = this.#issue(sponsored, lockMs);
			return {sponsorId: this.ownId, sponsorTerm: term, sponsorLockMs: lockMs};
		}

		const echoed = sponsored.terms.find(({term}) => term === announcement.sponsorTerm);
		if (!echoed) {
			// Not a term that is still remembered: nothing new is promised, and the upstream's lock runs out.
			return {sponsorId: this.ownId, sponsorTerm: announcement.sponsorTerm, sponsorLockMs: lockMs};
		}

		this.#believe(sponsored, echoed, announcement);
		const term = this.#issue(sponsored, lockMs, echoed.epoch);
		return {sponsorId: this.ownId, sponsorTerm: term, sponsorLockMs: lockMs};
	}

	/** Gets the sponsorship of the upstream while it may be believed. */
	get(upstreamId: string): Sponsorship | undefined {
		const sponsorship = this.#sponsored.get(upstreamId)?.sponsorship;
		return sponsorship && sponsorship.believedUntilMs > this.#clock.monotonicMs() ? sponsorship : undefined;
	}

	/** Ends all sponsorships, so that others can take over without waiting. */
	resign(): void {
		this.#sponsored.clear();
	}

	/** Forgets upstreams that have not announced themselves here for long. */
	forgetOlderThan(ageMs: number): void {
		const oldestMs = this.#clock.monotonicMs() - ageMs;
		for (const [upstreamId, {noticedAtMs}] of this.#sponsored) {
			if (noticedAtMs < oldestMs) {
				this.#sponsored.delete(upstreamId);
			}
		}
	}

	#believe(sponsored: Sponsored, echoed: Term, announcement: UpstreamAnnouncement): void {
		const believedUntilMs = echoed.sentAtMs + (echoed.lockMs * trustedShare);
		const known = sponsored.sponsorship;
		if (known?.epoch === echoed.epoch) {
			known.believedUntilMs = Math.max(known.believedUntilMs, believedUntilMs);
			return;
		}

		// A late duplicate can echo a term of an earlier epoch; it must not end the present one.
		if (known && known.epoch > echoed.epoch) {
			return;
		}

		sponsored.sponsorship = {
			incarnation: announcement.incarnation,
			epoch: echoed.epoch,
			startedAtMs: this.#clock.monotonicMs(),
			believedUntilMs,
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
		if (sponsored.terms.length > keptTerms) {
			sponsored.terms.shift();
		}

		return term;
	}

	#get({upstreamId, incarnation}: UpstreamAnnouncement): Sponsored {
		let sponsored = this.#sponsored.get(upstreamId);
		if (!sponsored || sponsored.incarnation < incarnation) {
			sponsored = {incarnation, terms: [], noticedAtMs: 0};
			this.#sponsored.set(upstreamId, sponsored);
		}

		return sponsored;
	}
}
