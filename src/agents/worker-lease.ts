/**
Lease of a worker: the time on the worker's own clock until which its tasks may run without further proof.

A proof is a read of the store that showed the agent as not declared lost. Its time is a reading of the worker's clock taken
before the read was sent, so a delayed answer or a paused process makes the lease shorter and never longer.
*/

/** A worker's clock may run slow by at most this share. */
export const maxClockSlowShare = 0.02;
/** Added to a lease before tasks start elsewhere: calls and ending a run take some ms. */
const expirySlackMs = 500;

/** Longest time after which a lease of this length has expired, even if the worker's clock is slow, and its runs have ended. */
export const getLeaseExpiryMs = (leaseMs: number): number => (leaseMs / (1 - maxClockSlowShare)) + expirySlackMs;

/** Lease of one incarnation of a worker. */
export class WorkerLease {
	readonly #leaseMs: number;
	readonly #maxEarlierLeaseMs: number;
	#sample: {clockMs: number; atMs: number} | undefined;
	#leaseUntilMs = 0;
	#sentUntilMs = 0;
	#earlierUntilMs = 0;

	/**
	A lease ends `leaseMs` after its latest proof; an owner that declares the agent lost waits at least as long. Leases that an
	earlier agent process may have sent end at most `maxEarlierLeaseMs` after the first reading of the worker's clock; 0: there are none.
	*/
	constructor(leaseMs: number, maxEarlierLeaseMs = 0) {
		this.#leaseMs = leaseMs;
		this.#maxEarlierLeaseMs = maxEarlierLeaseMs;
	}

	/** End of the lease on the worker's clock, as of the latest proof. */
	get leaseUntilMs(): number {
		return this.#leaseUntilMs;
	}

	/** When the latest reading of the worker's clock was recorded; undefined before the first. */
	get sampleAtMs(): number | undefined {
		return this.#sample?.atMs;
	}

	/** Latest reading of the worker's clock. */
	get sampleClockMs(): number {
		return this.#sample?.clockMs ?? 0;
	}

	/** Latest end of a lease that this process sent to the worker, also in calls without an answer. */
	get sentUntilMs(): number {
		return this.#sentUntilMs;
	}

	/** Latest end of a lease that an earlier agent process may have sent; 0: there is none, or the worker's clock was not read yet. */
	get earlierUntilMs(): number {
		return this.#earlierUntilMs;
	}

	/**
	Records a reading of the worker's clock; a reading older than the latest is ignored. From the answer with the first one on, the
	worker refuses calls of earlier agent processes for their lower fencing tokens, so their leases grow no more.
	*/
	recordReading(clockMs: number, nowMs: number): void {
		if (!this.#sample) {
			this.#earlierUntilMs = this.#maxEarlierLeaseMs > 0 ? clockMs + this.#maxEarlierLeaseMs : 0;
		}

		if (!this.#sample || clockMs >= this.#sample.clockMs) {
			this.#sample = {clockMs, atMs: nowMs};
		}
	}

	/** Estimates the present reading of the worker's clock. Too low if this process was paused before it recorded the latest reading. */
	estimateClockMs(nowMs: number): number | undefined {
		return this.#sample && this.#sample.clockMs + (nowMs - this.#sample.atMs);
	}

	/** Extends the lease by a proof, whose time is a reading of the worker's clock. */
	extendByProof(clockMs: number): void {
		this.#leaseUntilMs = Math.max(this.#leaseUntilMs, clockMs + this.#leaseMs);
	}

	/**
	Gets the end of the lease for the next renewal: at most `maxLeaseMs` from now, which is what the worker grants. While the worker does not
	answer, the end is not moved: a call without an answer may be carried out seconds later, and a lease extended by each such call would
	never be known to have expired.
	*/
	getRenewalUntilMs({isAnswering, nowMs, maxLeaseMs}: {isAnswering: boolean; nowMs: number; maxLeaseMs: number}): number {
		const clockMs = this.estimateClockMs(nowMs);
		const untilMs = clockMs === undefined ? this.#leaseUntilMs : Math.min(this.#leaseUntilMs, clockMs + maxLeaseMs);
		return isAnswering ? untilMs : Math.min(untilMs, this.#sentUntilMs);
	}

	/** Records that a call with this end of the lease is being sent. */
	recordSent(untilMs: number): void {
		this.#sentUntilMs = Math.max(this.#sentUntilMs, untilMs);
	}

	/** Longest time for which leases sent to the worker may still last, on the worker's clock; undefined: its clock was not read. */
	getRemainingMs(nowMs: number): number | undefined {
		return this.#sample && Math.max(0, this.#getSentMs(this.#sample.clockMs) - ((nowMs - this.#sample.atMs) * (1 - maxClockSlowShare)));
	}

	/** Whether every lease that this or an earlier agent process sent to a worker that does not answer has certainly expired, even if the worker's clock is slow. */
	isExpired(nowMs: number, slackMs: number): boolean {
		if (!this.#sample) {
			return false;
		}

		return nowMs - this.#sample.atMs > (this.#getSentMs(this.#sample.clockMs) / (1 - maxClockSlowShare)) + slackMs;
	}

	/** How long after a reading of the worker's clock the latest lease ends. */
	#getSentMs(clockMs: number): number {
		return Math.max(0, Math.max(this.#sentUntilMs, this.#earlierUntilMs) - clockMs);
	}
}

/**
A lease ends this long after its latest proof. A longer lease lets running tasks survive an outage of the store or the loss
of all entries. A shorter one lets tasks start elsewhere sooner, both when a worker is lost and when a new owner cannot reach one.
*/
export const leaseDurationMs = 7000;
