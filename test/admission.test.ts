import * as fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	Admission, type AdmissionLimits, type Refusal, type Ticket,
} from '../src/requests/admission.ts';
import {FairQueue} from '../src/requests/fair-queue.ts';
import {RefusalReason, RequestClass} from '../src/types/requests.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createRandom} from '../src/utils/seeded-random.ts';

const createLimits = (queueLimit = 16): AdmissionLimits => ({
	queueLimit, longShare: 0.25, waitShare: 0.5,
});

type Sent = {
	name: string;
	requestClass: RequestClass;
	startedAtMs?: number;
	endedAtMs?: number;
	refusal?: Refusal;
	refusedAtMs?: number;
	ticket: Ticket;
};

/** Simulates a service with some slots, in which each request runs for its `runMs`. */
const createSimulatedService = (slots: number, {queueLimit}: {queueLimit?: number} = {}) => {
	const clock = new ManualClock();
	let free = slots;
	let peak = 0;
	const started: string[] = [];
	const admission = new Admission({
		clock, random: createRandom(1), limits: createLimits(queueLimit), getFreeSlots: () => free,
	});

	const send = (name: string, options: {requestClass?: RequestClass; runMs?: number; deadlineMs?: number; callerId?: string} = {}): Sent => {
		const {requestClass = RequestClass.Check, runMs = 10, deadlineMs = 1000, callerId = 'desk'} = options;
		const sent: Sent = {
			name,
			requestClass,
			ticket: {
				requestClass,
				callerId,
				arrivedAtMs: clock.monotonicMs(),
				deadlineAtMs: clock.monotonicMs() + deadlineMs,
				tryStart() {
					if (free === 0) {
						return false;
					}

					free--;
					peak = Math.max(peak, slots - free);
					started.push(name);
					sent.startedAtMs = clock.monotonicMs();
					clock.setTimer(() => {
						free++;
						sent.endedAtMs = clock.monotonicMs();
						admission.recordEnd(requestClass, runMs);
					}, runMs);
					return true;
				},
				refuse(refusal) {
					sent.refusal = refusal;
					sent.refusedAtMs = clock.monotonicMs();
				},
			},
		};
		admission.submit(sent.ticket);
		return sent;
	};

	const sendMany = (count: number, name: string, options: Parameters<typeof send>[1] = {}) =>
		Array.from({length: count}, (_, index) => send(`${name}${index}`, options));
	return {
		clock, admission, send, sendMany, started, getPeak: () => peak,
		setFree(count: number) {
			free = count;
		},
	};
};

const long = {requestClass: RequestClass.Long, runMs: 100, deadlineMs: 60_000};

test('a request starts at once while slots are free, and waits in order of arrival when none is', () => {
	const {clock, sendMany, started, getPeak} = createSimulatedService(2);
	sendMany(5, 'c');
	expect(started).toEqual(['c0', 'c1']);
	clock.advanceSync(100);
	expect(started).toEqual(['c0', 'c1', 'c2', 'c3', 'c4']);
	expect(getPeak()).toBe(2);
});

test('checks go before long requests that use more than their reserve', () => {
	const {clock, send, sendMany, started} = createSimulatedService(8);
	sendMany(8, 'c', {runMs: 5});
	sendMany(3, 'l', long);
	send('late');
	clock.advanceSync(5);
	// Two of eight slots are reserved: they go to long requests, and the next one to the check that arrived last.
	expect(started.slice(8)).toEqual(['l0', 'l1', 'late', 'l2']);
});

test('every accepted long request completes while checks keep coming', () => {
	// A burst of checks keeps their queue full for seconds. With strict priority of checks, long requests would wait for ever.
	for (const slots of [1, 2, 3, 4, 8]) {
		const {clock, send, sendMany} = createSimulatedService(slots);
		sendMany(slots, 'first');
		const longs = [send('l0', long), send('l1', long), send('l2', {...long, callerId: 'bank'})];
		for (let round = 0; round < 400; round++) {
			sendMany(2, `c${round}-`);
			clock.advanceSync(5);
		}

		expect(longs.map(({refusal, endedAtMs}) => refusal === undefined && endedAtMs !== undefined), `${slots} slots`).toEqual([true, true, true]);
	}
});

test('checks use the slots reserved for long requests while no long request waits', () => {
	const {sendMany, started} = createSimulatedService(8);
	sendMany(8, 'c');
	expect(started).toHaveLength(8);
});

test('long requests leave slots free for the usual load of checks', () => {
	const {clock, sendMany, send} = createSimulatedService(16);
	for (let round = 0; round < 1000; round++) {
		sendMany(2, 'c', {runMs: 10});
		clock.advanceSync(10);
	}

	sendMany(16, 'l', long);
	const check = send('check');
	expect(check.startedAtMs).toBe(clock.monotonicMs());
});

test('a request that cannot be answered in time is refused on arrival, with a time after which to retry', () => {
	// A check arrives behind a queue that takes longer than the check may wait.
	// Queueing it until its deadline would waste the caller's time and a place in the queue.
	const {clock, sendMany, send} = createSimulatedService(1, {queueLimit: 1000});
	sendMany(1, 'warm', {runMs: 50});
	clock.advanceSync(50);
	sendMany(10, 'c', {runMs: 50, deadlineMs: 10_000});
	const late = send('late', {deadlineMs: 200});
	expect(late.refusal?.reason).toBe(RefusalReason.DeadlineUnmeetable);
	expect(late.refusedAtMs).toBe(clock.monotonicMs());
	// Nine wait and one runs: the wait of 500 ms exceeds the 75 ms that half of the spare time allows by 425 ms.
	expect(late.refusal!.retryAfterMs).toBeGreaterThanOrEqual(425);
	expect(late.refusal!.retryAfterMs).toBeLessThanOrEqual(425 * 1.5);
});

test('a queued request whose deadline can no longer be met is refused then, not at its deadline', () => {
	const {clock, sendMany, send} = createSimulatedService(1);
	sendMany(1, 'warm', {runMs: 20});
	clock.advanceSync(20);
	// The run in progress takes far longer than those before it.
	send('stuck', {runMs: 5000});
	const waiting = send('waiting', {deadlineMs: 200});
	clock.advanceSync(400);
	expect(waiting.refusal?.reason).toBe(RefusalReason.DeadlinePassed);
	expect(waiting.refusedAtMs).toBe(20 + 180);
	clock.advanceSync(10_000);
	expect(waiting.startedAtMs).toBeUndefined();
});

test('one caller cannot take the whole queue, and other callers are served in turn', () => {
	// The script of one caller sends a thousand checks in a second, and another caller sends one.
	// The second caller must neither find the queue full nor wait behind the thousand.
	const {clock, sendMany, send, started} = createSimulatedService(1, {queueLimit: 64});
	const flood = sendMany(1000, 'flood', {callerId: 'script', deadlineMs: 60_000});
	const clerk = send('clerk', {callerId: 'clerk', deadlineMs: 60_000});
	expect(flood.filter(({refusal}) => refusal === undefined)).toHaveLength(1 + 32);
	expect(flood.at(-1)!.refusal?.reason).toBe(RefusalReason.CallerShare);
	clock.advanceSync(10);
	clock.advanceSync(10);
	expect(clerk.startedAtMs).toBeDefined();
	expect(started.indexOf('clerk')).toBeLessThanOrEqual(2);
});

test('the queue is bounded whatever the number of callers', () => {
	const {send} = createSimulatedService(1, {queueLimit: 8});
	const sent = Array.from({length: 50}, (_, index) => send(`c${index}`, {callerId: `caller-${index}`}));
	expect(sent.filter(({refusal}) => refusal === undefined)).toHaveLength(1 + 8);
	expect(sent.at(-1)!.refusal?.reason).toBe(RefusalReason.QueueFull);
});

test('earlier runs that took longer than current deadlines do not cause every request to be refused', () => {
	const {clock, send} = createSimulatedService(1);
	send('slow', {runMs: 5000, deadlineMs: 10_000});
	clock.advanceSync(5000);
	expect(send('quick', {deadlineMs: 100}).startedAtMs).toBeDefined();
	// The same for a request that has to wait.
	const waiting = send('next', {deadlineMs: 100_000});
	clock.advanceSync(10);
	expect(waiting.startedAtMs).toBeDefined();
});

test('a request that arrives past its deadline is refused although slots are free', () => {
	const {send} = createSimulatedService(1);
	expect(send('late', {deadlineMs: 0}).refusal?.reason).toBe(RefusalReason.DeadlinePassed);
});

test('places reserved for requests that are being claimed count as queued', () => {
	const {admission, sendMany, send} = createSimulatedService(1, {queueLimit: 4});
	sendMany(1, 'running');
	for (let index = 0; index < 4; index++) {
		expect(admission.findRefusal(send('x', {callerId: `c${index}`, deadlineMs: 0}).ticket)?.reason).toBe(RefusalReason.DeadlinePassed);
		admission.reserve(RequestClass.Check, 1);
	}

	expect(send('late').refusal).toBeDefined();
	admission.reserve(RequestClass.Check, -1);
	expect(send('next').refusal).toBeUndefined();
});

test('long requests start while no free upstream is acceptable for the waiting checks', () => {
	// Only a slow upstream has free slots. Checks wait for a faster one; the long requests behind them need not.
	const clock = new ManualClock();
	const admission = new Admission({
		clock, random: createRandom(1), limits: createLimits(), getFreeSlots: () => 8,
	});
	const started: RequestClass[] = [];
	for (const requestClass of [RequestClass.Check, RequestClass.Long, RequestClass.Long, RequestClass.Long]) {
		admission.submit({
			requestClass,
			callerId: 'desk',
			arrivedAtMs: 0,
			deadlineAtMs: 1000,
			tryStart() {
				if (requestClass === RequestClass.Long) {
					started.push(requestClass);
				}

				return requestClass === RequestClass.Long;
			},
			refuse: () => undefined,
		});
	}

	expect(started).toHaveLength(3);
});

test('closing refuses all waiting requests as shutting down', () => {
	const {clock, admission, sendMany, send} = createSimulatedService(1);
	const [running, waiting] = sendMany(2, 'c');
	admission.close();
	expect(waiting!.refusal?.reason).toBe(RefusalReason.ShuttingDown);
	expect(send('late').refusal?.reason).toBe(RefusalReason.ShuttingDown);
	clock.advanceSync(10);
	expect(running!.endedAtMs).toBe(10);
});

test('a request that waits for another attempt starts before the queue', () => {
	const {clock, admission, sendMany, started} = createSimulatedService(1);
	const [, waiting] = sendMany(2, 'c');
	admission.cancel(waiting!.ticket);
	sendMany(3, 'd');
	admission.resubmit(waiting!.ticket);
	clock.advanceSync(10);
	expect(started).toEqual(['c0', 'c1']);
});

test('waiting requests start when slots become available', () => {
	const {admission, sendMany, started, setFree, clock} = createSimulatedService(0);
	sendMany(2, 'c');
	expect(started).toEqual([]);
	setFree(2);
	clock.advanceSync(20);
	admission.startWaiting();
	expect(started).toEqual(['c0', 'c1']);
});

test('the fair queue serves callers by weight and keeps no state of callers with nothing queued', () => {
	const queue = new FairQueue<{callerId: string; name: string}>(callerId => callerId === 'a' ? 2 : 1);
	for (const name of ['a1', 'a2', 'a3', 'a4', 'b1', 'b2', 'c1']) {
		queue.push({callerId: name[0]!, name});
	}

	const served: string[] = [];
	for (let item = queue.peek(); item; item = queue.peek()) {
		served.push(item.name);
		queue.remove(item, true);
	}

	expect(served).toEqual(['a1', 'a2', 'b1', 'c1', 'a3', 'a4', 'b2']);
	expect(queue.size).toBe(0);
	expect(queue.mayPush('a', 1)).toBe(true);
});

test('for any sequence of requests: each starts once or is refused once, slots are not exceeded, and no wait outlasts the deadline', () => {
	const event = fc.record({
		afterMs: fc.integer({min: 0, max: 60}),
		runMs: fc.integer({min: 1, max: 300}),
		deadlineMs: fc.integer({min: 1, max: 800}),
		isLong: fc.boolean(),
		callerId: fc.constantFrom('a', 'b', 'c'),
		isCancelling: fc.boolean(),
	});
	fc.assert(fc.property(fc.integer({min: 1, max: 9}), fc.array(event, {maxLength: 80}), (slots, events) => {
		const {clock, admission, send, getPeak} = createSimulatedService(slots);
		const all: Array<{sent: Sent; deadlineAtMs: number; isCancelled: boolean}> = [];
		for (const {afterMs, runMs, deadlineMs, isLong, callerId, isCancelling} of events) {
			clock.advanceSync(afterMs);
			const sent = send('x', {
				requestClass: isLong ? RequestClass.Long : RequestClass.Check, runMs, deadlineMs, callerId,
			});
			const isCancelled = isCancelling && sent.startedAtMs === undefined && sent.refusal === undefined;
			if (isCancelling) {
				admission.cancel(sent.ticket);
			}

			all.push({sent, deadlineAtMs: sent.ticket.deadlineAtMs, isCancelled});
		}

		clock.advanceSync(100_000);
		expect(getPeak()).toBeLessThanOrEqual(slots);
		for (const {sent, deadlineAtMs, isCancelled} of all) {
			const outcomes = [sent.startedAtMs !== undefined, sent.refusal !== undefined, isCancelled].filter(Boolean);
			expect(outcomes).toHaveLength(1);
			expect(sent.startedAtMs ?? sent.refusedAtMs ?? 0).toBeLessThanOrEqual(deadlineAtMs);
		}

		expect(admission.getStatus()).toMatchObject({waiting: {check: 0, long: 0, again: 0}, inFlight: {check: 0, long: 0}});
	}), {numRuns: 300, seed: 4});
});
