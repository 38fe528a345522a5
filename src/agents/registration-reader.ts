/**
Reads registrations of agents, which other writers may have put among them. One that no agent can have written is ignored and logged once: owners do
not wait for its host, and follow the others.
*/
import {type Buffer} from 'node:buffer';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {checkRegisteredHost} from '../core/registrations.ts';
import {type AgentRegistration} from '../types/fleet.ts';
import {type KeyedRecord} from '../types/store.ts';
import {OnceReporter} from '../utils/once-reporter.ts';
import {decodeRegistration} from './control-records.ts';
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

const step = 'read agent registration';

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
			const registration = decodeRegistration(value);
			const {firstSession = offset} = registration;
			this.#check(host, {...registration, firstSession}, offset);
			return {...registration, firstSession};
		} catch (error) {
			this.#invalid.reportOnce(host, getMessage(error), `${host} ${offset}`);
			return undefined;
		}
	}

	/** Counts the valid registrations. */
	count(records: KeyedRecord[]): number {
		return records.filter(({key, value, offset}) => this.read(key, value, offset) !== undefined).length;
	}

	/** Checks that an agent may have written it. Throws `bad-input`. */
	#check(key: string, registration: ReadRegistration, offset: number): void {
		const {maxLeaseMs, isAddress} = this.#options;
		const {firstSession, departure} = registration;
		checkRegisteredHost(registration, {key, isAddress, step});
		if (firstSession > offset) {
			throw createError(ErrorCode.BadInput, {step, detail: `expected a first session up to ${offset}, found ${firstSession}`});
		}

		// Agents round the rest of a lease up for the slowest worker clock.
		if (departure && departure.leaseMs > getLeaseExpiryMs(maxLeaseMs)) {
			throw createError(ErrorCode.BadInput, {step, detail: `expected a lease of at most ${maxLeaseMs} ms, found ${departure.leaseMs} ms`});
		}
	}
}
