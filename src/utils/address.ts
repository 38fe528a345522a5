/**
Addresses of the form `host:port`.
*/
import {createError, ErrorCode} from '../core/errors.ts';

const maxPort = 65_535;
/** Longest name of a host. */
const maxHostChars = 253;

const split = (address: string): {host: string; port: number} | undefined => {
	const match = /^(.+):(\d+)$/.exec(address);
	return match && Number(match[2]) <= maxPort ? {host: match[1]!, port: Number(match[2])} : undefined;
};

/** Whether a process may be called at the address: a name or number of a host, and a port that a process can listen on. */
export const isPeerAddress = (address: string): boolean => {
	const {host, port} = split(address) ?? {host: '', port: 0};
	return port > 0 && host.length <= maxHostChars && /^([\w.-]+|\[[\da-f:.]+])$/i.test(host);
};

/** Splits `host:port`. Throws a `bad-input` error for anything else. */
export const parseAddress = (address: string): {host: string; port: number} => {
	const parts = split(address);
	if (!parts) {
		throw createError(ErrorCode.BadInput, {step: 'parse address', peer: address});
	}

	return parts;
};
