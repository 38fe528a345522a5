/**
What owners have stored of registrations of agents, as read from the jobs stream: those declared lost, and those of agents that have
departed. The next owner counts the time from when this process read the record.

All leases of a lost registration expire a fixed time after its declaration was stored, since no later proof counts for it. That holds only
while each owner since knows of the loss: one that does not gives the agent proofs again. A departed agent takes no proof from anyone.
*/

/** Record of an owner about one registration of an agent. */
export type SessionRecord = {
	/** Session of the registration. */
	readonly session: number;
	/** Offset of the record. */
	readonly offset: number;
	/** When the record had been read, on this process's monotonic clock: what it says was stored before. */
	readonly readAtMs: number;
};

/** Bound on the agents whose record is kept: more than a region has. All entries drop the same ones, or a later owner would not know of a loss that the one after it counts. */
const maxAgents = 10_000;

/** The newest record of each agent. */
export class SessionRecords {
	readonly #byHost = new Map<string, SessionRecord>();

	/** Gets the newest record of the host's agent. */
	get(host: string): SessionRecord | undefined {
		return this.#byHost.get(host);
	}

	/** Adds a record, unless one of the same or a newer registration is known. */
	add(host: string, record: SessionRecord): void {
		const known = this.#byHost.get(host);
		if (known && known.session >= record.session) {
			return;
		}

		this.#byHost.delete(host);
		this.#byHost.set(host, record);
		if (this.#byHost.size > maxAgents) {
			this.#byHost.delete(this.#byHost.keys().next().value!);
		}
	}

	/** Forgets records that an owner does not know, because it has read the stream from this offset on only. */
	forgetBefore(offset: number): void {
		for (const [host, record] of this.#byHost) {
			if (record.offset < offset) {
				this.#byHost.delete(host);
			}
		}
	}
}
