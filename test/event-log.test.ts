/**
Rate limit on log lines.
*/
import {describe, expect, it} from 'vitest';
import {LineRateLimiter} from '../src/utils/event-log.ts';

describe('a log under load', () => {
	/**
	Guards against the loss of rare events. The owner of a large service logs each start and each throttle, more than 600 lines a
	second. If the lines on the acceptance and end of jobs are dropped with the rest, the wait of a caller cannot be explained.
	*/
	it('writes rare events beside frequent ones', () => {
		const limiter = new LineRateLimiter();
		limiter.startWindow(0);
		for (let index = 0; index < 2000; index++) {
			limiter.tryTake('pace');
		}

		const kept = Array.from({length: 30}, () => limiter.tryTake('job over'));
		expect(kept.every(Boolean)).toBe(true);
	});

	it('is limited, and reports the number of dropped lines', () => {
		const limiter = new LineRateLimiter();
		limiter.startWindow(0);
		const written = Array.from({length: 2000}, () => limiter.tryTake('pace')).filter(Boolean).length;
		expect(written).toBe(600);
		expect(limiter.startWindow(500)).toBeUndefined();
		expect(limiter.startWindow(1000)).toEqual({pace: 1400});
		expect(limiter.tryTake('pace')).toBe(true);
	});
});
