/**
Worker selection for the tasks of one step on a service of many workers.
*/
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {BestEffortInterference} from '../src/workflows/best-effort-interference.ts';
import {type FleetWorker} from '../src/workflows/fleet-view.ts';
import {type LiveTask} from '../src/workflows/live-model.ts';
import {createCandidate, type Candidate} from '../src/workflows/placement-candidates.ts';
import {createPolicy} from '../src/workflows/policy.ts';
import {StepPlacement} from '../src/workflows/step-placement.ts';
import {InterferenceTrials} from '../src/workflows/interference-trials.ts';
import {
	createWorker, createWorkflow, load, placeAll, run,
} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

const images = ['a', 'b', 'c'];

/** Creates workers with latency-critical and best-effort tasks; the last job waits. */
const createFleet = ({sizes, running, waiting, isFilling, maxPerWorker, effects}: Scenario): {workers: FleetWorker[]; tasks: LiveTask[]; interference: BestEffortInterference} => {
	const {model} = load([
		...running.map(({isLatencyCritical, image}, index) => createWorkflow(`r${index}`, createSpec([createStep({
			milliCpu: 1500, image: images[image], ...(isLatencyCritical ? {isLasting: true, targetMs: 24} : {isFilling: true}),
		})]))),
		createWorkflow('w', createSpec([createStep({
			count: waiting, milliCpu: 1800, isFilling, maxPerWorker, image: 'a',
		})])),
	]);
	const workers = sizes.map((milliCpu, index) => createWorker(`host-${index}`, milliCpu));
	for (const [index, {worker}] of running.entries()) {
		run(model.getTask({
			workflowId: `r${index}`, occurrence: 0, step: 0, index: 0,
		})!, workers[worker % workers.length]!, {recent: 12, percent: 100});
	}

	const interference = new BestEffortInterference();
	interference.restore(effects.map((mean, index) => ({
		server: images[index % 3]!, filler: images[Math.floor(index / 3)]!, mean, deviation: 0.02,
	})), 0);
	return {workers, interference, tasks: model.workflows.get('w')!.occurrences.get(0)![0]!.tasks};
};

type Scenario = {
	sizes: number[];
	running: Array<{worker: number; isLatencyCritical: boolean; image: number}>;
	waiting: number;
	isFilling: boolean;
	maxPerWorker: number;
	effects: number[];
};

const scenarios: fc.Arbitrary<Scenario> = fc.record({
	sizes: fc.array(fc.constantFrom(4000, 16_000), {minLength: 1, maxLength: 6}),
	running: fc.array(fc.record({worker: fc.nat(5), isLatencyCritical: fc.boolean(), image: fc.nat(2)}), {maxLength: 12}),
	waiting: fc.integer({min: 1, max: 30}),
	isFilling: fc.boolean(),
	maxPerWorker: fc.nat(2),
	effects: fc.array(fc.constantFrom(0, 0.05, 0.2), {minLength: 9, maxLength: 9}),
});

describe('workers for the tasks of a step', () => {
	/**
	Guards against slow cycles: with 160 workers and 400 waiting tasks, computing the cost of every pair took 60 ms, so that
	cycles ran at a tenth of the rate of changes and startable tasks waited. Costs kept between tasks must not change decisions.
	*/
	it('are the same whether costs are kept or computed anew for each task', () => {
		fc.assert(fc.property(scenarios, draw => {
			const {workers, tasks, interference} = createFleet(draw);
			const createTerms = (candidates: Candidate[]) => ({
				interference, policy: createPolicy(), trials: new InterferenceTrials(interference, candidates), isAllowed: () => true, isInterferenceAllowed: false, isInterferenceFreeCpuShort: true,
			});
			const candidates = workers.map(worker => createCandidate(worker, interference));
			const keptPlacement = new StepPlacement(tasks[0]!.step, candidates, createTerms(candidates));
			const freshCandidates = workers.map(worker => createCandidate(worker, interference));
			const terms = createTerms(freshCandidates);
			for (const task of tasks) {
				const freshPlacement = new StepPlacement(task.step, freshCandidates, terms);
				expect(keptPlacement.assign(task)?.worker.host).toBe(freshPlacement.assign(task)?.worker.host);
				expect(keptPlacement.getWaitReason()).toBe(freshPlacement.getWaitReason());
			}
		}), {numRuns: 300, seed: 11});
	});

	it('are assigned one after the other until no capacity is left', () => {
		const {model} = load([createWorkflow('w', createSpec([createStep({count: 12, milliCpu: 1000})]))]);
		const workers = Array.from({length: 2}, (_, index) => createWorker(`host-${index}`));
		const starts = placeAll(model, workers);
		expect(starts).toHaveLength(8);
		expect(starts.filter(({worker}) => worker === workers[0])).toHaveLength(4);
	});

	it('exclude a host with another run of the task', () => {
		const {model} = load([createWorkflow('w', createSpec([createStep({isSpeculative: true})]))]);
		const worker = createWorker('host-0');
		const task = [...model.getWaitingTasks(0, () => false)][0]!;
		run(task, worker);
		const interference = new BestEffortInterference();
		const candidates = [createCandidate(worker, interference)];
		const placement = new StepPlacement(task.step, candidates, {
			interference, policy: createPolicy(), trials: new InterferenceTrials(interference, candidates), isAllowed: () => true, isInterferenceAllowed: false, isInterferenceFreeCpuShort: false,
		});
		expect(placement.assign(task)).toBeUndefined();
	});
});
