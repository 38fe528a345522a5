import {expect, test} from 'vitest';
import fc from 'fast-check';
import {
	defaultOutlierTuning, OutlierDetector, EjectionState,
} from '../src/requests/outlier.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createRandom} from '../src/utils/seeded-random.ts';

const service = 'tariff-relief';
const createFixture = () => {
	const clock = new ManualClock();
	return {clock, detector: new OutlierDetector(clock, createRandom(3))};
};

const fail = (detector: OutlierDetector, id: string, times: number, size = 11) => {
	for (let index = 0; index < times; index++) {
		detector.record(service, id, false, size);
	}
};

test('consecutive failures eject, for longer each time', () => {
	const {clock, detector} = createFixture();
	fail(detector, 'relief-1', 5);
	expect(detector.getEjectionState('relief-1')).toBe(EjectionState.Ejected);
	clock.advanceSync(1250);
	expect(detector.getEjectionState('relief-1')).toBe(EjectionState.Probing);
	fail(detector, 'relief-1', 1);
	clock.advanceSync(1250);
	expect(detector.getEjectionState('relief-1')).toBe(EjectionState.Ejected);
	clock.advanceSync(1250);
	expect(detector.getEjectionState('relief-1')).toBe(EjectionState.Probing);
});

test('a failure rate of one half ejects without consecutive failures', () => {
	const {detector} = createFixture();
	for (let index = 0; index < 12; index++) {
		detector.record(service, 'relief-1', index % 2 === 0, 11);
	}

	expect(detector.getEjectionState('relief-1')).toBe(EjectionState.Ejected);
});

test('a low failure rate does not eject', () => {
	const {clock, detector} = createFixture();
	for (let index = 0; index < 1000; index++) {
		detector.record(service, 'relief-1', index % 10 !== 0, 11);
		clock.advanceSync(10);
	}

	expect(detector.getEjectionState('relief-1')).toBe(EjectionState.Admitted);
});

test('successful probes admit the upstream again', () => {
	const {clock, detector} = createFixture();
	fail(detector, 'relief-1', 5);
	clock.advanceSync(1250);
	for (let probe = 0; probe < 3; probe++) {
		expect(detector.getEjectionState('relief-1')).toBe(EjectionState.Probing);
		detector.record(service, 'relief-1', true, 11);
	}

	expect(detector.getEjectionState('relief-1')).toBe(EjectionState.Admitted);
	expect(detector.getUnadmittedCount(service)).toBe(0);
});

test('never more upstreams ejected or probing than the share allows, for any order of results', () => {
	const results = fc.array(fc.record({
		index: fc.integer({min: 0, max: 9}), isSuccess: fc.boolean(), waitMs: fc.integer({min: 0, max: 3000}), isForgotten: fc.boolean(),
	}), {maxLength: 300});
	fc.assert(fc.property(results, steps => {
		const {clock, detector} = createFixture();
		const ids = Array.from({length: 10}, (_, index) => `relief-${index}`);
		for (const {index, isSuccess, waitMs, isForgotten} of steps) {
			clock.advanceSync(waitMs);
			if (isForgotten) {
				detector.forget(ids[index]!);
			}

			for (let repeat = 0; repeat < 5; repeat++) {
				detector.record(service, ids[index]!, isSuccess, ids.length);
			}

			const unadmittedCount = ids.filter(id => detector.getEjectionState(id) !== EjectionState.Admitted).length;
			expect(unadmittedCount).toBeLessThanOrEqual(defaultOutlierTuning.maxEjectedShare * ids.length);
			expect(detector.getUnadmittedCount(service)).toBe(unadmittedCount);
		}
	}));
});
