/**
Keeps the newest configuration of the operators. Within one life of the process it never goes back: offsets decide, not
the order in which answers arrive.
*/
import {type Buffer} from 'node:buffer';
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type SiteConfig} from '../types/site.ts';
import {type PartitionRef, type StoreClient} from '../types/store.ts';

/** Options of the follower. */
export type ConfigFollowerOptions = {
	store: StoreClient;
	ref: PartitionRef;
	key: string;
	decode: (text: string) => SiteConfig;
	clock: Clock;
	onConfig: (config: SiteConfig, offset: number) => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** A wait without news ends after this: a silent connection shows soon enough for a change to be in force in time. */
const readWaitMs = 1000;
const retryMs = 100;

/** The follower. */
export class ConfigFollower {
	/** Newest configuration; undefined before the first. */
	config: SiteConfig | undefined;
	readonly #options: ConfigFollowerOptions;
	#configOffset = -1;
	#nextOffset: number | undefined;

	constructor(options: ConfigFollowerOptions) {
		this.#options = options;
	}

	/** Follows until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {store, ref, clock, note} = this.#options;
		while (!signal.aborted) {
			try {
				if (this.#nextOffset === undefined) {
					const {records, endOffset} = await store.newest(ref, signal);
					for (const {key, value, offset} of records) {
						this.#take(key, value, offset);
					}

					this.#nextOffset = endOffset;
				} else {
					const {records} = await store.readKeyed(ref, this.#nextOffset, readWaitMs, signal);
					for (const {key, value, offset} of records) {
						this.#take(key, value, offset);
						this.#nextOffset = offset + 1;
					}
				}
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				// Records may be deleted at any time, but for the newest of each key.
				this.#nextOffset = undefined;
				note('configuration not read', {error: getMessage(error)});
				await clock.sleep(retryMs, signal);
			}
		}
	}

	#take(key: string, value: Buffer | undefined, offset: number): void {
		const {key: configKey, decode, onConfig, note} = this.#options;
		if (key !== configKey || value === undefined || offset <= this.#configOffset) {
			return;
		}

		try {
			this.config = decode(value.toString('utf8'));
			this.#configOffset = offset;
			onConfig(this.config, offset);
		} catch (error) {
			note('configuration not valid', {offset, error: getMessage(error)});
		}
	}
}
