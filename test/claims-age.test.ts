import {expect, test} from 'vitest';
import {createSettings} from '../src/core/settings.ts';
import {ClaimBook} from '../src/requests/claim-book.ts';
import {ClaimFold} from '../src/requests/claim-fold.ts';
import {findStartOffset} from '../src/requests/claim-start.ts';
import {ClaimItemType, type ClaimItem, type ClaimRecord} from '../src/requests/claim-records.ts';
import {MemoryLog} from '../src/standin/memory-log.ts';
import {Stream} from '../src/types/platform.ts';
import {RefusalReason} from '../src/types/requests.ts';
import {ClaimState} from '../src/types/services.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createRequestId} from '../src/utils/request-id.ts';
import {createRandom} from '../src/utils/seeded-random.ts';
import {createClaimsWorld} from './claims-world.ts';

test('an id older than what the log keeps is refused, also by an entry that starts after its claim has lapsed', async () => {
	// A caller repeats a request of yesterday. Its claim is gone from the log: a new entry cannot know that it ran.
	const retentionMs = 600_000;
	const world = createClaimsWorld({retentionMs});
	const a = world.start('a');
	const requestId = world.createId();
	const first = a.request(requestId);
	await world.clock.advance(1000);
	expect((await first).isDispatched).toBe(true);
	await world.clock.advance(retentionMs + 60_000);
	const late = world.start('b');
	await world.clock.advance(1000);
	for (const entry of [a, late]) {
		expect(entry.book.judge(requestId)).toBe(RefusalReason.RequestIdExpired);
		expect(await entry.request(requestId)).toMatchObject({told: 'not-run', isDispatched: false});
	}

	expect(a.book.getStatus().known).toBe(0);
});

test('a log that keeps less than the settings say does not make a request run twice', async () => {
	// The platform drops records after minutes although a day was agreed.
	const world = createClaimsWorld();
	const a = world.start('a');
	const requestId = world.createId();
	const first = a.request(requestId);
	await world.clock.advance(60_000);
	await first;
	const other = a.request(world.createId());
	await world.clock.advance(1000);
	await other;
	const {endOffset} = await world.memory.read(Stream.Claims, 0);
	world.memory.truncate(Stream.Claims, endOffset - 2);
	const late = world.start('b');
	await world.clock.advance(1000);
	expect(late.book.judge(requestId)).toBe(RefusalReason.RequestIdExpired);
	const retry = await late.request(requestId);
	expect(retry.isDispatched).toBe(false);
	await world.clock.advance(10_000);
	expect(late.book.judge(world.createId())).toBeUndefined();
});

test('a starting entry skips what can no longer matter, and misses nothing that can', async () => {
	// A day of records would keep a new entry from claiming for minutes.
	const world = createClaimsWorld({claims: {idLifetimeMs: 60_000, marginMs: 60_000}});
	const createBatch = (writtenAtMs: number): ClaimRecord => ({
		id: 'r', entryId: 'a', writtenAtMs, items: [],
	});
	const nowMs = world.clock.now().getTime();
	for (let index = 10_000; index > 0; index--) {
		await world.memory.append(Stream.Claims, createBatch(nowMs - (index * 1000)));
	}

	const {settings, clock, random, memory} = world;
	const fromOffset = await findStartOffset({
		log: memory, clock, random, settings, signal: new AbortController().signal,
	});
	// Records of the last 120 s are the last 120.
	expect(fromOffset).toBeLessThanOrEqual(10_000 - 120);
	expect(fromOffset).toBeGreaterThan(10_000 - 120 - 2000);
});

test('ids from the future and ids of another form are refused', () => {
	// An id from tomorrow would outlive its claim and run again.
	const world = createClaimsWorld();
	const {book} = world.start('a');
	const tomorrow = new ManualClock(world.clock.now().getTime() + 86_400_000);
	expect(book.judge(createRequestId(tomorrow, world.random))).toBe(RefusalReason.BadRequestId);
	expect(book.judge('b0d4ce5d-2757-4699-948c-cfa72ba94f86')).toBe(RefusalReason.BadRequestId);
	expect(book.judge(world.createId())).toBeUndefined();
});

/** A book that is fed by hand, on a clock that can jump without its timers firing. */
const createFedBook = (claims: Partial<ReturnType<typeof createSettings>['claims']> = {}) => {
	const clock = new ManualClock();
	const random = createRandom(3);
	const jump = {ms: 0};
	const appended: ClaimRecord[] = [];
	const book = new ClaimBook({
		clock: {
			monotonicMs: () => clock.monotonicMs() + jump.ms,
			now: () => new Date(clock.now().getTime() + jump.ms),
			setTimer: (callback, delayMs) => clock.setTimer(callback, delayMs),
			sleep: async (delayMs, signal) => clock.sleep(delayMs, signal),
		},
		random,
		entryId: 'a',
		settings: createSettings({claims}),
		log: {
			async append(_stream, value) {
				appended.push(value as ClaimRecord);
				return appended.length - 1;
			},
			read: async () => ({records: [], oldestOffset: 0, endOffset: 0}),
		},
	});
	void book.run(new AbortController().signal);
	const createId = () => createRequestId(clock, random);
	return {
		clock, jump, appended, book, createId,
	};
};

test('a claim read after its time, before its timer has fired, is given up', async () => {
	// The entry was paused. When it runs again it handles the log's answer first and its timers after.
	const {clock, jump, appended, book, createId} = createFedBook();
	const result = book.claim(createId(), 'desk', 500);
	await clock.advance(50);
	jump.ms = 60_000;
	book.onRecord({offset: 0, value: appended[0]});
	expect(await result).toEqual({isWon: false});
	await clock.advance(100);
	expect(appended[1]!.items.map(({type}) => type)).toEqual([ClaimItemType.Release]);
});

test('an id that grows too old while its claim is on the way is not run', async () => {
	// The entry forgets ids at the age at which it refuses them. A claim made just before that age is read just after it,
	// when the earlier claim of the same id is forgotten already: it looks first and is not.
	const {clock, jump, appended, book, createId} = createFedBook({idLifetimeMs: 60_000});
	await clock.advance(60_000 - (clock.now().getTime() % 60_000) - 1);
	const requestId = createId();
	jump.ms = 59_900;
	const result = book.claim(requestId, 'desk', 1000);
	await clock.advance(50);
	jump.ms = 60_100;
	book.onPage({records: [], oldestOffset: 0, endOffset: 0});
	book.onRecord({offset: 1, value: appended[0]});
	expect(await result).toEqual({isWon: false});
});

test('an end whose append is cut off by the stop is written before the process ends', async () => {
	// The entry is replaced while it appends the end of a title. Lost, the title would stay open though it was issued.
	const clock = new ManualClock();
	const random = createRandom(3);
	const memory = new MemoryLog(clock, random);
	const aborter = new AbortController();
	const hanging = {isHanging: false};
	const book = new ClaimBook({
		clock,
		random,
		entryId: 'a',
		settings: createSettings(),
		log: {
			async append(stream, value, signal) {
				if (hanging.isHanging && signal) {
					await clock.sleep(60_000, signal);
					throw new Error('aborted');
				}

				return memory.append(stream, value);
			},
			read: async (stream, fromOffset) => memory.read(stream, fromOffset),
		},
	});
	const running = book.run(aborter.signal);
	const requestId = createRequestId(clock, random);
	const claimed = book.claim(requestId, 'desk', 1000);
	await clock.advance(50);
	for (const record of (await memory.read(Stream.Claims, 0)).records) {
		book.onRecord(record);
	}

	expect(await claimed).toEqual({isWon: true});
	hanging.isHanging = true;
	book.finish(requestId, {state: ClaimState.Done, status: 201});
	await clock.advance(50);
	aborter.abort();
	await clock.advance(2000);
	await running;
	await book.stop();
	const {records} = await memory.read(Stream.Claims, 0);
	const items = records.flatMap(({value}) => (value as ClaimRecord).items);
	expect(items.at(-1)).toMatchObject({type: ClaimItemType.End, requestId, status: 201});
});

test('a late copy of a claim given back neither wins nor holds the id', () => {
	// The append of a claim hung in the platform and took effect after the claim was given up and written off.
	const fold = new ClaimFold();
	const requestId = createFedBook().createId();
	const apply = (...items: ClaimItem[]) => {
		fold.apply({
			id: 'r', entryId: 'a', writtenAtMs: 0, items,
		});
	};

	const claim = (claimId: string): ClaimItem => ({
		type: ClaimItemType.Claim, requestId, claimId, service: 'desk',
	});
	const release = (claimId: string): ClaimItem => ({type: ClaimItemType.Release, requestId, claimId});
	apply(release('c1'));
	apply(claim('c1'));
	expect(fold.get(requestId)?.state).toBe(ClaimState.NotRun);
	apply(claim('c2'), release('c2'), claim('c2'), claim('c1'));
	expect(fold.get(requestId)?.state).toBe(ClaimState.NotRun);
	apply(claim('c3'), release('c1'), claim('c1'));
	expect(fold.get(requestId)).toMatchObject({claimId: 'c3', state: ClaimState.Claimed});
});

test('more ids than are remembered raise the oldest that is taken, instead of being forgotten', async () => {
	const world = createClaimsWorld({claims: {maxKnown: 20}});
	const entry = world.start('a');
	const ids: string[] = [];
	for (let index = 0; index < 60; index++) {
		ids.push(world.createId());
		void entry.request(ids.at(-1)!);
		await world.clock.advance(10_000);
	}

	expect(entry.book.getStatus().known).toBeLessThanOrEqual(20 + 6);
	expect(entry.book.judge(ids[0]!)).toBe(RefusalReason.RequestIdExpired);
	expect(entry.book.judge(world.createId())).toBeUndefined();
});
