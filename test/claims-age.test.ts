import {expect, test} from 'vitest';
import {createSettings} from '../src/core/settings.ts';
import {ClaimRegistry} from '../src/requests/claim-registry.ts';
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
import {createSimulatedClaims} from './simulated-claims.ts';

test('an id older than the retention of the log is refused, also by an entry that starts after its claim has expired', async () => {
	// A caller repeats an old request whose claim has expired from the log: a new entry cannot know that it ran.
	const retentionMs = 600_000;
	const simulation = createSimulatedClaims({retentionMs});
	const a = simulation.start('a');
	const requestId = simulation.createId();
	const first = a.request(requestId);
	await simulation.clock.advance(1000);
	expect((await first).isDispatched).toBe(true);
	await simulation.clock.advance(retentionMs + 60_000);
	const late = simulation.start('b');
	await simulation.clock.advance(1000);
	for (const entry of [a, late]) {
		expect(entry.registry.checkRequestId(requestId)).toBe(RefusalReason.RequestIdExpired);
		expect(await entry.request(requestId)).toMatchObject({refusal: 'not-run', isDispatched: false});
	}

	expect(a.registry.getStatus().known).toBe(0);
});

test('a log that retains records for less than the configured retention does not make a request run twice', async () => {
	// The platform deletes records after minutes although the settings say a day.
	const simulation = createSimulatedClaims();
	const a = simulation.start('a');
	const requestId = simulation.createId();
	const first = a.request(requestId);
	await simulation.clock.advance(60_000);
	await first;
	const other = a.request(simulation.createId());
	await simulation.clock.advance(1000);
	await other;
	const {endOffset} = await simulation.memory.read(Stream.Claims, 0);
	simulation.memory.truncate(Stream.Claims, endOffset - 2);
	const late = simulation.start('b');
	await simulation.clock.advance(1000);
	expect(late.registry.checkRequestId(requestId)).toBe(RefusalReason.RequestIdExpired);
	const retry = await late.request(requestId);
	expect(retry.isDispatched).toBe(false);
	await simulation.clock.advance(10_000);
	expect(late.registry.checkRequestId(simulation.createId())).toBeUndefined();
});

test('a starting entry skips records of ids that are no longer accepted, and no others', async () => {
	// Reading a day of records would keep a new entry from claiming for minutes.
	const simulation = createSimulatedClaims({claims: {idLifetimeMs: 60_000, marginMs: 60_000}});
	const createBatch = (writtenAtMs: number): ClaimRecord => ({
		id: 'r', entryId: 'a', writtenAtMs, items: [],
	});
	const nowMs = simulation.clock.now().getTime();
	for (let index = 10_000; index > 0; index--) {
		await simulation.memory.append(Stream.Claims, createBatch(nowMs - (index * 1000)));
	}

	const {settings, clock, random, memory} = simulation;
	const fromOffset = await findStartOffset({
		log: memory, clock, random, settings, signal: new AbortController().signal,
	});
	// Records of the last 120 s are the last 120.
	expect(fromOffset).toBeLessThanOrEqual(10_000 - 120);
	expect(fromOffset).toBeGreaterThan(10_000 - 120 - 2000);
});

test('ids from the future and ids in another format are refused', () => {
	// The claim of an id from tomorrow would expire before the id is too old, and the request would run again.
	const simulation = createSimulatedClaims();
	const {registry} = simulation.start('a');
	const tomorrow = new ManualClock(simulation.clock.now().getTime() + 86_400_000);
	expect(registry.checkRequestId(createRequestId(tomorrow, simulation.random))).toBe(RefusalReason.BadRequestId);
	expect(registry.checkRequestId('b0d4ce5d-2757-4699-948c-cfa72ba94f86')).toBe(RefusalReason.BadRequestId);
	expect(registry.checkRequestId(simulation.createId())).toBeUndefined();
});

/** A registry whose records the test applies itself, on a clock that can jump without firing its timers. */
const createManualRegistry = (claims: Partial<ReturnType<typeof createSettings>['claims']> = {}) => {
	const clock = new ManualClock();
	const random = createRandom(3);
	const jump = {ms: 0};
	const appended: ClaimRecord[] = [];
	const registry = new ClaimRegistry({
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
	void registry.run(new AbortController().signal);
	const createId = () => createRequestId(clock, random);
	return {
		clock, jump, appended, registry, createId,
	};
};

test('a claim read after its deadline, before its timer has fired, is released', async () => {
	// The entry was paused. When it resumes, it handles the answer of the log before its timers.
	const {clock, jump, appended, registry, createId} = createManualRegistry();
	const result = registry.claim(createId(), 'desk', 500);
	await clock.advance(50);
	jump.ms = 60_000;
	registry.onRecord({offset: 0, value: appended[0]});
	expect(await result).toEqual({isWon: false});
	await clock.advance(100);
	expect(appended[1]!.items.map(({type}) => type)).toEqual([ClaimItemType.Release]);
});

test('a request whose id becomes too old while its claim is in flight is not run', async () => {
	// The entry forgets ids at the age at which it refuses them. A claim made just before that age is read just after it,
	// when an earlier claim of the same id is already forgotten: it looks like the first claim and is not.
	const {clock, jump, appended, registry, createId} = createManualRegistry({idLifetimeMs: 60_000});
	await clock.advance(60_000 - (clock.now().getTime() % 60_000) - 1);
	const requestId = createId();
	jump.ms = 59_900;
	const result = registry.claim(requestId, 'desk', 1000);
	await clock.advance(50);
	jump.ms = 60_100;
	registry.onPage({records: [], oldestOffset: 0, endOffset: 0});
	registry.onRecord({offset: 1, value: appended[0]});
	expect(await result).toEqual({isWon: false});
});

test('an end whose append is aborted by the stop is written before the process ends', async () => {
	// The entry stops while it appends the end of a request. If the end were lost, the request would stay open although it ran.
	const clock = new ManualClock();
	const random = createRandom(3);
	const memory = new MemoryLog(clock, random);
	const aborter = new AbortController();
	const hanging = {isHanging: false};
	const registry = new ClaimRegistry({
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
	const running = registry.run(aborter.signal);
	const requestId = createRequestId(clock, random);
	const claimed = registry.claim(requestId, 'desk', 1000);
	await clock.advance(50);
	for (const record of (await memory.read(Stream.Claims, 0)).records) {
		registry.onRecord(record);
	}

	expect(await claimed).toEqual({isWon: true});
	hanging.isHanging = true;
	registry.finish(requestId, {state: ClaimState.Done, status: 201});
	await clock.advance(50);
	aborter.abort();
	await clock.advance(2000);
	await running;
	await registry.stop();
	const {records} = await memory.read(Stream.Claims, 0);
	const items = records.flatMap(({value}) => (value as ClaimRecord).items);
	expect(items.at(-1)).toMatchObject({type: ClaimItemType.End, requestId, status: 201});
});

test('a delayed duplicate of a released claim neither wins nor holds the id', () => {
	// The append of a claim hung in the platform and took effect after the claim was abandoned and released.
	const fold = new ClaimFold();
	const requestId = createManualRegistry().createId();
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

test('when there are more ids than `maxKnown`, the oldest are refused instead of being forgotten and claimable', async () => {
	const simulation = createSimulatedClaims({claims: {maxKnown: 20}});
	const entry = simulation.start('a');
	const ids: string[] = [];
	for (let index = 0; index < 60; index++) {
		ids.push(simulation.createId());
		void entry.request(ids.at(-1)!);
		await simulation.clock.advance(10_000);
	}

	expect(entry.registry.getStatus().known).toBeLessThanOrEqual(20 + 6);
	expect(entry.registry.checkRequestId(ids[0]!)).toBe(RefusalReason.RequestIdExpired);
	expect(entry.registry.checkRequestId(simulation.createId())).toBeUndefined();
});
