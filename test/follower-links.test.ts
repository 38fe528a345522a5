/**
The follower of the jobs stream on links that also carry other transfers.
*/
import {expect, it} from 'vitest';
import {createError, ErrorCode} from '../src/core/errors.ts';
import {MemoryStore} from '../src/standin/memory-store.ts';
import {type StoreClient} from '../src/types/store.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {WorkflowFollower} from '../src/workflows/follower.ts';
import {encodeRecord, RecordType} from '../src/workflows/records.ts';
import {createWorkflow} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

const ref = {topic: 'jobs', partition: 0};
const inputBytes = 4000;
/** Time after which a reader gives up a read that does not wait. */
const readTimeoutMs = 700;
const stepMs = 5;

/** Link whose rate is divided evenly among the transfers on it. */
class SharedLink {
	readonly #clock: ManualClock;
	readonly #bytesPerMs: number;
	#transfers: number;

	constructor(clock: ManualClock, {bytesPerMs, otherTransfers}: {bytesPerMs: number; otherTransfers: number}) {
		this.#clock = clock;
		this.#bytesPerMs = bytesPerMs;
		this.#transfers = otherTransfers;
	}

	/** Wraps a client so that the answers to its reads pass the link. */
	createClient(store: StoreClient): StoreClient {
		return {
			...store, read: async (used, fromOffset, options) => {
				const page = await store.read(used, fromOffset, options);
				let bytes = 0;
				for (const {value} of page.records) {
					bytes += value.length;
				}

				await this.#transfer(bytes, options.signal);
				return page;
			},
		};
	}

	async #transfer(bytes: number, signal?: AbortSignal): Promise<void> {
		this.#transfers++;
		try {
			const startMs = this.#clock.monotonicMs();
			for (let left = bytes; left > 0;) {
				await this.#clock.sleep(stepMs);
				left -= stepMs * this.#bytesPerMs / this.#transfers;
				if (signal?.aborted === true || this.#clock.monotonicMs() - startMs >= readTimeoutMs) {
					throw createError(ErrorCode.StoreUnanswered, {step: 'read over link'});
				}
			}
		} finally {
			this.#transfers--;
		}
	}
}

/** Follows a stream over a link until its end is read; returns how long that takes, or undefined after the bound. */
const measureFirstRead = async ({
	jobs, boundMs, askIntervalMs, ...link
}: {jobs: number; boundMs: number; bytesPerMs: number; otherTransfers: number; askIntervalMs?: number}): Promise<number | undefined> => {
	const clock = new ManualClock();
	const store = new MemoryStore(clock, 1);
	for (let index = 0; index < jobs; index++) {
		const workflow = createWorkflow(index.toString(16).padStart(16, '0'), createSpec([createStep()], {input: 'x'.repeat(inputBytes)}));
		void store.createClient('callers').append(ref, [encodeRecord({type: RecordType.Submit, workflow})], {timeoutMs: 1000});
	}

	await clock.advance(100);
	const aborter = new AbortController();
	const follower = new WorkflowFollower({
		store: new SharedLink(clock, link).createClient(store.createClient('entry')), clock, ref, onInvalid: () => undefined, onStoreState: () => undefined,
	});
	void follower.run(aborter.signal);
	const startMs = clock.monotonicMs();
	let askedAtMs = startMs;
	while (!follower.isCaughtUp && clock.monotonicMs() - startMs < boundMs) {
		await clock.advance(10);
		if (askIntervalMs !== undefined && clock.monotonicMs() - askedAtMs >= askIntervalMs) {
			askedAtMs = clock.monotonicMs();
			void follower.catchUp(1200);
		}
	}

	aborter.abort();
	return follower.isCaughtUp ? clock.monotonicMs() - startMs : undefined;
};

/** Guards against reads that time out again and again where other transfers take most of a slow link. */
it.each([
	[250, 1],
	[250, 3],
	[100, 1],
	[100, 3],
])('reads the stream over a link of %i bytes a ms with %i other transfers', async (bytesPerMs, otherTransfers) => {
	const jobs = 40;
	const shareMs = jobs * inputBytes * (otherTransfers + 1) / bytesPerMs;
	expect(await measureFirstRead({
		jobs, bytesPerMs, otherTransfers, boundMs: 1000 + (1.5 * shareMs),
	})).toBeDefined();
});

/** Guards against a least size of a read that does not pass the link's share within the time-out: no record is ever read. */
it('reads the stream over a link of 100 bytes a ms with 5 other transfers', async () => {
	const jobs = 40;
	const shareMs = jobs * inputBytes * 6 / 100;
	expect(await measureFirstRead({
		jobs, bytesPerMs: 100, otherTransfers: 5, boundMs: 2000 + (1.5 * shareMs),
	})).toBeDefined();
});

/** Guards against reads for callers that carry the same records as the follower's own read and halve its share of the link. */
it('reads the stream no slower while callers ask for jobs that it has not read', async () => {
	const link = {
		jobs: 120, bytesPerMs: 250, otherTransfers: 0, boundMs: 20_000,
	};
	const aloneMs = await measureFirstRead(link);
	const askedMs = await measureFirstRead({...link, askIntervalMs: 100});
	expect(askedMs).toBeLessThan(1.3 * aloneMs!);
});
