/**
What each kind of task does to each other kind, learned from measured slowdowns.

The slowdown of a task beyond 1 is the sum of the effects of its neighbours, and of the host itself, which is kind 0.
Each effect is a line over the load of the host: its value on an idle host and on a full one, each with a variance.
A report updates all of them at once, those in doubt most (a Kalman filter that keeps the diagonal alone). What was
learned fades: means go back to what the neighbour does to others, variances to those of the unknown.
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
// One wild report moves an effect no more than three deviations would.
const clipDeviations = 3;
const maxSlowdown = 10;
const neighbourRate = 0.05;
const fadeSteps = 20;
const epochMs = 5000;
const usualHarmStart = 0.03;
const usualHarmRate = 0.005;

/** Kinds by number. The least recently used one makes room when there are too many. */
export class KindTable {
	readonly #ids = new Map<string, number>();
	readonly #onReuse: (kindId: number) => void;

	constructor(onReuse: (kindId: number) => void) {
		this.#onReuse = onReuse;
	}

	get(kind: string): number {
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
	/** Number of its tasks, throttled ones in part. */
	amount: number;
};

/** One measured slowdown and what stood beside it at that time. */
export type HarmReport = {
	victimId: number;
	taskClass: TaskClass;
	neighbours: Neighbour[];
	/** Processors in use on the host over those that it has. */
	load: number;
	slowdown: number;
};

/** Learned effects between kinds. */
export class HarmModel {
	/** Changes every few seconds: what was worked out from the model before is to be worked out again. */
	epoch = 0;
	readonly #halfLifeMs: number;
	// Pairs at [victim * maxKinds + neighbour]; idle and full are the ends of the line over load.
	readonly #idle = new Float64Array(maxKinds * maxKinds).fill(priorMean);
	readonly #full = new Float64Array(maxKinds * maxKinds).fill(priorMean);
	readonly #idleDeviation = new Float64Array(maxKinds * maxKinds).fill(priorDeviation);
	readonly #fullDeviation = new Float64Array(maxKinds * maxKinds).fill(priorDeviation);
	readonly #isSeen = new Uint8Array(maxKinds * maxKinds);
	// What a kind does on average to services and to batch tasks, for pairs not seen yet.
	readonly #usual = {
		[TaskClass.LatencyCritical]: new Float64Array(maxKinds).fill(priorMean),
		[TaskClass.Batch]: new Float64Array(maxKinds).fill(priorMean),
	};

	readonly #noise = new Float64Array(maxKinds).fill(noiseStart);
	#usualHarm = usualHarmStart;
	#fadedAtMs = Number.NaN;

	constructor(halfLifeMs: number) {
		this.#halfLifeMs = halfLifeMs;
	}

	/** Harm that a service suffers on average for each processor of batch work beside it. */
	get usualHarm(): number {
		return this.#usualHarm;
	}

	/** Learns it from a service's report. */
	noteUsualHarm(slowdown: number, batchProcessors: number): void {
		if (batchProcessors >= 1) {
			const harm = Math.max(0, Math.min(slowdown, maxSlowdown) - 1) / batchProcessors;
			this.#usualHarm += usualHarmRate * (harm - this.#usualHarm);
		}
	}

	/** Forgets all that was learned of the kind. */
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

		this.#usual[TaskClass.LatencyCritical][kindId] = priorMean;
		this.#usual[TaskClass.Batch][kindId] = priorMean;
		this.#noise[kindId] = noiseStart;
	}

	/** Learns from one report. */
	note({victimId, taskClass, neighbours, load, slowdown}: HarmReport): void {
		const full = clampLoad(load);
		const idle = 1 - full;
		const all = [{kindId: hostKindId, amount: 1}, ...neighbours];
		let expected = 0;
		let doubt = 0;
		for (const {kindId, amount} of all) {
			const pair = this.#open(victimId, kindId, taskClass);
			expected += amount * ((idle * this.#idle[pair]!) + (full * this.#full[pair]!));
			doubt += (amount ** 2) * (((idle * this.#idleDeviation[pair]!) ** 2) + ((full * this.#fullDeviation[pair]!) ** 2));
		}

		const noise = this.#noise[victimId]!;
		const deviation = Math.sqrt(doubt + noise);
		const raw = Math.min(slowdown, maxSlowdown) - 1 - expected;
		const surprise = Math.max(-clipDeviations * deviation, Math.min(clipDeviations * deviation, raw));
		this.#noise[victimId] = Math.max(noiseFloor, noise + (noiseRate * ((surprise ** 2) - doubt - noise)));
		for (const {kindId, amount} of all) {
			const pair = (victimId * maxKinds) + kindId;
			this.#correct(pair, {
				idle: amount * idle, full: amount * full, surprise, total: doubt + noise,
			});
			const usual = this.#usual[taskClass];
			usual[kindId]! += neighbourRate * (((this.#idle[pair]! + this.#full[pair]!) / 2) - usual[kindId]!);
		}
	}

	/** Effect of one neighbour on the victim on an idle host, moved by so many deviations. */
	getIdleEffect(victimId: number, taskClass: TaskClass, neighbourId: number, deviations: number): number {
		const pair = (victimId * maxKinds) + neighbourId;
		const mean = this.#isSeen[pair] ? this.#idle[pair]! : this.#usual[taskClass][neighbourId]!;
		return mean + (deviations * this.#idleDeviation[pair]!);
	}

	/** The same on a full host; between the two the effect is a line over the load. */
	getFullEffect(victimId: number, taskClass: TaskClass, neighbourId: number, deviations: number): number {
		const pair = (victimId * maxKinds) + neighbourId;
		const mean = this.#isSeen[pair] ? this.#full[pair]! : this.#usual[taskClass][neighbourId]!;
		return mean + (deviations * this.#fullDeviation[pair]!);
	}

	/** The effect at a load between the two. */
	getEffect(victimId: number, taskClass: TaskClass, neighbourId: number, load: number, deviations: number): number {
		const pair = (victimId * maxKinds) + neighbourId;
		const doubt = ((1 - load) * this.#idleDeviation[pair]!) + (load * this.#fullDeviation[pair]!);
		const mean = this.#isSeen[pair]
			? ((1 - load) * this.#idle[pair]!) + (load * this.#full[pair]!)
			: this.#usual[taskClass][neighbourId]!;
		return mean + (deviations * doubt);
	}

	/** Lets what was learned fade by the time that passed. */
	fade(nowMs: number): void {
		this.epoch = Math.floor(nowMs / epochMs);
		if (Number.isNaN(this.#fadedAtMs)) {
			this.#fadedAtMs = nowMs;
		}

		const passedMs = nowMs - this.#fadedAtMs;
		if (passedMs < this.#halfLifeMs / fadeSteps) {
			return;
		}

		this.#fadedAtMs = nowMs;
		const kept = 2 ** (-passedMs / this.#halfLifeMs);
		for (let pair = 0; pair < this.#isSeen.length; pair++) {
			if (this.#isSeen[pair]) {
				this.#idleDeviation[pair] = fadeDeviation(this.#idleDeviation[pair]!, kept);
				this.#fullDeviation[pair] = fadeDeviation(this.#fullDeviation[pair]!, kept);
			}
		}
	}

	#open(victimId: number, kindId: number, taskClass: TaskClass): number {
		const pair = (victimId * maxKinds) + kindId;
		if (!this.#isSeen[pair]) {
			this.#isSeen[pair] = 1;
			this.#idle[pair] = this.#usual[taskClass][kindId]!;
			this.#full[pair] = this.#usual[taskClass][kindId]!;
		}

		return pair;
	}

	#correct(pair: number, {idle, full, surprise, total}: {idle: number; full: number; surprise: number; total: number}): void {
		const idleGain = idle * (this.#idleDeviation[pair]! ** 2) / total;
		const fullGain = full * (this.#fullDeviation[pair]! ** 2) / total;
		this.#idle[pair]! += idleGain * surprise;
		this.#full[pair]! += fullGain * surprise;
		this.#idleDeviation[pair]! *= Math.sqrt(1 - (idleGain * idle));
		this.#fullDeviation[pair]! *= Math.sqrt(1 - (fullGain * full));
	}
}

const fadeDeviation = (deviation: number, kept: number): number =>
	Math.sqrt((priorDeviation ** 2) + (((deviation ** 2) - (priorDeviation ** 2)) * kept));

/** Keeps a load within what the line over it holds for. */
export const clampLoad = (load: number): number => Math.max(0, Math.min(1.2, load));
