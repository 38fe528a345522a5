/**
Stores the latest announcement of each host; incarnation, state and sequence decide which one is newer.
*/
import {type Clock} from '../types/clock.ts';
import {HostState} from '../types/announcements.ts';

/** Fields that all announcements have. */
export type AnnouncementBase = {
	incarnation: number;
	sequence: number;
	state: HostState;
};

/** What an announcement changed. */
export enum AnnouncementOutcome {
	/** This announcement, or a newer one, is already known. */
	Stale = 'stale',
	/** Newer, with no change that other entries need to know. */
	Refreshed = 'refreshed',
	/** New host, or new incarnation, state or content. */
	Changed = 'changed',
}

type Entry<A extends AnnouncementBase> = {
	announcement: A;
	content: string;
	/** End of the lease that this entry tracks. */
	leaseUntilMs: number;
	/** Last time at which an announcement of the host, or a set of another entry that contains it, was seen. */
	lastSeenMs: number;
};

const stateRank: Record<HostState, number> = {
	[HostState.Alive]: 0,
	[HostState.Draining]: 1,
	[HostState.Gone]: 2,
};

/** Tells whether the new announcement overrides the known one. */
export const isNewer = (next: AnnouncementBase, known: AnnouncementBase): boolean => {
	if (next.incarnation !== known.incarnation) {
		return next.incarnation > known.incarnation;
	}

	// Within an incarnation, draining overrides alive: a delayed announcement must not undo a drain.
	if (next.state !== known.state) {
		return stateRank[next.state] > stateRank[known.state];
	}

	return next.sequence > known.sequence;
};

/** Serializes what concerns other entries: all fields except those that change with each announcement. */
const getContent = (announcement: AnnouncementBase): string =>
	JSON.stringify({...announcement, sequence: undefined, sponsorTerm: undefined});

/** Announcements by host id. An announcement is only ever replaced by a newer one. */
export class AnnouncementRegistry<A extends AnnouncementBase> {
	readonly #entries = new Map<string, Entry<A>>();
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Applies an announcement that this entry received from the host, or on its behalf, and extends the host's lease. */
	receive(id: string, announcement: A, leaseMs: number): AnnouncementOutcome {
		const outcome = this.merge(id, announcement);
		if (outcome !== AnnouncementOutcome.Stale) {
			const entry = this.#entries.get(id)!;
			entry.leaseUntilMs = Math.max(entry.leaseUntilMs, this.#clock.monotonicMs() + leaseMs);
		}

		return outcome;
	}

	/** Applies an announcement that another entry passed on, without a lease: the other entry tracks that. */
	merge(id: string, announcement: A): AnnouncementOutcome {
		const known = this.#entries.get(id);
		if (known && !isNewer(announcement, known.announcement)) {
			return AnnouncementOutcome.Stale;
		}

		const content = getContent(announcement);
		const isSame = known?.content === content;
		this.#entries.set(id, {
			announcement,
			content,
			leaseUntilMs: known?.announcement.incarnation === announcement.incarnation ? known.leaseUntilMs : Number.NEGATIVE_INFINITY,
			lastSeenMs: this.#clock.monotonicMs(),
		});
		return isSame ? AnnouncementOutcome.Refreshed : AnnouncementOutcome.Changed;
	}

	/** Extends the lease of a host whose announcement was received by another entry. */
	renewLease(id: string, incarnation: number, leaseMs: number): boolean {
		const entry = this.#entries.get(id);
		if (entry?.announcement.incarnation !== incarnation) {
			return false;
		}

		entry.leaseUntilMs = Math.max(entry.leaseUntilMs, this.#clock.monotonicMs() + leaseMs);
		return true;
	}

	get(id: string): A | undefined {
		return this.#entries.get(id)?.announcement;
	}

	/** Tells whether the host has a valid lease at this entry. */
	hasLease(id: string): boolean {
		return (this.#entries.get(id)?.leaseUntilMs ?? Number.NEGATIVE_INFINITY) > this.#clock.monotonicMs();
	}

	/** All hosts known. */
	list(): Array<[string, A]> {
		return [...this.#entries].map(([id, {announcement}]) => [id, announcement]);
	}

	/** Records that the set of another entry still contains the host. */
	markSeen(id: string): void {
		const entry = this.#entries.get(id);
		if (entry) {
			entry.lastSeenMs = this.#clock.monotonicMs();
		}
	}

	/** Forgets hosts that were not seen and had no valid lease for `ageMs`, which bounds the size; returns their ids. */
	forgetOlderThan(ageMs: number): string[] {
		const oldestMs = this.#clock.monotonicMs() - ageMs;
		const forgotten: string[] = [];
		for (const [id, {lastSeenMs, leaseUntilMs}] of this.#entries) {
			if (lastSeenMs < oldestMs && leaseUntilMs < oldestMs) {
				this.#entries.delete(id);
				forgotten.push(id);
			}
		}

		return forgotten;
	}
}
