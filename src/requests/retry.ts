/**
When a request is tried again: only when that cannot run it twice, and only within a budget.
*/
import {RetryReason} from '../types/requests.ts';

/** How a try failed. */
export enum AttemptFailure {
	/** No byte of the request was written. */
	NotWritten = 'not-written',
	/** A guard answered that the request was not run. */
	GuardRefused = 'guard-refused',
	/** The connection failed, or the answer was cut short or made no sense. */
	Broken = 'broken',
	/** No whole answer within the time. */
	TimedOut = 'timed-out',
}

/** Tells why the request may be tried again, or undefined when it may not. */
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
Retries as a share of first tries. Guards against a retry storm: when upstreams fail, retries would multiply the load
that makes them fail. With the share spent, failures go to the callers as they are.
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

	noteFirstTry(): void {
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
