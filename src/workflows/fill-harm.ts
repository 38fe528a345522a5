/**
What tasks that fill do to the load of tasks that serve, learned by pairs of images from what workers report.
*/
import {RunPhase, type LiveRun} from './live-model.ts';
import {PairEffects} from './pair-effects.ts';
import {type HarmPair} from './records.ts';
import {getLoadAt, saturatedLoad, ServingLoads} from './serving-load.ts';

/** A serving task beside which others may fill. */
export type Server = {
	image: string;
	/** Tasks of one job serve the same users: their load rises and falls together. */
	job: string;
	/** Tail latency over its target, as last reported; 0 before the first report. */
	ratio: number;
	/** Since when it is over its target on end; undefined: it is not. */
	overSinceMs?: number;
	/** The same but for single figures. */
	mostlyOverSinceMs?: number;
};

/** Tasks of one image that fill on one worker. */
export type Filler = {
	image: string;
	/** Share of the worker's processors that they ask for at full speed. */
	share: number;
	/** Share of the worker's processors that they used over the last half second. */
	usedShare: number;
	/** Most that they used over the last second or so: a tail falls back as long after its cause is gone. */
	recentShare: number;
	/** Share of their speed that they were last told to work at, 0 to 100. */
	percent: number;
	sinceChangeMs: number;
};

/** Effects are recorded for a tenth of a worker: about one task. */
const recordedShare = 0.1;
/** What was learned has faded by then; images come and go, and what is handed on must not grow with all that ever were. */
const forgetMs = 300_000;
// A pair that was not seen yet is taken for somewhat harmful: one task shows what it does before more follow.
const cautionDeviations = 0.5;
/** Half of the doubt about a pair that was never seen. */
const knownDeviation = 1;
/** Tails come in whole milliseconds, half a second late, and are rough. */
const reportVariance = 0.03 ** 2;

/** Learned harm. */
export class FillHarm {
	readonly #effects = new PairEffects();
	readonly #loads = new ServingLoads();
	/** Images that were measured beside each other, with the last time. */
	readonly #servers = new Map<string, number>();
	readonly #fillers = new Map<string, number>();
	/** Effects that were asked for since the last report, by server and filler: each scheduling cycle asks thousands of times. */
	readonly #knownEffects = new Map<string, Map<string, number>>();

	/** Takes what serving tasks of a worker report while the others fill. */
	note(servers: Server[], fillers: Filler[], nowMs: number): void {
		this.#knownEffects.clear();
		this.#effects.fade(nowMs);
		this.#loads.prune(nowMs);
		prune(this.#servers, nowMs, image => {
			this.#effects.forgetServer(image);
		});
		prune(this.#fillers, nowMs, image => {
			this.#effects.forgetFiller(image);
		});
		for (const server of servers) {
			if (server.ratio > 0) {
				this.#noteOne(server, fillers, nowMs);
			}
		}
	}

	/** What was learned so far, for another owner. */
	getPairs(): HarmPair[] {
		const pairs: HarmPair[] = [];
		for (const server of this.#servers.keys()) {
			for (const filler of this.#fillers.keys()) {
				if (this.#effects.isSeen(server, filler)) {
					const {mean, deviation} = this.#effects.get(server, filler);
					pairs.push({
						server, filler, mean: round(mean * recordedShare), deviation: round(deviation * recordedShare),
					});
				}
			}
		}

		return pairs;
	}

	/** Takes what an earlier owner has learned: without it, each pair would do its harm once more to be known. */
	restore(pairs: HarmPair[], nowMs: number): void {
		this.#knownEffects.clear();
		for (const {server, filler, mean, deviation} of pairs) {
			this.#servers.set(server, nowMs);
			this.#fillers.set(filler, nowMs);
			this.#effects.set(server, filler, {mean: mean / recordedShare, deviation: deviation / recordedShare});
		}
	}

	/** Load that the image adds to the server's, for a whole worker of its tasks. */
	getEffect(server: string, filler: string): number {
		let effects = this.#knownEffects.get(server);
		if (!effects) {
			effects = new Map();
			this.#knownEffects.set(server, effects);
		}

		let effect = effects.get(filler);
		if (effect === undefined) {
			effect = Math.max(0, this.#getEffect(server, filler, cautionDeviations));
			effects.set(filler, effect);
		}

		return effect;
	}

	/** Whether it was measured of late what the image does to the server's. */
	isKnown(server: string, filler: string): boolean {
		return this.#effects.isSeen(server, filler) && this.#effects.get(server, filler).deviation <= knownDeviation;
	}

	/** Load of a server by itself. */
	getLoad(job: string): number {
		return this.#loads.get(job);
	}

	/** The same with what it may rise, at most by the rise given. */
	getRisenLoad(job: string, mostRise: number): number {
		return this.#loads.get(job) + this.#loads.getRise(job, mostRise);
	}

	/**
	What was used shortly before explains a tail that is still falling: such a report is passed over. A tail that is shorter
	than what works now explains, or longer than all that worked shortly before does, teaches.
	*/
	#noteOne({image, job, ratio}: Server, fillers: Filler[], nowMs: number): void {
		const load = getLoadAt(ratio);
		const own = this.#loads.get(job);
		const isHigher = load > own + this.#getAdded(image, fillers, ({usedShare}) => usedShare);
		const getShare = isHigher ? ({recentShare}: Filler) => recentShare : ({usedShare}: Filler) => usedShare;
		const added = this.#getAdded(image, fillers, getShare);
		const addedVariance = this.#getVariance(image, fillers, getShare);
		const ownVariance = this.#loads.getVariance(job, nowMs);
		const isExplained = isHigher && load <= own + added && fillers.some(({usedShare, recentShare}) => recentShare > usedShare);
		if (isExplained || (load >= saturatedLoad && load <= own + added)) {
			return;
		}

		this.#loads.note({
			job, load, added, addedVariance,
		}, nowMs);
		const used = fillers.flatMap(filler => getShare(filler) > 0 ? [{image: filler.image, share: getShare(filler)}] : []);
		if (used.length > 0) {
			this.#servers.set(image, nowMs);
			for (const filler of fillers) {
				this.#fillers.set(filler.image, nowMs);
			}

			this.#effects.learn(image, used, load - own, ownVariance + reportVariance);
		}
	}

	#getAdded(server: string, fillers: Filler[], getShare: (filler: Filler) => number): number {
		let added = 0;
		for (const filler of fillers) {
			added += Math.max(0, this.#getEffect(server, filler.image, 0)) * getShare(filler);
		}

		return added;
	}

	#getVariance(server: string, fillers: Filler[], getShare: (filler: Filler) => number): number {
		let variance = 0;
		for (const filler of fillers) {
			variance += (this.#effects.get(server, filler.image).deviation * getShare(filler)) ** 2;
		}

		return variance;
	}

	#getEffect(server: string, filler: string, deviations: number): number {
		const {mean, deviation} = this.#effects.get(server, filler);
		return mean + (deviations * deviation);
	}
}

const prune = (images: Map<string, number>, nowMs: number, onGone: (image: string) => void): void => {
	for (const [image, seenAtMs] of images) {
		if (nowMs - seenAtMs > forgetMs) {
			images.delete(image);
			onGone(image);
		}
	}
};

const round = (value: number): number => Math.round(value * 1000) / 1000;

/** Serving tasks among the runs of a worker, with what was last reported of them. */
export const getServers = (runs: Iterable<LiveRun>): Server[] => {
	const servers: Server[] = [];
	for (const {phase, percent, recent, overSinceMs, mostlyOverSinceMs, task: {step: {spec, servingName}}} of runs) {
		if (spec.targetMs > 0 && phase === RunPhase.Running) {
			const ratio = percent === 100 ? recent / spec.targetMs : 0;
			servers.push({
				image: spec.image ?? '', job: servingName, ratio, overSinceMs, mostlyOverSinceMs,
			});
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
				image, share: 0, usedShare: 0, recentShare: 0, percent: pace?.percent ?? 100, sinceChangeMs: nowMs - (pace?.changedAtMs ?? Number.NEGATIVE_INFINITY),
			};
			fillers.set(image, filler);
		}

		filler.share += spec.milliCpu / milliCpu;
		filler.usedShare += phase === RunPhase.Starting ? 0 : recent / milliCpu;
	}

	for (const filler of fillers.values()) {
		filler.recentShare = filler.usedShare;
	}

	return [...fillers.values()];
};
