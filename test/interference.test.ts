import {describe, expect, test} from 'vitest';
import {InterferenceModel, hostKindId, KindTable} from '../src/jobs/interference-model.ts';
import {TaskClass, type JobSpec} from '../src/types/jobs.ts';
import {
	DecisionType, EvictionReason, type Decision, type PlacementEngine,
} from '../src/types/placement.ts';
import {createRandom} from '../src/utils/seeded-random.ts';
import {
	createEngine, createSpec, createWorker, enqueueJob, getEvictions, getStarts,
} from './placement-tools.ts';

const getEffects = (model: InterferenceModel, neighbour: number) => ({
	idle: model.getIdleEffect(1, TaskClass.LatencyCritical, neighbour, 0),
	full: model.getFullEffect(1, TaskClass.LatencyCritical, neighbour, 0),
});

/** Feeds reports of kind 1 beside kinds 2 and 3. Kind 2 has no effect; kind 3 slows by 0.6 at full load, in proportion to load. */
const learn = (model: InterferenceModel, reports: number, seed = 5): void => {
	const random = createRandom(seed);
	for (let count = 0; count < reports; count++) {
		const load = 0.2 + (0.8 * random.next());
		const quiet = random.below(3);
		const noisy = random.below(2);
		const noise = 0.3 * (random.next() - 0.5);
		model.observe({
			victimKindId: 1,
			taskClass: TaskClass.LatencyCritical,
			neighbours: [{kindId: 2, shareSum: quiet}, {kindId: 3, shareSum: noisy}].filter(({shareSum}) => shareSum > 0),
			load,
			slowdown: 1 + (0.6 * load * noisy) + noise,
		});
	}
};

describe('interference between two kinds', () => {
	test('is distinguished from that of quiet neighbours, and depends on load', () => {
		const model = new InterferenceModel(600_000);
		learn(model, 400);
		expect(getEffects(model, 3).full).toBeGreaterThan(0.45);
		expect(getEffects(model, 3).idle).toBeLessThan(0.2);
		expect(Math.abs(getEffects(model, 2).full)).toBeLessThan(0.1);
	});

	test('is uncertain without reports, and the uncertainty grows back over time', () => {
		const model = new InterferenceModel(60_000);
		model.decay(0);
		const getUncertainty = () => model.getFullEffect(1, TaskClass.LatencyCritical, 3, 1) - model.getFullEffect(1, TaskClass.LatencyCritical, 3, 0);
		const unknown = getUncertainty();
		learn(model, 400);
		const known = getUncertainty();
		model.decay(240_000);
		expect(known).toBeLessThan(unknown / 3);
		expect(getUncertainty()).toBeGreaterThan(2 * known);
	});

	test('an outlier changes an effect little', () => {
		const model = new InterferenceModel(600_000);
		learn(model, 400);
		const before = getEffects(model, 2).full;
		model.observe({
			victimKindId: 1, taskClass: TaskClass.LatencyCritical, neighbours: [{kindId: 2, shareSum: 1}], load: 1, slowdown: 1000,
		});
		expect(getEffects(model, 2).full - before).toBeLessThan(0.1);
	});

	test('the effect of a kind not seen beside a victim is estimated from its effect on others', () => {
		const model = new InterferenceModel(600_000);
		learn(model, 400);
		expect(model.getFullEffect(9, TaskClass.LatencyCritical, 3, 0)).toBeGreaterThan(2 * model.getFullEffect(9, TaskClass.LatencyCritical, 2, 0));
	});

	test('the host itself counts as a neighbour of every task', () => {
		const model = new InterferenceModel(600_000);
		for (let count = 0; count < 200; count++) {
			model.observe({
				victimKindId: 1, taskClass: TaskClass.LatencyCritical, neighbours: [], load: 1, slowdown: 1.5,
			});
		}

		expect(getEffects(model, hostKindId).full).toBeCloseTo(0.5, 1);
	});

	test('kinds beyond the size of the table reuse the id of the oldest, whose effects are reset', () => {
		const reused: number[] = [];
		const kinds = new KindTable(kindId => {
			reused.push(kindId);
		});
		const first = kinds.getId('first');
		for (let count = 0; count < 300; count++) {
			kinds.getId(`kind-${count}`);
		}

		expect(reused[0]).toBe(first);
		expect(kinds.getId('kind-299')).toBeLessThan(256);
	});
});

const latencyCritical: JobSpec = createSpec('desk', {
	kind: 'desk', taskClass: TaskClass.LatencyCritical, resources: {processors: 4, memoryMb: 1024, accelerators: 0}, declaredRunTimeMs: 1e9,
});
const noisy = (jobId: string): JobSpec => createSpec(jobId, {kind: 'noisy', resources: {processors: 8, memoryMb: 1024, accelerators: 0}, declaredRunTimeMs: 600_000});

/** Reports usage of the latency-critical task; each report was measured 20 s before it arrives. */
const reportLate = (engine: PlacementEngine, {fromMs, toMs, slowdown}: {fromMs: number; toMs: number; slowdown(measuredAtMs: number): number}): Decision[] => {
	const decisions: Decision[] = [];
	for (let nowMs = fromMs; nowMs <= toMs; nowMs += 2000) {
		const measuredAtMs = nowMs - 20_000;
		engine.recordUsage('desk/0', {
			measuredAtMs, processors: 4, memoryMb: 512, slowdown: slowdown(measuredAtMs),
		});
		decisions.push(...engine.decide(nowMs, 100));
	}

	return decisions;
};

/*
A noisy task ran beside a latency-critical one and ended. Its interference shows in reports that arrive when a quiet task
has taken its place. Attribution to the tasks present at arrival would throttle the quiet task and admit the noisy one again.
*/
test('late reports are attributed to the neighbours at the time of measurement', () => {
	const engine = createEngine({tailWeight: 8, deferMs: 3_600_000});
	engine.setWorker(createWorker(0));
	enqueueJob(engine, latencyCritical);
	enqueueJob(engine, noisy('n1'));
	expect(getStarts(engine.decide(0, 10))).toHaveLength(2);
	engine.recordEnded('n1/0', true, 100_000);
	const quiet = createSpec('quiet', {kind: 'quiet', declaredRunTimeMs: 600_000});
	enqueueJob(engine, quiet, {queuedAtMs: 100_000});
	expect(getStarts(engine.decide(100_000, 10))).toHaveLength(1);
	const report = (measuredAtMs: number, slowdown: number) => {
		engine.recordUsage('desk/0', {
			measuredAtMs, processors: 4, memoryMb: 512, slowdown,
		});
	};

	for (let step = 0; step < 40; step++) {
		report(60_000 + (step * 1000), 2.5);
	}

	for (let step = 0; step < 10; step++) {
		report(101_000 + (step * 1000), 1);
	}

	expect(engine.decide(125_000, 10)).toEqual([]);
	enqueueJob(engine, noisy('n2'), {queuedAtMs: 125_000});
	expect(engine.decide(125_100, 10)).toEqual([]);
	enqueueJob(engine, {...quiet, jobId: 'quiet-2'}, {queuedAtMs: 125_200});
	expect(getStarts(engine.decide(125_200, 10)).map(({taskId}) => taskId)).toEqual(['quiet-2/0']);
	engine.setWorker(createWorker(1));
	expect(getStarts(engine.decide(130_000, 10))).toMatchObject([{taskId: 'n2/0', workerId: 'w1'}]);
});

describe('a latency-critical task that is slowed', () => {
	const reportUntil = (engine: PlacementEngine, isThrottled: () => boolean, toMs: number) => {
		const decisions: Decision[] = [];
		for (let nowMs = 21_000; nowMs <= toMs; nowMs += 2000) {
			decisions.push(...reportLate(engine, {fromMs: nowMs, toMs: nowMs, slowdown: () => isThrottled() ? 1.8 : 2.5}));
		}

		return decisions;
	};

	const start = (settings: Parameters<typeof createEngine>[0] = {}) => {
		const engine = createEngine({
			tailWeight: 8, deferMs: 0, harmSettleMs: 10_000, ...settings,
		});
		engine.setWorker(createWorker(0));
		enqueueJob(engine, latencyCritical);
		enqueueJob(engine, noisy('n1'));
		engine.decide(0, 10);
		return engine;
	};

	test('has its worst neighbour throttled first, and evicted only if that does not suffice and another worker is better', () => {
		const engine = start();
		const onOneWorker = reportUntil(engine, () => true, 150_000);
		expect(onOneWorker.map(({type}) => type)).toEqual([DecisionType.Throttle, DecisionType.Throttle]);
		engine.setWorker(createWorker(1));
		const onTwoWorkers = reportLate(engine, {fromMs: 160_000, toMs: 200_000, slowdown: () => 1.8});
		expect(getEvictions(onTwoWorkers)).toMatchObject([{taskId: 'n1/0', reason: EvictionReason.Harm}]);
	});

	/*
	Interference comes in waves: 20 s with, 20 s without. A reaction to each report would throttle, restore and evict again
	and again.
	*/
	test('does not cause decisions at each wave of interference', () => {
		const engine = start();
		engine.setWorker(createWorker(1));
		const decisions = reportLate(engine, {fromMs: 21_000, toMs: 620_000, slowdown: measuredAtMs => Math.floor(measuredAtMs / 20_000) % 2 === 0 ? 2.2 : 1});
		expect(decisions.length).toBeLessThanOrEqual(4);
		expect(getEvictions(decisions).length).toBeLessThanOrEqual(1);
	});

	test('causes the next step only after reports can show the effect of the last', () => {
		const engine = start({harmSettleMs: 60_000});
		expect(reportUntil(engine, () => true, 75_000)).toMatchObject([{type: DecisionType.Throttle, share: 0.5}]);
		expect(reportUntil(engine, () => true, 120_000)).toMatchObject([{type: DecisionType.Throttle, share: 0.25}]);
	});

	test('does not affect batch work where throughput has the higher weight', () => {
		const engine = start({tailWeight: 0.1, throughputWeight: 1});
		expect(reportUntil(engine, () => false, 150_000)).toEqual([]);
	});
});
