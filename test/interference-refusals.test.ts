/**
Causes that the line on waiting tasks gives for workers ruled out as `harm`.
*/
import {
	describe, expect, it,
} from 'vitest';
import {BestEffortInterference} from '../src/workflows/best-effort-interference.ts';
import {RefusalCause} from '../src/workflows/interference-refusals.ts';
import {place} from '../src/workflows/placement.ts';
import {createPolicy} from '../src/workflows/policy.ts';
import {
	createWorker, createWorkflow, load, run,
} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

const restored = {
	server: 'server', filler: 'new', mean: 1.5, deviation: 0.02,
};

/** Counts the causes for one worker: with a latency-critical task, and with other best-effort tasks. */
const countCauses = ({serving = 0, residents = 0, interference = new BestEffortInterference()}): Array<[RefusalCause, number]> => {
	const {model} = load([
		createWorkflow('service', createSpec([createStep({
			count: 1, isLasting: true, targetMs: 24, image: 'server', milliCpu: 3500,
		})])),
		createWorkflow('residents', createSpec([createStep({
			count: 8, isFilling: true, image: 'other', milliCpu: 2000,
		})])),
		createWorkflow('waiting', createSpec([createStep({
			count: 1, isFilling: true, image: 'new', milliCpu: 1800,
		})])),
	]);
	const worker = createWorker('host', 16_000);
	const getTasks = (id: string) => model.workflows.get(id)!.occurrences.get(0)![0]!.tasks;
	for (const task of [...getTasks('service').slice(0, serving), ...getTasks('residents').slice(0, residents)]) {
		run(task, worker);
	}

	const {refused} = place({
		waiting: getTasks('waiting'), workers: [worker], nowMs: 0, nextStartDelayMs: 50, interference, getTaskMs: () => 1000, createRank: () => () => 0, isAllowed: () => true, policy: createPolicy(),
	});
	return refused.flatMap(placement => [...placement.countRefusals()]);
};

describe('causes of refusals', () => {
	/** Guards against taking a full worker without latency-critical tasks for one that waits because of interference. */
	it('name CPU that other best-effort tasks requested', () => {
		expect(countCauses({residents: 8})).toEqual([[RefusalCause.Cpu, 1]]);
	});

	it('name an effect that only an earlier owner has measured', () => {
		const interference = new BestEffortInterference();
		interference.restore([restored], 0);
		expect(countCauses({serving: 1, interference})).toEqual([[RefusalCause.RestoredEffect, 1]]);
	});

	it('name an effect that this owner has measured, and later that it has faded', () => {
		const interference = new BestEffortInterference();
		interference.restore([restored], 0);
		const group = {
			image: 'new', share: 0.1, usedShare: 0.1, peakShare: 0.1, throttlePercent: 100, sinceChangeMs: 0,
		};
		interference.observe([{image: 'server', job: 'service.0', latencyRatio: 0.9}], [group], 0);
		expect(countCauses({serving: 1, interference})).toEqual([[RefusalCause.MeasuredEffect, 1]]);
		interference.observe([], [], 60_000);
		expect(countCauses({serving: 1, interference})).toEqual([[RefusalCause.FadedEffect, 1]]);
	});

	it('name the load of a job that is over the bound by itself', () => {
		const interference = new BestEffortInterference();
		for (let nowMs = 0; nowMs < 20_000; nowMs += 500) {
			interference.observe([{image: 'server', job: 'service.0', latencyRatio: 1.2}], [], nowMs);
		}

		expect(countCauses({serving: 1, interference})).toEqual([[RefusalCause.Load, 1]]);
	});

	it('are empty where the task starts', () => {
		expect(countCauses({})).toEqual([]);
	});
});
