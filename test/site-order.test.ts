/**
Order and placement of jobs under overload: learned run times, ranks, and colocation of latency-critical tasks.
*/
import {describe, expect, it} from 'vitest';
import {type Workflow} from '../src/types/workflows.ts';
import {BestEffortInterference} from '../src/workflows/best-effort-interference.ts';
import {type LiveModel, type LiveTask} from '../src/workflows/live-model.ts';
import {createPolicy, Mechanism} from '../src/workflows/policy.ts';
import {RunTimes} from '../src/workflows/run-times.ts';
import {getRemainingWork} from '../src/workflows/task-order.ts';
import {
	createWorker, createWorkflow, load, placeAll, run,
} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

const getTasks = (model: LiveModel): LiveTask[] => [...model.getWaitingTasks(0, () => false)];

/** Observes one task of each job that ran for the given time at full speed. */
const learn = (times: RunTimes, rows: Array<{estimateMs: number; workedMs: number}>): void => {
	for (const [index, {estimateMs, workedMs}] of rows.entries()) {
		const {model} = load([createWorkflow(`done-${index}`, createSpec([createStep({estimateMs})]))]);
		const [task] = getTasks(model);
		times.observe(run(task!, createWorker('x'), {percent: 100, workedMs}), {isDone: true});
	}
};

const getTaskMs = (times: RunTimes, estimateMs: number): number => {
	const {model} = load([createWorkflow('next', createSpec([createStep({estimateMs})]))]);
	return times.getTaskMs(getTasks(model)[0]!.step);
};

describe('run times', () => {
	it('are the estimates until some were measured', () => {
		expect(getTaskMs(new RunTimes(), 700)).toBe(700);
	});

	/**
	Callers' estimates are wrong by a factor of two and more, either way, while the jobs of a queue differ by half of their run
	time: an estimate of ten seconds rarely means ten seconds.
	*/
	it('are predicted from earlier runs rather than from wrong estimates', () => {
		const times = new RunTimes();
		learn(times, [[8000, 2100], [500, 1900], [9000, 2000], [300, 2200], [2000, 1800], [700, 2000]].map(([estimateMs, workedMs]) => ({estimateMs: estimateMs!, workedMs: workedMs!})));
		expect(getTaskMs(times, 10_000)).toBeGreaterThan(1500);
		expect(getTaskMs(times, 10_000)).toBeLessThan(4000);
		expect(getTaskMs(times, 200)).toBeGreaterThan(1000);
	});

	it('follow estimates that have been accurate', () => {
		const times = new RunTimes();
		learn(times, [300, 500, 900, 2000, 4000, 8000, 400, 6000, 1000, 3000, 250, 7000].map(workedMs => ({estimateMs: workedMs, workedMs})));
		expect(getTaskMs(times, 5000)).toBeGreaterThan(3500);
		expect(getTaskMs(times, 400)).toBeLessThan(700);
	});

	it('of a step are those measured of its tasks, once there is one', () => {
		const times = new RunTimes();
		const {model} = load([createWorkflow('a', createSpec([createStep({count: 2, estimateMs: 9000})]))]);
		const [first, second] = getTasks(model);
		times.observe(run(first!, createWorker('x'), {percent: 40, workedMs: 400}), {isDone: false});
		expect(times.getTaskMs(second!.step)).toBeCloseTo(1000);
	});

	it('are measured over the progress since a run was first observed', () => {
		const times = new RunTimes();
		const {model} = load([createWorkflow('a', createSpec([createStep({estimateMs: 9000})]))]);
		const [task] = getTasks(model);
		times.observe(run(task!, createWorker('x'), {percent: 70, basePercent: 20, workedMs: 1000}), {isDone: false});
		expect(times.getTaskMs(task!.step)).toBeCloseTo(2000);
	});
});

describe('order', () => {
	const build = (id: string, terms: Partial<Workflow> = {}, count = 4) =>
		createWorkflow(id, createSpec([createStep({count, milliCpu: 1000, estimateMs: 4000})]), {stretch: 2, targetLatencyMs: 1000, ...terms});

	/**
	Guards against ranking by least slack under overload: each job gets a share of the capacity, and all of them are late.
	Nearly finished jobs end in time if they go first.
	*/
	it('finishes jobs that have begun before it starts others, under overload', () => {
		const others = Array.from({length: 12}, (_, index) => build(`other-${index}`, {receivedAtMs: -200}));
		const {model} = load([...others, build('begun', {receivedAtMs: 0})]);
		const begun = model.workflows.get('begun')!.occurrences.get(0)![0]!;
		for (const task of begun.tasks.slice(1)) {
			task.isDone = true;
		}

		begun.remaining = 1;
		expect(placeAll(model, [createWorker('x', 1000)]).map(({task}) => task.ref.workflowId)).toEqual(['begun']);
		const policy = {...createPolicy(), [Mechanism.ValueOrder]: false};
		expect(placeAll(model, [createWorker('x', 1000)], {policy})[0]!.task.ref.workflowId).not.toBe('begun');
	});

	it('starts the job with the least slack while there is capacity for all', () => {
		const {model} = load([build('easy', {receivedAtMs: 0}, 1), build('urgent', {receivedAtMs: -4000}, 1)]);
		expect(placeAll(model, [createWorker('x', 1000)]).map(({task}) => task.ref.workflowId)).toEqual(['urgent']);
	});

	it('starts a queue of higher priority first', () => {
		const {model} = load([build('bulk', {priority: 2, receivedAtMs: -4000}, 1), build('quick', {priority: 0}, 1)]);
		expect(placeAll(model, [createWorker('x', 1000)]).map(({task}) => task.ref.workflowId)).toEqual(['quick']);
	});

	/** Guards against a wall clock that jumps: the age of a new job must not be computed from it. */
	it('does not overestimate the age of a job when a clock was set', () => {
		const {model, fold} = load([build('a', {receivedAtMs: -60_000})]);
		const workflow = model.add(fold.workflows.get('a')!, 0, 5000, 30);
		expect(workflow.receivedAtMs).toBe(4970);
	});

	it('computes the remaining work of a job whose steps depend on others', () => {
		const {model} = load([createWorkflow('a', createSpec([
			createStep({count: 2, estimateMs: 1000, milliCpu: 500}), createStep({estimateMs: 3000, after: [0]}), createStep({estimateMs: 500}),
		]))]);
		const steps = model.workflows.get('a')!.occurrences.get(0)!;
		expect(getRemainingWork(steps, new RunTimes())).toEqual({
			totalCoreMs: 4500, remainingCoreMs: 4500, criticalPathMs: 4000, remainingCriticalPathMs: 4000,
		});
		steps[0]!.tasks[0]!.isDone = true;
		run(steps[0]!.tasks[1]!, createWorker('x'), {percent: 40});
		expect(getRemainingWork(steps, new RunTimes())).toMatchObject({remainingCoreMs: 3800, remainingCriticalPathMs: 3600});
	});
});

describe('colocation', () => {
	const createLatencyCriticalJob = (id: string, image: string) => createWorkflow(id, createSpec([createStep({
		isLasting: true, targetMs: 20, image, milliCpu: 1000,
	})]));

	/**
	Guards against latency-critical tasks of three images on each worker: most best-effort images interfere with one of the
	three, so that few long tasks found a worker, and half of the CPU was idle. With one image on a worker, a third of them
	interferes with no task there.
	*/
	it('places latency-critical tasks of one image together, even if another worker is free', () => {
		const workers = [createWorker('x'), createWorker('y'), createWorker('z', 1000)];
		const {model} = load(['one', 'two'].flatMap(image => [0, 1, 2].map(index => createLatencyCriticalJob(`${image}-${index}`, image))));
		for (const [index, task] of getTasks(model).entries()) {
			run(task, workers[Math.floor(index / 3)]!, {percent: 100, recent: 5});
		}

		const place = (image: string) => placeAll(load([createLatencyCriticalJob('next', image)]).model, workers).map(({worker}) => worker.host);
		expect(place('one')).toEqual(['x']);
		expect(place('two')).toEqual(['y']);
		expect(place('three')).toEqual(['z']);
	});

	it('reserves workers without latency-critical tasks for images that would interfere elsewhere, while they are short', () => {
		const {model} = load([createLatencyCriticalJob('a', 'one'), createWorkflow('f', createSpec([createStep({isFilling: true, image: 'light', milliCpu: 500})]))]);
		const [latencyCriticalTask] = getTasks(model);
		const workers = [createWorker('quiet', 400), createWorker('served')];
		run(latencyCriticalTask!, workers[1]!, {percent: 100, recent: 5});
		const interference = new BestEffortInterference();
		interference.restore([{
			server: 'one', filler: 'light', mean: 0, deviation: 0.001,
		}], 0);
		expect(placeAll(model, workers, {harm: interference}).map(({worker}) => worker.host)).toEqual(['served']);
	});
});
