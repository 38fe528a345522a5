import {expect, test} from 'vitest';
import {getAppendIntervalMs} from '../src/core/append-interval.ts';

const minIntervalMs = 20;

test('with few entries the interval is the configured minimum', () => {
	expect(getAppendIntervalMs(1, 250, minIntervalMs)).toBe(minIntervalMs);
});

// Two writers at each of 50 entries, appending every 20 ms, make 5,000 appends a second; the log accepts several hundred.
test.each([3, 51, 200])('claims and jobs of %d entries together stay within the append rate of the log', entryCount => {
	const perSecond = 2 * entryCount * 1000 / getAppendIntervalMs(entryCount, 250, minIntervalMs);
	expect(perSecond).toBeLessThanOrEqual(250 + 1e-9);
});
