/**
Keeps the latest announcement of each host, in the order that incarnation, state and sequence give.
*/
import {type Clock} from '../types/clock.ts';
import {HostState} from '../types/announcements.ts';

/** What all announcements share. */
export type Announced = {
	incarnation: number;
	sequence: number;
	state: HostState;
};

/** What taking an announcement changed. */
export enum Taken {
	/** A newer announcement, or this one, is known. */
	Stale = 'stale',
	/** Only newer: nothing that other entries need to hear. */
	Refreshed = 'refreshed',
	/** New host, or new incarnation, state or content. */
	Changed = 'changed',
}

type Entry<A extends Announced> = {
	announcement: A;
	content: string;
	/** Until when it counts as heard by this entry itself. */
	heardUntilMs: number;
	/** Last time that anything spoke for the host. */
	namedAtMs: number;
};

const stateRank: Record<HostState, number> = {
	[HostState.Alive]: 0,
	[HostState.Draining]: 1,
	[HostState.Gone]: 2,
};

/** Tells whether the new announcement overrides the known one. */
export const isNewer = (next: Announced, known: Announced): boolean => {
	if (next.incarnation !== known.incarnation) {
		return next.incarnation > known.incarnation;
	}

	// Draining beats alive within an incarnation: a late re-announcement must not undo a drain.
	if (next.state !== known.state) {
		return stateRank[next.state] > stateRank[known.state];
	}

	return next.sequence > known.sequence;
};

/** What of an announcement concerns other entries: all but what changes with each one. */
const getContent = (announcement: Announced): string =>
	JSON.stringify({...announcement, sequence: undefined, sponsorTerm: undefined});

/** Announcements by host id. Later news of a host only ever replaces earlier news. */
export class AnnouncementBook<A extends Announced> {
	readonly #entries = new Map<string, Entry<A>>();
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Takes an announcement that this entry heard from the host itself, or on its behalf; it counts for the lease. */
	take(id: string, announcement: A, leaseMs: number): Taken {
		const taken = this.merge(id, announcement);
		if (taken !== Taken.Stale) {
			const entry = this.#entries.get(id)!;
			entry.heardUntilMs = Math.max(entry.heardUntilMs, this.#clock.monotonicMs() + leaseMs);
		}

		return taken;
	}

	/** Takes an announcement that another entry passed on: its order counts, its lease is the other entry's matter. */
	merge(id: string, announcement: A): Taken {
		const known = this.#entries.get(id);
		if (known && !isNewer(announcement, known.announcement)) {
			return Taken.Stale;
		}

		const content = getContent(announcement);
		const isSame = known?.content === content;
		this.#entries.set(id, {
			announcement,
			content,
			heardUntilMs: known?.announcement.incarnation === announcement.incarnation ? known.heardUntilMs : Number.NEGATIVE_INFINITY,
			namedAtMs: this.#clock.monotonicMs(),
		});
		return isSame ? Taken.Refreshed : Taken.Changed;
	}

	/** Extends the lease of a host whose announcement reached another entry. */
	refresh(id: string, incarnation: number, leaseMs: number): boolean {
		const entry = this.#entries.get(id);
		if (entry?.announcement.incarnation !== incarnation) {
			return false;
		}

		entry.heardUntilMs = Math.max(entry.heardUntilMs, this.#clock.monotonicMs() + leaseMs);
		return true;
	}

	get(id: string): A | undefined {
		return this.#entries.get(id)?.announcement;
	}

	/** Tells whether this entry itself heard the host within its lease. */
	isHeard(id: string): boolean {
		return (this.#entries.get(id)?.heardUntilMs ?? Number.NEGATIVE_INFINITY) > this.#clock.monotonicMs();
	}

	/** All hosts known. */
	list(): Array<[string, A]> {
		return [...this.#entries].map(([id, {announcement}]) => [id, announcement]);
	}

	/** Notes that something still speaks for the host. */
	noteNamed(id: string): void {
		const entry = this.#entries.get(id);
		if (entry) {
			entry.namedAtMs = this.#clock.monotonicMs();
		}
	}

	/** Forgets hosts that nothing has spoken for since; the book stays as small as what is alive. */
	forgetOlderThan(ageMs: number): string[] {
		const oldestMs = this.#clock.monotonicMs() - ageMs;
		const forgotten: string[] = [];
		for (const [id, {namedAtMs, heardUntilMs}] of this.#entries) {
			if (namedAtMs < oldestMs && heardUntilMs < oldestMs) {
				this.#entries.delete(id);
				forgotten.push(id);
			}
		}

		return forgotten;
	}
}
