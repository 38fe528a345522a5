/**
Congestion window of starts.
*/
import {expect, it} from 'vitest';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {OrderWindow} from '../src/workflows/order-window.ts';
import {type Start} from '../src/workflows/placement.ts';
import {createWorker, createWorkflow, load} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

const createStarts = (count: number, inputChars: number, isGang = false): Start[] => {
	const {model} = load([createWorkflow('0000000000000001', createSpec([createStep({count, isGang})], {input: 'x'.repeat(inputChars)}))]);
	const worker = createWorker('host-0');
	return [...model.getWaitingTasks(0, () => false)].map(task => ({task, worker, isIdleStart: false}));
};

/** Sends calls that fill the window and are on their way for the time given; infinity: they are not answered. */
const fill = async (window: OrderWindow, clock: ManualClock, transitMs: number): Promise<void> => {
	const calls = Array.from({length: 4}, () => window.recordSent(Math.ceil(window.sizeBytes / 4)));
	await clock.advance(Math.min(1600, transitMs));
	for (const call of calls) {
		window.recordAnswer(call, transitMs);
	}
};

it('admits the first starts that fit', () => {
	const window = new OrderWindow(new ManualClock());
	const starts = createStarts(100, 1000);
	const admitted = window.admit(starts);
	expect(admitted.length).toBeGreaterThan(20);
	expect(admitted.length).toBeLessThan(40);
	expect(admitted).toEqual(starts.slice(0, admitted.length));
});

it('admits one unit, a whole gang also, that is larger than the window', () => {
	const window = new OrderWindow(new ManualClock());
	expect(window.admit(createStarts(3, 100_000))).toHaveLength(1);
	expect(window.admit(createStarts(50, 4000, true))).toHaveLength(50);
	window.recordSent(20_000);
	expect(window.admit(createStarts(50, 4000, true))).toHaveLength(0);
});

it('grows while answers are in time and the window is used', async () => {
	const clock = new ManualClock();
	const window = new OrderWindow(clock);
	const firstBytes = window.sizeBytes;
	window.recordAnswer(window.recordSent(100), 1);
	expect(window.sizeBytes).toBe(firstBytes);
	for (let round = 0; round < 5; round++) {
		await fill(window, clock, 20);
	}

	expect(window.sizeBytes).toBeGreaterThan(4 * firstBytes);
});

it.each([1600, Number.POSITIVE_INFINITY])('shrinks once for the calls of one round that are on their way for %d ms', async transitMs => {
	const clock = new ManualClock();
	const window = new OrderWindow(clock);
	await fill(window, clock, 20);
	const beforeBytes = window.sizeBytes;
	await fill(window, clock, transitMs);
	expect(window.sizeBytes).toBe(beforeBytes / 2);
});

/** Guards against a window that shrinks without end to agents that even the fastest calls take long to reach. */
it('does not shrink where all calls take long', async () => {
	const clock = new ManualClock();
	const window = new OrderWindow(clock);
	const firstBytes = window.sizeBytes;
	for (let round = 0; round < 50; round++) {
		await fill(window, clock, 400 + ((round % 5) * 50));
	}

	expect(window.sizeBytes).toBeGreaterThanOrEqual(firstBytes);
});

/** Guards against late calls that other traffic causes: a window that is not used is not their reason. */
it('does not shrink for a late call while it is not used', async () => {
	const clock = new ManualClock();
	const window = new OrderWindow(clock);
	const firstBytes = window.sizeBytes;
	const call = window.recordSent(1000);
	await clock.advance(1000);
	window.recordAnswer(call, 1000);
	expect(window.sizeBytes).toBe(firstBytes);
});
