/**
Connections to upstreams: one bounded pool for each.
*/
import {Pool} from 'undici';
import {type UpstreamAnnouncement} from '../types/announcements.ts';

type Entry = {
	address: string;
	pool: Pool;
};

const keepAliveTimeoutMs = 2000;
const keepAliveMaxTimeoutMs = 30_000;

/** Pools by upstream. */
export class UpstreamPools {
	readonly #entries = new Map<string, Entry>();
	readonly #connectTimeoutMs: number;
	readonly #isKnown: (upstreamId: string) => boolean;

	constructor(connectTimeoutMs: number, isKnown: (upstreamId: string) => boolean) {
		this.#connectTimeoutMs = connectTimeoutMs;
		this.#isKnown = isKnown;
	}

	/** Gets the pool of the upstream at its present address. */
	get({upstreamId, address, slots}: UpstreamAnnouncement): Pool {
		const entry = this.#entries.get(upstreamId);
		if (entry?.address === address) {
			return entry.pool;
		}

		void entry?.pool.close();
		this.#dropUnknown();
		const pool = new Pool(`http://${address}`, {
			// Each request in progress holds a slot, so more connections than slots are of no use.
			connections: slots,
			// A request queued behind another on one connection would be lost with it.
			pipelining: 1,
			connect: {timeout: this.#connectTimeoutMs},
			// An idle connection that its upstream closes as a request is written leaves that request unknown.
			keepAliveTimeout: keepAliveTimeoutMs,
			keepAliveMaxTimeout: keepAliveMaxTimeoutMs,
			// Every request has its own deadline.
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		this.#entries.set(upstreamId, {address, pool});
		return pool;
	}

	async close(): Promise<void> {
		await Promise.all([...this.#entries.values()].map(async ({pool}) => pool.destroy()));
	}

	#dropUnknown(): void {
		for (const [upstreamId, {pool}] of this.#entries) {
			if (!this.#isKnown(upstreamId)) {
				this.#entries.delete(upstreamId);
				void pool.close();
			}
		}
	}
}
