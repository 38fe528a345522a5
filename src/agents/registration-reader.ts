/**
Reads registrations of agents, which other writers may have put among them. One that no agent can have written is ignored and logged once: nobody waits
for its host, and the others are followed.
*/
import {type Buffer} from 'node:buffer';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type AgentRegistration} from '../types/fleet.ts';
import {type KeyedRecord} from '../types/store.ts';
import {OnceReporter} from '../utils/once-reporter.ts';
import {decodeFirstSession, decodeRegistration} from './control-records.ts';
import {getLeaseExpiryMs} from './worker-lease.ts';

/** Options of the reader. */
export type RegistrationReaderOptions = {
	/** Longest lease that an agent grants. */
	maxLeaseMs: number;
	/** Whether an agent may be called at the address. */
	isAddress: (address: string) => boolean;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** A registration as read, with the offset of the host's first one since all earlier leases had expired. */
export type ReadRegistration = AgentRegistration & {firstSession: number};

/** Reader of one process. */
export class RegistrationReader {
	readonly #options: RegistrationReaderOptions;
	readonly #invalid: OnceReporter;

	constructor(options: RegistrationReaderOptions) {
		this.#options = options;
		this.#invalid = new OnceReporter((host, error) => {
			options.note('registration not valid', {host, error});
		});
	}

	/** Decodes the registration of a host; undefined if it is not valid. */
	read(host: string, value: Buffer, offset: number): ReadRegistration | undefined {
		try {
			const registration = {...decodeRegistration(value), firstSession: decodeFirstSession(value, offset)};
			this.#check(host, registration, offset);
			return registration;
		} catch (error) {
			this.#invalid.reportOnce(host, getMessage(error), `${host} ${offset}`);
			return undefined;
		}
	}

	/** Counts the valid registrations. */
	count(records: KeyedRecord[]): number {
		return records.filter(({key, value, offset}) => this.read(key, value, offset) !== undefined).length;
	}

	/** Checks what an agent cannot have written. Throws `bad-input`. */
	#check(key: string, {host, address, firstSession, departure}: ReadRegistration, offset: number): void {
		const {maxLeaseMs, isAddress} = this.#options;
		if (host !== key) {
			throw createRegistrationError(`expected host ${key}, found ${host}`);
		}

		if (!isAddress(address)) {
			throw createRegistrationError(`expected an address with a host and a port, found ${address}`);
		}

		if (firstSession > offset) {
			throw createRegistrationError(`expected a first session up to ${offset}, found ${firstSession}`);
		}

		// What is left of a lease is computed for the slowest clock.
		if (departure && departure.leaseMs > getLeaseExpiryMs(maxLeaseMs)) {
			throw createRegistrationError(`expected a lease of at most ${maxLeaseMs} ms, found ${departure.leaseMs} ms`);
		}
	}
}

const maxDetailChars = 200;

const createRegistrationError = (detail: string): Error => createError(ErrorCode.BadInput, {step: 'read agent registration', detail: detail.slice(0, maxDetailChars)});
