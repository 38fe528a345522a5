/**
The other entries that an entry knows: the newest presence of each, and the time until which it counts as alive.
*/
import {z} from 'zod';
import {type Clock} from '../types/clock.ts';
import {createParser} from '../utils/parser.ts';

/** Identity and addresses that an entry publishes. */
export type Presence = {
	processId: string;
	incarnation: number;
	region: string;
	failureDomain: string;
	peerAddress: string;
	controlAddress: string;
};

const presenceSchema = z.object({
	processId: z.string().min(1).max(64),
	incarnation: z.number().int().nonnegative(),
	region: z.string().max(64),
	failureDomain: z.string().max(64),
	peerAddress: z.string().min(1).max(64),
	controlAddress: z.string().max(64),
});

/** Parses a record of the stream `entries`. */
export const parsePresenceRecord = createParser('read presence', presenceSchema.extend({recordId: z.string(), isLeaving: z.boolean()}));
/** Parses a hello of a peer or the answer to one. */
export const parseHello = createParser('read hello', z.object({
	presence: presenceSchema,
	peers: z.array(presenceSchema).max(1000),
	isLeaving: z.boolean(),
}));

/** Content of a heartbeat between entries and of its answer. */
export type Hello = ReturnType<typeof parseHello>;

type PeerState = {
	presence: Presence;
	aliveUntilMs: number;
	/** Last time at which the log, a peer or the entry itself named it. */
	lastNamedAtMs: number;
	/** This incarnation announced that it is leaving. */
	hasLeft: boolean;
};

/** All known entries except this one. */
export class PeersDirectory {
	readonly #peers = new Map<string, PeerState>();
	readonly #clock: Clock;
	readonly #ownId: string;

	constructor(clock: Clock, ownId: string) {
		this.#clock = clock;
		this.#ownId = ownId;
	}

	/** Adds an entry; true if the entry or this incarnation of it was unknown. Idempotent and independent of order. */
	add(presence: Presence): boolean {
		if (presence.processId === this.#ownId) {
			return false;
		}

		const known = this.#peers.get(presence.processId);
		if (known && known.presence.incarnation >= presence.incarnation) {
			if (known.presence.incarnation === presence.incarnation) {
				known.lastNamedAtMs = this.#clock.monotonicMs();
			}

			return false;
		}

		this.#peers.set(presence.processId, {
			presence, aliveUntilMs: Number.NEGATIVE_INFINITY, lastNamedAtMs: this.#clock.monotonicMs(), hasLeft: false,
		});
		return true;
	}

	/** Extends the lease of an entry that answered, until `aliveUntilMs`. */
	extendLease(presence: Presence, aliveUntilMs: number): void {
		this.add(presence);
		const known = this.#peers.get(presence.processId);
		if (known?.presence.incarnation === presence.incarnation && !known.hasLeft) {
			known.aliveUntilMs = Math.max(known.aliveUntilMs, aliveUntilMs);
		}
	}

	markLeft(processId: string, incarnation: number): void {
		const known = this.#peers.get(processId);
		if (known?.presence.incarnation === incarnation) {
			known.hasLeft = true;
			known.aliveUntilMs = Number.NEGATIVE_INFINITY;
		}
	}

	get(processId: string): Presence | undefined {
		return this.#peers.get(processId)?.presence;
	}

	isAlive(processId: string): boolean {
		return (this.#peers.get(processId)?.aliveUntilMs ?? Number.NEGATIVE_INFINITY) > this.#clock.monotonicMs();
	}

	hasLeft(processId: string): boolean {
		return this.#peers.get(processId)?.hasLeft ?? false;
	}

	list(): Presence[] {
		return [...this.#peers.values()].map(({presence}) => presence);
	}

	/** Removes entries that neither answered nor were named for `ageMs`, so that replaced hosts do not accumulate. */
	forgetOlderThan(ageMs: number): string[] {
		const oldestMs = this.#clock.monotonicMs() - ageMs;
		const forgotten: string[] = [];
		for (const [processId, {lastNamedAtMs, aliveUntilMs}] of this.#peers) {
			if (lastNamedAtMs < oldestMs && aliveUntilMs < oldestMs) {
				this.#peers.delete(processId);
				forgotten.push(processId);
			}
		}

		return forgotten;
	}
}
