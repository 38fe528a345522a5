/**
Addresses of the form `host:port`.
*/
import {createError, ErrorCode} from '../core/errors.ts';

const maxPort = 65_535;
/** Longest name of a host. */
const maxHostChars = 253;

/** Whether a process may be called at the address: a name or number of a host, and a port that a process can listen on. */
export const isPeerAddress = (address: string): boolean => {
	const match = /^([\w.-]+|\[[\da-f:.]+]):(\d{1,5})$/i.exec(address);
	return match !== null && match[1]!.length <= maxHostChars && Number(match[2]) > 0 && Number(match[2]) <= maxPort;
};

/** Splits `host:port`. Throws a `bad-input` error for anything else. */
export const parseAddress = (address: string): {host: string; port: number} => {
	const match = /^(.+):(\d+)$/.exec(address);
	if (!match || Number(match[2]) > maxPort) {
		throw createError(ErrorCode.BadInput, {step: 'parse address', peer: address});
	}

	return {host: match[1]!, port: Number(match[2])};
};
