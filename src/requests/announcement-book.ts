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

type Entry<A extends Announced> = {
	announcement: A;
	heardAtMs: number;
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

/** Announcements by host id, with leases. */
export class AnnouncementBook<A extends Announced> {
	readonly #entries = new Map<string, Entry<A>>();
	readonly #clock: Clock;
	readonly #leaseMs: number;

	constructor(clock: Clock, leaseMs: number) {
		this.#clock = clock;
		this.#leaseMs = leaseMs;
	}

	/** Takes an announcement; false when a newer one is known. */
	take(id: string, announcement: A): boolean {
		const known = this.#entries.get(id);
		if (known && !isNewer(announcement, known.announcement)) {
			return false;
		}

		this.#entries.set(id, {announcement, heardAtMs: this.#clock.monotonicMs()});
		return true;
	}

	/** Hosts that are alive and whose lease has not lapsed. */
	getAlive(): A[] {
		const oldestMs = this.#clock.monotonicMs() - this.#leaseMs;
		const alive: A[] = [];
		for (const {announcement, heardAtMs} of this.#entries.values()) {
			if (announcement.state === HostState.Alive && heardAtMs >= oldestMs) {
				alive.push(announcement);
			}
		}

		return alive;
	}

	/** All hosts known. */
	list(): A[] {
		return [...this.#entries.values()].map(({announcement}) => announcement);
	}
}
