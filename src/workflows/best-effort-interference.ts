/**
Model of the load that best-effort tasks add to latency-critical tasks, learned for pairs of images from workers' reports.
*/
import {RunPhase, type LiveRun} from './live-model.ts';
import {PairEffects} from './pair-effects.ts';
import {type InterferencePair} from './records.ts';
import {getLoadAt, saturatedLoad, LatencyCriticalLoadTracker} from './latency-critical-load.ts';

/** A latency-critical task beside which best-effort tasks may run. */
export type LatencyCriticalTask = {
	image: string;
	/** Tasks of one job serve the same users, so that their loads change together. */
	job: string;
	/** Tail latency divided by its target, as last reported; 0 before the first report. */
	latencyRatio: number;
	/** Start of the time in which it has exceeded its target continuously; undefined: it does not. */
	overTargetSinceMs?: number;
	/** The same, not counting single readings below the target. */
	mostlyOverTargetSinceMs?: number;
};

/** Best-effort tasks of one image on one worker. */
export type BestEffortGroup = {
	image: string;
	/** Share of the worker's CPU that they use at full speed. */
	share: number;
	/** Share of the worker's CPU that they used over the last half second. */
	usedShare: number;
	/** Peak of `usedShare` over the time that a tail takes to fall after its cause has stopped, about 1.3 s. */
	peakShare: number;
	/** Throttle percentage that was last set, 0 to 100. */
	throttlePercent: number;
	sinceChangeMs: number;
};

/** What the effect of a pair rests on. */
export enum EffectEvidence {
	/** Reports to this owner, recent enough to be relied on. */
	Measured = 'measured',
	/** Reports to this owner that are too old to be relied on. */
	Faded = 'faded',
	/** Only what an earlier owner learned. */
	Restored = 'restored',
	/** Nothing: the pair was never observed. */
	Assumed = 'assumed',
}

/** Effects are stored for a tenth of a worker's CPU, which is about one task. */
const storedEffectShare = 0.1;
/**
Images that were not observed for this long are removed: what was learned has faded, and the record for the next owner
must not grow with every image ever seen.
*/
const retentionMs = 300_000;
// An unknown pair is assumed to interfere somewhat: the first task shows its effect before more follow.
const unknownPairDeviations = 0.5;
/** An effect is known at or below this deviation, which is half that of a pair never observed. */
const maxKnownDeviation = 1;
/** Readings of tail latency are whole milliseconds, half a second late, and noisy. */
const reportVariance = 0.03 ** 2;

/** Learned interference between images. */
export class BestEffortInterference {
	readonly #effects = new PairEffects();
	readonly #loads = new LatencyCriticalLoadTracker();
	/** Images that were observed beside each other, with the last time. */
	readonly #latencyCriticalImages = new Map<string, number>();
	readonly #bestEffortImages = new Map<string, number>();
	/** Effects requested since the last report, by latency-critical and best-effort image: a cycle requests thousands. */
	readonly #effectCache = new Map<string, Map<string, number>>();

	/** Learns from the reports of one worker's latency-critical tasks and the use of its best-effort tasks. */
	observe(tasks: LatencyCriticalTask[], groups: BestEffortGroup[], nowMs: number): void {
		this.#effectCache.clear();
		this.#effects.decay(nowMs);
		this.#loads.prune(nowMs);
		prune(this.#latencyCriticalImages, nowMs, image => {
			this.#effects.removeLatencyCriticalImage(image);
		});
		prune(this.#bestEffortImages, nowMs, image => {
			this.#effects.removeBestEffortImage(image);
		});
		for (const task of tasks) {
			if (task.latencyRatio > 0) {
				this.#observeTask(task, groups, nowMs);
			}
		}
	}

	/** Gets the learned effects for the next owner. */
	getPairs(): InterferencePair[] {
		const pairs: InterferencePair[] = [];
		for (const latencyCriticalImage of this.#latencyCriticalImages.keys()) {
			for (const bestEffortImage of this.#bestEffortImages.keys()) {
				if (this.#effects.isObserved(latencyCriticalImage, bestEffortImage)) {
					const {mean, deviation} = this.#effects.get(latencyCriticalImage, bestEffortImage);
					pairs.push({
						server: latencyCriticalImage, filler: bestEffortImage, mean: round(mean * storedEffectShare), deviation: round(deviation * storedEffectShare),
					});
				}
			}
		}

		return pairs;
	}

	/** Restores effects that an earlier owner learned; otherwise each pair would interfere once more before it is known. */
	restore(pairs: InterferencePair[], nowMs: number): void {
		this.#effectCache.clear();
		for (const {server: latencyCriticalImage, filler: bestEffortImage, mean, deviation} of pairs) {
			this.#latencyCriticalImages.set(latencyCriticalImage, nowMs);
			this.#bestEffortImages.set(bestEffortImage, nowMs);
			this.#effects.set(latencyCriticalImage, bestEffortImage, {mean: mean / storedEffectShare, deviation: deviation / storedEffectShare});
		}
	}

	/** Load that the best-effort image would add to a latency-critical task if it used all of a worker's CPU. */
	getEffect(latencyCriticalImage: string, bestEffortImage: string): number {
		let effects = this.#effectCache.get(latencyCriticalImage);
		if (!effects) {
			effects = new Map();
			this.#effectCache.set(latencyCriticalImage, effects);
		}

		let effect = effects.get(bestEffortImage);
		if (effect === undefined) {
			effect = Math.max(0, this.#getEffect(latencyCriticalImage, bestEffortImage, unknownPairDeviations));
			effects.set(bestEffortImage, effect);
		}

		return effect;
	}

	/** Whether the effect was observed recently enough to be relied on. */
	isKnown(latencyCriticalImage: string, bestEffortImage: string): boolean {
		return this.#effects.isObserved(latencyCriticalImage, bestEffortImage) && this.#effects.get(latencyCriticalImage, bestEffortImage).deviation <= maxKnownDeviation;
	}

	/** Gets what the effect of a pair rests on. */
	getEvidence(latencyCriticalImage: string, bestEffortImage: string): EffectEvidence {
		if (!this.#effects.isObserved(latencyCriticalImage, bestEffortImage)) {
			return EffectEvidence.Assumed;
		}

		if (!this.#effects.isMeasured(latencyCriticalImage, bestEffortImage)) {
			return EffectEvidence.Restored;
		}

		return this.isKnown(latencyCriticalImage, bestEffortImage) ? EffectEvidence.Measured : EffectEvidence.Faded;
	}

	/** Load of a latency-critical job without interference. */
	getBaseLoad(job: string): number {
		return this.#loads.get(job);
	}

	/** The same, plus the expected rise, which is at most `maxRise`. */
	getBaseLoadWithRise(job: string, maxRise: number): number {
		return this.#loads.get(job) + this.#loads.getRise(job, maxRise);
	}

	/**
	Learns from one report, unless recent use explains a tail that is still falling. A tail below what current use explains,
	or above what all recent use explains, is learned from.
	*/
	#observeTask({image, job, latencyRatio}: LatencyCriticalTask, groups: BestEffortGroup[], nowMs: number): void {
		const load = getLoadAt(latencyRatio);
		const own = this.#loads.get(job);
		const isHigher = load > own + this.#getAddedLoad(image, groups, ({usedShare}) => usedShare);
		const getShare = isHigher ? ({peakShare}: BestEffortGroup) => peakShare : ({usedShare}: BestEffortGroup) => usedShare;
		const added = this.#getAddedLoad(image, groups, getShare);
		const addedVariance = this.#getAddedVariance(image, groups, getShare);
		const ownVariance = this.#loads.getVariance(job, nowMs);
		const isExplained = isHigher && load <= own + added && groups.some(({usedShare, peakShare}) => peakShare > usedShare);
		if (isExplained || (load >= saturatedLoad && load <= own + added)) {
			return;
		}

		this.#loads.observe({
			job, load, added, addedVariance,
		}, nowMs);
		const used = groups.flatMap(group => getShare(group) > 0 ? [{image: group.image, share: getShare(group)}] : []);
		if (used.length > 0) {
			this.#latencyCriticalImages.set(image, nowMs);
			for (const group of groups) {
				this.#bestEffortImages.set(group.image, nowMs);
			}

			this.#effects.learn(image, used, load - own, ownVariance + reportVariance);
		}
	}

	#getAddedLoad(latencyCriticalImage: string, groups: BestEffortGroup[], getShare: (group: BestEffortGroup) => number): number {
		let added = 0;
		for (const group of groups) {
			added += Math.max(0, this.#getEffect(latencyCriticalImage, group.image, 0)) * getShare(group);
		}

		return added;
	}

	#getAddedVariance(latencyCriticalImage: string, groups: BestEffortGroup[], getShare: (group: BestEffortGroup) => number): number {
		let variance = 0;
		for (const group of groups) {
			variance += (this.#effects.get(latencyCriticalImage, group.image).deviation * getShare(group)) ** 2;
		}

		return variance;
	}

	#getEffect(latencyCriticalImage: string, bestEffortImage: string, deviations: number): number {
		const {mean, deviation} = this.#effects.get(latencyCriticalImage, bestEffortImage);
		return mean + (deviations * deviation);
	}
}

const prune = (images: Map<string, number>, nowMs: number, onRemoved: (image: string) => void): void => {
	for (const [image, seenAtMs] of images) {
		if (nowMs - seenAtMs > retentionMs) {
			images.delete(image);
			onRemoved(image);
		}
	}
};

const round = (value: number): number => Math.round(value * 1000) / 1000;

/** Gets the latency-critical tasks among the runs of a worker, with their last report. */
export const getLatencyCriticalTasks = (runs: Iterable<LiveRun>): LatencyCriticalTask[] => {
	const tasks: LatencyCriticalTask[] = [];
	for (const {phase, percent, recent, overTargetSinceMs, mostlyOverTargetSinceMs, task: {step: {spec, loadKey}}} of runs) {
		if (spec.targetMs > 0 && phase === RunPhase.Running) {
			const latencyRatio = percent === 100 ? recent / spec.targetMs : 0;
			tasks.push({
				image: spec.image ?? '', job: loadKey, latencyRatio, overTargetSinceMs, mostlyOverTargetSinceMs,
			});
		}
	}

	return tasks;
};

/** Throttle percentage of each best-effort image on a worker. */
export type Throttles = Map<string, {percent: number; changedAtMs: number}>;

/** Gets the best-effort tasks among the runs of a worker, by image. */
export const getBestEffortGroups = (runs: Iterable<LiveRun>, throttles: Throttles, {milliCpu, nowMs}: {milliCpu: number; nowMs: number}): BestEffortGroup[] => {
	const groups = new Map<string, BestEffortGroup>();
	for (const {phase, recent, task: {step: {spec}}} of runs) {
		if (!spec.isFilling) {
			continue;
		}

		const image = spec.image ?? '';
		let group = groups.get(image);
		if (!group) {
			const throttle = throttles.get(image);
			group = {
				image, share: 0, usedShare: 0, peakShare: 0, throttlePercent: throttle?.percent ?? 100, sinceChangeMs: nowMs - (throttle?.changedAtMs ?? Number.NEGATIVE_INFINITY),
			};
			groups.set(image, group);
		}

		group.share += spec.milliCpu / milliCpu;
		group.usedShare += phase === RunPhase.Starting ? 0 : recent / milliCpu;
	}

	for (const group of groups.values()) {
		group.peakShare = group.usedShare;
	}

	return [...groups.values()];
};
