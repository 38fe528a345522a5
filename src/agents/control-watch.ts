/**
Follows the control stream of one service for the newest owner's epoch, declarations that this agent is lost, and the failure
domains to evacuate. Each read up to the end of the stream is a proof that extends the worker's lease.
*/
import {getMessage, getOldestOffset} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type Evacuations} from '../types/site.ts';
import {type PartitionRef, type StoreClient} from '../types/store.ts';
import {ControlRecordType, decodeControlRecord} from './control-records.ts';

/** How an agent learned of an owner's epoch. */
export enum EpochSource {
	/** The control stream. */
	Store = 'store',
	/** A request of the owner. */
	Owner = 'owner',
}

/** Options of the watch. */
export type ControlWatchOptions = {
	store: StoreClient;
	ref: PartitionRef;
	clock: Clock;
	host: string;
	/** Called before each read; the function that it returns is called if the read reaches the end of the stream. */
	prepareProof: () => (() => void) | undefined;
	onLost: (session: number) => void;
	/** The store has dropped records that were not read; a declaration that this agent is lost may be among them. */
	onGap: () => void;
	onStoreState: (isReached: boolean, detail: string) => void;
	/** A newer owner became known. */
	onNewerEpoch: (epoch: number, before: number, source: EpochSource) => void;
	onInvalid: (detail: string) => void;
};

/**
A read without new records ends after this, so a proof is at most this old while the store answers. The lease then covers an
outage of some seconds and the time to detect its end.
*/
const readWaitMs = 1000;
const retryMs = 150;

const noEvacuations: Evacuations = {asOf: -1, failureDomains: []};

/** The watch. */
export class ControlWatch {
	readonly #options: ControlWatchOptions;
	#offset = 0;
	#epoch = 0;
	#isCaughtUp = false;
	#evacuations = noEvacuations;

	constructor(options: ControlWatchOptions) {
		this.#options = options;
	}

	/** Newest epoch known, from the stream or from an owner's request. */
	get epoch(): number {
		return this.#epoch;
	}

	/** Whether this process has read the stream to its end. */
	get isCaughtUp(): boolean {
		return this.#isCaughtUp;
	}

	/** Whether operators have requested the evacuation of the failure domain. */
	isEvacuated(failureDomain: string): boolean {
		return this.#evacuations.failureDomains.includes(failureDomain);
	}

	/** Records an owner's epoch; returns false if a newer one is known. */
	observeEpoch(epoch: number, source: EpochSource): boolean {
		if (epoch > this.#epoch) {
			this.#options.onNewerEpoch(epoch, this.#epoch, source);
			this.#epoch = epoch;
		}

		return epoch === this.#epoch;
	}

	/** Follows until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {store, ref, clock, onStoreState} = this.#options;
		while (!signal.aborted) {
			const applyProof = this.#options.prepareProof();
			try {
				// Before the stream was read to its end, reads do not wait for new records: until then the agent accepts no start.
				const page = await store.read(ref, this.#offset, {waitMs: this.#isCaughtUp ? readWaitMs : 0, signal});
				this.#skipGap(page.oldestOffset);
				for (const {offset, value} of page.records) {
					this.#apply(value);
					this.#offset = offset + 1;
				}

				onStoreState(true, '');
				if (this.#offset >= page.endOffset) {
					this.#isCaughtUp = true;
					applyProof?.();
				}
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				const oldestOffset = getOldestOffset(error);
				if (oldestOffset !== undefined) {
					this.#skipGap(oldestOffset);
					continue;
				}

				onStoreState(false, getMessage(error));
				await clock.sleep(retryMs, signal);
			}
		}
	}

	/** Goes on at the oldest record without the state from before it. Evacuations that are in effect are among the retained records. */
	#skipGap(oldestOffset: number): void {
		if (this.#offset >= oldestOffset) {
			return;
		}

		if (this.#isCaughtUp || this.#offset > 0) {
			this.#isCaughtUp = false;
			this.#evacuations = noEvacuations;
			this.#options.onGap();
		}

		this.#offset = oldestOffset;
	}

	#apply(value: Parameters<typeof decodeControlRecord>[0]): void {
		try {
			const record = decodeControlRecord(value);
			// The store may have dropped the claim of the owner that wrote the record.
			this.observeEpoch(record.epoch, EpochSource.Store);
			switch (record.type) {
				case ControlRecordType.Claim: {
					break;
				}

				case ControlRecordType.Lost: {
					if (record.host === this.#options.host) {
						this.#options.onLost(record.session);
					}

					break;
				}

				case ControlRecordType.Evacuations: {
					if (record.asOf >= this.#evacuations.asOf) {
						this.#evacuations = {asOf: record.asOf, failureDomains: record.failureDomains};
					}

					break;
				}
			}
		} catch (error) {
			this.#options.onInvalid(getMessage(error));
		}
	}
}
