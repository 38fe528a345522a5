/**
What tasks that fill do to the load of tasks that serve, learned by pairs of images from what workers report.
*/
import {HarmModel, KindTable} from '../jobs/harm-model.ts';
import {TaskClass} from '../types/jobs.ts';
import {type TaskRef} from '../types/workflows.ts';
import {RunPhase, type LiveRun} from './live-model.ts';
import {getLoadAt, saturatedLoad, ServingLoads} from './serving-load.ts';

/** A serving task beside which others may fill. */
export type Server = {
	image: string;
	/** Tasks of one job serve the same users: their load rises and falls together. */
	job: string;
	/** Tail latency over its target, as last reported; 0 before the first report. */
	ratio: number;
};

/** Tasks of one image that fill on one worker. */
export type Filler = {
	image: string;
	/** Share of the worker's processors that they ask for at full speed. */
	share: number;
	/** Share of the worker's processors that they used over the last half second. */
	usedShare: number;
	/** Share of their speed that they were last told to work at, 0 to 100. */
	percent: number;
	sinceChangeMs: number;
};

/** The model counts neighbours in tenths of a worker: about one task each. */
const amountOfWhole = 10;
// Harm changes within seconds: what was learned fades over a minute.
const halfLifeMs = 60_000;
// The effect on a load is taken as a line without a part that depends on the worker's other work.
const noOtherLoad = 0;
// A pair that was not seen yet is taken for somewhat harmful: one task shows what it does before more follow.
const cautionDeviations = 0.5;

/** Learned harm. */
export class FillHarm {
	readonly #model = new HarmModel(halfLifeMs);
	readonly #loads = new ServingLoads();
	readonly #kinds = new KindTable(kindId => {
		this.#model.forget(kindId);
	});

	/**
	Takes what serving tasks of a worker report while the others fill. A tail falls back over a second and more after its
	cause is gone: while it may be falling, only reports below what is expected teach anything.
	*/
	note(servers: Server[], fillers: Filler[], {nowMs, isFalling}: {nowMs: number; isFalling: boolean}): void {
		this.#model.fade(nowMs);
		this.#loads.prune(nowMs);
		for (const server of servers) {
			if (server.ratio > 0) {
				this.#noteOne(server, fillers, {nowMs, isFalling});
			}
		}
	}

	/** Load that the image adds to the server's, for a whole worker of its tasks. */
	getEffect(server: string, filler: string): number {
		return Math.max(0, this.#getEffect(server, filler, cautionDeviations));
	}

	/** Load of a server by itself. */
	getLoad(job: string): number {
		return this.#loads.get(job);
	}

	#noteOne({image, job, ratio}: Server, fillers: Filler[], {nowMs, isFalling}: {nowMs: number; isFalling: boolean}): void {
		const load = getLoadAt(ratio);
		const own = this.#loads.get(job);
		let added = 0;
		let addedVariance = 0;
		for (const filler of fillers) {
			const mean = this.#getEffect(image, filler.image, 0);
			added += Math.max(0, mean) * filler.usedShare;
			addedVariance += ((this.#getEffect(image, filler.image, 1) - mean) * filler.usedShare) ** 2;
		}

		const isHigher = load > own + added;
		if ((isFalling && isHigher) || (load >= saturatedLoad && !isHigher)) {
			return;
		}

		this.#loads.note({
			job, load, added, addedVariance,
		}, nowMs);
		const neighbours = fillers
			.filter(({usedShare}) => usedShare > 0)
			.map(filler => ({kindId: this.#kinds.get(filler.image), amount: filler.usedShare * amountOfWhole}));
		if (neighbours.length > 0) {
			this.#model.note({
				victimId: this.#kinds.get(image), taskClass: TaskClass.LatencyCritical, neighbours, load: noOtherLoad, slowdown: 1 + load - own,
			});
		}
	}

	#getEffect(server: string, filler: string, deviations: number): number {
		return amountOfWhole * this.#model.getIdleEffect(this.#kinds.get(server), TaskClass.LatencyCritical, this.#kinds.get(filler), deviations);
	}
}

/** Job of a serving task, as loads are followed by. */
export const getServingJob = ({workflowId, step}: TaskRef): string => `${workflowId}.${step}`;

/** Serving tasks among the runs of a worker, with what was last reported of them. */
export const getServers = (runs: Iterable<LiveRun>): Server[] => {
	const servers: Server[] = [];
	for (const {phase, percent, recent, task: {ref, step: {spec}}} of runs) {
		if (spec.targetMs > 0 && phase === RunPhase.Running) {
			servers.push({image: spec.image ?? '', job: getServingJob(ref), ratio: percent === 100 ? recent / spec.targetMs : 0});
		}
	}

	return servers;
};

/** Pace of each image that fills on a worker. */
export type Paces = Map<string, {percent: number; changedAtMs: number}>;

/** Tasks that fill among the runs of a worker, by image. */
export const getFillers = (runs: Iterable<LiveRun>, paces: Paces, {milliCpu, nowMs}: {milliCpu: number; nowMs: number}): Filler[] => {
	const fillers = new Map<string, Filler>();
	for (const {phase, recent, task: {step: {spec}}} of runs) {
		if (!spec.isFilling) {
			continue;
		}

		const image = spec.image ?? '';
		let filler = fillers.get(image);
		if (!filler) {
			const pace = paces.get(image);
			filler = {
				image, share: 0, usedShare: 0, percent: pace?.percent ?? 100, sinceChangeMs: nowMs - (pace?.changedAtMs ?? Number.NEGATIVE_INFINITY),
			};
			fillers.set(image, filler);
		}

		filler.share += spec.milliCpu / milliCpu;
		filler.usedShare += phase === RunPhase.Starting ? 0 : recent / milliCpu;
	}

	return [...fillers.values()];
};
