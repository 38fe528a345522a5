/**
Records how the requests of a run ended.
*/
import {build, type Histogram} from 'hdr-histogram-js';
import {RequestClass} from '../types/requests.ts';
import {classLoads} from './requests-sites.ts';

const highestTrackableUs = 3_600_000_000;

const createHistogram = (): Histogram => build({lowestDiscernibleValue: 1, highestTrackableValue: highestTrackableUs, numberOfSignificantValueDigits: 3});

/** Ends of requests, counted from the end of the warm-up on. */
export class Recorder {
	readonly refusals = new Map<string, number>();
	readonly arrived: Record<RequestClass, number> = {check: 0, long: 0};
	readonly inTime: Record<RequestClass, number> = {check: 0, long: 0};
	/** Answers that came in time and before the end of the run, not in the drain after it. */
	goodAnswers = 0;
	/** Sum of the run times of these requests on an idle host. */
	usefulMs = 0;
	firstAttempts = 0;
	retries = 0;
	hedges = 0;
	longAccepted = 0;
	longCompleted = 0;
	/** Completed long requests whose answer came after their deadline. */
	longLate = 0;
	/** Long requests that ended with an error of their upstream. */
	longFailed = 0;
	/** Long requests for which it is unknown whether they ran. */
	longUnknown = 0;
	/** Long requests of unknown outcome that were in progress when the fault began. */
	longInProgressAtFault = 0;
	/** Checks that ended with no answer. */
	checksFailed = 0;
	/** All checks that arrived; one with no answer counts as answered at its deadline. */
	readonly #allUs = createHistogram();
	/** Checks with a complete answer. */
	readonly #answeredUs = createHistogram();

	/** A check received a complete answer. */
	recordCheck(latencyMs: number): void {
		const latencyUs = Math.round(latencyMs * 1000);
		this.#allUs.recordValue(latencyUs);
		this.#answeredUs.recordValue(latencyUs);
	}

	/** A check that was started received no answer. */
	failCheck(): void {
		this.checksFailed++;
		this.#allUs.recordValue(classLoads.check.deadlineMs * 1000);
	}

	/** A request was refused before it was started. */
	refuse(requestClass: RequestClass, reason: string): void {
		if (requestClass === RequestClass.Check) {
			this.#allUs.recordValue(classLoads.check.deadlineMs * 1000);
		}

		this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
	}

	/** Figures of the run. */
	getFigures(seconds: number): Record<string, number> {
		const getMs = (percentile: number) => this.#allUs.getValueAtPercentile(percentile) / 1000;
		const refused = [...this.refusals].map(([reason, count]) => [`refused:${reason}`, count] as const);
		return {
			p50Ms: getMs(50),
			p99Ms: getMs(99),
			p999Ms: getMs(99.9),
			answeredP99Ms: this.#answeredUs.getValueAtPercentile(99) / 1000,
			checksInTime: this.inTime.check / Math.max(1, this.arrived.check),
			checksFailed: this.checksFailed,
			longAccepted: this.longAccepted,
			longCompleted: this.longCompleted / Math.max(1, this.longAccepted),
			longLate: this.longLate,
			longFailed: this.longFailed,
			longUnknown: this.longUnknown,
			longCaught: this.longInProgressAtFault,
			retryRatio: (this.retries + this.hedges) / Math.max(1, this.firstAttempts),
			goodputPerS: this.goodAnswers / seconds,
			usefulMsPerS: this.usefulMs / seconds,
			...Object.fromEntries(refused),
		};
	}
}
