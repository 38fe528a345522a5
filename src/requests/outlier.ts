/**
Outlier ejection: upstreams that fail far more than their neighbours get no requests for a while, then single probes.
*/
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';

/** When to eject, for how long, and how many at most. */
export type OutlierTuning = {
	/** Failures in a row that eject. */
	failuresInRow: number;
	/** Decaying failure rate that ejects. */
	failureRate: number;
	/** Least decaying count of requests for which a rate means anything. */
	minRequests: number;
	/** Time in which an old result loses two thirds of its weight. */
	windowMs: number;
	/** First time out; it doubles with each repetition. */
	baseEjectionMs: number;
	maxEjectionMs: number;
	/** Largest share of a service's upstreams that may be out at once. */
	maxEjectedShare: number;
	/** Successful probes in a row that bring an upstream back. */
	probesToReturn: number;
};

/** Tuning used unless another is passed. */
export const defaultOutlierTuning: OutlierTuning = {
	failuresInRow: 5,
	failureRate: 0.5,
	minRequests: 10,
	windowMs: 5000,
	baseEjectionMs: 1000,
	maxEjectionMs: 30_000,
	maxEjectedShare: 0.5,
	probesToReturn: 3,
};

/** What may be sent to an upstream. */
export enum Standing {
	Admitted = 'admitted',
	/** One check at a time. */
	Probing = 'probing',
	Ejected = 'ejected',
}

type OutlierRecord = {
	serviceName: string;
	standing: Standing;
	failuresInRow: number;
	requests: number;
	failures: number;
	updatedAtMs: number;
	ejections: number;
	ejectedUntilMs: number;
	probeSuccesses: number;
};

/** Standing of each upstream. */
export class OutlierBook {
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #tuning: OutlierTuning;
	readonly #records = new Map<string, OutlierRecord>();
	readonly #outByService = new Map<string, number>();

	constructor(clock: Clock, random: Random, tuning: OutlierTuning = defaultOutlierTuning) {
		this.#clock = clock;
		this.#random = random;
		this.#tuning = tuning;
	}

	/** Standing now; an ejection that has run out turns into probing. */
	getStanding(upstreamId: string): Standing {
		const record = this.#records.get(upstreamId);
		if (!record || record.standing === Standing.Admitted) {
			return Standing.Admitted;
		}

		if (record.standing === Standing.Ejected && this.#clock.monotonicMs() >= record.ejectedUntilMs) {
			record.standing = Standing.Probing;
			record.probeSuccesses = 0;
		}

		return record.standing;
	}

	/** Whether its last result was a failure. */
	isSuspect(upstreamId: string): boolean {
		return (this.#records.get(upstreamId)?.failuresInRow ?? 0) > 0;
	}

	/** Upstreams of the service that are ejected or probing. */
	getOutCount(serviceName: string): number {
		return this.#outByService.get(serviceName) ?? 0;
	}

	/** Takes how a request ended; `upstreamCount` is the size of the service, for the floor. */
	record(serviceName: string, upstreamId: string, isSuccess: boolean, upstreamCount: number): void {
		const record = this.#getRecord(serviceName, upstreamId);
		this.#count(record, isSuccess);
		if (this.getStanding(upstreamId) === Standing.Probing) {
			this.#judgeProbe(record, isSuccess);
		} else if (record.standing === Standing.Admitted && this.#isOutlier(record) && this.#mayEject(serviceName, upstreamCount)) {
			this.#eject(record);
			this.#addOut(serviceName, 1);
		}
	}

	/** Forgets an upstream. */
	forget(upstreamId: string): void {
		const record = this.#records.get(upstreamId);
		if (record && record.standing !== Standing.Admitted) {
			this.#addOut(record.serviceName, -1);
		}

		this.#records.delete(upstreamId);
	}

	#getRecord(serviceName: string, upstreamId: string): OutlierRecord {
		let record = this.#records.get(upstreamId);
		if (!record) {
			record = {
				serviceName,
				standing: Standing.Admitted,
				failuresInRow: 0,
				requests: 0,
				failures: 0,
				updatedAtMs: this.#clock.monotonicMs(),
				ejections: 0,
				ejectedUntilMs: 0,
				probeSuccesses: 0,
			};
			this.#records.set(upstreamId, record);
		}

		return record;
	}

	#count(record: OutlierRecord, isSuccess: boolean): void {
		const nowMs = this.#clock.monotonicMs();
		const kept = Math.exp((record.updatedAtMs - nowMs) / this.#tuning.windowMs);
		record.requests = (record.requests * kept) + 1;
		record.failures = (record.failures * kept) + (isSuccess ? 0 : 1);
		record.failuresInRow = isSuccess ? 0 : record.failuresInRow + 1;
		record.updatedAtMs = nowMs;
	}

	#isOutlier({failuresInRow, requests, failures}: OutlierRecord): boolean {
		const {failuresInRow: maxInRow, failureRate, minRequests} = this.#tuning;
		return failuresInRow >= maxInRow || (requests >= minRequests && failures >= failureRate * requests);
	}

	// The floor: when most upstreams fail, the cause is not theirs alone, and those left would drown in the whole load.
	#mayEject(serviceName: string, upstreamCount: number): boolean {
		return this.getOutCount(serviceName) + 1 <= this.#tuning.maxEjectedShare * upstreamCount;
	}

	#judgeProbe(record: OutlierRecord, isSuccess: boolean): void {
		if (!isSuccess) {
			this.#eject(record);
			return;
		}

		record.probeSuccesses++;
		if (record.probeSuccesses >= this.#tuning.probesToReturn) {
			record.standing = Standing.Admitted;
			record.requests = 0;
			record.failures = 0;
			this.#addOut(record.serviceName, -1);
		}
	}

	#eject(record: OutlierRecord): void {
		const {baseEjectionMs, maxEjectionMs} = this.#tuning;
		const nowMs = this.#clock.monotonicMs();
		// A host that stayed well for long after its last ejection starts again from the base.
		const wasLongAgo = nowMs - record.ejectedUntilMs > maxEjectionMs;
		record.ejections = wasLongAgo ? 1 : record.ejections + 1;
		const ejectionMs = Math.min(maxEjectionMs, baseEjectionMs * (2 ** (record.ejections - 1)));
		// Jitter keeps entries from probing the same host at the same moment.
		record.ejectedUntilMs = nowMs + (ejectionMs * (0.75 + (0.5 * this.#random.next())));
		record.standing = Standing.Ejected;
	}

	#addOut(serviceName: string, amount: number): void {
		const count = this.getOutCount(serviceName) + amount;
		if (count > 0) {
			this.#outByService.set(serviceName, count);
		} else {
			this.#outByService.delete(serviceName);
		}
	}
}
