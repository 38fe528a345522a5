/**
Connections to upstreams: one bounded pool per upstream.
*/
import {Pool} from 'undici';
import {type UpstreamAnnouncement} from '../types/announcements.ts';

type PoolEntry = {
	address: string;
	pool: Pool;
};

const keepAliveTimeoutMs = 2000;
const keepAliveMaxTimeoutMs = 30_000;

/** Connection pools by upstream. */
export class UpstreamPools {
	readonly #entries = new Map<string, PoolEntry>();
	readonly #connectTimeoutMs: number;
	readonly #isKnown: (upstreamId: string) => boolean;

	constructor(connectTimeoutMs: number, isKnown: (upstreamId: string) => boolean) {
		this.#connectTimeoutMs = connectTimeoutMs;
		this.#isKnown = isKnown;
	}

	/** Returns the pool of the upstream, replaced when its address has changed. */
	get({upstreamId, address, slots}: UpstreamAnnouncement): Pool {
		const entry = this.#entries.get(upstreamId);
		if (entry?.address === address) {
			return entry.pool;
		}

		void entry?.pool.close();
		this.#closeUnknown();
		const pool = new Pool(`http://${address}`, {
			// Each request in progress holds a slot, so more connections than slots are of no use.
			connections: slots,
			// A request pipelined behind another on one connection would fail with it.
			pipelining: 1,
			connect: {timeout: this.#connectTimeoutMs},
			// Idle connections are closed early: if the upstream closes one while a request is written, the request's outcome is unknown.
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

	#closeUnknown(): void {
		for (const [upstreamId, {pool}] of this.#entries) {
			if (!this.#isKnown(upstreamId)) {
				this.#entries.delete(upstreamId);
				void pool.close();
			}
		}
	}
}
