/**
Keeps the paces of the tasks that fill beside serving tasks: learns from each state of an agent, decides, and orders.
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

/** Figures of a worker are of the last half second: a report sooner than this tells little that is new. */
const learnEveryMs = 400;
/** A tail that was six times its target is back below it this long after its cause was stopped. */
const fallMs = 1300;
/** Loads of serving tasks rise by up to so much until a report tells, and a pace shows. */
const riseMargin = 0.04;
/** Paces are told in steps; a smaller change is not worth an order. */
const paceStep = 5;
/** Less than this is not given back at a time, and not sooner than a pace shows. */
const minRaise = 15;
const settleMs = 500;
const whole = 100;
/**
A serving task that is over its target for so long on end is left alone with what it needs, whatever is known of its
neighbours: what is known may be wrong. Users bear it for some seconds, and a tail falls for a while after a stop.
*/
const stopAfterMs = 1500;
/** The same with single figures below the target: what users bear, less the time that a tail takes to fall, and a report. */
const stopMostlyAfterMs = 2400;
/** A tail that stayed below its target for so long is back: workers tell figures of the last half second. */
const backAfterMs = 600;

const getPace = (worker: FleetWorker, run: LiveRun): number => worker.paces.get(run.task.step.spec.image ?? '')?.percent ?? whole;

/** Load of each serving task by itself: what is known of its job, or what its own tail tells if that is more. */
const getServingTasks = (servers: Server[], fillers: Filler[], harm: FillHarm): ServingTask[] => servers.map(({image, job, ratio}) => {
	const load = harm.getRisenLoad(job, riseMargin);
	let measured = getLoadAt(ratio);
	for (const filler of fillers) {
		measured -= harm.getEffect(image, filler.image) * filler.recentShare;
	}

	return {image, load: Math.max(load, measured)};
});

/** Whether a serving task has been over its target for so long that nothing may fill beside it. */
const mustStopFilling = (servers: Server[], nowMs: number): boolean =>
	servers.some(({overSinceMs, mostlyOverSinceMs}) => overSinceMs !== undefined
		&& (nowMs - overSinceMs >= stopAfterMs || nowMs - (mostlyOverSinceMs ?? nowMs) >= stopMostlyAfterMs));

/** Decides the pace of each image on one worker; images that keep theirs are left out. */
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

/** The keeper. */
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

	/** Takes a worker's newest state. */
	take(worker: FleetWorker): void {
		// With no processors there are no shares to learn from.
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
				// Told again with the next state of the agent.
				run.pacePercent = undefined;
			}
		}
	}
}

/** Workers tell a rough figure: a single one below the target does not tell that the tail is back. */
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

/** An image of which nothing is left on the worker begins anew there: its old pace would keep it away for good. */
const forgetPaces = (worker: FleetWorker, fillers: Filler[]): void => {
	for (const image of worker.paces.keys()) {
		if (!fillers.some(filler => filler.image === image)) {
			worker.paces.delete(image);
		}
	}
};

/** Notes what the images use; gives them with the most of the last second, also those of which nothing is left. */
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
