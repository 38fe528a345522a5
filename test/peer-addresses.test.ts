/**
Addresses that no process can have, and calls to them.
*/
import {describe, expect, it} from 'vitest';
import {ErrorCode, getErrorCode} from '../src/core/errors.ts';
import {isPeerAddress} from '../src/utils/address.ts';
import {createStreamClient} from '../src/utils/call-stream-client.ts';
import {createHttpClient} from '../src/utils/keep-alive-client.ts';
import {TurnScheduler} from '../src/utils/turn-scheduler.ts';

describe('an address that no process can have', () => {
	const addresses = ['127.0.0.1', '127.0.0.1:', '127.0.0.1:70000', `127.0.0.1:${'9'.repeat(400)}`, '127.0.0.1:0', ':80', 'a b:80', 'a\u0000b:80', 'a/b:80', `${'a'.repeat(300)}:80`, ''];

	it.each(addresses)('is told from one that a process can have: %j', address => {
		expect(isPeerAddress(address)).toBe(false);
	});

	it.each(['127.0.0.1:7720', 'nony24.example:80', '[::1]:65535', 'side_1:1'])('is not %s', address => {
		expect(isPeerAddress(address)).toBe(true);
	});

	/** Guards against callers that take an error without a type for a call that may have been carried out. */
	it.each(['127.0.0.1', '127.0.0.1:70000', 'a\u0000b:80', 'a b:80'])('fails calls as one that was not sent: %j', async address => {
		const http = createHttpClient(1);
		const streams = createStreamClient(http, new TurnScheduler());
		const call = {
			address, path: '/', timeoutMs: 300, step: 'test',
		};
		const codes = await Promise.all([http.call({...call, method: 'GET'}), streams.call({...call, json: {}})].map(async answer => {
			try {
				await answer;
				return undefined;
			} catch (error) {
				return getErrorCode(error);
			}
		}));
		expect(codes).toEqual([ErrorCode.PeerUnreached, ErrorCode.PeerUnreached]);
		http.close();
	});
});
