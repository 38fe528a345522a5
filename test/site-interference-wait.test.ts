/**
Best-effort tasks that only a predicted interference keeps out of free places: how long they wait, and what becomes of their runs.
*/
import {describe, expect, it} from 'vitest';
import {BestEffortInterference, type LatencyCriticalTask} from '../src/workflows/best-effort-interference.ts';
import {createPolicy} from '../src/workflows/policy.ts';
import {chooseMoves} from '../src/workflows/relocation.ts';
import {simulateLoop, type LoopOptions} from './interference-loop.ts';
import {
	createWorker, createWorkflow, load, run,
} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

/** A task beside latency-critical tasks far below their targets waits no longer than this. */
const maxWaitMs = 5000;
/** Users tolerate a tail over its target for this long on end. */
const harmMs = 4500;

/** All workers run latency-critical tasks that leave half of the CPU unused; all runs were lost, and wide jobs wait. */
const restarted: LoopOptions = {
	workers: 20, milliCpu: 16_000, images: 4, getLoad: () => 0.6, effect: 0, jobs: 3, tasks: 39, taskMilliCpu: 1800, workMs: 2400, lengthMs: 30_000,
};
/** Tail below half of the target. */
const calmLoad = 0.6;
/** Tail at half of the target. */
const busyLoad = 0.667;
const severe = {mean: 3, deviation: 0.3};

const getLongestMs = (waitsMs: number[]): number => Math.max(...waitsMs);

describe('a task that only a prediction keeps out of a free place', () => {
	/** Guards against a record of an overload that has passed: nothing runs, so that nothing corrects it. */
	it.each([['below half of', calmLoad], ['at half of', busyLoad]])('starts within a bound beside tails %s their targets when the record of the previous owner is wrong', async (_, base) => {
		const {waitsMs, longestOverMs} = await simulateLoop({...restarted, getLoad: () => base, recorded: severe});
		expect(getLongestMs(waitsMs)).toBeLessThanOrEqual(maxWaitMs);
		expect(longestOverMs).toBeLessThan(harmMs);
	});

	/** Guards against waiting for full speed on workers that all leave part of it: one task of each job ran at a time. */
	it.each([['a third of', 0.5, 3], ['at half of', busyLoad, 1.5]])('starts within a bound beside tails %s their targets when its image does interfere', async (_, base, effect) => {
		const {waitsMs, longestOverMs} = await simulateLoop({
			...restarted, jobs: 1, tasks: 20, getLoad: () => base, effect, recorded: {mean: effect, deviation: 0.3},
		});
		expect(getLongestMs(waitsMs)).toBeLessThanOrEqual(maxWaitMs);
		expect(longestOverMs).toBeLessThan(harmMs);
	});
});

describe('best-effort runs that a prediction has throttled to nothing', () => {
	/** Guards against a state that keeps itself: a run at 0 percent uses nothing, shows no effect, and stays at 0 percent. */
	it.each([['below half of', calmLoad], ['at half of', busyLoad]])('work again within a bound beside tails %s their targets', async (_, base) => {
		const {longestIdleMs, longestOverMs} = await simulateLoop({
			...restarted, getLoad: () => base, effect: 3, recorded: {mean: 0, deviation: 0.3},
		});
		expect(longestIdleMs).toBeLessThanOrEqual(maxWaitMs);
		expect(longestOverMs).toBeLessThan(harmMs);
	});

	/** Guards against work thrown away: runs were moved off at 84 and 98 percent, to start anew. */
	it.each([84, 98])('are not moved at %d percent', percent => {
		const {model} = load([createWorkflow('wide', createSpec([createStep({isFilling: true, image: 'fill'})]))]);
		const worker = createWorker('x');
		run([...model.getWaitingTasks(0, () => false)][0]!, worker, {percent, progressAtMs: 9000});
		worker.lastReplyAtMs = 10_000;
		worker.throttles.set('fill', {percent: 0, changedAtMs: 8000});
		expect(chooseMoves({
			workers: [worker], nowMs: 10_000, canPlace: () => true, policy: createPolicy(),
		})).toEqual([]);
	});
});

describe('an effect that nothing has shown for a while', () => {
	/** Guards against doubt that works like a proof: without a run the deviation grows, and with it the effect that keeps runs out. */
	it('is not assumed to be larger than when it was observed', () => {
		const interference = new BestEffortInterference();
		interference.restore([{
			server: 'serve', filler: 'fill', mean: 0.1, deviation: 0.02,
		}], 0);
		const before = interference.getEffect('serve', 'fill');
		const task: LatencyCriticalTask = {image: 'serve', job: 's.0', latencyRatio: 0.3};
		for (let nowMs = 0; nowMs <= 60_000; nowMs += 500) {
			interference.observe([task], [], nowMs);
		}

		expect(interference.getEffect('serve', 'fill')).toBeLessThanOrEqual(before);
	});
});
