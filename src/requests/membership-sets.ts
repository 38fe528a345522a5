/**
The hosts that one entry monitors, as a versioned set: other entries request the changes since the version that they have.
*/
import {type AnnouncementBase} from './announcement-registry.ts';

/** One change of a set; without an announcement, the host was removed. */
export type SetChange<A extends AnnouncementBase> = {
	id: string;
	announcement?: A;
};

/** The changes of a set since a version. */
export type SetDelta<A extends AnnouncementBase> = {
	version: number;
	/** The changes are the complete set: hosts not listed are not in it. */
	isFull: boolean;
	changes: Array<SetChange<A>>;
};

const maxRemoved = 4096;

/** A versioned set of hosts. */
export class VersionedSet<A extends AnnouncementBase> {
	version = 0;
	readonly hosts = new Map<string, A>();
	/** Version of the last change of each host, in the order of versions. */
	readonly #changedAt = new Map<string, number>();
	/** Removals before this version are no longer known. */
	#completeSince = 0;

	/** Adds a host, or replaces its announcement. */
	set(id: string, announcement: A): void {
		this.hosts.set(id, announcement);
		this.#markChanged(id);
	}

	/** Removes a host. */
	remove(id: string): void {
		if (this.hosts.delete(id)) {
			this.#markChanged(id);
		}
	}

	/** Gets the changes since the version, or the complete set if they are no longer known. */
	getDelta(sinceVersion: number): SetDelta<A> {
		if (sinceVersion < this.#completeSince || sinceVersion > this.version) {
			return {version: this.version, isFull: true, changes: [...this.hosts].map(([id, announcement]) => ({id, announcement}))};
		}

		const changes: Array<SetChange<A>> = [];
		for (const [id, changedAt] of [...this.#changedAt].toReversed()) {
			if (changedAt <= sinceVersion) {
				break;
			}

			changes.push({id, announcement: this.hosts.get(id)});
		}

		return {version: this.version, isFull: false, changes};
	}

	/** Applies a delta from the set's owner, or from another entry that has a newer version. A repeated delta changes nothing. */
	apply(delta: SetDelta<A>): void {
		if (delta.version <= this.version) {
			return;
		}

		if (delta.isFull) {
			this.hosts.clear();
			this.#changedAt.clear();
			this.#completeSince = delta.version;
		}

		for (const {id, announcement} of delta.changes.toReversed()) {
			if (announcement) {
				this.hosts.set(id, announcement);
			} else {
				this.hosts.delete(id);
			}

			this.#changedAt.delete(id);
			this.#changedAt.set(id, delta.version);
		}

		this.version = delta.version;
		this.#trim();
	}

	#markChanged(id: string): void {
		this.version++;
		this.#changedAt.delete(id);
		this.#changedAt.set(id, this.version);
		this.#trim();
	}

	/** Forgets the oldest removals: an entry that missed them gets the complete set. */
	#trim(): void {
		if (this.#changedAt.size - this.hosts.size <= maxRemoved) {
			return;
		}

		for (const [id, changedAt] of this.#changedAt) {
			if (this.hosts.has(id)) {
				continue;
			}

			this.#changedAt.delete(id);
			this.#completeSince = Math.max(this.#completeSince, changedAt);
			if (this.#changedAt.size - this.hosts.size <= maxRemoved / 2) {
				return;
			}
		}
	}
}
