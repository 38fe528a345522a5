/**
Estimate of a peer's monotonic clock from the readings in its responses. The estimate is never ahead of what the readings allow, and
a response that is handled late does not set it back.
*/

/** When a call was sent and when its response was handled, on the local monotonic clock in ms. */
export type CallTimes = {
	sentAtMs: number;
	handledAtMs: number;
};

/** Estimates the clock of one incarnation of a peer; each incarnation has its own clock. */
export class PeerClock {
	/** Peer's clock minus the local one. */
	#offsetMs = Number.NEGATIVE_INFINITY;

	/**
	Adds a reading from a response. The peer read its clock between the sending of the call and the handling of its response, which
	bounds the offset on both sides. The lower bound holds unless the peer's clock has stood still since.
	*/
	addReading(peerClockMs: number, {sentAtMs, handledAtMs}: CallTimes): void {
		const lowestMs = peerClockMs - handledAtMs;
		const highestMs = peerClockMs - sentAtMs;
		this.#offsetMs = Math.max(lowestMs, Math.min(this.#offsetMs, highestMs));
	}

	/** Estimates the peer's clock at the local time `nowMs`; negative infinity before the first reading. */
	estimate(nowMs: number): number {
		return nowMs + this.#offsetMs;
	}
}
