/**
Losses that owners have declared and stored, as read from the jobs stream: the next owner does not declare them anew.

All leases of a lost registration expire a fixed time after its declaration was stored, since no later proof counts for it. That
holds only while each owner since knows of the loss: one that does not gives the agent proofs again.
*/

/** Declaration of an earlier owner that one registration of an agent is lost. */
export type StoredLoss = {
	/** Session of the registration. */
	readonly session: number;
	/** Offset of its record. */
	readonly offset: number;
	/** When its record had been read, on this process's monotonic clock: the declaration was stored before. */
	readonly readAtMs: number;
};

/** Bound on the agents whose loss is kept: more than a region has. All entries drop the same ones, or a later owner would not know of a loss that the one after it counts. */
const maxAgents = 10_000;

/** The newest loss of each agent. */
export class StoredLosses {
	readonly #byHost = new Map<string, StoredLoss>();

	/** Gets the newest loss of the host's agent. */
	get(host: string): StoredLoss | undefined {
		return this.#byHost.get(host);
	}

	/** Adds a loss, unless one of the same or a newer registration is known. */
	add(host: string, loss: StoredLoss): void {
		const known = this.#byHost.get(host);
		if (known && known.session >= loss.session) {
			return;
		}

		this.#byHost.delete(host);
		this.#byHost.set(host, loss);
		if (this.#byHost.size > maxAgents) {
			this.#byHost.delete(this.#byHost.keys().next().value!);
		}
	}

	/** Forgets losses that an owner does not know, because it has read the stream from this offset on only. */
	forgetBefore(offset: number): void {
		for (const [host, loss] of this.#byHost) {
			if (loss.offset < offset) {
				this.#byHost.delete(host);
			}
		}
	}
}
