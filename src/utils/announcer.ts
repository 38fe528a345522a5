/**
Announces a host to the entries at intervals until it is stopped.
*/
import {getMessage} from '../core/errors.ts';
import {HostState, type AnnouncementReply} from '../types/announcements.ts';
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';
import {createLogger, LogNamespace} from './logger.ts';

/** Sends one announcement. */
export type PostAnnouncement = (url: string, body: unknown, timeoutMs: number) => Promise<AnnouncementReply>;

/** Options of an announcer. */
export type AnnouncerOptions = {
	clock: Clock;
	random: Random;
	/** Control addresses, tried one after the other; a single address if there is a load balancer in front of the entries. */
	entryAddresses: string[];
	path: 'upstreams' | 'workers';
	/** Announcement without the fields that the announcer adds: sequence, state and the sponsor's echo. */
	body: Record<string, unknown>;
	/** Replaces the default HTTP client. */
	post?: PostAnnouncement;
	/** Announcements are sent only while this resolves to true; without it, always. */
	isReady?: () => Promise<boolean>;
};

/** A running announcer. */
export type Announcer = {
	/** Announces that the host is draining; resolves once an entry has accepted it, or after each address was tried once. */
	drain(): Promise<void>;
	stop(): void;
};

const timeoutMs = 1000;
const retryMs = 300;
const maxRetryMs = 5000;
const log = createLogger(LogNamespace.Membership);

/** Loads the HTTP client on first use, because a guard uses another one. */
const postJson: PostAnnouncement = async (url, body, timeoutMs) => {
	const {callJson} = await import('./json-client.ts');
	return callJson<AnnouncementReply>({
		method: 'POST', url, body, timeoutMs, step: 'announce',
	});
};

/** Sponsor as known to the upstream: the entry that divides the upstream's slots among the entries. */
type Echo = {
	sponsorId?: string;
	sponsorTerm: number;
	formerSponsorId?: string;
};

/** Lock of an upstream on its sponsor: the upstream accepts no other sponsor until the lock time has passed since the last new term. */
export class SponsorLock {
	#echo: Echo = {sponsorTerm: 0};
	#lockedUntilMs = Number.NEGATIVE_INFINITY;
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Gets the sponsor's fields for the next announcement. */
	getEcho(): Echo {
		if (this.#echo.sponsorId !== undefined && this.#clock.monotonicMs() >= this.#lockedUntilMs) {
			this.#drop();
		}

		return this.#echo;
	}

	/** Handles the reply to an announcement that carried `sent`. */
	handleReply({sponsorId, sponsorTerm, sponsorLockMs = 0, isSponsorLeaving}: AnnouncementReply, sent: Echo): void {
		if (isSponsorLeaving) {
			// A late reply about a former sponsor must not release the lock on the current one.
			if (sent.sponsorId === this.#echo.sponsorId) {
				this.#drop();
			}

			return;
		}

		const {sponsorId: knownId, sponsorTerm: knownTerm, formerSponsorId} = this.#echo;
		if (sponsorId === undefined || sponsorTerm === undefined || (knownId !== undefined && knownId !== sponsorId)) {
			return;
		}

		// An unchanged term means that the sponsor was not reached: the lock must not be extended.
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
Gets the pause after a number of consecutive failures: exponential backoff with jitter. After the loss of an entry its hosts must
not all retry at the same time, and while all entries are down they must not overload the first that comes back.
*/
export const getRetryPauseMs = (failures: number, random: Random): number =>
	Math.min(maxRetryMs, retryMs * (2 ** (failures - 1))) * (0.5 + random.next());

/** Starts to announce a host. */
export const startAnnouncer = (options: AnnouncerOptions): Announcer => {
	const {clock, random, entryAddresses, path, body, post = postJson, isReady} = options;
	const aborter = new AbortController();
	const lock = new SponsorLock(clock);
	let sequence = 0;
	let state = HostState.Alive;
	let target = random.below(entryAddresses.length);
	let failures = 0;

	/** Announces once; resolves to the time until the next announcement, or to undefined if the entry did not answer. */
	const announce = async (): Promise<number | undefined> => {
		const echo = lock.getEcho();
		try {
			const reply = await post(`http://${entryAddresses[target]!}/v1/announcements/${path}`, {
				...body, ...(path === 'upstreams' && echo), sequence: ++sequence, state,
			}, timeoutMs);
			failures = 0;
			lock.handleReply(reply, echo);
			if (reply.isSponsorLeaving) {
				target = (target + 1) % entryAddresses.length;
			}

			return reply.nextAfterMs;
		} catch (error) {
			failures++;
			log('Announcement failed: %s', getMessage(error));
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
			// Without announcements the lease expires; a host that is not ready for a while is alive again at its next announcement.
			const isAnnounceable = await isReady?.() ?? true;
			await clock.sleep(isAnnounceable ? getPauseMs(await announce()) : retryMs, aborter.signal);
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
