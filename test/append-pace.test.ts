import {expect, test} from 'vitest';
import {getAppendPaceMs} from '../src/core/append-pace.ts';

const least = 20;

test('a few entries append as often as their settings say', () => {
	expect(getAppendPaceMs(1, 250, least)).toBe(least);
});

// Fifty entries that each append every 20 ms are 5,000 appends a second; the log takes several hundred.
test.each([3, 51, 200])('claims and jobs of %d entries stay within the appends that the log takes', entryCount => {
	const perSecond = 2 * entryCount * 1000 / getAppendPaceMs(entryCount, 250, least);
	expect(perSecond).toBeLessThanOrEqual(250 + 1e-9);
});
