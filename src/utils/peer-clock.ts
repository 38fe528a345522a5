/**
A peer's steady clock, estimated from its readings. The estimate never runs ahead of what the readings allow, and one answer
that was handled late does not set it back.
*/

/** When a call was sent and when its answer was handled, on the own steady clock in ms. */
export type Exchange = {
	sentAtMs: number;
	handledAtMs: number;
};

/** Estimates one life of a peer; a new life has a clock of its own. */
export class PeerClock {
	/** Peer's clock minus the own one. */
	#offsetMs = Number.NEGATIVE_INFINITY;

	/**
	Takes a reading from an answer. The peer read its clock between the two times of the exchange, which bounds the offset on
	both sides; the lower bound holds unless the peer's clock stood still since.
	*/
	note(peerClockMs: number, {sentAtMs, handledAtMs}: Exchange): void {
		const lowestMs = peerClockMs - handledAtMs;
		const highestMs = peerClockMs - sentAtMs;
		this.#offsetMs = Math.max(lowestMs, Math.min(this.#offsetMs, highestMs));
	}

	/** Gets the peer's clock now; negative infinity before the first reading. */
	read(nowMs: number): number {
		return nowMs + this.#offsetMs;
	}
}
