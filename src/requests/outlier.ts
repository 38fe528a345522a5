/**
Outlier ejection: upstreams that fail often get no requests for a while, then single probes.
*/
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';

/** When to eject, for how long, and how many at most. */
export type OutlierTuning = {
	/** Number of consecutive failures that ejects. */
	failuresInRow: number;
	/** Share of failures, weighted by age, that ejects. */
	failureRate: number;
	/** Minimum number of requests, weighted by age, for which the failure rate is evaluated. */
	minRequests: number;
	/** Time constant of the weights: a result loses about two thirds of its weight in this time. */
	windowMs: number;
	/** Duration of the first ejection; it doubles with each repetition. */
	baseEjectionMs: number;
	maxEjectionMs: number;
	/** Maximum share of a service's upstreams that may be ejected or probing at once. */
	maxEjectedShare: number;
	/** Number of consecutive successful probes after which an upstream is admitted again. */
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

/** Which requests an upstream may receive. */
export enum EjectionState {
	Admitted = 'admitted',
	/** One check at a time. */
	Probing = 'probing',
	Ejected = 'ejected',
}

type OutlierRecord = {
	serviceName: string;
	ejectionState: EjectionState;
	failuresInRow: number;
	requests: number;
	failures: number;
	updatedAtMs: number;
	ejections: number;
	ejectedUntilMs: number;
	probeSuccesses: number;
};

/** Detects outliers and keeps the ejection state of each upstream. */
export class OutlierDetector {
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #tuning: OutlierTuning;
	readonly #records = new Map<string, OutlierRecord>();
	readonly #unadmittedByService = new Map<string, number>();

	constructor(clock: Clock, random: Random, tuning: OutlierTuning = defaultOutlierTuning) {
		this.#clock = clock;
		this.#random = random;
		this.#tuning = tuning;
	}

	/** Current state; an ejection that has expired changes to probing. */
	getEjectionState(upstreamId: string): EjectionState {
		const record = this.#records.get(upstreamId);
		if (!record || record.ejectionState === EjectionState.Admitted) {
			return EjectionState.Admitted;
		}

		if (record.ejectionState === EjectionState.Ejected && this.#clock.monotonicMs() >= record.ejectedUntilMs) {
			record.ejectionState = EjectionState.Probing;
			record.probeSuccesses = 0;
		}

		return record.ejectionState;
	}

	/** Whether its last result was a failure. */
	isLastResultFailure(upstreamId: string): boolean {
		return (this.#records.get(upstreamId)?.failuresInRow ?? 0) > 0;
	}

	/** Upstreams of the service that are ejected or probing. */
	getUnadmittedCount(serviceName: string): number {
		return this.#unadmittedByService.get(serviceName) ?? 0;
	}

	/** Records how a request ended; `upstreamCount` is the number of the service's upstreams, which limits how many may be ejected. */
	record(serviceName: string, upstreamId: string, isSuccess: boolean, upstreamCount: number): void {
		const record = this.#getRecord(serviceName, upstreamId);
		this.#updateCounts(record, isSuccess);
		if (this.getEjectionState(upstreamId) === EjectionState.Probing) {
			this.#recordProbe(record, isSuccess);
		} else if (record.ejectionState === EjectionState.Admitted && this.#isOutlier(record) && this.#mayEject(serviceName, upstreamCount)) {
			this.#eject(record);
			this.#addUnadmitted(serviceName, 1);
		}
	}

	/** Deletes the record of an upstream. */
	forget(upstreamId: string): void {
		const record = this.#records.get(upstreamId);
		if (record && record.ejectionState !== EjectionState.Admitted) {
			this.#addUnadmitted(record.serviceName, -1);
		}

		this.#records.delete(upstreamId);
	}

	#getRecord(serviceName: string, upstreamId: string): OutlierRecord {
		let record = this.#records.get(upstreamId);
		if (!record) {
			record = {
				serviceName,
				ejectionState: EjectionState.Admitted,
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

	#updateCounts(record: OutlierRecord, isSuccess: boolean): void {
		const nowMs = this.#clock.monotonicMs();
		const decay = Math.exp((record.updatedAtMs - nowMs) / this.#tuning.windowMs);
		record.requests = (record.requests * decay) + 1;
		record.failures = (record.failures * decay) + (isSuccess ? 0 : 1);
		record.failuresInRow = isSuccess ? 0 : record.failuresInRow + 1;
		record.updatedAtMs = nowMs;
	}

	#isOutlier({failuresInRow, requests, failures}: OutlierRecord): boolean {
		const {failuresInRow: maxInRow, failureRate, minRequests} = this.#tuning;
		return failuresInRow >= maxInRow || (requests >= minRequests && failures >= failureRate * requests);
	}

	// When most upstreams fail, the cause is probably a common one, and ejecting them would overload the remaining ones.
	#mayEject(serviceName: string, upstreamCount: number): boolean {
		return this.getUnadmittedCount(serviceName) + 1 <= this.#tuning.maxEjectedShare * upstreamCount;
	}

	#recordProbe(record: OutlierRecord, isSuccess: boolean): void {
		if (!isSuccess) {
			this.#eject(record);
			return;
		}

		record.probeSuccesses++;
		if (record.probeSuccesses >= this.#tuning.probesToReturn) {
			record.ejectionState = EjectionState.Admitted;
			record.requests = 0;
			record.failures = 0;
			this.#addUnadmitted(record.serviceName, -1);
		}
	}

	#eject(record: OutlierRecord): void {
		const {baseEjectionMs, maxEjectionMs} = this.#tuning;
		const nowMs = this.#clock.monotonicMs();
		// A host that was healthy for long after its last ejection starts again with the base duration.
		const isBackoffReset = nowMs - record.ejectedUntilMs > maxEjectionMs;
		record.ejections = isBackoffReset ? 1 : record.ejections + 1;
		const ejectionMs = Math.min(maxEjectionMs, baseEjectionMs * (2 ** (record.ejections - 1)));
		// Jitter keeps entries from probing the same host at the same moment.
		record.ejectedUntilMs = nowMs + (ejectionMs * (0.75 + (0.5 * this.#random.next())));
		record.ejectionState = EjectionState.Ejected;
	}

	#addUnadmitted(serviceName: string, amount: number): void {
		const count = this.getUnadmittedCount(serviceName) + amount;
		if (count > 0) {
			this.#unadmittedByService.set(serviceName, count);
		} else {
			this.#unadmittedByService.delete(serviceName);
		}
	}
}
