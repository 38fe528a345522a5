/**
Best-effort tasks beside latency-critical tasks: learned interference, throttles and placement. No network.
*/
import {describe, expect, it} from 'vitest';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {type AgentLinks} from '../src/workflows/agent-links.ts';
import {BestEffortInterference, type BestEffortGroup, type LatencyCriticalTask} from '../src/workflows/best-effort-interference.ts';
import {WorkflowFold} from '../src/workflows/fold.ts';
import {RunPhase} from '../src/workflows/live-model.ts';
import {planSpeeds} from '../src/workflows/interference-throttling.ts';
import {decideThrottles, ThrottleController} from '../src/workflows/throttle-controller.ts';
import {decodeRecord, encodeRecord, RecordType} from '../src/workflows/records.ts';
import {getLoadAt, LatencyCriticalLoadTracker} from '../src/workflows/latency-critical-load.ts';
import {
	createWorker, createWorkflow, load, placeAll, run,
} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

const createGroup = (image: string, fields: Partial<BestEffortGroup> = {}): BestEffortGroup => ({
	image, share: 0.25, usedShare: 0.25, peakShare: fields.usedShare ?? 0.25, throttlePercent: 100, sinceChangeMs: 1000, ...fields,
});

const createLatencyCriticalTasks = (ratio: number, job = 's.0'): LatencyCriticalTask[] => [{image: 'serve', job, latencyRatio: ratio}];

/** Tail latency divided by its target at a load, as workers measure it. */
const getRatioAt = (load: number): number => 1 / (6 * (1 - Math.min(0.99, load)));

/** Two workers report a job for ten seconds: one with non-interfering neighbours only, the other with an interfering one at times. */
const learnEffects = (heavyEffect: number): BestEffortInterference => {
	const interference = new BestEffortInterference();
	for (let nowMs = 0; nowMs < 10_000; nowMs += 500) {
		const own = 0.45 + (0.2 * Math.sin(nowMs / 1600));
		const heavyShare = nowMs % 2000 < 1000 ? 0.2 : 0;
		interference.observe(createLatencyCriticalTasks(getRatioAt(own)), [createGroup('light')], nowMs);
		interference.observe(createLatencyCriticalTasks(getRatioAt(own + (heavyEffect * heavyShare))), [createGroup('light'), createGroup('heavy', {usedShare: heavyShare})], nowMs);
	}

	return interference;
};

const createScenario = (recentMs = 40, tasks = 2) => {
	const {model} = load([
		createWorkflow('s', createSpec([createStep({
			isLasting: true, targetMs: 100, image: 'serve', milliCpu: 3000,
		})])),
		createWorkflow('f', createSpec([createStep({count: tasks, isFilling: true, image: 'heavy'})])),
	]);
	const worker = createWorker('x');
	const [latencyCriticalTask] = [...model.getWaitingTasks(0, () => false)];
	run(latencyCriticalTask!, worker, {recent: recentMs, percent: 100});
	return {model, worker};
};

describe('learned interference', () => {
	/**
	Guards against blaming neighbours for a peak of the job's own load: all of its tasks have long tails then, and stopping
	their neighbours left batch jobs without progress. The task whose neighbours do not interfere shows how much is the job's
	own load.
	*/
	it('distinguishes the load waves of a job from the effects of its neighbours', () => {
		const interference = learnEffects(1.5);
		expect(interference.getEffect('serve', 'heavy')).toBeGreaterThan(1);
		expect(interference.getEffect('serve', 'light')).toBeLessThan(0.3);
	});

	/** A tail takes more than a second to fall after its cause has stopped: what runs beside it by then is not the cause. */
	it('blames no image for a tail that is still falling', () => {
		const interference = learnEffects(1.5);
		const before = interference.getEffect('serve', 'light');
		for (let nowMs = 10_000; nowMs < 11_000; nowMs += 500) {
			interference.observe(createLatencyCriticalTasks(4), [createGroup('light'), createGroup('heavy', {usedShare: 0, peakShare: 0.4})], nowMs);
		}

		expect(interference.getEffect('serve', 'light')).toBeLessThanOrEqual(before);
	});
});

describe('interference learned by an owner', () => {
	/** Guards against a new owner that starts without the model, so that each image interferes again before it is slowed. */
	it('is restored by the next owner', () => {
		const fold = new WorkflowFold();
		fold.apply(decodeRecord(encodeRecord({type: RecordType.Interference, pairs: learnEffects(1.5).getPairs()})), 0);
		const next = new BestEffortInterference();
		next.restore(fold.interferencePairs, 0);
		expect(next.getEffect('serve', 'heavy')).toBeCloseTo(learnEffects(1.5).getEffect('serve', 'heavy'), 1);
		expect(next.getPairs()).toEqual(learnEffects(1.5).getPairs());
	});
});

describe('images without tasks', () => {
	/** Guards against a record for the next owner that grows over months with every image ever seen, and slows each takeover. */
	it('are not handed over', () => {
		const interference = learnEffects(1.5);
		expect(interference.getPairs()).toHaveLength(2);
		interference.observe([], [], 1_000_000);
		expect(interference.getPairs()).toEqual([]);
	});
});

describe('speeds', () => {
	const effect = (_: string, image: string) => image === 'heavy' ? 1 : 0.1;
	const demands = [{image: 'heavy', share: 0.2}, {image: 'light', share: 0.5}];

	it('are 1 while every latency-critical task stays below its target', () => {
		expect(planSpeeds([{image: 'serve', load: 0.5}], demands, effect)).toEqual([1, 1]);
	});

	it('are lowered for the image with the largest effect first, and no more than needed', () => {
		const [heavy, light] = planSpeeds([{image: 'serve', load: 0.64}], demands, effect);
		expect(light).toBe(1);
		expect(heavy).toBeCloseTo((getLoadAt(0.9) - 0.64 - 0.05) / 0.2);
	});

	it('are 0 for interfering images when a latency-critical task has no load to spare', () => {
		expect(planSpeeds([{image: 'serve', load: 0.85}], demands, effect)).toEqual([0, 0]);
	});

	it('are 1 for non-interfering images in any case', () => {
		expect(planSpeeds([{image: 'serve', load: 0.85}], demands, () => 0.01)).toEqual([1, 1]);
	});
});

describe('throttles', () => {
	it('slow an image known to interfere with a tail far above its target, and leave the others', () => {
		const throttles = decideThrottles(createLatencyCriticalTasks(5), [createGroup('heavy'), createGroup('light')], learnEffects(4));
		expect(throttles.get('heavy')).toBeLessThan(50);
		expect(throttles.has('light')).toBe(false);
	});

	it('are not lowered again while the tail falls after the last change', () => {
		const groups = [createGroup('heavy', {
			throttlePercent: 0, usedShare: 0, peakShare: 0.4, sinceChangeMs: 100,
		}), createGroup('light')];
		expect(decideThrottles(createLatencyCriticalTasks(2), groups, learnEffects(1.5))).toEqual(new Map());
	});

	it('are lowered when no known effect explains the tail', () => {
		expect(decideThrottles(createLatencyCriticalTasks(5), [createGroup('new')], new BestEffortInterference()).get('new')).toBeLessThan(50);
	});

	/**
	Guards against a wrong model: a tail stayed over its target for four seconds, beside an image assumed not to interfere.
	After a time all best-effort tasks there stop, and none are placed there, until the tail has recovered.
	*/
	it('stop all best-effort tasks beside a tail that exceeds its target too long, and placement there', async () => {
		const interference = new BestEffortInterference();
		interference.restore([{
			server: 'serve', filler: 'heavy', mean: 0, deviation: 0.001,
		}], 0);
		const {model, worker} = createScenario(30);
		const {runs} = worker;
		const [latencyCriticalTask] = [...runs];
		const [task] = [...model.getWaitingTasks(0, () => false)];
		run(task!, worker, {recent: 500});
		const clock = new ManualClock();
		const controller = new ThrottleController({
			interference, clock, links: {order: async () => undefined} as unknown as AgentLinks, note: () => undefined,
		});
		latencyCriticalTask!.recent = 110;
		controller.handleState(worker);
		expect(worker.isBestEffortStopped).toBe(false);
		await clock.advance(1600);
		controller.handleState(worker);
		expect(worker.throttles.get('heavy')?.percent).toBe(0);
		expect(placeAll(model, [worker], {harm: interference, nowMs: 10_000})).toHaveLength(0);
		latencyCriticalTask!.recent = 20;
		controller.handleState(worker);
		expect(worker.isBestEffortStopped).toBe(false);
	});

	/**
	Guards against noisy readings, which arrive twice a second: a tail stayed over its target for four seconds, but each single
	reading just below it restarted the count of 1.5 s, and best-effort tasks went on. A tail that has recovered stays below.
	*/
	it('stop all best-effort tasks beside a tail that exceeds its target too long but for single readings', async () => {
		const interference = new BestEffortInterference();
		interference.restore([{
			server: 'serve', filler: 'heavy', mean: 0, deviation: 0.001,
		}], 0);
		const {model, worker} = createScenario(30);
		const [latencyCriticalTask] = [...worker.runs];
		const [task] = [...model.getWaitingTasks(0, () => false)];
		run(task!, worker, {recent: 500});
		const clock = new ManualClock();
		const controller = new ThrottleController({
			interference, clock, links: {order: async () => undefined} as unknown as AgentLinks, note: () => undefined,
		});
		// Users tolerate 4 s; a stop takes effect after 0.1 s, and the tail falls for 1.3 s more.
		const boundMs = 4000 - 100 - 1300;
		for (let nowMs = 0; nowMs < boundMs; nowMs += 100) {
			latencyCriticalTask!.recent = nowMs % 1500 >= 1400 ? 98 : 104;
			controller.handleState(worker);
			await clock.advance(100);
		}

		expect(worker.throttles.get('heavy')?.percent).toBe(0);
	});

	it('are raised no further than latency-critical tasks tolerate', () => {
		const interference = learnEffects(4);
		expect(decideThrottles(createLatencyCriticalTasks(0.3), [createGroup('heavy', {throttlePercent: 0, usedShare: 0})], interference).get('heavy') ?? 0).toBeLessThan(50);
		expect(decideThrottles(createLatencyCriticalTasks(0.3), [createGroup('light', {throttlePercent: 0, usedShare: 0})], interference)).toEqual(new Map([['light', 100]]));
	});

	it('are raised only after the last change has taken effect', () => {
		expect(decideThrottles(createLatencyCriticalTasks(0.3), [createGroup('light', {throttlePercent: 0, usedShare: 0, sinceChangeMs: 100})], learnEffects(1.5)).size).toBe(0);
	});

	it('are raised to 100 when no latency-critical task is left', () => {
		expect(decideThrottles([], [createGroup('heavy', {throttlePercent: 0, usedShare: 0})], learnEffects(4))).toEqual(new Map([['heavy', 100]]));
	});
});

describe('placement of best-effort tasks', () => {
	/** Guards against placing tasks beside latency-critical tasks where they are then stopped, so that jobs miss their objectives. */
	it('places no task beside a latency-critical task that its image is known to interfere with', () => {
		const {model, worker} = createScenario();
		const interference = learnEffects(4);
		expect(placeAll(model, [worker], {harm: interference})).toHaveLength(0);
		// A job without an active run does not wait forever, as most CPU is free: one task starts, and is throttled.
		expect(placeAll(model, [worker], {harm: interference, nowMs: 2000})).toHaveLength(1);
		expect(placeAll(model, [worker, createWorker('y')], {harm: interference}).map(start => start.worker.host)).toEqual(['y', 'y']);
	});

	/** Guards against a job without an active run whose first task was stopped a moment ago: its other tasks waited for that one. */
	it('starts a task of a waiting job even if another task of the step has just been stopped', () => {
		const {model, worker} = createScenario();
		model.getTask({
			workflowId: 'f', occurrence: 0, step: 0, index: 0,
		})!.waitingSinceMs = 1900;
		expect(placeAll(model, [worker], {harm: learnEffects(4), nowMs: 2000})).toHaveLength(1);
	});

	/** Guards against a job that is idle between the end of its only run and the start of the next. */
	it('starts the next task of a waiting job while its only run ends', () => {
		const {model, worker} = createScenario();
		run(model.getTask({
			workflowId: 'f', occurrence: 0, step: 0, index: 0,
		})!, worker, {percent: 75, workedMs: 1500, progressAtMs: 2000});
		const interference = learnEffects(4);
		expect(placeAll(model, [worker], {harm: interference, nowMs: 2100, nextStartDelayMs: 300})).toHaveLength(0);
		expect(placeAll(model, [worker], {harm: interference, nowMs: 2300, nextStartDelayMs: 300})).toHaveLength(1);
	});

	/** Guards against a job that is idle because the first report of its only run comes after the end, which a busy owner handles late. */
	it('starts the next task of a waiting job after the usual run time of one that has reported no progress', () => {
		const {model, worker} = createScenario();
		run(model.getTask({
			workflowId: 'f', occurrence: 0, step: 0, index: 0,
		})!, worker, {orderedAtMs: 2000, phase: RunPhase.Starting});
		expect(placeAll(model, [worker], {harm: learnEffects(4), nowMs: 2900})).toHaveLength(0);
		expect(placeAll(model, [worker], {harm: learnEffects(4), nowMs: 3100})).toHaveLength(1);
	});

	/** Guards against late reports by which a waiting job gets one run after the other beside the tasks that it interferes with. */
	it('starts one further task of a waiting job at most beside two runs whose ends are not reported', () => {
		const {model, worker} = createScenario(40, 4);
		for (const index of [0, 1]) {
			run(model.getTask({
				workflowId: 'f', occurrence: 0, step: 0, index,
			})!, worker, {orderedAtMs: 2000});
		}

		expect(placeAll(model, [worker], {harm: learnEffects(4), nowMs: 3100})).toHaveLength(1);
		run(model.getTask({
			workflowId: 'f', occurrence: 0, step: 0, index: 2,
		})!, worker, {orderedAtMs: 3100});
		expect(placeAll(model, [worker], {harm: learnEffects(4), nowMs: 9000})).toHaveLength(0);
	});

	/** Guards against taking a run that is listed again and again without progress, because it is throttled to 0, for one that has ended. */
	it('starts no further task of a waiting job beside a run that is listed and throttled to 0', () => {
		const {model, worker} = createScenario();
		run(model.getTask({
			workflowId: 'f', occurrence: 0, step: 0, index: 0,
		})!, worker, {throttlePercent: 0, orderedAtMs: 0, workedUntilMs: 4900});
		expect(placeAll(model, [worker], {harm: learnEffects(4), nowMs: 5000})).toHaveLength(0);
	});

	/** Guards against a job that waits anew for each of its steps: it was idle for three seconds between two of them. */
	it('starts a task of the next step at once if the job has run one task at a time', () => {
		const {worker} = createScenario();
		const steps = [createStep({isFilling: true, image: 'heavy'}), createStep({isFilling: true, image: 'heavy', after: [0]})];
		const {model: chain} = load([createWorkflow('chain', createSpec(steps))]);
		const [first] = [...chain.getWaitingTasks(0, () => false)];
		const starts = placeAll(chain, [worker], {harm: learnEffects(4), nowMs: 2000});
		expect(starts.map(({task, isIdleStart}) => [task, isIdleStart])).toEqual([[first, true]]);
		first!.step.workflow.isStarved = true;
		chain.completeUnit(first!, 4000);
		expect(placeAll(chain, [worker], {harm: learnEffects(4), nowMs: 4010})).toHaveLength(1);
	});

	/** Guards against a remaining time that counts progress made before the run was resumed from a checkpoint or adopted. */
	it('predicts the remaining time of a run from its progress since it was first observed', () => {
		const {model, worker} = createScenario();
		run(model.getTask({
			workflowId: 'f', occurrence: 0, step: 0, index: 0,
		})!, worker, {
			percent: 75, basePercent: 70, workedMs: 200, orderedAtMs: 1800, progressAtMs: 2000,
		});
		expect(placeAll(model, [worker], {harm: learnEffects(4), nowMs: 2100, nextStartDelayMs: 300})).toHaveLength(0);
	});

	it('places non-interfering images beside latency-critical tasks, as far as those leave CPU', () => {
		const {model, worker} = createScenario();
		expect(placeAll(model, [worker], {harm: learnEffects(0)})).toHaveLength(2);
	});

	/** Guards against an image whose throttle stays 0 after its tasks have moved on: it never returned to that worker. */
	it('resets the throttle of an image without tasks on the worker', () => {
		const {model, worker} = createScenario(20);
		worker.throttles.set('heavy', {percent: 0, changedAtMs: 0});
		const interference = learnEffects(0);
		expect(placeAll(model, [worker], {harm: interference})).toHaveLength(0);
		const controller = new ThrottleController({
			interference, clock: new ManualClock(), links: undefined as unknown as AgentLinks, note: () => undefined,
		});
		controller.handleState(worker);
		expect(placeAll(model, [worker], {harm: interference})).toHaveLength(2);
	});
});

describe('the load of a latency-critical job whose waves are known', () => {
	const job = 'job';
	/** Reports a wave between 0.25 and 0.75 for a time. */
	const follow = (loads: LatencyCriticalLoadTracker, fromS: number, untilS: number) => {
		for (let atS = fromS; atS < untilS; atS += 0.5) {
			loads.observe({
				job, load: 0.5 + (0.25 * Math.sin(2 * Math.PI * atS / 20)), added: 0, addedVariance: 0,
			}, atS * 1000);
		}
	};

	/**
	Guards against a full margin at the peak of a wave, where loads hardly rise: no interfering image could start there for a
	quarter of the time of each of three jobs on a worker, and half of the CPU stayed idle while jobs waited. Loads of all
	workers were then between 0.71 and 0.77, and never higher.
	*/
	it('is not expected to rise further at the peak of its wave', () => {
		const loads = new LatencyCriticalLoadTracker();
		follow(loads, 0, 25);
		expect(loads.getRise(job, 0.08)).toBeLessThan(0.04);
	});

	it('may rise by the full margin at the bottom of its wave', () => {
		const loads = new LatencyCriticalLoadTracker();
		follow(loads, 0, 15);
		expect(loads.getRise(job, 0.08)).toBe(0.08);
	});

	it('may rise by the full margin until a wave has passed its peak', () => {
		const loads = new LatencyCriticalLoadTracker();
		follow(loads, 0, 5);
		expect(loads.getRise(job, 0.08)).toBe(0.08);
		expect(loads.getRise('other', 0.08)).toBe(0.08);
	});

	/** Guards against a second wave far above the first: tasks placed for the old peak kept latency-critical tasks over their targets. */
	it('may rise by the full margin again once it exceeds all earlier waves', () => {
		const loads = new LatencyCriticalLoadTracker();
		follow(loads, 0, 17);
		for (let atS = 17; atS < 23; atS++) {
			loads.observe({
				job, load: 0.35 + (0.08 * (atS - 17)), added: 0, addedVariance: 0,
			}, atS * 1000);
		}

		expect(loads.getRise(job, 0.08)).toBeLessThan(0.08);
		loads.observe({
			job, load: 0.9, added: 0, addedVariance: 0,
		}, 23_000);
		expect(loads.getRise(job, 0.08)).toBe(0.08);
	});
});
