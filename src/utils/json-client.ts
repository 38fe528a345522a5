/**
Client for JSON calls over HTTP, built on `undici`.
*/
import {type Dispatcher, request} from 'undici';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';

/** A call with JSON in both directions. */
export type JsonCall = {
	method: 'GET' | 'POST' | 'DELETE';
	url: string;
	body?: unknown;
	timeoutMs: number;
	signal?: AbortSignal;
	dispatcher?: Dispatcher;
	/** Operation that the call is part of, for error messages. */
	step: string;
};

const maxQuotedChars = 300;

/** Sends JSON and reads JSON. Throws `peer-unavailable` without a JSON response, `not-found` for status 404, `refused` for another error status. */
export const callJson = async <Reply>(call: JsonCall): Promise<Reply> => {
	const {status, body} = await exchange(call);
	if (status >= 400) {
		const detail = (body as {error?: string} | undefined)?.error ?? `status ${status}`;
		throw createError(status === 404 ? ErrorCode.NotFound : ErrorCode.Refused, {
			step: call.step, peer: new URL(call.url).host, detail,
		});
	}

	return body as Reply;
};

const exchange = async (call: JsonCall): Promise<{status: number; body: unknown}> => {
	const timeout = AbortSignal.timeout(call.timeoutMs);
	try {
		const response = await request(call.url, {
			method: call.method,
			headers: call.body === undefined ? undefined : {'content-type': 'application/json'},
			body: call.body === undefined ? undefined : JSON.stringify(call.body),
			signal: call.signal ? AbortSignal.any([timeout, call.signal]) : timeout,
			dispatcher: call.dispatcher,
		});
		const text = await response.body.text();
		return {status: response.statusCode, body: text === '' ? undefined : parseJson(text, call)};
	} catch (error) {
		throw createError(ErrorCode.PeerUnavailable, {
			step: call.step, peer: new URL(call.url).host, detail: getMessage(error), cause: error,
		});
	}
};

const parseJson = (text: string, call: JsonCall): unknown => {
	try {
		return JSON.parse(text) as unknown;
	} catch (error) {
		throw createError(ErrorCode.BadInput, {
			step: call.step, peer: new URL(call.url).host, detail: text.slice(0, maxQuotedChars), cause: error,
		});
	}
};
