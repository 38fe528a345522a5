/**
Work that is kept to a share of the thread's time.
*/
import {expect, it} from 'vitest';
import {DutyCycle} from '../src/utils/duty-cycle.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';

/** Guards against a look at the fleet that takes more of a small host's thread than all replies together. */
it('takes no more than its share, however long it takes and however often it is asked for', () => {
	const clock = new ManualClock();
	const cycle = new DutyCycle(clock, 19);
	let spentMs = 0;
	const work = () => {
		const tookMs = 1 + (Math.floor(clock.monotonicMs()) % 40);
		spentMs += tookMs;
		clock.advanceSync(tookMs);
	};

	for (let asked = 0; asked < 2000; asked++) {
		cycle.tryRun(work);
		clock.advanceSync(5);
	}

	expect(spentMs).toBeGreaterThan(0);
	expect(spentMs / clock.monotonicMs()).toBeLessThan(0.06);
});

it('runs each time where it takes no time', () => {
	const cycle = new DutyCycle(new ManualClock(), 19);
	let runs = 0;
	const work = () => {
		runs++;
	};

	for (let asked = 0; asked < 10; asked++) {
		cycle.tryRun(work);
	}

	expect(runs).toBe(10);
});
