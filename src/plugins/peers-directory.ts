/**
What an entry knows of the other entries: the newest presence of each, and until when it counts as alive.
*/
import {z} from 'zod';
import {type Clock} from '../types/clock.ts';
import {createParser} from '../utils/parser.ts';

/** How an entry presents itself. */
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

/** Checks a record of the stream of entries. */
export const parsePresenceRecord = createParser('read presence', presenceSchema.extend({recordId: z.string(), isLeaving: z.boolean()}));
/** Checks a hello of a peer or the answer to one. */
export const parseHello = createParser('read hello', z.object({
	presence: presenceSchema,
	peers: z.array(presenceSchema).max(1000),
	isLeaving: z.boolean(),
}));

/** What entries tell each other with each heartbeat. */
export type Hello = ReturnType<typeof parseHello>;

type Known = {
	presence: Presence;
	aliveUntilMs: number;
	/** Last time that the log, a peer or the entry itself named it. */
	namedAtMs: number;
	/** The incarnation said that it leaves. */
	hasLeft: boolean;
};

/** Entries known, own one excepted. */
export class PeersDirectory {
	readonly #known = new Map<string, Known>();
	readonly #clock: Clock;
	readonly #ownId: string;

	constructor(clock: Clock, ownId: string) {
		this.#clock = clock;
		this.#ownId = ownId;
	}

	/** Learns of an entry; true when it, or this incarnation of it, was not known. Idempotent, in any order. */
	learn(presence: Presence): boolean {
		if (presence.processId === this.#ownId) {
			return false;
		}

		const known = this.#known.get(presence.processId);
		if (known && known.presence.incarnation >= presence.incarnation) {
			if (known.presence.incarnation === presence.incarnation) {
				known.namedAtMs = this.#clock.monotonicMs();
			}

			return false;
		}

		this.#known.set(presence.processId, {
			presence, aliveUntilMs: Number.NEGATIVE_INFINITY, namedAtMs: this.#clock.monotonicMs(), hasLeft: false,
		});
		return true;
	}

	/** Extends the lease of an entry that answered. */
	noteAnswer(presence: Presence, aliveUntilMs: number): void {
		this.learn(presence);
		const known = this.#known.get(presence.processId);
		if (known?.presence.incarnation === presence.incarnation && !known.hasLeft) {
			known.aliveUntilMs = Math.max(known.aliveUntilMs, aliveUntilMs);
		}
	}

	noteLeaving(processId: string, incarnation: number): void {
		const known = this.#known.get(processId);
		if (known?.presence.incarnation === incarnation) {
			known.hasLeft = true;
			known.aliveUntilMs = Number.NEGATIVE_INFINITY;
		}
	}

	get(processId: string): Presence | undefined {
		return this.#known.get(processId)?.presence;
	}

	isAlive(processId: string): boolean {
		return (this.#known.get(processId)?.aliveUntilMs ?? Number.NEGATIVE_INFINITY) > this.#clock.monotonicMs();
	}

	hasLeft(processId: string): boolean {
		return this.#known.get(processId)?.hasLeft ?? false;
	}

	list(): Presence[] {
		return [...this.#known.values()].map(({presence}) => presence);
	}

	/** Forgets entries that neither answered nor were named for long, so that replaced hosts do not pile up. */
	forgetOlderThan(ageMs: number): string[] {
		const oldestMs = this.#clock.monotonicMs() - ageMs;
		const forgotten: string[] = [];
		for (const [processId, {namedAtMs, aliveUntilMs}] of this.#known) {
			if (namedAtMs < oldestMs && aliveUntilMs < oldestMs) {
				this.#known.delete(processId);
				forgotten.push(processId);
			}
		}

		return forgotten;
	}
}
