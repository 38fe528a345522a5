/**
Cancelled ids of the jobs of one stream. A cancellation may overtake attempts to submit its job, which are still on their way in another
process or to the store, so it holds for each submission of the id, whichever of their records comes first.
*/

/** A cancelled id, and the wall clock time of the entry that took the cancellation. */
export type Cancellation = [id: string, cancelledAtMs: number];

type KeptCancellation = {
	cancelledAtMs: number;
	/** Wall clock time at which its newest record was written. */
	writtenAtMs: number;
};

/** Options of cancellations. */
export type CancellationsOptions = {
	/** How long a cancellation holds: longer than an attempt is under way. */
	keepMs: number;
	/** Bounds memory, and what is written again. */
	maxIds: number;
};

/** Options for the jobs of a site's partition: the frozen processes, cut links and late appends that an attempt meets add up to less. */
export const siteCancellations: CancellationsOptions = {keepMs: 120_000, maxIds: 20_000};

/** Wall clocks of hosts differ by less. */
const maxClockErrorMs = 30_000;
/** A cancellation is due to be written again after this share of the store's retention. */
const rewriteShare = 1 / 3;
/** With one that is due, all are written again that will be due within half of that time: each record is a call to the store and wakes all readers. */
const gatherShare = rewriteShare / 2;
/** Cancellations of one record, which stays well below the store's limit. */
const maxRewritten = 200;

/** Cancellations of one stream. */
export class Cancellations {
	/** The ones that were written longest ago are first. */
	readonly #kept = new Map<string, KeptCancellation>();
	readonly #options: CancellationsOptions;

	constructor(options: CancellationsOptions) {
		this.#options = options;
	}

	/** Adds a cancellation as it was read. */
	add([id, cancelledAtMs]: Cancellation): void {
		const known = this.#kept.get(id);
		if (known && known.cancelledAtMs >= cancelledAtMs) {
			return;
		}

		this.#keep(id, {cancelledAtMs, writtenAtMs: cancelledAtMs});
		this.#dropExpired(cancelledAtMs);
	}

	/** Whether a submission at that wall clock time is one of a cancelled id. Depends on records alone, so that all readers of the stream agree. */
	includes(id: string, submittedAtMs: number): boolean {
		const known = this.#kept.get(id);
		return known !== undefined && submittedAtMs <= known.cancelledAtMs + this.#options.keepMs;
	}

	/** Whether another cancellation of the id adds nothing, because the known one holds for long enough. */
	isRecent(id: string, wallMs: number): boolean {
		const known = this.#kept.get(id);
		return known !== undefined && wallMs <= known.cancelledAtMs + (this.#options.keepMs / 2);
	}

	/** Whether cancellations of unknown jobs may be added: those that are kept are not dropped for them. */
	hasRoom(wallMs: number): boolean {
		this.#dropExpired(wallMs);
		return this.#kept.size < this.#options.maxIds;
	}

	/** Takes the cancellations to write again, before the store drops their records. */
	takeDue(wallMs: number, retentionMs: number): Cancellation[] {
		const due: Cancellation[] = [];
		const [oldest] = this.#kept.values();
		if (!oldest || wallMs - oldest.writtenAtMs <= retentionMs * rewriteShare) {
			return due;
		}

		for (const [id, {cancelledAtMs, writtenAtMs}] of this.#kept) {
			if (due.length >= maxRewritten || wallMs - writtenAtMs <= retentionMs * gatherShare) {
				break;
			}

			if (this.#isExpired(cancelledAtMs, wallMs)) {
				this.#kept.delete(id);
			} else {
				this.#keep(id, {cancelledAtMs, writtenAtMs: wallMs});
				due.push([id, cancelledAtMs]);
			}
		}

		return due;
	}

	#keep(id: string, kept: KeptCancellation): void {
		// A map keeps the place of a key that is set again.
		this.#kept.delete(id);
		this.#kept.set(id, kept);
	}

	#dropExpired(wallMs: number): void {
		for (const [id, {cancelledAtMs}] of this.#kept) {
			if (!this.#isExpired(cancelledAtMs, wallMs)) {
				return;
			}

			this.#kept.delete(id);
		}
	}

	#isExpired(cancelledAtMs: number, wallMs: number): boolean {
		return wallMs - cancelledAtMs > this.#options.keepMs + maxClockErrorMs;
	}
}
