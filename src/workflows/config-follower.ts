/**
Follows the operators' declarations: the configuration, and which failure domains are evacuated. Within one incarnation of
the process it never returns to an older state: offsets decide, not the order in which answers arrive.
*/
import {type Buffer} from 'node:buffer';
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type Evacuations, type SiteConfig} from '../types/site.ts';
import {type PartitionRef, type StoreClient} from '../types/store.ts';
import {EvacuationFold} from './evacuations.ts';

/** Options of the follower. */
export type ConfigFollowerOptions = {
	store: StoreClient;
	ref: PartitionRef;
	/** Key of the configuration's records. */
	key: string;
	/** Failure domain that a record with this key asks to evacuate; undefined: the key is of another kind. */
	getEvacuatedDomain: (key: string) => string | undefined;
	decode: (text: string) => SiteConfig;
	clock: Clock;
	onConfig: (config: SiteConfig, offset: number) => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Long polls end after this even without a new record, so that a dead connection is noticed early enough for a change to take effect in time. */
const readWaitMs = 1000;
const retryMs = 100;

/** Follows the declarations of one site. */
export class ConfigFollower {
	/** Newest valid configuration; undefined before the first. */
	config: SiteConfig | undefined;
	readonly #options: ConfigFollowerOptions;
	#configOffset = -1;
	#nextOffset: number | undefined;
	readonly #evacuations = new EvacuationFold();

	constructor(options: ConfigFollowerOptions) {
		this.#options = options;
	}

	/** Current evacuations. */
	get evacuations(): Evacuations {
		return this.#evacuations.current;
	}

	/** Follows until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {store, ref, clock, getEvacuatedDomain, note} = this.#options;
		while (!signal.aborted) {
			try {
				if (this.#nextOffset === undefined) {
					const {records, endOffset} = await store.readNewest(ref, signal);
					for (const {key, value, offset} of records) {
						this.#applyConfig(key, value, offset);
					}

					this.#evacuations.replaceAll(records.flatMap(({key}) => getEvacuatedDomain(key) ?? []), endOffset);
					this.#nextOffset = endOffset;
				} else {
					const {records} = await store.readKeyed(ref, this.#nextOffset, readWaitMs, signal);
					for (const {key, value, offset} of records) {
						this.#applyConfig(key, value, offset);
						const failureDomain = getEvacuatedDomain(key);
						if (failureDomain !== undefined) {
							this.#evacuations.apply(failureDomain, value !== undefined, offset);
						}

						this.#nextOffset = offset + 1;
					}
				}
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				// Start over from the newest record of each key: the store may delete any other record at any time.
				this.#nextOffset = undefined;
				note('configuration not read', {error: getMessage(error)});
				await clock.sleep(retryMs, signal);
			}
		}
	}

	#applyConfig(key: string, value: Buffer | undefined, offset: number): void {
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
