import {expect, test} from 'vitest';
import fc from 'fast-check';
import {
	defaultOutlierTuning, OutlierBook, Standing,
} from '../src/requests/outlier.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createRandom} from '../src/utils/seeded-random.ts';

const service = 'tariff-relief';
const createFixture = () => {
	const clock = new ManualClock();
	return {clock, book: new OutlierBook(clock, createRandom(3))};
};

const fail = (book: OutlierBook, id: string, times: number, size = 11) => {
	for (let index = 0; index < times; index++) {
		book.record(service, id, false, size);
	}
};

test('failures in a row eject, for longer each time', () => {
	const {clock, book} = createFixture();
	fail(book, 'relief-1', 5);
	expect(book.getStanding('relief-1')).toBe(Standing.Ejected);
	clock.advanceSync(1250);
	expect(book.getStanding('relief-1')).toBe(Standing.Probing);
	fail(book, 'relief-1', 1);
	clock.advanceSync(1250);
	expect(book.getStanding('relief-1')).toBe(Standing.Ejected);
	clock.advanceSync(1250);
	expect(book.getStanding('relief-1')).toBe(Standing.Probing);
});

test('half of the requests failing ejects even with no long row of failures', () => {
	const {book} = createFixture();
	for (let index = 0; index < 12; index++) {
		book.record(service, 'relief-1', index % 2 === 0, 11);
	}

	expect(book.getStanding('relief-1')).toBe(Standing.Ejected);
});

test('a few failures among many answers do not eject', () => {
	const {clock, book} = createFixture();
	for (let index = 0; index < 1000; index++) {
		book.record(service, 'relief-1', index % 10 !== 0, 11);
		clock.advanceSync(10);
	}

	expect(book.getStanding('relief-1')).toBe(Standing.Admitted);
});

test('probes that succeed bring it back', () => {
	const {clock, book} = createFixture();
	fail(book, 'relief-1', 5);
	clock.advanceSync(1250);
	for (let probe = 0; probe < 3; probe++) {
		expect(book.getStanding('relief-1')).toBe(Standing.Probing);
		book.record(service, 'relief-1', true, 11);
	}

	expect(book.getStanding('relief-1')).toBe(Standing.Admitted);
	expect(book.getOutCount(service)).toBe(0);
});

test('never more out than the share allows, in any order of results', () => {
	const results = fc.array(fc.record({
		index: fc.integer({min: 0, max: 9}), isSuccess: fc.boolean(), waitMs: fc.integer({min: 0, max: 3000}), isForgotten: fc.boolean(),
	}), {maxLength: 300});
	fc.assert(fc.property(results, steps => {
		const {clock, book} = createFixture();
		const ids = Array.from({length: 10}, (_, index) => `relief-${index}`);
		for (const {index, isSuccess, waitMs, isForgotten} of steps) {
			clock.advanceSync(waitMs);
			if (isForgotten) {
				book.forget(ids[index]!);
			}

			for (let repeat = 0; repeat < 5; repeat++) {
				book.record(service, ids[index]!, isSuccess, ids.length);
			}

			const outCount = ids.filter(id => book.getStanding(id) !== Standing.Admitted).length;
			expect(outCount).toBeLessThanOrEqual(defaultOutlierTuning.maxEjectedShare * ids.length);
			expect(book.getOutCount(service)).toBe(outCount);
		}
	}));
});
