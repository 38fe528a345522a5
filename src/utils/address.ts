/**
Addresses of the form `host:port`.
*/
import {createError, ErrorCode} from '../core/errors.ts';

/** Splits `host:port`. Throws a `bad-input` error for anything else. */
export const parseAddress = (address: string): {host: string; port: number} => {
	const match = /^(.+):(\d+)$/.exec(address);
	if (!match) {
		throw createError(ErrorCode.BadInput, {step: 'parse address', peer: address});
	}

	return {host: match[1]!, port: Number(match[2])};
};
