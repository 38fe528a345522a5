/**
Model of the interference between kinds of tasks, learned from measured slowdowns.

The slowdown of a task above 1 is modelled as the sum of the effects of its neighbours and of the host itself, which is
kind 0. Each effect is linear in the load of the host: one value for an idle host and one for a full host, each with a
variance. A report updates all effects that it involves, the uncertain ones most (a Kalman filter that keeps only the
diagonal of the covariance). Uncertainty grows back over time: standard deviations return to that of an unknown pair.
*/
import {TaskClass} from '../types/jobs.ts';

/** The host itself as a neighbour. */
export const hostKindId = 0;

const maxKinds = 256;
const priorMean = 0.02;
const priorDeviation = 0.2;
const noiseFloor = 0.01;
const noiseStart = 0.1;
const noiseRate = 0.02;
// Bound on the innovation: an outlier changes an effect no more than a report three standard deviations off.
const clipDeviations = 3;
const maxSlowdown = 10;
const averageEffectRate = 0.05;
const decaySteps = 20;
const epochMs = 5000;
const batchInterferenceStart = 0.03;
const batchInterferenceRate = 0.005;

/** Assigns numeric ids to kinds. When the ids are used up, a new kind takes that of the oldest. */
export class KindTable {
	readonly #ids = new Map<string, number>();
	readonly #onReuse: (kindId: number) => void;

	constructor(onReuse: (kindId: number) => void) {
		this.#onReuse = onReuse;
	}

	getId(kind: string): number {
		let id = this.#ids.get(kind);
		if (id !== undefined) {
			return id;
		}

		id = this.#ids.size + 1;
		if (id >= maxKinds) {
			const [oldest, oldestId] = this.#ids.entries().next().value!;
			this.#ids.delete(oldest);
			id = oldestId;
			this.#onReuse(id);
		}

		this.#ids.set(kind, id);
		return id;
	}
}

/** A neighbour of a measured task. */
export type Neighbour = {
	kindId: number;
	/** Sum of its tasks' throttle shares: a task at half speed counts as half a neighbour. */
	shareSum: number;
};

/** One measured slowdown, and the neighbours and load at that time. */
export type InterferenceReport = {
	victimKindId: number;
	taskClass: TaskClass;
	neighbours: Neighbour[];
	/** Processors in use on the host over those that it has. */
	load: number;
	slowdown: number;
};

/** Learned effects of kinds on each other. */
export class InterferenceModel {
	/** Changes every few seconds: results computed from the model in an earlier epoch are to be recomputed. */
	epoch = 0;
	readonly #halfLifeMs: number;
	// Indexed by victim * maxKinds + neighbour; values for an idle and for a full host, linear in the load between them.
	readonly #idle = new Float64Array(maxKinds * maxKinds).fill(priorMean);
	readonly #full = new Float64Array(maxKinds * maxKinds).fill(priorMean);
	readonly #idleDeviation = new Float64Array(maxKinds * maxKinds).fill(priorDeviation);
	readonly #fullDeviation = new Float64Array(maxKinds * maxKinds).fill(priorDeviation);
	readonly #isSeen = new Uint8Array(maxKinds * maxKinds);
	// Average effect of a kind on latency-critical and on batch tasks, used for pairs without reports.
	readonly #averageEffects = {
		[TaskClass.LatencyCritical]: new Float64Array(maxKinds).fill(priorMean),
		[TaskClass.Batch]: new Float64Array(maxKinds).fill(priorMean),
	};

	readonly #noise = new Float64Array(maxKinds).fill(noiseStart);
	#batchInterference = batchInterferenceStart;
	#decayedAtMs = Number.NaN;

	constructor(halfLifeMs: number) {
		this.#halfLifeMs = halfLifeMs;
	}

	/** Average slowdown above 1 of a latency-critical task for each processor that batch tasks beside it use. */
	get batchInterference(): number {
		return this.#batchInterference;
	}

	/** Updates `batchInterference` from a report of a latency-critical task. */
	observeBatchInterference(slowdown: number, batchProcessors: number): void {
		if (batchProcessors >= 1) {
			const interference = Math.max(0, Math.min(slowdown, maxSlowdown) - 1) / batchProcessors;
			this.#batchInterference += batchInterferenceRate * (interference - this.#batchInterference);
		}
	}

	/** Resets all that was learned about the kind. */
	forget(kindId: number): void {
		for (let other = 0; other < maxKinds; other++) {
			for (const pair of [(kindId * maxKinds) + other, (other * maxKinds) + kindId]) {
				this.#idle[pair] = priorMean;
				this.#full[pair] = priorMean;
				this.#idleDeviation[pair] = priorDeviation;
				this.#fullDeviation[pair] = priorDeviation;
				this.#isSeen[pair] = 0;
			}
		}

		this.#averageEffects[TaskClass.LatencyCritical][kindId] = priorMean;
		this.#averageEffects[TaskClass.Batch][kindId] = priorMean;
		this.#noise[kindId] = noiseStart;
	}

	/** Updates the effects from one report. */
	observe({victimKindId, taskClass, neighbours, load, slowdown}: InterferenceReport): void {
		const full = clampLoad(load);
		const idle = 1 - full;
		const all = [{kindId: hostKindId, shareSum: 1}, ...neighbours];
		let expected = 0;
		let variance = 0;
		for (const {kindId, shareSum} of all) {
			const pair = this.#initializePair(victimKindId, kindId, taskClass);
			expected += shareSum * ((idle * this.#idle[pair]!) + (full * this.#full[pair]!));
			variance += (shareSum ** 2) * (((idle * this.#idleDeviation[pair]!) ** 2) + ((full * this.#fullDeviation[pair]!) ** 2));
		}

		const noise = this.#noise[victimKindId]!;
		const deviation = Math.sqrt(variance + noise);
		const raw = Math.min(slowdown, maxSlowdown) - 1 - expected;
		const innovation = Math.max(-clipDeviations * deviation, Math.min(clipDeviations * deviation, raw));
		this.#noise[victimKindId] = Math.max(noiseFloor, noise + (noiseRate * ((innovation ** 2) - variance - noise)));
		for (const {kindId, shareSum} of all) {
			const pair = (victimKindId * maxKinds) + kindId;
			this.#correct(pair, {
				idle: shareSum * idle, full: shareSum * full, innovation, total: variance + noise,
			});
			const averages = this.#averageEffects[taskClass];
			averages[kindId]! += averageEffectRate * (((this.#idle[pair]! + this.#full[pair]!) / 2) - averages[kindId]!);
		}
	}

	/** Effect of one neighbour on the victim on an idle host, plus `deviations` times its standard deviation. */
	getIdleEffect(victimId: number, taskClass: TaskClass, neighbourId: number, deviations: number): number {
		const pair = (victimId * maxKinds) + neighbourId;
		const mean = this.#isSeen[pair] ? this.#idle[pair]! : this.#averageEffects[taskClass][neighbourId]!;
		return mean + (deviations * this.#idleDeviation[pair]!);
	}

	/** The same on a full host. */
	getFullEffect(victimId: number, taskClass: TaskClass, neighbourId: number, deviations: number): number {
		const pair = (victimId * maxKinds) + neighbourId;
		const mean = this.#isSeen[pair] ? this.#full[pair]! : this.#averageEffects[taskClass][neighbourId]!;
		return mean + (deviations * this.#fullDeviation[pair]!);
	}

	/** The same at a given load, interpolated between idle and full. */
	getEffect(victimId: number, taskClass: TaskClass, neighbourId: number, load: number, deviations: number): number {
		const pair = (victimId * maxKinds) + neighbourId;
		const effectDeviation = ((1 - load) * this.#idleDeviation[pair]!) + (load * this.#fullDeviation[pair]!);
		const mean = this.#isSeen[pair]
			? ((1 - load) * this.#idle[pair]!) + (load * this.#full[pair]!)
			: this.#averageEffects[taskClass][neighbourId]!;
		return mean + (deviations * effectDeviation);
	}

	/** Lets standard deviations grow back towards that of an unknown pair, by the time that has passed. */
	decay(nowMs: number): void {
		this.epoch = Math.floor(nowMs / epochMs);
		if (Number.isNaN(this.#decayedAtMs)) {
			this.#decayedAtMs = nowMs;
		}

		const passedMs = nowMs - this.#decayedAtMs;
		if (passedMs < this.#halfLifeMs / decaySteps) {
			return;
		}

		this.#decayedAtMs = nowMs;
		const retained = 2 ** (-passedMs / this.#halfLifeMs);
		for (let pair = 0; pair < this.#isSeen.length; pair++) {
			if (this.#isSeen[pair]) {
				this.#idleDeviation[pair] = decayDeviation(this.#idleDeviation[pair]!, retained);
				this.#fullDeviation[pair] = decayDeviation(this.#fullDeviation[pair]!, retained);
			}
		}
	}

	#initializePair(victimId: number, kindId: number, taskClass: TaskClass): number {
		const pair = (victimId * maxKinds) + kindId;
		if (!this.#isSeen[pair]) {
			this.#isSeen[pair] = 1;
			this.#idle[pair] = this.#averageEffects[taskClass][kindId]!;
			this.#full[pair] = this.#averageEffects[taskClass][kindId]!;
		}

		return pair;
	}

	#correct(pair: number, {idle, full, innovation, total}: {idle: number; full: number; innovation: number; total: number}): void {
		const idleGain = idle * (this.#idleDeviation[pair]! ** 2) / total;
		const fullGain = full * (this.#fullDeviation[pair]! ** 2) / total;
		this.#idle[pair]! += idleGain * innovation;
		this.#full[pair]! += fullGain * innovation;
		this.#idleDeviation[pair]! *= Math.sqrt(1 - (idleGain * idle));
		this.#fullDeviation[pair]! *= Math.sqrt(1 - (fullGain * full));
	}
}

const decayDeviation = (deviation: number, retained: number): number =>
	Math.sqrt((priorDeviation ** 2) + (((deviation ** 2) - (priorDeviation ** 2)) * retained));

/** Bounds a load to the range in which the linear model is valid. */
export const clampLoad = (load: number): number => Math.max(0, Math.min(1.2, load));
