/**
Announces a host to the entries until it is stopped: one task for each host.
*/
import {getMessage} from '../core/errors.ts';
import {HostState, type AnnouncementReply} from '../types/announcements.ts';
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';
import {createLogger, Part} from './logger.ts';

/** Posts one announcement. */
export type PostAnnouncement = (url: string, body: unknown, timeoutMs: number) => Promise<AnnouncementReply>;

/** What to announce, and to whom. */
export type AnnouncerOptions = {
	clock: Clock;
	random: Random;
	/** Control addresses tried in turn; one address when a balancer stands before the entries. */
	entryAddresses: string[];
	path: 'upstreams' | 'workers';
	/** The announcement without what the announcer adds: sequence, state and the echo of the sponsor. */
	body: Record<string, unknown>;
	/** Another way to post than the usual client. */
	post?: PostAnnouncement;
	/** Announces only while this says so; without it, always. */
	isReady?: () => Promise<boolean>;
};

/** A running announcer. */
export type Announcer = {
	/** Announces that the host is leaving; resolves once an entry knows, or after one round of tries. */
	drain(): Promise<void>;
	stop(): void;
};

const timeoutMs = 1000;
const retryMs = 300;
const maxRetryMs = 5000;
const log = createLogger(Part.Membership);

/** Loaded when it is used: a guard posts without the client's library. */
const postJson: PostAnnouncement = async (url, body, timeoutMs) => {
	const {callJson} = await import('./http-client.ts');
	return callJson<AnnouncementReply>({
		method: 'POST', url, body, timeoutMs, step: 'announce',
	});
};

/** The sponsor as its upstream knows it. */
type Echo = {
	sponsorId?: string;
	sponsorTerm: number;
	formerSponsorId?: string;
};

/** Keeps an upstream's promise: no other sponsor until the lock has passed since the last new term. */
export class SponsorLock {
	#echo: Echo = {sponsorTerm: 0};
	#lockedUntilMs = Number.NEGATIVE_INFINITY;
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** What to put into the next announcement. */
	getEcho(): Echo {
		if (this.#echo.sponsorId !== undefined && this.#clock.monotonicMs() >= this.#lockedUntilMs) {
			this.#drop();
		}

		return this.#echo;
	}

	/** Takes the reply to an announcement that carried the echo. */
	take({sponsorId, sponsorTerm, sponsorLockMs = 0, isSponsorLeaving}: AnnouncementReply, sent: Echo): void {
		if (isSponsorLeaving) {
			// A late word of a former sponsor must not unlock the present one.
			if (sent.sponsorId === this.#echo.sponsorId) {
				this.#drop();
			}

			return;
		}

		const {sponsorId: knownId, sponsorTerm: knownTerm, formerSponsorId} = this.#echo;
		if (sponsorId === undefined || sponsorTerm === undefined || (knownId !== undefined && knownId !== sponsorId)) {
			return;
		}

		// The same term again means that the sponsor was not reached: the lock must go on running out.
		if (knownId === sponsorId && sponsorTerm <= knownTerm) {
			return;
		}

		this.#echo = {sponsorId, sponsorTerm, formerSponsorId};
		this.#lockedUntilMs = this.#clock.monotonicMs() + sponsorLockMs;
	}

	#drop(): void {
		this.#echo = {sponsorTerm: 0, formerSponsorId: this.#echo.sponsorId ?? this.#echo.formerSponsorId};
	}
}

/**
How long to wait after so many tries without an answer. After the loss of an entry its hosts must not all come back in the
same instant, and while all are lost they must not wear out the one that comes back first.
*/
export const getRetryPauseMs = (failures: number, random: Random): number =>
	Math.min(maxRetryMs, retryMs * (2 ** (failures - 1))) * (0.5 + random.next());

/** Starts announcing. */
export const startAnnouncer = (options: AnnouncerOptions): Announcer => {
	const {clock, random, entryAddresses, path, body, post = postJson, isReady} = options;
	const aborter = new AbortController();
	const lock = new SponsorLock(clock);
	let sequence = 0;
	let state = HostState.Alive;
	let target = random.below(entryAddresses.length);
	let failures = 0;

	/** Announces once; undefined when no entry answered. */
	const announce = async (): Promise<number | undefined> => {
		const echo = lock.getEcho();
		try {
			const reply = await post(`http://${entryAddresses[target]!}/v1/announcements/${path}`, {
				...body, ...(path === 'upstreams' && echo), sequence: ++sequence, state,
			}, timeoutMs);
			failures = 0;
			lock.take(reply, echo);
			if (reply.isSponsorLeaving) {
				target = (target + 1) % entryAddresses.length;
			}

			return reply.nextAfterMs;
		} catch (error) {
			failures++;
			log('Not announced: %s', getMessage(error));
			target = (target + 1) % entryAddresses.length;
			return undefined;
		}
	};

	const getPauseMs = (nextAfterMs: number | undefined): number => {
		if (nextAfterMs !== undefined) {
			return nextAfterMs * (0.75 + (random.next() / 2));
		}

		return getRetryPauseMs(failures, random);
	};

	const run = async () => {
		while (!aborter.signal.aborted) {
			// Silence ends the lease: a host that cannot serve for a moment comes back with its next announcement.
			const isAnnounced = await isReady?.() ?? true;
			await clock.sleep(isAnnounced ? getPauseMs(await announce()) : retryMs, aborter.signal);
		}
	};

	void run();
	return {
		async drain() {
			state = HostState.Draining;
			for (const _ of entryAddresses) {
				if (await announce() !== undefined) {
					return;
				}
			}
		},
		stop() {
			aborter.abort();
		},
	};
};
