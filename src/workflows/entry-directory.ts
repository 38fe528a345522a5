/**
Directory of the other entries: each entry registers under its host's name, and reads the others' registrations periodically.
The last ones read stay in use while the store does not answer.
*/
import {Buffer} from 'node:buffer';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {checkRegisteredHost} from '../core/registrations.ts';
import {type Clock} from '../types/clock.ts';
import {type EntryRegistration} from '../types/entries.ts';
import {AppendOutcome, type PartitionRef, type StoreClient} from '../types/store.ts';
import {parseFields, type Fields} from '../utils/fields.ts';
import {OnceReporter} from '../utils/once-reporter.ts';

/** Options of the directory. */
export type EntryDirectoryOptions = {
	store: StoreClient;
	clock: Clock;
	registration: EntryRegistration;
	/** Incarnation: differs for each start of the process. */
	life: string;
	/** Whether an entry may be called at the address. */
	isAddress: (address: string) => boolean;
	note: (event: string, fields: Record<string, unknown>) => void;
};

const ref: PartitionRef = {topic: 'keyed.entries', partition: 0};
const refreshMs = 10_000;
const retryMs = 500;
const storeTimeoutMs = 1000;
/** Name of the operation in errors. */
const step = 'read entry registration';

/** No host has more processors, or a faster link: routing would send all work to an entry that claims to. */
const maxProcessors = 10_000;
const maxLinkMbps = 10_000_000;

/** Decodes a registration. Throws `bad-input`. */
export const decodeEntry = (value: Buffer): EntryRegistration => {
	const fields = parseFields(value, step);
	return {
		host: fields.string('host'), address: fields.string('address'), ...decodeSize(fields),
	};
};

/** Decodes the registration of a host. Throws `bad-input`, also for one that no entry can have written. */
const decodeEntryOf = (key: string, value: Buffer, isAddress: (address: string) => boolean): EntryRegistration => {
	const entry = decodeEntry(value);
	const {processors = 0, linkMbps = 0} = entry;
	checkRegisteredHost(entry, {key, isAddress, step});
	if (processors > maxProcessors || linkMbps > maxLinkMbps) {
		throw createError(ErrorCode.BadInput, {step, detail: `expected at most ${maxProcessors} processors and ${maxLinkMbps} Mbit/s, found ${processors} and ${linkMbps}`});
	}

	return entry;
};

/** What only routing needs: a registration without it, or with other types, still names an entry to relay to. */
const decodeSize = (fields: Fields): Pick<EntryRegistration, 'failureDomain' | 'processors' | 'linkMbps'> => {
	try {
		return {
			...(fields.has('failureDomain') && {failureDomain: fields.string('failureDomain')}),
			...(fields.has('processors') && {processors: fields.nonNegativeNumber('processors')}),
			...(fields.has('linkMbps') && {linkMbps: fields.nonNegativeNumber('linkMbps')}),
		};
	} catch {
		return {};
	}
};

/** The directory of one entry. */
export class EntryDirectory {
	readonly #options: EntryDirectoryOptions;
	#others: EntryRegistration[] = [];
	readonly #invalid: OnceReporter;
	#writes = 0;
	#isLeaving = false;

	constructor(options: EntryDirectoryOptions) {
		this.#options = options;
		this.#invalid = new OnceReporter((host, error) => {
			options.note('entry registration not valid', {host, error});
		});
	}

	/** The other entries, as last read. */
	get others(): readonly EntryRegistration[] {
		return this.#others;
	}

	/** Registers and reads until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted && !await this.#register()) {
			await clock.sleep(retryMs, signal);
		}

		while (!signal.aborted) {
			const isRead = await this.#read(signal);
			await clock.sleep(isRead ? refreshMs : retryMs, signal);
		}
	}

	/** Removes the registration. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		await this.#write();
	}

	async #register(): Promise<boolean> {
		return this.#isLeaving || this.#write(Buffer.from(JSON.stringify(this.#options.registration)));
	}

	async #write(value?: Buffer): Promise<boolean> {
		const {store, registration: {host}, life, note} = this.#options;
		try {
			const {outcome} = await store.appendKeyed(ref, [{key: host, ...(value && {value})}], {
				stamp: {producer: `entry-${host}-${life}`, epoch: 1, sequence: this.#writes}, timeoutMs: storeTimeoutMs,
			});
			if (outcome === AppendOutcome.Appended) {
				this.#writes++;
				return true;
			}

			note('entry not registered', {outcome});
		} catch (error) {
			note('entry not registered', {error: getMessage(error)});
		}

		return false;
	}

	async #read(signal: AbortSignal): Promise<boolean> {
		const {store, registration, note} = this.#options;
		try {
			const {records} = await store.readNewest(ref, signal);
			this.#others = records.flatMap(({key, value, offset}) => key === registration.host ? [] : this.#decode(key, value, offset));
			// A late call of an earlier incarnation may have removed the registration.
			return records.some(({key}) => key === registration.host) || await this.#register();
		} catch (error) {
			if (!signal.aborted) {
				note('entries not read', {error: getMessage(error)});
			}

			return false;
		}
	}

	/** Decodes a registration; an invalid one is logged once and ignored. */
	#decode(host: string, value: Buffer, offset: number): EntryRegistration[] {
		try {
			return [decodeEntryOf(host, value, this.#options.isAddress)];
		} catch (error) {
			this.#invalid.reportOnce(host, getMessage(error), `${host} ${offset}`);
			return [];
		}
	}
}
