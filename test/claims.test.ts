import * as fc from 'fast-check';
import {expect, test} from 'vitest';
import {ClaimState} from '../src/types/services.ts';
import {createSimulatedClaims} from './simulated-claims.ts';

test('of two entries that get the same id at once, one dispatches and the other reports the claim that holds it', async () => {
	// A client times out and repeats a non-idempotent request at another entry within the same millisecond.
	// Both entries append a claim. The first in the log wins; the other entry must not run the request again.
	const simulation = createSimulatedClaims();
	const [a, b] = [simulation.start('a'), simulation.start('b')];
	const requestId = simulation.createId();
	const both = [a.request(requestId), b.request(requestId)];
	await simulation.clock.advance(1000);
	const tries = await Promise.all(both);
	expect(simulation.dispatches.get(requestId)).toBe(1);
	expect(tries.filter(({refusal}) => refusal === 'in-use')).toHaveLength(1);
	expect(a.registry.lookup(requestId)?.state).toBe(ClaimState.Done);
	expect(b.registry.lookup(requestId)).toEqual(a.registry.lookup(requestId));
});

test('the same id twice at one entry runs once', async () => {
	const simulation = createSimulatedClaims();
	const entry = simulation.start('a');
	const requestId = simulation.createId();
	const both = [entry.request(requestId), entry.request(requestId.toUpperCase())];
	await simulation.clock.advance(1000);
	const tries = await Promise.all(both);
	expect(tries.map(({isDispatched}) => isDispatched)).toEqual([true, false]);
});

test('a claim whose append took effect without an answer is still dispatched, once', async () => {
	// The log stores the claim, and its answer is lost. The entry appends the claim again.
	// The caller must get its response, and the duplicate must not count as another request.
	const simulation = createSimulatedClaims();
	const entry = simulation.start('a');
	simulation.memory.faults.loseAnswerChance = 1;
	const requestId = simulation.createId();
	const attempt = entry.request(requestId);
	await simulation.clock.advance(400);
	simulation.memory.faults.loseAnswerChance = 0;
	await simulation.clock.advance(600);
	expect((await attempt).isDispatched).toBe(true);
	expect(simulation.dispatches.get(requestId)).toBe(1);
	expect(entry.registry.lookup(requestId)?.state).toBe(ClaimState.Done);
});

test('while the log is down, a claim fails within its timeout, and at once if the log stays down', async () => {
	// The log is down when the entry starts. A caller must get "not run" when its timeout has passed, not later;
	// after a while every caller gets it at once. Once the log is back, claims succeed again.
	const simulation = createSimulatedClaims();
	simulation.memory.faults.isDown = true;
	const entry = simulation.start('a');
	const first = entry.request(simulation.createId(), {timeoutMs: 300});
	await simulation.clock.advance(300);
	expect((await first).refusal).toBe('not-run');

	await simulation.clock.advance(2000);
	expect(entry.registry.isLogDown).toBe(true);
	// The first is the probe.
	const probe = entry.request(simulation.createId(), {timeoutMs: 300});
	const refused = await entry.request(simulation.createId(), {timeoutMs: 300});
	expect(refused.refusal).toBe('not-run');
	await simulation.clock.advance(300);
	expect((await probe).refusal).toBe('not-run');

	simulation.memory.faults.isDown = false;
	await simulation.clock.advance(5000);
	const requestId = simulation.createId();
	const next = entry.request(requestId);
	await simulation.clock.advance(1000);
	expect((await next).isDispatched).toBe(true);
	expect(simulation.dispatches.size).toBe(1);
});

test('ends of requests that ran while the log went down are written when it is back, from a bounded buffer', async () => {
	const simulation = createSimulatedClaims({claims: {maxPending: 4}});
	const entry = simulation.start('a');
	const ids = Array.from({length: 4}, () => simulation.createId());
	const all = ids.map(async requestId => entry.request(requestId, {runMs: 500}));
	await simulation.clock.advance(200);
	simulation.memory.faults.isDown = true;
	await simulation.clock.advance(1000);
	await Promise.all(all);
	const other = simulation.start('b');
	simulation.memory.faults.isDown = false;
	await simulation.clock.advance(5000);
	expect(ids.map(requestId => other.registry.lookup(requestId)?.state)).toEqual(ids.map(() => ClaimState.Done));
	// More ends than the buffer holds: requests whose end is dropped stay open and never become not-run.
	const more = Array.from({length: 12}, () => simulation.createId());
	const moreTries = [];
	for (const requestId of more) {
		moreTries.push(entry.request(requestId, {runMs: 2000}));
		await simulation.clock.advance(100);
	}

	simulation.memory.faults.isDown = true;
	await simulation.clock.advance(10_000);
	await Promise.all(moreTries);
	simulation.memory.faults.isDown = false;
	await simulation.clock.advance(5000);
	const states = more.map(requestId => other.registry.lookup(requestId)?.state);
	expect(states.filter(state => state === ClaimState.Done).length).toBeGreaterThanOrEqual(8);
	expect(states.every(state => state === ClaimState.Done || state === ClaimState.Claimed)).toBe(true);
});

test('an abandoned claim is released, and the id can be claimed again', async () => {
	// The log is slow. The caller's timeout passes before the claim is read back; the caller gets "not run".
	// The claim then turns out to be the first. It must not be dispatched, and must not hold the id for ever.
	const simulation = createSimulatedClaims();
	const entry = simulation.start('a');
	await simulation.clock.advance(100);
	simulation.memory.faults.delayMs = 400;
	const requestId = simulation.createId();
	const slow = entry.request(requestId, {timeoutMs: 300});
	await simulation.clock.advance(3000);
	expect((await slow).refusal).toBe('not-run');
	expect(simulation.dispatches.size).toBe(0);
	simulation.memory.faults.delayMs = 0;
	await simulation.clock.advance(3000);
	expect(entry.registry.lookup(requestId)?.state).toBe(ClaimState.NotRun);
	const again = simulation.start('b').request(requestId);
	await simulation.clock.advance(1000);
	expect((await again).isDispatched).toBe(true);
});

test('a caller that got "not run" may repeat the request at the same entry at once', async () => {
	// Its first claim is in the log and the release is not yet: the entry must not report its own abandoned claim as "in use".
	const simulation = createSimulatedClaims();
	const entry = simulation.start('a');
	await simulation.clock.advance(100);
	simulation.memory.faults.delayMs = 100;
	const requestId = simulation.createId();
	const first = entry.request(requestId, {timeoutMs: 50});
	await simulation.clock.advance(50);
	expect((await first).refusal).toBe('not-run');
	const second = entry.request(requestId, {timeoutMs: 2000});
	await simulation.clock.advance(3000);
	expect((await second).isDispatched).toBe(true);
	expect(simulation.dispatches.get(requestId)).toBe(1);
});

test('an entry paused between its claim and its dispatch does not dispatch when it resumes too late', async () => {
	// The entry wins the claim and is suspended for an hour. Operators see the request as open and resolve it by hand.
	// When the entry resumes, it must not dispatch the request.
	const simulation = createSimulatedClaims();
	const [a, b] = [simulation.start('a'), simulation.start('b')];
	const requestId = simulation.createId();
	const attempt = a.request(requestId, {queueMs: 1000});
	await simulation.clock.advance(500);
	a.gate.isPaused = true;
	await simulation.clock.advance(3_600_000);
	expect(b.registry.listOpen().map(claim => claim.requestId)).toEqual([requestId]);
	a.gate.resume();
	await simulation.clock.advance(2000);
	expect((await attempt).refusal).toBe('not-run');
	expect(simulation.dispatches.size).toBe(0);
});

test('an entry paused before it reads its claim abandons it when it resumes, before any timer fires', async () => {
	const simulation = createSimulatedClaims();
	const a = simulation.start('a');
	await simulation.clock.advance(50);
	const requestId = simulation.createId();
	const attempt = a.request(requestId, {timeoutMs: 500});
	// The append is in flight.
	simulation.memory.faults.delayMs = 50;
	await simulation.clock.advance(25);
	a.gate.isPaused = true;
	await simulation.clock.advance(60_000);
	a.gate.resume();
	await simulation.clock.advance(2000);
	expect((await attempt).refusal).toBe('not-run');
	expect(simulation.dispatches.size).toBe(0);
	expect(a.registry.lookup(requestId)?.state).not.toBe(ClaimState.Claimed);
});

test('after a crash between claim and response the request is open, listed, and never run again', async () => {
	// The entry crashes while the upstream processes a request, so it is unknown whether the request ran.
	// Every entry must refuse a retry as "in use", and operators must find the request in the list.
	const simulation = createSimulatedClaims();
	const [a, b] = [simulation.start('a'), simulation.start('b')];
	const requestId = simulation.createId();
	void a.request(requestId, {runMs: 10_000});
	await simulation.clock.advance(500);
	a.crash();
	const restarted = simulation.start('a');
	await simulation.clock.advance(20_000);
	for (const entry of [b, restarted]) {
		const retry = await entry.request(requestId);
		expect(retry).toMatchObject({refusal: 'in-use', holderState: ClaimState.Claimed, isDispatched: false});
		expect(entry.registry.listOpen().map(claim => claim.requestId)).toEqual([requestId]);
	}

	expect(simulation.dispatches.get(requestId)).toBe(1);
});

test('claims and ends of many requests share few appends', async () => {
	const simulation = createSimulatedClaims();
	const entry = simulation.start('a');
	await simulation.clock.advance(100);
	const appendsBefore = simulation.memory.appends;
	for (let index = 0; index < 1000; index++) {
		void entry.request(simulation.createId());
		await simulation.clock.advance(1);
	}

	expect(simulation.dispatches.size).toBeGreaterThan(950);
	expect(simulation.memory.appends - appendsBefore).toBeLessThanOrEqual(51);
});

enum StepType {
	Request,
	Pause,
	Resume,
	Crash,
	Faults,
	Wait,
}

test('under random pauses, crashes and faults, each id is dispatched at most once, and never after "not run"', async () => {
	const entryIndex = fc.integer({min: 0, max: 2});
	const step = fc.oneof(
		{
			weight: 6,
			arbitrary: fc.record({
				type: fc.constant(StepType.Request as const),
				entryIndex,
				idIndex: fc.integer({min: 0, max: 4}),
				timeoutMs: fc.integer({min: 1, max: 2000}),
				runMs: fc.integer({min: 0, max: 1500}),
				queueMs: fc.constantFrom(0, 0, 100),
			}),
		},
		{weight: 2, arbitrary: fc.record({type: fc.constant(StepType.Pause as const), entryIndex})},
		{weight: 2, arbitrary: fc.record({type: fc.constant(StepType.Resume as const), entryIndex})},
		{weight: 1, arbitrary: fc.record({type: fc.constant(StepType.Crash as const), entryIndex})},
		{
			weight: 3,
			arbitrary: fc.record({
				type: fc.constant(StepType.Faults as const),
				isDown: fc.boolean(),
				delayMs: fc.constantFrom(0, 10, 300),
				loseAnswerChance: fc.constantFrom(0, 0.5),
				failChance: fc.constantFrom(0, 0.5),
				lateChance: fc.constantFrom(0, 0.5),
			}),
		},
		{weight: 5, arbitrary: fc.record({type: fc.constant(StepType.Wait as const), durationMs: fc.constantFrom(1, 30, 300, 3000, 70_000)})},
	);

	await fc.assert(fc.asyncProperty(fc.integer(), fc.array(step, {maxLength: 50}), async (seed, steps) => {
		const simulation = createSimulatedClaims({seed, retentionMs: 240_000, claims: {idLifetimeMs: 120_000, marginMs: 60_000}});
		const entries = [simulation.start('a'), simulation.start('b'), simulation.start('c')];
		const ids = Array.from({length: 5}, () => simulation.createId());
		await simulation.clock.advance(10);
		for (const next of steps) {
			switch (next.type) {
				case StepType.Request: {
					// An id that has become too old is replaced by a new one.
					if (entries[0]!.registry.checkRequestId(ids[next.idIndex]!) !== undefined && seed % 2 === 0) {
						ids[next.idIndex] = simulation.createId();
					}

					void entries[next.entryIndex]!.request(ids[next.idIndex]!, next);
					break;
				}

				case StepType.Pause: {
					entries[next.entryIndex]!.gate.isPaused = true;
					break;
				}

				case StepType.Resume: {
					entries[next.entryIndex]!.gate.resume();
					break;
				}

				case StepType.Crash: {
					entries[next.entryIndex]!.crash();
					entries[next.entryIndex] = simulation.start('abc'[next.entryIndex]!);
					break;
				}

				case StepType.Faults: {
					Object.assign(simulation.memory.faults, {
						isDown: next.isDown, delayMs: next.delayMs, loseAnswerChance: next.loseAnswerChance, failChance: next.failChance,
					});
					simulation.late.chance = next.lateChance;
					break;
				}

				case StepType.Wait: {
					await simulation.clock.advance(next.durationMs);
					break;
				}
			}
		}

		Object.assign(simulation.memory.faults, {
			isDown: false, delayMs: 0, loseAnswerChance: 0, failChance: 0,
		});
		simulation.late.chance = 0;
		for (const entry of entries) {
			entry.gate.resume();
		}

		await simulation.clock.advance(30_000);
		for (const [requestId, count] of simulation.dispatches) {
			expect(count, requestId).toBe(1);
		}

		for (const {refusal, isDispatched, requestId} of simulation.tries) {
			expect(refusal === 'not-run' && isDispatched, requestId).toBe(false);
		}

		// Every request that ran is done or open at every entry, unless its id is too old.
		for (const requestId of simulation.dispatches.keys()) {
			const states = entries.map(entry => entry.registry.lookup(requestId)?.state);
			const isOld = entries[0]!.registry.checkRequestId(requestId) !== undefined;
			expect(isOld || states.every(state => state === ClaimState.Done || state === ClaimState.Claimed), `${requestId} ${states.join(' ')}`).toBe(true);
		}

		for (const entry of entries) {
			entry.crash();
		}
	}), {numRuns: 150, seed: 7});
}, 120_000);
