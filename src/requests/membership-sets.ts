/**
The hosts in the care of one entry as a set with versions: others ask for what changed since the version they have.
*/
import {type Announced} from './announcement-book.ts';

/** One change of a set; without an announcement, the host left it. */
export type SetChange<A extends Announced> = {
	id: string;
	announcement?: A;
};

/** Changes of a set since a version. */
export type SetDelta<A extends Announced> = {
	version: number;
	/** The changes are all there is; what they do not name is not in the set. */
	isFull: boolean;
	changes: Array<SetChange<A>>;
};

const maxRemoved = 4096;

/** A set of hosts with versions. */
export class VersionedSet<A extends Announced> {
	version = 0;
	readonly hosts = new Map<string, A>();
	/** Version of the last change of each host, in the order of versions. */
	readonly #changedAt = new Map<string, number>();
	/** Removals before this version are no longer known. */
	#completeSince = 0;

	/** Puts a host in, or replaces it. */
	set(id: string, announcement: A): void {
		this.hosts.set(id, announcement);
		this.#note(id);
	}

	/** Takes a host out. */
	remove(id: string): void {
		if (this.hosts.delete(id)) {
			this.#note(id);
		}
	}

	/** What changed since the version, or all of it when that is no longer known. */
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

	/** Applies what the set's owner, or another entry that has more of it, told. A delta twice changes nothing. */
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

	#note(id: string): void {
		this.version++;
		this.#changedAt.delete(id);
		this.#changedAt.set(id, this.version);
		this.#trim();
	}

	/** Forgets the oldest removals: an entry that missed them gets the whole set. */
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
