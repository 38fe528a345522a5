/**
Decides whether a failed request is retried: only if it was not run or is idempotent, and only within a budget.
*/
import {RetryReason} from '../types/requests.ts';

/** How an attempt failed. */
export enum AttemptFailure {
	/** No byte of the request was written. */
	NotWritten = 'not-written',
	/** A guard answered that the request was not run. */
	GuardRefused = 'guard-refused',
	/** The connection failed, or the answer was truncated or invalid. */
	Broken = 'broken',
	/** The answer was not complete in time. */
	TimedOut = 'timed-out',
}

/** Returns the reason for a retry, or undefined if the request must not be retried. */
export const getRetryReason = (failure: AttemptFailure, isIdempotent: boolean): RetryReason | undefined => {
	switch (failure) {
		case AttemptFailure.NotWritten: {
			return RetryReason.ConnectFailed;
		}

		case AttemptFailure.GuardRefused: {
			return RetryReason.GuardRefused;
		}

		case AttemptFailure.Broken: {
			return isIdempotent ? RetryReason.IdempotentFailed : undefined;
		}

		case AttemptFailure.TimedOut: {
			return isIdempotent ? RetryReason.IdempotentTimeout : undefined;
		}
	}
};

/**
Limits retries to a share of the first attempts, plus a burst. Prevents retry storms: when upstreams fail, retries would
multiply the load that makes them fail. When the budget is spent, failures are returned to the callers.
*/
export class RetryBudget {
	readonly #share: number;
	readonly #burst: number;
	#tokens: number;

	constructor(share: number, burst: number) {
		this.#share = share;
		this.#burst = burst;
		this.#tokens = burst;
	}

	recordFirstAttempt(): void {
		this.#tokens = Math.min(this.#burst, this.#tokens + this.#share);
	}

	/** Takes one retry; false when the budget is spent. */
	tryTake(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
