/**
Until when the tasks of a worker may run without further proof, on the worker's own clock.

A proof is a read of the store that still showed the agent as not lost. It is dated by a reading of the worker's clock
taken before the read was sent, so a proof that was held up on its way, or a process that stood still in between, makes
the lease shorter and never longer.
*/

/** A worker's clock may be this much slow. */
export const workerClockSlowShare = 0.02;

/** Lease of one incarnation of a worker. */
export class LeaseClock {
	readonly #horizonMs: number;
	#sample: {clockMs: number; atMs: number} | undefined;
	#leaseUntilMs = 0;
	#sentUntilMs = 0;

	/** A lease ends so long after its proof; whoever declares the agent lost waits at least as long. */
	constructor(horizonMs: number) {
		this.#horizonMs = horizonMs;
	}

	/** End of the lease on the worker's clock, as far as it is proven. */
	get leaseUntilMs(): number {
		return this.#leaseUntilMs;
	}

	/** Latest reading of the worker's clock. */
	get sampleClockMs(): number {
		return this.#sample?.clockMs ?? 0;
	}

	/** Latest time that any call may have prolonged leases to. */
	get sentUntilMs(): number {
		return this.#sentUntilMs;
	}

	/** Takes a reading; an older one than known changes nothing. */
	note(clockMs: number, nowMs: number): void {
		if (!this.#sample || clockMs >= this.#sample.clockMs) {
			this.#sample = {clockMs, atMs: nowMs};
		}
	}

	/** What the worker's clock shows now, at the least as far as this process did not stand still. */
	estimate(nowMs: number): number | undefined {
		return this.#sample && this.#sample.clockMs + (nowMs - this.#sample.atMs);
	}

	/** Takes a proof dated by the worker's clock. */
	prove(clockMs: number): void {
		this.#leaseUntilMs = Math.max(this.#leaseUntilMs, clockMs + this.#horizonMs);
	}

	/**
	End of the lease for the next renewal. While the worker gives no answer it stays as it was: a call without an answer
	may be carried out seconds later, and a lease that kept growing would never be over.
	*/
	getNextUntilMs(isAnswering: boolean): number {
		return isAnswering ? this.#leaseUntilMs : Math.min(this.#leaseUntilMs, this.#sentUntilMs);
	}

	/** Notes that a call with this end of the lease is sent. */
	noteSent(untilMs: number): void {
		this.#sentUntilMs = Math.max(this.#sentUntilMs, untilMs);
	}

	/** Whether every lease that was ever sent is over for certain, though the worker gives no answer. */
	isOver(nowMs: number, slackMs: number): boolean {
		if (!this.#sample) {
			return false;
		}

		const remainingMs = Math.max(0, this.#sentUntilMs - this.#sample.clockMs);
		return nowMs - this.#sample.atMs > (remainingMs / (1 - workerClockSlowShare)) + slackMs;
	}
}

/**
Leases go on so long after the last proof. Long: an outage of the store or the loss of all entries leaves running work
alone. Short: tasks of a lost worker start elsewhere sooner, and so do those of a successor that does not reach one.
*/
export const leaseHorizonMs = 7000;
