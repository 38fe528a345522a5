/**
Announces a host to the entries until it is stopped: one task for each host.
*/
import {getMessage} from '../core/errors.ts';
import {HostState, type AnnouncementReply} from '../types/announcements.ts';
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';
import {callJson} from './http-client.ts';
import {createLogger, Part} from './logger.ts';

/** What to announce, and to whom. */
export type AnnouncerOptions = {
	clock: Clock;
	random: Random;
	/** Control addresses tried in turn; one address when a balancer stands before the entries. */
	entryAddresses: string[];
	path: 'upstreams' | 'workers';
	/** The announcement without what the announcer adds: sequence, state and the echo of the sponsor. */
	body: Record<string, unknown>;
};

/** A running announcer. */
export type Announcer = {
	/** Announces that the host is leaving; resolves once an entry knows, or after one round of tries. */
	drain(): Promise<void>;
	stop(): void;
};

const timeoutMs = 1000;
const retryMs = 300;
const log = createLogger(Part.Standin);

/** Starts announcing. */
export const startAnnouncer = (options: AnnouncerOptions): Announcer => {
	const {clock, random, entryAddresses, path, body} = options;
	const aborter = new AbortController();
	let sequence = 0;
	let state = HostState.Alive;
	let target = random.below(entryAddresses.length);
	let echo: Pick<AnnouncementReply, 'sponsorId' | 'sponsorTerm'> = {};

	const announce = async (): Promise<number> => {
		try {
			const reply = await callJson<AnnouncementReply>({
				method: 'POST',
				url: `http://${entryAddresses[target]!}/v1/announcements/${path}`,
				body: {
					...body, ...echo, sequence: ++sequence, state,
				},
				timeoutMs,
				step: 'announce',
			});
			echo = {sponsorId: reply.sponsorId, sponsorTerm: reply.sponsorTerm};
			return reply.nextAfterMs;
		} catch (error) {
			log('Not announced: %s', getMessage(error));
			target = (target + 1) % entryAddresses.length;
			return retryMs;
		}
	};

	const run = async () => {
		while (!aborter.signal.aborted) {
			const nextAfterMs = await announce();
			// Jitter: after the loss of an entry its hosts must not all come back in the same instant.
			await clock.sleep(nextAfterMs * (0.75 + (random.next() / 2)), aborter.signal);
		}
	};

	void run();
	return {
		async drain() {
			state = HostState.Draining;
			for (const _ of entryAddresses) {
				if (await announce() !== retryMs) {
					return;
				}
			}
		},
		stop() {
			aborter.abort();
		},
	};
};
