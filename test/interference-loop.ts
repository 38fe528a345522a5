/**
Closed loop of placement, throttles and moves on workers that all run latency-critical tasks, on manual time and without network.
*/
import {ManualClock} from '../src/utils/manual-clock.ts';
import {type Order} from '../src/types/fleet.ts';
import {type AgentLinks} from '../src/workflows/agent-links.ts';
import {BestEffortInterference} from '../src/workflows/best-effort-interference.ts';
import {type FleetWorker} from '../src/workflows/fleet-view.ts';
import {RunPhase, type LiveRun} from '../src/workflows/live-model.ts';
import {createPlacementCheck} from '../src/workflows/placement.ts';
import {createPolicy} from '../src/workflows/policy.ts';
import {chooseMoves} from '../src/workflows/relocation.ts';
import {ThrottleController} from '../src/workflows/throttle-controller.ts';
import {
	createWorker, createWorkflow, load, placeAll, run,
} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

const stepMs = 50;
const reportMs = 500;
const smoothingMs = 250;
const stopMs = 100;
const throttleDelayMs = 100;
const relocationMs = 200;
const targetMs = 240;
const maxLoad = 0.98;
const policy = createPolicy();

/** What the loop runs. */
export type LoopOptions = {
	workers: number;
	milliCpu: number;
	/** Latency-critical images; worker `index` runs one task of image `index % images`. */
	images: number;
	/** Load of the latency-critical tasks without interference. */
	getLoad: (nowMs: number) => number;
	/** Load that the best-effort image really adds if it uses a whole worker. */
	effect: number;
	/** Effect that the previous owner recorded; undefined: none. */
	recorded?: {mean: number; deviation: number};
	jobs: number;
	tasks: number;
	taskMilliCpu: number;
	workMs: number;
	lengthMs: number;
	/** Without it, the latency-critical tasks report nothing. */
	isReported?: boolean;
};

/** What happened. */
export type LoopResult = {
	/** Wait of each task until its first start; infinity: it did not start. */
	waitsMs: number[];
	/** Time from the first moment until a task has done its work; infinity: it has not. */
	endsMs: number[];
	maxRunning: number;
	/** Progress of runs that were moved off, in percent. */
	movedPercents: number[];
	/** Longest time on end that a latency-critical task was over its target, and the sum over all. */
	longestOverMs: number;
	overMs: number;
	/** Whether there was a moment at which no best-effort task used any CPU for 3 s although some waited or ran. */
	longestIdleMs: number;
};

type Simulated = {run: LiveRun; doneMs: number; percent: number; used: number; stopAtMs: number};

/** Runs the loop. */
export const simulateLoop = async (options: LoopOptions): Promise<LoopResult> => {
	const {
		workers: size, milliCpu, images, getLoad, effect, recorded, jobs, tasks, taskMilliCpu, workMs, lengthMs, isReported = true,
	} = options;
	const clock = new ManualClock();
	const {model} = load([
		...Array.from({length: images}, (_, index) => createWorkflow(`serve-${index}`, createSpec([createStep({
			count: Math.ceil(size / images), isLasting: true, targetMs, image: `serve-${index}`, milliCpu: milliCpu / 2,
		})]))),
		...Array.from({length: jobs}, (_, index) => createWorkflow(`wide-${index}`, createSpec([createStep({
			count: tasks, isFilling: true, image: 'fill', milliCpu: taskMilliCpu, estimateMs: workMs,
		})]))),
	]);
	const workers = Array.from({length: size}, (_, index) => createWorker(`host-${index}`, milliCpu));
	const latencies = new Map<FleetWorker, {run: LiveRun; tailMs: number; overSinceMs: number | undefined}>();
	for (const [index, worker] of workers.entries()) {
		const task = model.getTask({
			workflowId: `serve-${index % images}`, occurrence: 0, step: 0, index: Math.floor(index / images),
		})!;
		latencies.set(worker, {run: run(task, worker, {recent: 0, percent: 100}), tailMs: targetMs / 6 / (1 - getLoad(0)), overSinceMs: undefined});
	}

	const interference = new BestEffortInterference();
	if (recorded) {
		interference.restore(Array.from({length: images}, (_, index) => ({
			server: `serve-${index}`, filler: 'fill', mean: recorded.mean / 10, deviation: recorded.deviation / 10,
		})), 0);
	}

	const simulated = new Map<LiveRun, Simulated>();
	const order = async (_: FleetWorker, orders: Order[]) => {
		clock.setTimer(() => {
			for (const item of orders) {
				for (const one of simulated.values()) {
					if ('percent' in item && one.run.task.taskId === item.taskId && one.run.run === item.run) {
						one.percent = item.percent;
					}
				}
			}
		}, throttleDelayMs);
		return {answers: orders.map(() => ({isDone: true}))};
	};

	const controller = new ThrottleController({
		interference, clock, links: {order} as unknown as AgentLinks, note: () => undefined,
	});
	const result: LoopResult = {
		waitsMs: [], endsMs: [], maxRunning: 0, movedPercents: [], longestOverMs: 0, overMs: 0, longestIdleMs: 0,
	};
	const fills = [...model.workflows.values()].filter(({spec}) => spec.id.startsWith('wide')).flatMap(({occurrences}) => occurrences.get(0)![0]!.tasks);
	const startedAtMs = new Map(fills.map(task => [task, Number.POSITIVE_INFINITY]));
	const endedAtMs = new Map(fills.map(task => [task, Number.POSITIVE_INFINITY]));
	const remove = (live: LiveRun) => {
		simulated.delete(live);
		workers.find(({host}) => host === live.host)!.runs.delete(live);
		live.task.runs = live.task.runs.filter(other => other !== live);
	};

	const advanceWorker = (worker: FleetWorker, nowMs: number) => {
		const latency = latencies.get(worker)!;
		const base = getLoad(nowMs);
		const running = [...simulated.values()].filter(({run: {host}}) => host === worker.host);
		let wanted = 0;
		for (const {percent} of running) {
			wanted += taskMilliCpu * percent / 100;
		}

		const speed = wanted === 0 ? 0 : Math.min(1, milliCpu * (1 - (base / 2)) / wanted);
		let added = 0;
		for (const one of running) {
			const use = speed * one.percent / 100;
			one.doneMs += use * stepMs;
			one.used += ((use * taskMilliCpu) - one.used) * stepMs / smoothingMs;
			added += effect * use * taskMilliCpu / milliCpu;
			if (one.doneMs >= workMs) {
				endedAtMs.set(one.run.task, nowMs);
				model.completeUnit(one.run.task, nowMs);
				remove(one.run);
			} else if (one.stopAtMs <= nowMs) {
				one.run.task.waitingSinceMs = nowMs;
				remove(one.run);
			}
		}

		latency.tailMs += ((targetMs / 6 / (1 - Math.min(maxLoad, base + added))) - latency.tailMs) * stepMs / smoothingMs;
		if (latency.tailMs > targetMs) {
			latency.overSinceMs ??= nowMs;
			result.overMs += stepMs;
			result.longestOverMs = Math.max(result.longestOverMs, nowMs + stepMs - latency.overSinceMs);
		} else {
			latency.overSinceMs = undefined;
		}
	};

	const report = (worker: FleetWorker, nowMs: number) => {
		const latency = latencies.get(worker)!;
		latency.run.recent = isReported ? Math.round(latency.tailMs) : 0;
		for (const one of simulated.values()) {
			if (one.run.host === worker.host) {
				one.run.phase = one.run.phase === RunPhase.Starting ? RunPhase.Running : one.run.phase;
				one.run.recent = Math.round(one.used);
				one.run.workedMs = one.doneMs;
				const percent = Math.floor(100 * one.doneMs / workMs);
				one.run.progressAtMs = percent > one.run.percent ? nowMs : one.run.progressAtMs;
				one.run.percent = percent;
			}
		}

		worker.lastReplyAtMs = nowMs;
		controller.handleState(worker);
	};

	let idleSinceMs = 0;
	for (let nowMs = 0; nowMs < lengthMs; nowMs += stepMs) {
		for (const [index, worker] of workers.entries()) {
			advanceWorker(worker, nowMs);
			if ((nowMs + (index * stepMs)) % reportMs === 0) {
				report(worker, nowMs);
			}
		}

		for (const {task, worker} of placeAll(model, workers, {nowMs, wallMs: nowMs, harm: interference})) {
			const live = run(task, worker, {
				phase: RunPhase.Starting, run: ++task.lastRun, orderedAtMs: nowMs, progressAtMs: nowMs, throttlePercent: 100,
			});
			simulated.set(live, {
				run: live, doneMs: 0, percent: 100, used: 0, stopAtMs: Number.POSITIVE_INFINITY,
			});
			startedAtMs.set(task, Math.min(startedAtMs.get(task)!, nowMs));
		}

		if (nowMs % relocationMs === 0) {
			for (const {run: live} of chooseMoves({
				workers, nowMs, policy, canPlace: createPlacementCheck(workers, {interference, isAllowed: () => true, policy}),
			})) {
				result.movedPercents.push(live.percent);
				live.phase = RunPhase.Stopping;
				simulated.get(live)!.stopAtMs = nowMs + stopMs;
			}
		}

		result.maxRunning = Math.max(result.maxRunning, simulated.size);
		const isIdle = [...simulated.values()].every(({used}) => used < 1) && fills.some(({isDone}) => !isDone);
		idleSinceMs = isIdle ? idleSinceMs : nowMs;
		result.longestIdleMs = Math.max(result.longestIdleMs, nowMs - idleSinceMs);
		await clock.advance(stepMs);
	}

	result.waitsMs = [...startedAtMs.values()];
	result.endsMs = [...endedAtMs.values()];
	return result;
};
