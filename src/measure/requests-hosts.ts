/**
Simulated upstream hosts: how long a request runs there, and whether it is answered.
*/
import {type Random} from '../types/random.ts';
import {RequestClass} from '../types/requests.ts';
import {type Condition} from './requests-conditions.ts';
import {classLoads, type Site} from './requests-sites.ts';

/** How a host ends a request. */
export enum HostAnswer {
	Complete = 'whole',
	ServerError = 'server-error',
	/** The host never answers. */
	None = 'none',
}

/** A request's run on a host. */
export type HostRun = {
	answer: HostAnswer;
	durationMs: number;
};

const failFastMs = 0.5;
const waveMs = 1500;
const betweenWavesMs = 3000;
/** Share of the hosts that one wave slows. */
const waveShare = 1 / 3;
/** Spread of the interference between pairs of host and class. */
const pairSigma = 0.5;
/** When a fault begins, as a share of the run. */
const faultStartShare = 0.25;

type Wave = {
	fromMs: number;
	toMs: number;
	hosts: Set<number>;
};

/** All hosts of a run. */
export class SimulatedHosts {
	/** When the fault of the condition begins. */
	readonly faultAtMs: number;
	readonly #condition: Condition;
	readonly #running: Array<Record<RequestClass, number>>;
	readonly #pairInterference: Array<Record<RequestClass, number>>;
	readonly #waves: Wave[];
	readonly #failureDomainCount: number;

	constructor(site: Site, condition: Condition, random: Random, durationMs: number) {
		this.#condition = condition;
		this.#failureDomainCount = site.failureDomains.length;
		this.faultAtMs = durationMs * faultStartShare;
		const indexes = Array.from({length: site.upstreamCount}, (_, index) => index);
		this.#running = indexes.map(() => ({[RequestClass.Check]: 0, [RequestClass.Long]: 0}));
		const drawInterference = () => Math.exp(pairSigma * ((random.next() + random.next() + random.next()) - 1.5) * 2);
		this.#pairInterference = indexes.map(() => ({[RequestClass.Check]: drawInterference(), [RequestClass.Long]: drawInterference()}));
		this.#waves = condition.waveFactor ? createWaves(indexes, random, durationMs) : [];
	}

	/** Whether the host has stopped answering. */
	isLost(index: number, nowMs: number): boolean {
		return this.#condition.isDomainLost === true && nowMs >= this.faultAtMs && index % this.#failureDomainCount === 0;
	}

	/** Starts a request that takes `idleMs` on an idle host. */
	start(index: number, requestClass: RequestClass, idleMs: number, nowMs: number): HostRun {
		const isFaulty = index === 1 && nowMs >= this.faultAtMs;
		const slowdown = this.#getSlowdown(index, requestClass) * this.#getWaveFactor(index, nowMs) * (isFaulty ? this.#condition.slowHostFactor ?? 1 : 1);
		this.#running[index]![requestClass]++;
		if (isFaulty && this.#condition.isFailingFast) {
			return {answer: HostAnswer.ServerError, durationMs: failFastMs};
		}

		// A host that is lost before the request ends does not answer it either.
		const durationMs = idleMs * slowdown;
		return this.isLost(index, nowMs + durationMs)
			? {answer: HostAnswer.None, durationMs: Number.POSITIVE_INFINITY}
			: {answer: HostAnswer.Complete, durationMs};
	}

	/** The request ended or was cancelled. */
	end(index: number, requestClass: RequestClass): void {
		this.#running[index]![requestClass]--;
	}

	/** Requests on the host, for the check that no host gets more than its slots. */
	getRunning(index: number): number {
		const {check, long} = this.#running[index]!;
		return check + long;
	}

	#getSlowdown(index: number, requestClass: RequestClass): number {
		const {slowdownBy} = classLoads[requestClass];
		const {check, long} = this.#running[index]!;
		return 1 + (this.#pairInterference[index]![requestClass] * ((check * slowdownBy.check) + (long * slowdownBy.long)));
	}

	#getWaveFactor(index: number, nowMs: number): number {
		return this.#waves.some(({fromMs, toMs, hosts}) => nowMs >= fromMs && nowMs < toMs && hosts.has(index)) ? this.#condition.waveFactor! : 1;
	}
}

const createWaves = (indexes: number[], random: Random, durationMs: number): Wave[] => {
	const waves: Wave[] = [];
	for (let fromMs = betweenWavesMs * random.next(); fromMs < durationMs; fromMs += betweenWavesMs * (0.5 + random.next())) {
		waves.push({fromMs, toMs: fromMs + waveMs, hosts: new Set(indexes.filter(() => random.next() < waveShare))});
	}

	return waves;
};
