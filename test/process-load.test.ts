/**
A process that is late with everything, and one that stood still once.
*/
import {
	afterEach, beforeEach, expect, it,
} from 'vitest';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {ProcessLoad} from '../src/utils/process-load.ts';

const clock = new ManualClock();
let lateMs = 0;
let events: string[] = [];
let aborter: AbortController;

const start = (): ProcessLoad => {
	const load = new ProcessLoad({
		monotonicMs: () => clock.monotonicMs(),
		now: () => clock.now(),
		setTimer: (callback, delayMs) => clock.setTimer(callback, delayMs + lateMs),
		sleep: async (delayMs, signal) => clock.sleep(delayMs + lateMs, signal),
	}, event => {
		events.push(event);
	});
	void load.watch(aborter.signal);
	return load;
};

beforeEach(() => {
	lateMs = 0;
	events = [];
	aborter = new AbortController();
});

afterEach(() => {
	aborter.abort();
});

it('is not overloaded while its timers are on time', async () => {
	const load = start();
	lateMs = 10;
	await clock.advance(10_000);
	expect(load.isOverloaded).toBe(false);
	expect(events).toEqual([]);
});

/**
Callers waited for seconds in front of an owner whose timers fired 0.1 to 0.4 s late; entries beside it had time. It tells
the balancer that it is not ready, until it has kept up for a while.
*/
it('is overloaded while its timers are late, and until they were on time for a while', async () => {
	const load = start();
	lateMs = 300;
	await clock.advance(4000);
	expect(load.isOverloaded).toBe(true);
	lateMs = 0;
	await clock.advance(2000);
	expect(load.isOverloaded).toBe(true);
	await clock.advance(5000);
	expect(load.isOverloaded).toBe(false);
	expect(events.filter(event => event !== 'timers late')).toEqual(['overloaded', 'keeps up']);
});

/** A host that was frozen for a second has nothing to shed once it is awake. */
it('is not overloaded after it stood still once', async () => {
	const load = start();
	lateMs = 1000;
	await clock.advance(1050);
	lateMs = 0;
	await clock.advance(3000);
	expect(load.isOverloaded).toBe(false);
	expect(events.filter(event => event !== 'timers late')).toEqual([]);
});
