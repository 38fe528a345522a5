/**
Work that is limited to a share of the thread's time.
*/
import {expect, it} from 'vitest';
import {DutyCycle} from '../src/utils/duty-cycle.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';

/** Guards against a periodic check of all workers that takes more time on a small host's thread than all replies together. */
it('takes no more than its share, however long a run takes and however often it is requested', () => {
	const clock = new ManualClock();
	const cycle = new DutyCycle(clock, 19);
	let spentMs = 0;
	const work = () => {
		const tookMs = 1 + (Math.floor(clock.monotonicMs()) % 40);
		spentMs += tookMs;
		clock.advanceSync(tookMs);
	};

	for (let requested = 0; requested < 2000; requested++) {
		cycle.tryRun(work);
		clock.advanceSync(5);
	}

	expect(spentMs).toBeGreaterThan(0);
	expect(spentMs / clock.monotonicMs()).toBeLessThan(0.06);
});

it('runs at each request if it takes no time', () => {
	const cycle = new DutyCycle(new ManualClock(), 19);
	let runs = 0;
	const work = () => {
		runs++;
	};

	for (let requested = 0; requested < 10; requested++) {
		cycle.tryRun(work);
	}

	expect(runs).toBe(10);
});
