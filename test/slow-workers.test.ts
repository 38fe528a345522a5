/**
Workers that run everything at a fraction of their speed: they are told apart from tasks that take long, get no new tasks, and lose
runs only to other workers where these end clearly sooner.
*/
import {describe, expect, it} from 'vitest';
import {type LiveRun, type LiveStep} from '../src/workflows/live-model.ts';
import {createPolicy} from '../src/workflows/policy.ts';
import {chooseMoves, wantsCopy} from '../src/workflows/relocation.ts';
import {RunTimes} from '../src/workflows/run-times.ts';
import {SlowWorkers} from '../src/workflows/slow-runs.ts';
import {type FleetWorker} from '../src/workflows/fleet-view.ts';
import {type WorkflowStep} from '../src/types/workflows.ts';
import {
	createWorker, createWorkflow, load, run,
} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

const createJob = (id: string, spec: Partial<WorkflowStep>): LiveStep => {
	const {model} = load([createWorkflow(id, createSpec([createStep({estimateMs: 1000, ...spec})]))]);
	return model.workflows.get(id)!.occurrences.get(0)![0]!;
};

const createFleet = (size: number): FleetWorker[] => Array.from({length: size}, (_, index) => createWorker(`w${index}`));

/** Plays a step with a task on each worker for the time: tasks of a second, times the factor of the worker. Returns the runs that have not ended. */
const play = (times: RunTimes, step: LiveStep, workers: FleetWorker[], {factors, elapsedMs, workMs = 1000}: {factors: number[]; elapsedMs: number; workMs?: number}): LiveRun[] => {
	const active: LiveRun[] = [];
	for (const [index, task] of step.tasks.entries()) {
		const totalMs = workMs * factors[index]!;
		const isDone = totalMs <= elapsedMs;
		const workedMs = Math.min(totalMs, elapsedMs);
		const live = run(task, workers[index]!, {percent: Math.min(99, Math.floor(100 * workedMs / totalMs)), workedMs, workedUntilMs: elapsedMs});
		if (isDone) {
			times.observe(live, {isDone});
			task.isDone = true;
			task.runs = [];
			workers[index]!.runs.delete(live);
			step.remaining--;
		} else {
			active.push(live);
		}
	}

	for (const live of active) {
		times.observe(live, {isDone: false});
	}

	return active;
};

const usual = [1, 1, 1, 1, 1, 1];
const oneSlow = [8, 1, 1, 1, 1, 1];
const nowMs = 1200;

/** Lets two steps show that the first worker runs at an eighth of its speed. */
const showSlow = (times: RunTimes, workers: FleetWorker[], factors = oneSlow): void => {
	for (const id of ['shown-1', 'shown-2']) {
		for (const live of play(times, createJob(id, {count: 6}), workers, {factors, elapsedMs: nowMs})) {
			live.task.runs = [];
			workers[0]!.runs.delete(live);
		}
	}
};

const setup = () => {
	const times = new RunTimes(true, true);
	const workers = createFleet(6);
	return {times, workers};
};

describe('a worker', () => {
	it('is slow if tasks of several steps are slow there and not elsewhere', () => {
		const {times, workers} = setup();
		showSlow(times, workers);
		expect(workers.map(({report}) => times.speeds.isSlow(report!.workerId, nowMs))).toEqual([true, false, false, false, false, false]);
	});

	/** Guards against taking a worker out of use for a job with seven times the work. */
	it('is not slow if a step is slow on all workers', () => {
		const {times, workers} = setup();
		for (let job = 0; job < 4; job++) {
			play(times, createJob(`long-${job}`, {count: 6}), workers, {factors: usual.map(() => 7), elapsedMs: 7000});
		}

		expect(workers.some(({report}) => times.speeds.isSlow(report!.workerId, 7000))).toBe(false);
	});

	/** Guards against taking a worker out of use for a single task that takes long. */
	it('is not slow for one task alone', () => {
		const {times, workers} = setup();
		const [live] = play(times, createJob('long', {count: 6}), workers, {factors: oneSlow, elapsedMs: nowMs});
		for (let listing = 0; listing < 20; listing++) {
			times.observe(live!, {isDone: false});
		}

		expect(times.speeds.isSlow('w0-1', nowMs)).toBe(false);
	});

	it('is not slow for best-effort tasks, which are throttled, nor for tasks far from their data', () => {
		for (const spec of [{isFilling: true, image: 'a'}, {dataRack: 'r9-1'}]) {
			const {times, workers} = setup();
			for (let job = 0; job < 4; job++) {
				play(times, createJob(`job-${job}`, {count: 6, ...spec}), workers, {factors: oneSlow, elapsedMs: nowMs});
			}

			expect(times.speeds.isSlow('w0-1', nowMs)).toBe(false);
		}
	});

	it('is used again some seconds after the last evidence', () => {
		const {times, workers} = setup();
		showSlow(times, workers);
		expect(times.speeds.isSlow('w0-1', nowMs + 10_000)).toBe(false);
	});

	it('gets no new tasks while it is slow, and is logged once', () => {
		const {times, workers} = setup();
		showSlow(times, workers);
		const events: string[] = [];
		const slowWorkers = new SlowWorkers({times, note: (event, {workerId}) => events.push(`${event} ${String(workerId)}`)});
		const getHosts = (atMs: number) => slowWorkers.leaveOut(workers, atMs).map(({host}) => host);
		expect(getHosts(nowMs)).toEqual(['w1', 'w2', 'w3', 'w4', 'w5']);
		expect(getHosts(nowMs + 100)).toEqual(['w1', 'w2', 'w3', 'w4', 'w5']);
		expect(getHosts(nowMs + 10_000)).toHaveLength(6);
		expect(events).toEqual(['worker slow w0-1', 'worker no longer slow w0-1']);
	});

	/** Guards against leaving a service without workers, as when all are slowed by the same load. */
	it('gets tasks like the others if many workers are slow', () => {
		const {times, workers} = setup();
		showSlow(times, workers, [8, 8, 1, 1, 1, 1]);
		expect(new SlowWorkers({times, note: () => undefined}).leaveOut(workers, nowMs)).toHaveLength(6);
	});

	/** Guards against decisions on what an owner learned that is gone: its successor knows of no slow worker and moves nothing for it. */
	it('is not known to be slow to the next owner', () => {
		const {times, workers} = setup();
		showSlow(times, workers);
		const successor = new RunTimes(true, true);
		expect(new SlowWorkers({times: successor, note: () => undefined}).leaveOut(workers, nowMs)).toHaveLength(6);
		const step = createJob('begun', {count: 1, isSpeculative: true});
		run(step.tasks[0]!, workers[0]!, {percent: 10, workedMs: 900});
		expect(wantsCopy(step.tasks[0]!, nowMs, successor)).toBe(false);
	});
});

describe('a copy', () => {
	const getCopied = (times: RunTimes, step: LiveStep): number[] => step.tasks.filter(task => !task.isDone && wantsCopy(task, nowMs, times)).map(({ref}) => ref.index);

	it('starts for a run on a slow worker whose step allows copies', () => {
		const {times, workers} = setup();
		showSlow(times, workers);
		const step = createJob('a', {count: 6, isSpeculative: true});
		play(times, step, workers, {factors: oneSlow, elapsedMs: nowMs});
		expect(getCopied(times, step)).toEqual([0]);
		expect(getCopied(new RunTimes(), step)).toEqual([]);
	});

	it('does not start for a step that allows none', () => {
		const {times, workers} = setup();
		showSlow(times, workers);
		const step = createJob('a', {count: 6});
		play(times, step, workers, {factors: oneSlow, elapsedMs: nowMs});
		expect(getCopied(times, step)).toEqual([]);
	});

	/** Guards against copies that take as long as the run: the work of the job is long, not its worker slow. */
	it('does not start for a task that takes long by itself', () => {
		const {times, workers} = setup();
		showSlow(times, workers, usual);
		const step = createJob('a', {count: 6, isSpeculative: true});
		play(times, step, workers, {factors: [1, 7, 1, 1, 1, 1], elapsedMs: nowMs});
		expect(getCopied(times, step)).toEqual([]);
	});

	it('does not start for a run that is nearly done', () => {
		const {times, workers} = setup();
		showSlow(times, workers);
		const step = createJob('a', {count: 6, isSpeculative: true});
		const [live] = play(times, step, workers, {factors: oneSlow, elapsedMs: nowMs});
		Object.assign(live!, {percent: 90, workedMs: 7200});
		expect(getCopied(times, step)).toEqual([]);
	});

	/** Guards against copies that take the place of tasks without a run. */
	it('does not start while tasks of the step wait, nor for more than a quarter of the step', () => {
		const {times, workers} = setup();
		showSlow(times, workers);
		const step = createJob('a', {count: 6, isSpeculative: true});
		play(times, step, workers, {factors: oneSlow, elapsedMs: nowMs});
		step.tasks[5]!.isDone = false;
		expect(getCopied(times, step)).toEqual([]);
		step.tasks[5]!.isDone = true;
		for (const index of [1, 2]) {
			run(step.tasks[index]!, workers[3]!);
			run(step.tasks[index]!, workers[4]!);
		}

		expect(getCopied(times, step)).toEqual([]);
	});
});

it('a copy is logged with what was expected of both runs', () => {
	const {times, workers} = setup();
	showSlow(times, workers);
	const step = createJob('a', {count: 6, isSpeculative: true});
	play(times, step, workers, {factors: oneSlow, elapsedMs: nowMs});
	const lines: Array<{event: string; remainingMs?: unknown; copyMs?: unknown}> = [];
	const slowWorkers = new SlowWorkers({
		times, note(event, fields) {
			lines.push({event, ...fields});
		},
	});
	slowWorkers.noteCopies([{task: step.tasks[0]!, worker: workers[3]!}, {task: step.tasks[1]!, worker: workers[4]!}], nowMs);
	expect(lines).toMatchObject([{
		event: 'copy started', taskId: 'a.0.0.0', host: 'w3', otherHost: 'w0', isSlow: true,
	}]);
	expect(Number(lines[0]!.remainingMs)).toBeGreaterThan(1.5 * Number(lines[0]!.copyMs));
});

describe('a move', () => {
	const getMoved = (times: RunTimes, workers: FleetWorker[], hasTails = true) => chooseMoves({
		workers, nowMs, policy: createPolicy(), canPlace: () => true, ...(hasTails && {times}),
	}).map(({run: {task}}) => task.ref.index);

	const start = (checkpoint: string, workMs: number) => {
		const {times, workers} = setup();
		showSlow(times, workers);
		for (const worker of workers) {
			worker.lastReplyAtMs = nowMs;
		}

		const step = createJob('a', {count: 6, isCheckpointing: true});
		for (const live of play(times, step, workers, {factors: oneSlow, elapsedMs: nowMs, workMs})) {
			live.progressAtMs = nowMs;
			live.task.checkpoint.value = checkpoint;
		}

		return {times, workers};
	};

	it('takes a run with a checkpoint off a slow worker, and no other', () => {
		const {times, workers} = start('2', 3000);
		expect(getMoved(times, workers)).toEqual([0]);
		expect(getMoved(times, workers, false)).toEqual([]);
	});

	it('does not throw work away that was not saved', () => {
		const {times, workers} = start('', 3000);
		expect(getMoved(times, workers)).toEqual([]);
	});

	it('is not made for a run that ends sooner where it is', () => {
		const {times, workers} = start('2', 200);
		expect(getMoved(times, workers)).toEqual([]);
	});
});

describe('a worker that drains', () => {
	/** Guards against runs that are cut off, or stopped for nothing, because their callers' estimates are off. */
	it.each([
		{estimateMs: 400, remainingMs: 600, isMoved: true},
		{estimateMs: 2500, remainingMs: 1200, isMoved: false},
	])('keeps a run that ends in time by what tasks of its queue took, not by its estimate: $estimateMs', ({estimateMs, remainingMs, isMoved}) => {
		const {times, workers} = setup();
		for (let job = 0; job < 20; job++) {
			play(times, createJob(`done-${job}`, {count: 6, estimateMs: job % 2 === 0 ? 400 : 2500}), workers, {factors: usual, elapsedMs: 1000});
		}

		const [worker] = workers;
		worker!.lastReplyAtMs = nowMs;
		worker!.report = {...worker!.report!, isDraining: true, remainingMs};
		run(createJob('a', {estimateMs}).tasks[0]!, worker!, {orderedAtMs: nowMs, progressAtMs: nowMs});
		const getMoves = (tails?: RunTimes) => chooseMoves({
			workers, nowMs, policy: createPolicy(), canPlace: () => true, times: tails,
		}).length;
		expect(getMoves(times)).toBe(isMoved ? 1 : 0);
		expect(getMoves()).toBe(isMoved ? 0 : 1);
	});
});
