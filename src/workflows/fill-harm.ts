/**
What tasks that fill do to the tail latency of tasks that serve, learned by pairs of images from what workers report.
*/
import {HarmModel, hostKindId, KindTable} from '../jobs/harm-model.ts';
import {TaskClass} from '../types/jobs.ts';
import {RunPhase, type LiveRun} from './live-model.ts';

/** A serving task beside which others may fill. */
export type Server = {
	image: string;
	/** Tail latency over its target, as last reported or foreseen. */
	ratio: number;
};

/** Tasks of one image that fill on one worker. */
export type Filler = {
	image: string;
	/** Processors that they would use at full speed. */
	cores: number;
	/** Share of their speed that they may work at, 0 to 100. */
	percent: number;
	sinceChangeMs: number;
};

const milli = 1000;
// Harm changes within seconds: what was learned fades over a minute.
const halfLifeMs = 60_000;
// The effect is taken as a line without a part that depends on load: serving tasks hide their load.
const load = 0;
// A pair that was not seen yet is taken for somewhat harmful: one task shows what it does before more follow.
const cautionDeviations = 0.5;

/** Learned harm. */
export class FillHarm {
	readonly #model = new HarmModel(halfLifeMs);
	readonly #kinds = new KindTable(kindId => {
		this.#model.forget(kindId);
	});

	/** Takes what serving tasks of a worker report while the others fill. */
	note(servers: Server[], fillers: Filler[], nowMs: number): void {
		this.#model.fade(nowMs);
		const neighbours = fillers.map(({image, cores, percent}) => ({kindId: this.#kinds.get(image), amount: cores * percent / 100}));
		for (const {image, ratio} of servers) {
			this.#model.note({
				victimId: this.#kinds.get(image), taskClass: TaskClass.LatencyCritical, neighbours, load, slowdown: ratio,
			});
		}
	}

	/** Rise of the server's ratio for each processor that the image uses beside it. */
	getEffect(server: string, filler: string): number {
		return Math.max(0, this.#model.getIdleEffect(this.#kinds.get(server), TaskClass.LatencyCritical, this.#kinds.get(filler), cautionDeviations));
	}

	/** Ratio of a server with nothing that fills beside it. */
	getQuietRatio(server: string): number {
		return Math.max(0, 1 + this.#model.getIdleEffect(this.#kinds.get(server), TaskClass.LatencyCritical, hostKindId, 0));
	}
}

/** Serving tasks among the runs of a worker, with what was last reported of them. */
export const getServers = (runs: Iterable<LiveRun>): Server[] => {
	const servers: Server[] = [];
	for (const {phase, recent, task: {step: {spec}}} of runs) {
		if (spec.targetMs > 0 && phase === RunPhase.Running) {
			servers.push({image: spec.image ?? '', ratio: recent / spec.targetMs});
		}
	}

	return servers;
};

/** Pace of each image that fills on a worker. */
export type Paces = Map<string, {percent: number; changedAtMs: number}>;

/** Tasks that fill among the runs of a worker, by image. */
export const getFillers = (runs: Iterable<LiveRun>, paces: Paces, nowMs: number): Filler[] => {
	const fillers = new Map<string, Filler>();
	for (const {phase, task: {step: {spec}}} of runs) {
		if (!spec.isFilling || phase === RunPhase.Starting) {
			continue;
		}

		const image = spec.image ?? '';
		const filler = fillers.get(image);
		if (filler) {
			filler.cores += spec.milliCpu / milli;
		} else {
			const pace = paces.get(image);
			fillers.set(image, {
				image, cores: spec.milliCpu / milli, percent: pace?.percent ?? 100, sinceChangeMs: nowMs - (pace?.changedAtMs ?? Number.NEGATIVE_INFINITY),
			});
		}
	}

	return [...fillers.values()];
};
