/**
Scheduling cycles: batch changes, decide starts in order of rank for each service, and log why other tasks wait.
*/
import {type Clock} from '../types/clock.ts';
import {DutyCycle} from '../utils/duty-cycle.ts';
import {addCounts} from '../utils/group-by.ts';
import {sum} from '../utils/sum.ts';
import {type WorkMeter} from '../utils/work-meter.ts';
import {type BestEffortInterference} from './best-effort-interference.ts';
import {getTotalCapacity} from './job-objective.ts';
import {type RefusalCause} from './interference-refusals.ts';
import {
	type LiveModel, type LiveRun, type LiveStep, type LiveTask,
} from './live-model.ts';
import {
	place, type PlacementInput, type PlacementResult, type Start,
} from './placement.ts';
import {type OrderWindow} from './order-window.ts';
import {type Policy} from './policy.ts';
import {type QuarantineResult} from './quarantine.ts';
import {type RunTimes} from './run-times.ts';
import {groupByService, type ServicePool} from './service-pools.ts';
import {WaitReason, type IsAllowed, type StepPlacement} from './step-placement.ts';
import {
	createRank, describeLongestWait, getRemainingWork, type RemainingWork,
} from './task-order.ts';

/** What a cycle needs of the pool of a service. */
export type SchedulingPool = Pick<ServicePool, 'service' | 'quarantine' | 'getSchedulable'>;

/** What a cycle needs of the pools. */
export type SchedulingPools = {
	getAll: () => SchedulingPool[];
	get: (service: string) => SchedulingPool;
};

/** Options of the cycles. */
export type SchedulingCyclesOptions = {
	clock: Clock;
	signal: AbortSignal;
	model: LiveModel;
	interference: BestEffortInterference;
	times: RunTimes;
	policy: Policy;
	meter: WorkMeter;
	isAllowed: IsAllowed;
	pools: SchedulingPools;
	window: OrderWindow;
	/** Tasks that may start now. */
	getWaiting: (nowMs: number) => Iterable<LiveTask>;
	/** Active runs on all workers. */
	getRuns: () => LiveRun[];
	/** Delay between a decision and the delivery of a start. */
	getStartDelayMs: () => number;
	onStarts: (starts: Start[]) => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

type CycleTimes = {nowMs: number; nextStartDelayMs: number};

/** Changes are batched for this long before a cycle. */
const batchDelayMs = 4;
/** Caps scheduling at a quarter of the thread so that replies are still handled. */
const cycleRestFactor = 3;
/** A longer gap, as after a suspended process, does not predict the next one. */
const maxGapMs = 1000;
/** Remaining work changes within seconds, while cycles run many times a second. */
const remainingWorkIntervalMs = 100;
/** Interval of the log line on waiting tasks. */
const logIntervalMs = 1000;
/** Limit of the steps whose refusals that line explains: each takes about as long as it takes to place the step. */
const maxExplainedSteps = 5;

/** The scheduling cycles of one owner. */
export class SchedulingCycles {
	readonly #options: SchedulingCyclesOptions;
	readonly #dutyCycle: DutyCycle;
	#isDue = false;
	/** Whether starts wait for the congestion window. */
	#isWindowFull = false;
	#lastAtMs = Number.POSITIVE_INFINITY;
	/** Work of the open occurrences, by service. */
	#remainingWork = new Map<string, Map<LiveStep[], RemainingWork>>();
	#cycles = 0;
	#remainingWorkAtMs = Number.NEGATIVE_INFINITY;
	#loggedAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: SchedulingCyclesOptions) {
		this.#options = options;
		this.#dutyCycle = new DutyCycle(options.clock, cycleRestFactor);
	}

	/** Requests a cycle; requests before it runs coalesce. */
	requestCycle(): void {
		if (this.#isDue) {
			return;
		}

		this.#isDue = true;
		const {clock, signal, meter} = this.#options;
		clock.setTimer(() => {
			this.#isDue = false;
			if (signal.aborted) {
				return;
			}

			this.#dutyCycle.run(() => {
				meter.measure('cycle', () => {
					this.#run();
				});
			});
		}, Math.max(batchDelayMs, this.#dutyCycle.restMs));
	}

	/** Requests a cycle if starts wait for the congestion window and it has room again. */
	handleStartsAnswered(): void {
		if (this.#isWindowFull && this.#options.window.hasRoom) {
			this.requestCycle();
		}
	}

	#run(): void {
		const {clock, window, getWaiting, getStartDelayMs, onStarts} = this.#options;
		this.#isWindowFull = !window.hasRoom;
		if (this.#isWindowFull) {
			return;
		}

		const nowMs = clock.monotonicMs();
		const gapMs = Math.max(0, Math.min(maxGapMs, nowMs - this.#lastAtMs));
		const times = {nowMs, nextStartDelayMs: gapMs + getStartDelayMs()};
		this.#lastAtMs = nowMs;
		const waiting = groupByService(getWaiting(nowMs));
		const placed = this.#getPools(waiting.keys()).map(pool => this.#runPool(pool, waiting.get(pool.service) ?? [], times));
		const suspectStarts = placed.flatMap(({quarantined}) => quarantined.starts);
		const decided = [...suspectStarts, ...placed.flatMap(({placement}) => placement.starts)];
		const admitted = window.admit(decided);
		for (const {task: {step: {workflow}}, isIdleStart} of admitted.slice(suspectStarts.length)) {
			workflow.isStarved = isIdleStart;
		}

		onStarts(admitted);
		const waits: PlacementResult['waits'] = new Map();
		addCounts(waits, placed.flatMap(({placement}) => [...placement.waits]));
		if (admitted.length < decided.length) {
			this.#isWindowFull = true;
			waits.set(WaitReason.OrderWindow, decided.length - admitted.length);
		}

		if (waits.size > 0 && nowMs - this.#loggedAtMs >= logIntervalMs) {
			this.#loggedAtMs = nowMs;
			const unplaced = placed.flatMap(({quarantined}) => quarantined.waiting).filter(({runs}) => runs.length === 0);
			const spareMilliCpu = sum(placed.map(({placement}) => placement.spareMilliCpu));
			this.#logWaits({waits, spareMilliCpu, refused: placed.flatMap(({placement}) => placement.refused)}, describeLongestWait(unplaced, nowMs));
		}
	}

	/** Gets the pools, each cycle from another one on: where the congestion window is short, no service is always the last. */
	#getPools(services: Iterable<string>): SchedulingPool[] {
		const {pools} = this.#options;
		for (const service of services) {
			pools.get(service);
		}

		const all = pools.getAll();
		const first = this.#cycles++ % Math.max(1, all.length);
		return [...all.slice(first), ...all.slice(0, first)];
	}

	/** Decides the starts of one service. */
	#runPool(pool: SchedulingPool, waiting: LiveTask[], times: CycleTimes): {quarantined: QuarantineResult; placement: PlacementResult} {
		const {clock} = this.#options;
		const quarantined = pool.quarantine.arrange({
			nowMs: times.nowMs, wallMs: clock.now().getTime(), waiting, schedulable: pool.getSchedulable(times.nowMs), place: (tasks, workers) => this.#place(pool, {waiting: tasks, workers}, times).starts,
		});
		return {quarantined, placement: this.#place(pool, {waiting: quarantined.waiting, workers: quarantined.schedulable}, times)};
	}

	#place({service}: SchedulingPool, input: Pick<PlacementInput, 'waiting' | 'workers'>, {nowMs, nextStartDelayMs}: CycleTimes): PlacementResult {
		const {clock, interference, times, policy, isAllowed} = this.#options;
		return place({
			...input,
			nowMs,
			nextStartDelayMs,
			interference,
			isAllowed,
			policy,
			getTaskMs: step => times.getTaskMs(step),
			createRank: spareMilliCpu => createRank({
				nowMs, spareMilliCpu, policy, times, wallMs: clock.now().getTime(), remainingWork: this.#getRemainingWork(nowMs).get(service) ?? new Map<LiveStep[], RemainingWork>(),
			}),
		});
	}

	#logWaits({waits, spareMilliCpu, refused}: Omit<PlacementResult, 'starts'>, longestWait: Record<string, unknown>): void {
		const {model, window, getRuns, note} = this.#options;
		const runs = getRuns();
		const bestEffortRuns = runs.filter(run => run.task.step.spec.isFilling);
		note('tasks wait', {
			waits: Object.fromEntries(waits),
			refusals: Object.fromEntries(countRefusals(refused.slice(0, maxExplainedSteps))),
			...longestWait,
			jobs: model.workflows.size,
			running: runs.length,
			filling: bestEffortRuns.length,
			bestEffortRequestMilliCpu: sum(bestEffortRuns.map(({task: {step: {spec}}}) => spec.milliCpu)),
			fillingMilliCpu: Math.round(sum(bestEffortRuns.map(({recent}) => recent))),
			spareMilliCpu: Math.round(spareMilliCpu),
			startsInFlightBytes: window.inFlightBytes,
			startWindowBytes: Math.round(window.sizeBytes),
			backlogCoreMs: Math.round(sum([...this.#remainingWork.values()].flatMap(works => [...works.values()]).map(({remainingCoreMs}) => remainingCoreMs))),
		});
	}

	#getRemainingWork(nowMs: number): Map<string, Map<LiveStep[], RemainingWork>> {
		if (nowMs - this.#remainingWorkAtMs >= remainingWorkIntervalMs) {
			const {model, times, pools} = this.#options;
			const capacities = new Map(times.hasTails ? pools.getAll().map(pool => [pool.service, getTotalCapacity(pool.getSchedulable(nowMs))]) : []);
			this.#remainingWorkAtMs = nowMs;
			this.#remainingWork = new Map();
			for (const steps of model.getOpenOccurrences()) {
				const {service} = steps[0]!.workflow;
				const works = this.#remainingWork.get(service) ?? new Map<LiveStep[], RemainingWork>();
				this.#remainingWork.set(service, works.set(steps, getRemainingWork(steps, times, {nowMs, capacity: capacities.get(service)})));
			}
		}

		return this.#remainingWork;
	}
}

/** Counts the pairs of a step and a worker that are ruled out for interference, by cause. */
const countRefusals = (refused: StepPlacement[]): Map<RefusalCause, number> => {
	const totals = new Map<RefusalCause, number>();
	for (const placement of refused) {
		addCounts(totals, placement.countRefusals());
	}

	return totals;
};
