/**
Overload detection in a process whose timers are always late, and in one that was frozen once.
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
Guards against callers that wait for seconds for an owner whose timers fire 0.1 to 0.4 s late while other entries are not busy. An
overloaded entry reports to the load balancer that it is not ready, until its timers have been on time for a while.
*/
it('is overloaded while its timers are late, and until they have been on time for a while', async () => {
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

/** A freeze of one second leaves no backlog of work, so the process must not be reported as overloaded. */
it('is not overloaded after a single freeze', async () => {
	const load = start();
	lateMs = 1000;
	await clock.advance(1050);
	lateMs = 0;
	await clock.advance(3000);
	expect(load.isOverloaded).toBe(false);
	expect(events.filter(event => event !== 'timers late')).toEqual([]);
});
