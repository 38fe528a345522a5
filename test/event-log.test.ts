/**
Which lines of log are written when there are too many.
*/
import {describe, expect, it} from 'vitest';
import {LineBudget} from '../src/utils/event-log.ts';

describe('a log under load', () => {
	/**
	The owner of a large service told of each start and each pace, more than 600 lines a second. The lines that say that a job was
	taken and how it ended were dropped with the rest, and nobody could tell afterwards why a caller waited.
	*/
	it('keeps what is told seldom beside what is told often', () => {
		const budget = new LineBudget();
		budget.renew(0);
		for (let index = 0; index < 2000; index++) {
			budget.take('pace');
		}

		const kept = Array.from({length: 30}, () => budget.take('job over'));
		expect(kept.every(Boolean)).toBe(true);
	});

	it('is bounded, and tells what was dropped', () => {
		const budget = new LineBudget();
		budget.renew(0);
		const written = Array.from({length: 2000}, () => budget.take('pace')).filter(Boolean).length;
		expect(written).toBe(600);
		expect(budget.renew(500)).toBeUndefined();
		expect(budget.renew(1000)).toEqual({pace: 1400});
		expect(budget.take('pace')).toBe(true);
	});
});
