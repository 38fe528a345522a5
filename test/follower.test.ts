/**
The follower of the jobs stream, on links of different speed.
*/
import {expect, it} from 'vitest';
import {createError, ErrorCode} from '../src/core/errors.ts';
import {MemoryStore} from '../src/standin/memory-store.ts';
import {type StoreClient, type StorePage} from '../src/types/store.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {WorkflowFollower} from '../src/workflows/follower.ts';
import {encodeRecord, RecordType} from '../src/workflows/records.ts';
import {createWorkflow} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

const ref = {topic: 'jobs', partition: 0};
const jobs = 120;
const inputBytes = 6000;
const streamBytes = jobs * inputBytes;

/** Guards against reads that time out on a slow link and are repeated with the same size while callers wait. */
it.each([100, 150, 250, 1000, 10_000])('reads a stream without a time-out over a link of %i bytes a ms', async bytesPerMs => {
	const clock = new ManualClock();
	const store = new MemoryStore(clock, 1);
	for (let index = 0; index < jobs; index++) {
		const id = index.toString(16).padStart(16, '0');
		const record = encodeRecord({type: RecordType.Submit, workflow: createWorkflow(id, createSpec([createStep()], {input: 'x'.repeat(inputBytes)}))});
		void store.createClient('callers').append(ref, [record], {timeoutMs: 1000});
	}

	await clock.advance(100);
	store.bytesPerMs = bytesPerMs;
	const states: boolean[] = [];
	const aborter = new AbortController();
	const follower = new WorkflowFollower({
		store: store.createClient('entry'), clock, ref, onInvalid: () => undefined, onStoreState(isReached) {
			states.push(isReached);
		},
	});
	void follower.run(aborter.signal);
	const startMs = clock.monotonicMs();
	while (!follower.isCaughtUp && clock.monotonicMs() - startMs < 60_000) {
		await clock.advance(10);
	}

	const tookMs = clock.monotonicMs() - startMs;
	aborter.abort();
	expect(states).not.toContain(false);
	// Each read adds the pause between reads and the latency of the answer.
	expect(tookMs).toBeLessThan(1000 + (1.5 * streamBytes / bytesPerMs));
});

/** Guards against a busy loop where reads bring no records although the end of the stream is further on. */
it('pauses after a read that brought no records', async () => {
	const clock = new ManualClock();
	let reads = 0;
	const store: Pick<StoreClient, 'read'> = {
		async read() {
			reads++;
			await clock.sleep(1);
			return {records: [], oldestOffset: 0, endOffset: 5};
		},
	};
	const aborter = new AbortController();
	const follower = new WorkflowFollower({
		store: store as StoreClient, clock, ref, onInvalid: () => undefined, onStoreState: () => undefined,
	});
	void follower.run(aborter.signal);
	await clock.advance(1000);
	aborter.abort();
	expect(reads).toBeLessThan(50);
});

/** Guards against an old view that looks current in the log: a read that is not answered does not renew it. */
it('tells how stale its view is, and nothing before the end was reached', async () => {
	const clock = new ManualClock();
	const memoryStore = new MemoryStore(clock, 1);
	const client = memoryStore.createClient('entry');
	let isSilent = true;
	const store: Pick<StoreClient, 'read'> = {
		async read(...parameters) {
			if (isSilent) {
				await clock.sleep(700);
				throw createError(ErrorCode.StoreUnanswered, {step: 'read jobs', detail: 'no answer'});
			}

			return client.read(...parameters);
		},
	};
	const aborter = new AbortController();
	const follower = new WorkflowFollower({
		store: store as StoreClient, clock, ref, onInvalid: () => undefined, onStoreState: () => undefined,
	});
	void follower.run(aborter.signal);
	await clock.advance(3000);
	expect(follower.stalenessMs).toBeUndefined();
	isSilent = false;
	await clock.advance(3000);
	expect(follower.stalenessMs).toBeLessThan(1500);
	isSilent = true;
	await clock.advance(5000);
	aborter.abort();
	expect(follower.stalenessMs).toBeGreaterThan(4000);
});

/** Guards against a caller that gets no answer by its deadline because it shares the read of one with a later deadline. */
it('ends a call to catch up at its own time-out although it shares the read of a longer one', async () => {
	const clock = new ManualClock();
	const store: Pick<StoreClient, 'read'> = {
		async read(_ref, _fromOffset, {signal}) {
			await clock.sleep(60_000, signal);
			throw createError(ErrorCode.StoreUnanswered, {step: 'read jobs', detail: 'no answer'});
		},
	};
	const follower = new WorkflowFollower({
		store: store as StoreClient, clock, ref, onInvalid: () => undefined, onStoreState: () => undefined,
	});
	void follower.catchUp(1200);
	const results: boolean[] = [];
	void follower.catchUp(300).then(isCaughtUp => {
		results.push(isCaughtUp);
	});
	await clock.advance(350);
	expect(results).toEqual([false]);
});

type Deferred<Value> = {promise: Promise<Value>; resolve: (value: Value) => void; reject: (error: unknown) => void};

const createDeferred = <Value>(): Deferred<Value> => {
	const deferred: Partial<Deferred<Value>> = {};
	deferred.promise = new Promise((resolve, reject) => {
		deferred.resolve = resolve;
		deferred.reject = reject;
	});
	return deferred as Deferred<Value>;
};

/** Guards against a view that counts as complete after a gap: it lacks the retained records, and a read from before the gap says nothing of them. */
it('has not reached the end after a gap until a read that was sent later reaches it', async () => {
	const clock = new ManualClock();
	const pending: Array<Deferred<StorePage>> = [];
	const store: Pick<StoreClient, 'read'> = {
		async read() {
			const read = createDeferred<StorePage>();
			pending.push(read);
			return read.promise;
		},
	};
	const emptyPage = {records: [], oldestOffset: 0, endOffset: 0};
	const aborter = new AbortController();
	const follower = new WorkflowFollower({
		store: store as StoreClient, clock, ref, onInvalid: () => undefined, onStoreState: () => undefined,
	});
	void follower.run(aborter.signal);
	pending.shift()!.resolve(emptyPage);
	await clock.advance(100);
	expect(follower.isCaughtUp).toBe(true);
	void follower.catchUp(5000);
	await clock.advance(100);
	const [early, late] = pending.splice(0);
	late!.reject(createError(ErrorCode.OffsetGone, {step: 'read jobs', detail: '10'}));
	await clock.advance(10);
	expect(follower.isCaughtUp).toBe(false);
	early!.resolve(emptyPage);
	await clock.advance(10);
	expect(follower.isCaughtUp).toBe(false);
	for (const read of pending.splice(0)) {
		read.resolve({records: [], oldestOffset: 10, endOffset: 10});
	}

	await clock.advance(10);
	aborter.abort();
	expect(follower.isCaughtUp).toBe(true);
});

/** Guards against a small entry that spends its processor on reads of a few records each while its callers wait. */
it('makes at most 0.4 as many reads while slowed, and stays recent', async () => {
	const clock = new ManualClock();
	const store = new MemoryStore(clock, 1);
	const counted = {...store.createClient('entry')};
	let reads = 0;
	let isSlowed = false;
	counted.read = async (...call) => {
		reads++;
		return store.createClient('entry').read(...call);
	};

	const aborter = new AbortController();
	const follower = new WorkflowFollower({
		store: counted, clock, ref, onInvalid: () => undefined, onStoreState: () => undefined, isSlowed: () => isSlowed,
	});
	void follower.run(aborter.signal);
	const countReads = async (): Promise<number> => {
		const before = reads;
		for (let index = 0; index < 500; index++) {
			void store.createClient('callers').append(ref, [encodeRecord({type: RecordType.Cancel, id: 'a'})], {timeoutMs: 1000});
			await clock.advance(10);
			expect(follower.stalenessMs ?? 0).toBeLessThan(1000);
		}

		return reads - before;
	};

	const usual = await countReads();
	isSlowed = true;
	const slowed = await countReads();
	aborter.abort();
	expect(slowed).toBeLessThanOrEqual(0.4 * usual);
});

/** Guards against refusals by what an owner that is long gone has forecast: a reader that starts reads its records only now. */
it('takes a forecast from before it last reached the end for as old as it may be', async () => {
	const clock = new ManualClock();
	const store = new MemoryStore(clock, 1);
	const publish = async () => store.createClient('owner').append(ref, [encodeRecord({
		type: RecordType.Forecast, forecast: {
			epoch: 1, service: 'desk', queues: [], fleet: undefined,
		},
	})], {timeoutMs: 1000});
	void publish();
	await clock.advance(60_000);
	const aborter = new AbortController();
	const follower = new WorkflowFollower({
		store: store.createClient('entry'), clock, ref, onInvalid: () => undefined, onStoreState: () => undefined,
	});
	const getAgeMs = () => clock.monotonicMs() - follower.fold.admission.forecasts.get('desk')!.writtenAfterMs;
	void follower.run(aborter.signal);
	await clock.advance(1000);
	expect(getAgeMs()).toBeGreaterThan(60_000);
	void publish();
	await clock.advance(1000);
	expect(getAgeMs()).toBeLessThan(2000);
	aborter.abort();
});
