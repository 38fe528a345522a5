/**
What fills beside what serves: learned effects, paces, and where tasks that fill are set. No network.
*/
import {describe, expect, it} from 'vitest';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {type AgentLinks} from '../src/workflows/agent-links.ts';
import {FillHarm, type Filler, type Server} from '../src/workflows/fill-harm.ts';
import {WorkflowFold} from '../src/workflows/fold.ts';
import {planSpeeds} from '../src/workflows/harm-pacing.ts';
import {decidePaces, PaceKeeper} from '../src/workflows/pace-keeper.ts';
import {decodeRecord, encodeRecord, RecordType} from '../src/workflows/records.ts';
import {getLoadAt, ServingLoads} from '../src/workflows/serving-load.ts';
import {
	createWorker, createWorkflow, load, placeAll, run,
} from './site-fleet.ts';
import {createSpec, createStep} from './site-world.ts';

const filler = (image: string, fields: Partial<Filler> = {}): Filler => ({
	image, share: 0.25, usedShare: 0.25, recentShare: fields.usedShare ?? 0.25, percent: 100, sinceChangeMs: 1000, ...fields,
});

const serving = (ratio: number, job = 's.0'): Server[] => [{image: 'serve', job, ratio}];

/** Tail over target at a load, as workers measure it. */
const getRatioAt = (load: number): number => 1 / (6 * (1 - Math.min(0.99, load)));

/** Two workers report a job for ten seconds: one has quiet neighbours, the other has heavy ones now and then. */
const teach = (heavyEffect: number): FillHarm => {
	const harm = new FillHarm();
	for (let nowMs = 0; nowMs < 10_000; nowMs += 500) {
		const own = 0.45 + (0.2 * Math.sin(nowMs / 1600));
		const heavyShare = nowMs % 2000 < 1000 ? 0.2 : 0;
		harm.note(serving(getRatioAt(own)), [filler('light')], nowMs);
		harm.note(serving(getRatioAt(own + (heavyEffect * heavyShare))), [filler('light'), filler('heavy', {usedShare: heavyShare})], nowMs);
	}

	return harm;
};

const createWorld = (recentMs = 40) => {
	const {model} = load([
		createWorkflow('s', createSpec([createStep({
			isLasting: true, targetMs: 100, image: 'serve', milliCpu: 3000,
		})])),
		createWorkflow('f', createSpec([createStep({count: 2, isFilling: true, image: 'heavy'})])),
	]);
	const worker = createWorker('x');
	const [server] = [...model.waiting(0, () => false)];
	run(server!, worker, {recent: recentMs, percent: 100});
	return {model, worker};
};

describe('learned harm', () => {
	/**
	All tasks of a job have long tails at the top of its wave, whoever is beside them. What was beside them then was
	stopped as well, and callers' jobs stood still: the quiet worker's report tells the wave from the neighbour.
	*/
	it('tells the wave of a job from what its neighbours do', () => {
		const harm = teach(1.5);
		expect(harm.getEffect('serve', 'heavy')).toBeGreaterThan(1);
		expect(harm.getEffect('serve', 'light')).toBeLessThan(0.3);
	});

	/** A tail falls back over a second and more after its cause was stopped: what is beside it by then is not the cause. */
	it('blames nobody for a tail that is still falling', () => {
		const harm = teach(1.5);
		const before = harm.getEffect('serve', 'light');
		for (let nowMs = 10_000; nowMs < 11_000; nowMs += 500) {
			harm.note(serving(4), [filler('light'), filler('heavy', {usedShare: 0, recentShare: 0.4})], nowMs);
		}

		expect(harm.getEffect('serve', 'light')).toBeLessThanOrEqual(before);
	});
});

describe('what was learned', () => {
	/** An owner died; the next one knew nothing, and each image did its harm once more before it was slowed. */
	it('is taken over by the next owner', () => {
		const fold = new WorkflowFold();
		fold.apply(decodeRecord(encodeRecord({type: RecordType.Harm, pairs: teach(1.5).getPairs()})), 0);
		const next = new FillHarm();
		next.restore(fold.harm, 0);
		expect(next.getEffect('serve', 'heavy')).toBeCloseTo(teach(1.5).getEffect('serve', 'heavy'), 1);
		expect(next.getPairs()).toEqual(teach(1.5).getPairs());
	});
});

describe('images that are gone', () => {
	/** Images come and go for months: the record for the next owner grew with all that ever were, and with it each takeover. */
	it('are not handed on', () => {
		const harm = teach(1.5);
		expect(harm.getPairs()).toHaveLength(2);
		harm.note([], [], 1_000_000);
		expect(harm.getPairs()).toEqual([]);
	});
});

describe('speeds', () => {
	const effect = (_: string, image: string) => image === 'heavy' ? 1 : 0.1;
	const demands = [{image: 'heavy', share: 0.2}, {image: 'light', share: 0.5}];

	it('are whole while every serving task stays below its target', () => {
		expect(planSpeeds([{image: 'serve', load: 0.5}], demands, effect)).toEqual([1, 1]);
	});

	it('are taken from the most harmful image first, and no more than needed', () => {
		const [heavy, light] = planSpeeds([{image: 'serve', load: 0.64}], demands, effect);
		expect(light).toBe(1);
		expect(heavy).toBeCloseTo((getLoadAt(0.9) - 0.64 - 0.05) / 0.2);
	});

	it('are nothing for what is harmful where a serving task has nothing to spare', () => {
		expect(planSpeeds([{image: 'serve', load: 0.85}], demands, effect)).toEqual([0, 0]);
	});

	it('keep what harms nobody at work', () => {
		expect(planSpeeds([{image: 'serve', load: 0.85}], demands, () => 0.01)).toEqual([1, 1]);
	});
});

describe('paces', () => {
	it('slow what is known to harm a tail far above its target, and leave the rest', () => {
		const paces = decidePaces(serving(5), [filler('heavy'), filler('light')], teach(4));
		expect(paces.get('heavy')).toBeLessThan(50);
		expect(paces.has('light')).toBe(false);
	});

	it('do not go down again while the tail falls after the last change', () => {
		const fillers = [filler('heavy', {
			percent: 0, usedShare: 0, recentShare: 0.4, sinceChangeMs: 100,
		}), filler('light')];
		expect(decidePaces(serving(2), fillers, teach(1.5))).toEqual(new Map());
	});

	it('go down with a tail that nothing known explains', () => {
		expect(decidePaces(serving(5), [filler('new')], new FillHarm()).get('new')).toBeLessThan(50);
	});

	/**
	A user's tail was over its target for four seconds, beside work that was not known to harm it. What is known may be wrong:
	after a while nothing fills there, and nothing is set there, until the tail is back.
	*/
	it('stop whatever fills beside a tail that stays too long, and nothing more is set there', async () => {
		const harm = new FillHarm();
		harm.restore([{
			server: 'serve', filler: 'heavy', mean: 0, deviation: 0.001,
		}], 0);
		const {model, worker} = createWorld(30);
		const {runs} = worker;
		const [server] = [...runs];
		const [task] = [...model.waiting(0, () => false)];
		run(task!, worker, {recent: 500});
		const clock = new ManualClock();
		const keeper = new PaceKeeper({
			harm, clock, links: {order: async () => undefined} as unknown as AgentLinks, note: () => undefined,
		});
		server!.recent = 110;
		keeper.take(worker);
		expect(worker.isFillStopped).toBe(false);
		await clock.advance(1600);
		keeper.take(worker);
		expect(worker.paces.get('heavy')?.percent).toBe(0);
		expect(placeAll(model, [worker], {harm, nowMs: 10_000})).toHaveLength(0);
		server!.recent = 20;
		keeper.take(worker);
		expect(worker.isFillStopped).toBe(false);
	});

	/**
	A user's tail was over its target for four seconds, beside work that was not known to harm it, and what fills there worked
	on. Workers tell a rough figure twice a second: one reading just below the target within those seconds began the count of
	1.5 s anew each time. The figure of a tail that is really back stays below.
	*/
	it('stop whatever fills beside a tail that stays too long but for single readings', async () => {
		const harm = new FillHarm();
		harm.restore([{
			server: 'serve', filler: 'heavy', mean: 0, deviation: 0.001,
		}], 0);
		const {model, worker} = createWorld(30);
		const [server] = [...worker.runs];
		const [task] = [...model.waiting(0, () => false)];
		run(task!, worker, {recent: 500});
		const clock = new ManualClock();
		const keeper = new PaceKeeper({
			harm, clock, links: {order: async () => undefined} as unknown as AgentLinks, note: () => undefined,
		});
		// Users bear 4 s; a stop shows after 0.1 s, and the tail falls for 1.3 s more.
		const boundMs = 4000 - 100 - 1300;
		for (let nowMs = 0; nowMs < boundMs; nowMs += 100) {
			server!.recent = nowMs % 1500 >= 1400 ? 98 : 104;
			keeper.take(worker);
			await clock.advance(100);
		}

		expect(worker.paces.get('heavy')?.percent).toBe(0);
	});

	it('give back only what serving tasks can bear', () => {
		const harm = teach(4);
		expect(decidePaces(serving(0.3), [filler('heavy', {percent: 0, usedShare: 0})], harm).get('heavy') ?? 0).toBeLessThan(50);
		expect(decidePaces(serving(0.3), [filler('light', {percent: 0, usedShare: 0})], harm)).toEqual(new Map([['light', 100]]));
	});

	it('wait for the last change to show before they give more back', () => {
		expect(decidePaces(serving(0.3), [filler('light', {percent: 0, usedShare: 0, sinceChangeMs: 100})], teach(1.5)).size).toBe(0);
	});

	it('give all back where nothing serves any more', () => {
		expect(decidePaces([], [filler('heavy', {percent: 0, usedShare: 0})], teach(4))).toEqual(new Map([['heavy', 100]]));
	});
});

describe('placement of what fills', () => {
	/** What fills was set beside serving tasks, stood still there, and jobs missed their objective. */
	it('sets what fills away from serving tasks that it is known to harm', () => {
		const {model, worker} = createWorld();
		const harm = teach(4);
		expect(placeAll(model, [worker], {harm})).toHaveLength(0);
		// With nothing of its job running it does not wait for ever, though most room is free: one task starts, and is paced.
		expect(placeAll(model, [worker], {harm, nowMs: 2000})).toHaveLength(1);
		expect(placeAll(model, [worker, createWorker('y')], {harm}).map(start => start.worker.host)).toEqual(['y', 'y']);
	});

	/** Guards against a job of which nothing runs and whose first task was stopped a moment ago: its others waited for that one. */
	it('starts a task of a job that waits, also after another one of its step has just been stopped', () => {
		const {model, worker} = createWorld();
		model.getTask({
			workflowId: 'f', occurrence: 0, step: 0, index: 0,
		})!.waitsSinceMs = 1900;
		expect(placeAll(model, [worker], {harm: teach(4), nowMs: 2000})).toHaveLength(1);
	});

	/** Guards against a job that stands idle between the end of its only run and the start of the next. */
	it('starts the next task of a job that waits while its only run ends', () => {
		const {model, worker} = createWorld();
		run(model.getTask({
			workflowId: 'f', occurrence: 0, step: 0, index: 0,
		})!, worker, {percent: 75, workedMs: 1500, progressAtMs: 2000});
		const harm = teach(4);
		expect(placeAll(model, [worker], {harm, nowMs: 2100, nextStartMs: 300})).toHaveLength(0);
		expect(placeAll(model, [worker], {harm, nowMs: 2300, nextStartMs: 300})).toHaveLength(1);
	});

	/** Guards against a run that was resumed from a checkpoint, or adopted, and is taken to end soon for what was done before. */
	it('tells how long a run still takes by what it has done since it was first seen', () => {
		const {model, worker} = createWorld();
		run(model.getTask({
			workflowId: 'f', occurrence: 0, step: 0, index: 0,
		})!, worker, {
			percent: 75, basePercent: 70, workedMs: 200, sentAtMs: 1800, progressAtMs: 2000,
		});
		expect(placeAll(model, [worker], {harm: teach(4), nowMs: 2100, nextStartMs: 300})).toHaveLength(0);
	});

	it('sets what harms nobody beside serving tasks, as far as they leave processors', () => {
		const {model, worker} = createWorld();
		expect(placeAll(model, [worker], {harm: teach(0)})).toHaveLength(2);
	});

	/** An image was held at nothing beside a serving task, its tasks moved on, and it never came back to that worker. */
	it('knows no pace of an image of which nothing is left', () => {
		const {model, worker} = createWorld(20);
		worker.paces.set('heavy', {percent: 0, changedAtMs: 0});
		const harm = teach(0);
		expect(placeAll(model, [worker], {harm})).toHaveLength(0);
		const keeper = new PaceKeeper({
			harm, clock: new ManualClock(), links: undefined as unknown as AgentLinks, note: () => undefined,
		});
		keeper.take(worker);
		expect(placeAll(model, [worker], {harm})).toHaveLength(2);
	});
});

describe('the load of a serving job whose waves are known', () => {
	const job = 'job';
	/** A wave between 0.25 and 0.75, followed for a time. */
	const follow = (loads: ServingLoads, fromS: number, untilS: number) => {
		for (let atS = fromS; atS < untilS; atS += 0.5) {
			loads.note({
				job, load: 0.5 + (0.25 * Math.sin(2 * Math.PI * atS / 20)), added: 0, addedVariance: 0,
			}, atS * 1000);
		}
	};

	/**
	Half of the processors beside serving tasks stood idle while jobs waited: near the top of their waves, a quarter of the
	time for each of the three jobs on a worker, tasks were left room to rise by as much as at the foot of it, and nothing that
	disturbs them at all might start. Loads of all workers then lay between 0.71 and 0.77, and never went above.
	*/
	it('is not expected to rise further at the top of its wave', () => {
		const loads = new ServingLoads();
		follow(loads, 0, 25);
		expect(loads.getRise(job, 0.08)).toBeLessThan(0.04);
	});

	it('may rise by all that a wave can at its foot', () => {
		const loads = new ServingLoads();
		follow(loads, 0, 15);
		expect(loads.getRise(job, 0.08)).toBe(0.08);
	});

	it('may rise by as much while no wave was seen to turn', () => {
		const loads = new ServingLoads();
		follow(loads, 0, 5);
		expect(loads.getRise(job, 0.08)).toBe(0.08);
		expect(loads.getRise('other', 0.08)).toBe(0.08);
	});

	/** Users came in a second wave that went far above the first: what was filled up to the old peak stood over its target. */
	it('may rise by as much again once it goes beyond all waves before', () => {
		const loads = new ServingLoads();
		follow(loads, 0, 17);
		for (let atS = 17; atS < 23; atS++) {
			loads.note({
				job, load: 0.35 + (0.08 * (atS - 17)), added: 0, addedVariance: 0,
			}, atS * 1000);
		}

		expect(loads.getRise(job, 0.08)).toBeLessThan(0.08);
		loads.note({
			job, load: 0.9, added: 0, addedVariance: 0,
		}, 23_000);
		expect(loads.getRise(job, 0.08)).toBe(0.08);
	});
});
