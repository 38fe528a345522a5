/**
Client of the platform's log: JSON over plain HTTP.
*/
import {Agent} from 'undici';
import {z} from 'zod';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type PlatformLog} from '../types/platform.ts';
import {callJson} from '../utils/json-client.ts';

const pageSchema = z.object({
	records: z.array(z.object({offset: z.number().int().nonnegative(), value: z.unknown()})),
	oldestOffset: z.number().int().nonnegative(),
	endOffset: z.number().int().nonnegative(),
});
const appendSchema = z.object({offset: z.number().int().nonnegative()});
const defaultLimit = 1000;

/** A log client that holds connections. */
export type LogClient = PlatformLog & {
	stop(): Promise<void>;
};

/** Creates a client of the log at the URL. All errors are `log-unavailable`. */
export const createLogClient = (url: string, timeoutMs: number): LogClient => {
	const agent = new Agent({connections: 16, pipelining: 1});
	const wrapErrors = async <T>(step: string, action: () => Promise<T>): Promise<T> => {
		try {
			return await action();
		} catch (error) {
			throw createError(ErrorCode.LogUnavailable, {
				step, peer: url, detail: getMessage(error), cause: error,
			});
		}
	};

	return {
		append: async (stream, value, signal) => wrapErrors(`append to ${stream}`, async () => {
			const reply = await callJson({
				method: 'POST', url: `${url}/streams/${stream}/records`, body: {value}, timeoutMs, signal, dispatcher: agent, step: 'append',
			});
			return appendSchema.parse(reply).offset;
		}),
		read: async (stream, fromOffset, options = {}) => wrapErrors(`read ${stream}`, async () => {
			const {limit = defaultLimit, waitMs = 0, signal} = options;
			const reply = await callJson({
				method: 'GET',
				url: `${url}/streams/${stream}/records?from=${fromOffset}&limit=${limit}&waitMs=${waitMs}`,
				timeoutMs: timeoutMs + waitMs,
				signal,
				dispatcher: agent,
				step: 'read',
			});
			return pageSchema.parse(reply);
		}),
		stop: async () => agent.destroy(),
	};
};
