/**
Throttles best-effort tasks on workers with latency-critical tasks: updates the interference model from each agent state,
decides a throttle percentage per image, and sends the orders.
*/
import {type Clock} from '../types/clock.ts';
import {OrderType, type Order} from '../types/fleet.ts';
import {type AgentLinks} from './agent-links.ts';
import {
	getBestEffortGroups, getLatencyCriticalTasks, type BestEffortInterference, type BestEffortGroup, type LatencyCriticalTask,
} from './best-effort-interference.ts';
import {type FleetWorker} from './fleet-view.ts';
import {planSpeeds, type LatencyCriticalLoad} from './interference-throttling.ts';
import {RunPhase, type LiveRun} from './live-model.ts';
import {getLoadAt} from './latency-critical-load.ts';

/** Usage and tail latency cover the last half second: reports at shorter intervals add little information. */
const learnIntervalMs = 400;
/** Time in which a tail latency of six times its target falls below the target again after its cause has stopped. */
const tailFallMs = 1300;
/** Load of latency-critical tasks may rise by this much before it is reported and a new throttle takes effect. */
const loadRiseMargin = 0.04;
/** Throttle percentages are multiples of this; a smaller change is not worth an order. */
const throttleStepPercent = 5;
/** A throttle percentage is raised by at least this much, and no sooner than the last change has taken effect. */
const minRaisePercent = 15;
const throttleSettleMs = 500;
const fullPercent = 100;
/**
Best-effort tasks are stopped beside a latency-critical task that has exceeded its target continuously for this long, whatever
the model predicts, because it may be wrong. Users tolerate some seconds, and the tail takes time to fall after a stop.
*/
const stopAfterMs = 1500;
/**
The same, not counting single readings below the target: the time that users tolerate, less the time that the tail takes
to fall and one report interval.
*/
const stopMostlyOverAfterMs = 2400;
/** A tail that stayed below its target for this long has recovered: readings cover the last half second. */
const recoveredAfterMs = 600;

const getThrottlePercent = (worker: FleetWorker, run: LiveRun): number => worker.throttles.get(run.task.step.spec.image ?? '')?.percent ?? fullPercent;

/**
Estimates the load of each latency-critical task without interference: the estimate for its job, or the load that its own
tail implies if that is higher.
*/
const getBaseLoads = (tasks: LatencyCriticalTask[], groups: BestEffortGroup[], interference: BestEffortInterference): LatencyCriticalLoad[] => tasks.map(({image, job, latencyRatio}) => {
	const load = interference.getBaseLoadWithRise(job, loadRiseMargin);
	let measured = getLoadAt(latencyRatio);
	for (const group of groups) {
		measured -= interference.getEffect(image, group.image) * group.peakShare;
	}

	return {image, load: Math.max(load, measured)};
});

/** Whether a latency-critical task has exceeded its target for so long that best-effort tasks must stop. */
const mustStopBestEffort = (latencyCriticalTasks: LatencyCriticalTask[], nowMs: number): boolean =>
	latencyCriticalTasks.some(({overTargetSinceMs, mostlyOverTargetSinceMs}) => overTargetSinceMs !== undefined
		&& (nowMs - overTargetSinceMs >= stopAfterMs || nowMs - (mostlyOverTargetSinceMs ?? nowMs) >= stopMostlyOverAfterMs));

/** Decides the throttle percentage of each image on one worker; images that keep theirs are left out. */
export const decideThrottles = (latencyCriticalTasks: LatencyCriticalTask[], groups: BestEffortGroup[], interference: BestEffortInterference, isStopped = false): Map<string, number> => {
	if (isStopped) {
		return new Map(groups.filter(({throttlePercent}) => throttlePercent > 0).map(({image}) => [image, 0]));
	}

	const speeds = planSpeeds(
		getBaseLoads(latencyCriticalTasks, groups, interference),
		groups,
		(latencyCriticalImage, bestEffortImage) => interference.getEffect(latencyCriticalImage, bestEffortImage),
	);
	const throttles = new Map<string, number>();
	for (const [index, {image, throttlePercent: percent, sinceChangeMs}] of groups.entries()) {
		const next = Math.floor(fullPercent * speeds[index]! / throttleStepPercent) * throttleStepPercent;
		const isRaise = next > percent && sinceChangeMs >= throttleSettleMs && (next >= percent + minRaisePercent || next === fullPercent);
		if (next < percent || isRaise) {
			throttles.set(image, next);
		}
	}

	return throttles;
};

/** Throttles the best-effort tasks of one owner. */
export class ThrottleController {
	readonly #interference: BestEffortInterference;
	readonly #links: AgentLinks;
	readonly #clock: Clock;
	readonly #note: (event: string, fields: Record<string, unknown>) => void;

	constructor({interference, links, clock, note}: {interference: BestEffortInterference; links: AgentLinks; clock: Clock; note: (event: string, fields: Record<string, unknown>) => void}) {
		this.#interference = interference;
		this.#links = links;
		this.#clock = clock;
		this.#note = note;
	}

	/** Processes the newest state of a worker. */
	handleState(worker: FleetWorker): void {
		// Without CPU capacity, shares are undefined.
		if (!worker.report || worker.report.milliCpu === 0) {
			return;
		}

		this.#updateThrottles(worker, worker.report.milliCpu, this.#clock.monotonicMs());
		const changed = [...worker.runs].filter(run => run.phase === RunPhase.Running && run.task.step.spec.isFilling && run.throttlePercent !== getThrottlePercent(worker, run));
		if (changed.length > 0) {
			void this.#send(worker, changed);
		}
	}

	#updateThrottles(worker: FleetWorker, milliCpu: number, nowMs: number): void {
		const groups = getBestEffortGroups(worker.runs, worker.throttles, {milliCpu, nowMs});
		const recentGroups = recordUsage(worker, groups, nowMs);
		updateOverTarget(worker.runs, nowMs);
		const latencyCriticalTasks = getLatencyCriticalTasks(worker.runs);
		worker.isBestEffortStopped = mustStopBestEffort(latencyCriticalTasks, nowMs);
		if (nowMs - worker.interferenceLearnedAtMs >= learnIntervalMs) {
			worker.interferenceLearnedAtMs = nowMs;
			this.#interference.observe(latencyCriticalTasks, recentGroups, nowMs);
		}

		resetThrottles(worker, groups);
		for (const [image, percent] of decideThrottles(latencyCriticalTasks, recentGroups, this.#interference, worker.isBestEffortStopped)) {
			const before = worker.throttles.get(image)?.percent ?? fullPercent;
			this.#note('pace', {
				host: worker.host, image, percent, before, worstRatio: Math.max(0, ...latencyCriticalTasks.map(({latencyRatio}) => latencyRatio)),
			});
			worker.throttles.set(image, {percent, changedAtMs: nowMs});
		}
	}

	async #send(worker: FleetWorker, runs: LiveRun[]): Promise<void> {
		const percents = runs.map(run => getThrottlePercent(worker, run));
		const orders = runs.map((run, index): Order => {
			run.throttlePercent = percents[index];
			return {
				type: OrderType.Throttle, taskId: run.task.taskId, run: run.run, percent: percents[index]!,
			};
		});
		const reply = await this.#links.order(worker, orders);
		for (const [index, run] of runs.entries()) {
			// Sent again with the agent's next state: it was not carried out, or another order on its way may have been carried out before it.
			if (!reply?.answers[index]?.isDone || run.throttlePercent !== percents[index]) {
				run.throttlePercent = undefined;
			}
		}
	}
}

/**
Updates since when latency-critical tasks exceed their targets. Readings are noisy: a single one below the target does not
mean that the tail has recovered.
*/
const updateOverTarget = (runs: Iterable<LiveRun>, nowMs: number): void => {
	for (const run of runs) {
		const {targetMs} = run.task.step.spec;
		if (targetMs > 0 && run.recent > targetMs) {
			run.overTargetSinceMs ??= nowMs;
			run.mostlyOverTargetSinceMs ??= nowMs;
			run.lastOverTargetAtMs = nowMs;
			continue;
		}

		run.overTargetSinceMs = undefined;
		if (run.lastOverTargetAtMs !== undefined && nowMs - run.lastOverTargetAtMs >= recoveredAfterMs) {
			run.mostlyOverTargetSinceMs = undefined;
			run.lastOverTargetAtMs = undefined;
		}
	}
};

/** Resets the throttle of images without tasks on the worker: placement would otherwise avoid the worker for good. */
const resetThrottles = (worker: FleetWorker, groups: BestEffortGroup[]): void => {
	for (const image of worker.throttles.keys()) {
		if (!groups.some(group => group.image === image)) {
			worker.throttles.delete(image);
		}
	}
};

/** Records the CPU use of each image, and returns the images with their peak over `tailFallMs`, including those without tasks left. */
const recordUsage = (worker: FleetWorker, groups: BestEffortGroup[], nowMs: number): BestEffortGroup[] => {
	const used = new Map(groups.map(({image, usedShare}) => [image, usedShare]));
	worker.bestEffortUsage = [...worker.bestEffortUsage.filter(({atMs}) => nowMs - atMs <= tailFallMs), {atMs: nowMs, used}];
	const peaks = new Map<string, number>();
	for (const sample of worker.bestEffortUsage) {
		for (const [image, share] of sample.used) {
			peaks.set(image, Math.max(share, peaks.get(image) ?? 0));
		}
	}

	const gone = [...peaks.keys()].filter(image => !used.has(image)).map((image): BestEffortGroup => ({
		image, share: 0, usedShare: 0, peakShare: 0, throttlePercent: fullPercent, sinceChangeMs: 0,
	}));
	return [...groups, ...gone].map(group => ({...group, peakShare: peaks.get(group.image)!}));
};
