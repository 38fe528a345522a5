/**
Requests to peers whose addresses other processes have told.
*/
import {request as sendRequest, type ClientRequest, type RequestOptions} from 'node:http';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {parseAddress} from './address.ts';

/** Creates a request to a peer. Throws `peer-unreached` for an address that no connection can be made to; `step` is for the error message. */
export const createPeerRequest = ({address, step}: {address: string; step: string}, options: RequestOptions): ClientRequest => {
	try {
		return sendRequest({...parseAddress(address), ...options});
	} catch (error) {
		throw createError(ErrorCode.PeerUnreached, {
			step, peer: address, detail: getMessage(error), cause: error,
		});
	}
};
