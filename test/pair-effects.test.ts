import {
	describe, expect, it,
} from 'vitest';
import {BestEffortInterference, type BestEffortGroup, type LatencyCriticalTask} from '../src/workflows/best-effort-interference.ts';
import {PairEffects} from '../src/workflows/pair-effects.ts';
import {getLoadAt} from '../src/workflows/latency-critical-load.ts';

const reportVariance = 0.03 ** 2;
const share = 0.11;

describe('effects of pairs', () => {
	it('are known accurately enough after one report beside a known load', () => {
		const effects = new PairEffects();
		effects.learn('server', [{image: 'filler', share}], 1.5 * share, reportVariance);
		expect(effects.get('server', 'filler').mean).toBeCloseTo(1.5, 0);
		expect(effects.get('server', 'filler').deviation).toBeLessThan(0.5);
	});

	it('stay uncertain beside an uncertain load', () => {
		const effects = new PairEffects();
		effects.learn('server', [{image: 'filler', share}], 1.5 * share, 0.2 ** 2);
		expect(effects.get('server', 'filler').deviation).toBeGreaterThan(1);
	});

	it('are separated by reports with different shares of each image', () => {
		const effects = new PairEffects();
		for (let index = 0; index < 20; index++) {
			const first = index % 2 === 0 ? 0.3 : 0.1;
			const second = 0.4 - first;
			effects.learn('server', [{image: 'harmful', share: first}, {image: 'harmless', share: second}], 2 * first, reportVariance);
		}

		expect(effects.get('server', 'harmful').mean).toBeCloseTo(2, 0);
		expect(effects.get('server', 'harmless').mean).toBeCloseTo(0, 0);
	});

	it('do not drift below 0 while the load falls, which would make an interfering image look harmless for long', () => {
		const effects = new PairEffects();
		for (let index = 0; index < 50; index++) {
			effects.learn('server', [{image: 'filler', share}], index % 2 === 0 ? 0.05 : -0.05, reportVariance);
		}

		expect(effects.get('server', 'filler').mean).toBeGreaterThan(-0.2);
	});

	it('lose certainty with time', () => {
		const effects = new PairEffects();
		effects.decay(0);
		effects.learn('server', [{image: 'filler', share}], 1.5 * share, reportVariance);
		const {deviation} = effects.get('server', 'filler');
		for (let nowMs = 0; nowMs <= 60_000; nowMs += 3000) {
			effects.decay(nowMs);
		}

		expect(effects.get('server', 'filler').deviation).toBeGreaterThan(2 * deviation);
	});

	it('of an unknown pair are those of the image on other latency-critical images', () => {
		const effects = new PairEffects();
		const before = effects.get('other', 'filler').mean;
		for (let index = 0; index < 30; index++) {
			effects.learn('server', [{image: 'filler', share}], 2 * share, reportVariance);
		}

		expect(effects.get('other', 'filler').mean).toBeGreaterThan(before + 0.5);
	});
});

it('lets a job with many tasks of an unknown image proceed after the first reports of its effect', () => {
	const interference = new BestEffortInterference();
	const task: LatencyCriticalTask = {image: 'server', job: 'job.0', latencyRatio: 0.3};
	for (let nowMs = 0; nowMs <= 3000; nowMs += 400) {
		interference.observe([task], [], nowMs);
	}

	const group: BestEffortGroup = {
		image: 'filler', share, usedShare: share, peakShare: share, throttlePercent: 100, sinceChangeMs: 1000,
	};
	const ratio = (1 / 6) / (1 - (getLoadAt(0.3) + (0.5 * share)));
	interference.observe([{...task, latencyRatio: ratio}], [group], 3400);
	interference.observe([{...task, latencyRatio: ratio}], [group], 3800);
	expect(interference.isKnown('server', 'filler')).toBe(true);
});
