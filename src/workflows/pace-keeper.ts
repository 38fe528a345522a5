/**
Controls the paces of best-effort tasks on workers with serving tasks: updates the interference model from each agent
state, sets a pace per image, and sends the orders.
*/
import {type Clock} from '../types/clock.ts';
import {OrderType, type Order} from '../types/fleet.ts';
import {type AgentLinks} from './agent-links.ts';
import {
	getFillers, getServers, type FillHarm, type Filler, type Server,
} from './fill-harm.ts';
import {type FleetWorker} from './fleet-view.ts';
import {planSpeeds, type ServingTask} from './harm-pacing.ts';
import {RunPhase, type LiveRun} from './live-model.ts';
import {getLoadAt} from './serving-load.ts';

/** Usage and tail latency cover the last half second: reports at shorter intervals add little information. */
const learnEveryMs = 400;
/** Time in which a tail latency of six times its target falls below the target again after its cause has stopped. */
const fallMs = 1300;
/** Load of serving tasks may rise by this much before it is reported and a new pace takes effect. */
const riseMargin = 0.04;
/** Paces are multiples of this percentage; a smaller change is not worth an order. */
const paceStep = 5;
/** A pace is raised by at least this much, and no sooner than the last change has taken effect. */
const minRaise = 15;
const settleMs = 500;
const whole = 100;
/**
Best-effort tasks are stopped beside a serving task that has exceeded its target continuously for this long, whatever
the model predicts, because it may be wrong. Users tolerate some seconds, and the tail takes time to fall after a stop.
*/
const stopAfterMs = 1500;
/** The same, not counting single readings below the target: the time that users tolerate, less the time that the tail takes to fall and one report interval. */
const stopMostlyAfterMs = 2400;
/** A tail that stayed below its target for this long has recovered: readings cover the last half second. */
const backAfterMs = 600;

const getPace = (worker: FleetWorker, run: LiveRun): number => worker.paces.get(run.task.step.spec.image ?? '')?.percent ?? whole;

/** Estimates the load of each serving task on its own: the estimate for its job, or the load that its tail implies if that is higher. */
const getServingTasks = (servers: Server[], fillers: Filler[], harm: FillHarm): ServingTask[] => servers.map(({image, job, ratio}) => {
	const load = harm.getRisenLoad(job, riseMargin);
	let measured = getLoadAt(ratio);
	for (const filler of fillers) {
		measured -= harm.getEffect(image, filler.image) * filler.recentShare;
	}

	return {image, load: Math.max(load, measured)};
});

/** Whether a serving task has exceeded its target for so long that best-effort tasks must stop. */
const mustStopFilling = (servers: Server[], nowMs: number): boolean =>
	servers.some(({overSinceMs, mostlyOverSinceMs}) => overSinceMs !== undefined
		&& (nowMs - overSinceMs >= stopAfterMs || nowMs - (mostlyOverSinceMs ?? nowMs) >= stopMostlyAfterMs));

/** Decides the pace of each image on one worker; images whose pace stays the same are left out. */
export const decidePaces = (servers: Server[], fillers: Filler[], harm: FillHarm, isStopped = false): Map<string, number> => {
	if (isStopped) {
		return new Map(fillers.filter(({percent}) => percent > 0).map(({image}) => [image, 0]));
	}

	const speeds = planSpeeds(getServingTasks(servers, fillers, harm), fillers, (server, filler) => harm.getEffect(server, filler));
	const paces = new Map<string, number>();
	for (const [index, {image, percent, sinceChangeMs}] of fillers.entries()) {
		const next = Math.floor(whole * speeds[index]! / paceStep) * paceStep;
		const isRaise = next > percent && sinceChangeMs >= settleMs && (next >= percent + minRaise || next === whole);
		if (next < percent || isRaise) {
			paces.set(image, next);
		}
	}

	return paces;
};

/** Sets and sends the paces of one owner's workers. */
export class PaceKeeper {
	readonly #harm: FillHarm;
	readonly #links: AgentLinks;
	readonly #clock: Clock;
	readonly #note: (event: string, fields: Record<string, unknown>) => void;

	constructor({harm, links, clock, note}: {harm: FillHarm; links: AgentLinks; clock: Clock; note: (event: string, fields: Record<string, unknown>) => void}) {
		this.#harm = harm;
		this.#links = links;
		this.#clock = clock;
		this.#note = note;
	}

	/** Processes the newest state of a worker. */
	take(worker: FleetWorker): void {
		// Without CPU capacity, shares are undefined.
		if (!worker.report || worker.report.milliCpu === 0) {
			return;
		}

		this.#decide(worker, worker.report.milliCpu, this.#clock.monotonicMs());
		const changed = [...worker.runs].filter(run => run.phase === RunPhase.Running && run.task.step.spec.isFilling && run.pacePercent !== getPace(worker, run));
		if (changed.length > 0) {
			void this.#send(worker, changed);
		}
	}

	#decide(worker: FleetWorker, milliCpu: number, nowMs: number): void {
		const fillers = getFillers(worker.runs, worker.paces, {milliCpu, nowMs});
		const recent = noteUse(worker, fillers, nowMs);
		noteOver(worker.runs, nowMs);
		const servers = getServers(worker.runs);
		worker.isFillStopped = mustStopFilling(servers, nowMs);
		if (nowMs - worker.harmNotedAtMs >= learnEveryMs) {
			worker.harmNotedAtMs = nowMs;
			this.#harm.note(servers, recent, nowMs);
		}

		forgetPaces(worker, fillers);
		for (const [image, percent] of decidePaces(servers, recent, this.#harm, worker.isFillStopped)) {
			const before = worker.paces.get(image)?.percent ?? whole;
			this.#note('pace', {
				host: worker.host, image, percent, before, worstRatio: Math.max(0, ...servers.map(({ratio}) => ratio)),
			});
			worker.paces.set(image, {percent, changedAtMs: nowMs});
		}
	}

	async #send(worker: FleetWorker, runs: LiveRun[]): Promise<void> {
		const orders = runs.map((run): Order => {
			run.pacePercent = getPace(worker, run);
			return {
				type: OrderType.Pace, taskId: run.task.taskId, run: run.run, percent: run.pacePercent,
			};
		});
		const reply = await this.#links.order(worker, orders);
		for (const [index, run] of runs.entries()) {
			if (!reply?.answers[index]?.isDone) {
				// Sent again with the agent's next state.
				run.pacePercent = undefined;
			}
		}
	}
}

/** Updates since when serving tasks exceed their targets. Readings are noisy: a single one below the target does not mean that the tail has recovered. */
const noteOver = (runs: Iterable<LiveRun>, nowMs: number): void => {
	for (const run of runs) {
		const {targetMs} = run.task.step.spec;
		if (targetMs > 0 && run.recent > targetMs) {
			run.overSinceMs ??= nowMs;
			run.mostlyOverSinceMs ??= nowMs;
			run.overAtMs = nowMs;
			continue;
		}

		run.overSinceMs = undefined;
		if (run.overAtMs !== undefined && nowMs - run.overAtMs >= backAfterMs) {
			run.mostlyOverSinceMs = undefined;
			run.overAtMs = undefined;
		}
	}
};

/** Resets the pace of images without tasks on the worker: placement would otherwise avoid the worker for good. */
const forgetPaces = (worker: FleetWorker, fillers: Filler[]): void => {
	for (const image of worker.paces.keys()) {
		if (!fillers.some(filler => filler.image === image)) {
			worker.paces.delete(image);
		}
	}
};

/** Records the CPU use of each image, and returns the images with their peak over `fallMs`, including those without tasks left. */
const noteUse = (worker: FleetWorker, fillers: Filler[], nowMs: number): Filler[] => {
	const used = new Map(fillers.map(({image, usedShare}) => [image, usedShare]));
	worker.fillUses = [...worker.fillUses.filter(({atMs}) => nowMs - atMs <= fallMs), {atMs: nowMs, used}];
	const recent = new Map<string, number>();
	for (const before of worker.fillUses) {
		for (const [image, share] of before.used) {
			recent.set(image, Math.max(share, recent.get(image) ?? 0));
		}
	}

	const gone = [...recent.keys()].filter(image => !used.has(image)).map((image): Filler => ({
		image, share: 0, usedShare: 0, recentShare: 0, percent: whole, sinceChangeMs: 0,
	}));
	return [...fillers, ...gone].map(filler => ({...filler, recentShare: recent.get(filler.image)!}));
};
