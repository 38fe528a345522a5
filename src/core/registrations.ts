/**
Checks of registrations, by which processes tell others their addresses.
*/
import {createError, ErrorCode} from './errors.ts';

/** What a registration is checked against. */
export type RegistrationTerms = {
	/** Key of the record. */
	key: string;
	/** Whether a process may be called at the address. */
	isAddress: (address: string) => boolean;
	/** Operation, for the error message. */
	step: string;
};

/** Checks that the process of the record's key may have written it. Throws `bad-input`. */
export const checkRegisteredHost = ({host, address}: {host: string; address: string}, {key, isAddress, step}: RegistrationTerms): void => {
	if (host !== key) {
		throw createError(ErrorCode.BadInput, {step, detail: `expected host ${key}, found ${host}`});
	}

	if (!isAddress(address)) {
		throw createError(ErrorCode.BadInput, {step, detail: `expected an address with a host and a port, found ${address}`});
	}
};
