/**
Best-effort tasks beside latency-critical tasks while their interference is unknown.
*/
import {describe, expect, it} from 'vitest';
import {BestEffortInterference} from '../src/workflows/best-effort-interference.ts';
import {createPolicy} from '../src/workflows/policy.ts';
import {simulateLoop} from './interference-loop.ts';
import {
	createWorker, createWorkflow, load, placeAll, run,
} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

const size = 20;

/** Creates workers with one latency-critical task each, of two alternating images; a job with many tasks waits. */
const createFleet = (waiting: number) => {
	const {model} = load([
		...['even', 'odd'].map(image => createWorkflow(image, createSpec([createStep({
			count: size / 2, isLasting: true, targetMs: 24, image, milliCpu: 3500,
		})]))),
		createWorkflow('wide', createSpec([createStep({
			count: waiting, isFilling: true, image: 'new', milliCpu: 1800,
		})])),
	]);
	const workers = Array.from({length: size}, (_, index) => createWorker(`host-${index}`, 16_000));
	for (const [index, worker] of workers.entries()) {
		run(model.getTask({
			workflowId: index % 2 === 0 ? 'even' : 'odd', occurrence: 0, step: 0, index: Math.floor(index / 2),
		})!, worker, {recent: 8, percent: 100});
	}

	return {model, workers};
};

const getTasks = (starts: ReturnType<typeof placeAll>) => starts.filter(({task}) => task.step.spec.isFilling);

describe('a job with many tasks of an unknown image', () => {
	/**
	Guards against learning the same effect on every worker: a job of forty tasks started one on each worker at the same time. On
	a large service all latency-critical tasks exceeded their targets at once, for 331 s in sum over a measured load of 30 s, against 13 s
	with all interference known from the start. Two workers would have shown it.
	*/
	it('starts beside each latency-critical image on two workers', () => {
		const {model, workers} = createFleet(size);
		const starts = getTasks(placeAll(model, workers));
		expect(starts).toHaveLength(4);
		expect(starts.filter(({worker}) => workers.indexOf(worker) % 2 === 0)).toHaveLength(2);
	});

	it('counts trials that already run', () => {
		const {model, workers} = createFleet(size);
		const {tasks} = model.workflows.get('wide')!.occurrences.get(0)![0]!;
		run(tasks[0]!, workers[0]!, {recent: 1800});
		run(tasks[1]!, workers[2]!, {recent: 1800});
		const starts = getTasks(placeAll(model, workers));
		expect(starts).toHaveLength(2);
		expect(starts.every(({worker}) => workers.indexOf(worker) % 2 === 1)).toBe(true);
	});

	it('starts everywhere once the image is known not to interfere', () => {
		const {model, workers} = createFleet(size);
		const interference = new BestEffortInterference();
		interference.restore(['even', 'odd'].map(server => ({
			server, filler: 'new', mean: 0, deviation: 0.02,
		})), 0);
		expect(getTasks(placeAll(model, workers, {harm: interference}))).toHaveLength(size);
	});

	it('starts where the image is known while trials run elsewhere', () => {
		const {model, workers} = createFleet(size);
		const interference = new BestEffortInterference();
		interference.restore([{
			server: 'even', filler: 'new', mean: 0, deviation: 0.02,
		}], 0);
		const starts = getTasks(placeAll(model, workers, {harm: interference}));
		expect(starts.filter(({worker}) => workers.indexOf(worker) % 2 === 1).length).toBeLessThanOrEqual(2);
		expect(starts).toHaveLength(size);
	});

	it('starts one task beside latency-critical tasks in any case when it has waited too long', () => {
		const {model, workers} = createFleet(1);
		const interference = new BestEffortInterference();
		interference.restore(['even', 'odd'].map(server => ({
			server, filler: 'new', mean: 0.5, deviation: 0.02,
		})), 0);
		expect(getTasks(placeAll(model, workers, {harm: interference}))).toHaveLength(0);
		expect(getTasks(placeAll(model, workers, {harm: interference, nowMs: 2000}))).toHaveLength(1);
	});

	it('starts wherever it fits when a build leaves out the limit', () => {
		const {model, workers} = createFleet(size);
		expect(getTasks(placeAll(model, workers, {policy: createPolicy('few-trials')})).length).toBeGreaterThan(4);
	});

	/** Guards against trials that are throttled by the assumed effect before they show the true one. */
	it('starts all of them within five seconds beside tails at half of their targets if it does not interfere', async () => {
		const {waitsMs} = await simulateLoop({
			workers: size, milliCpu: 16_000, images: 4, getLoad: () => 0.667, effect: 0, jobs: 3, tasks: 39, taskMilliCpu: 1800, workMs: 2400, lengthMs: 10_000,
		});
		expect(Math.max(...waitsMs)).toBeLessThanOrEqual(5000);
	});
});
