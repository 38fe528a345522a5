/**
Client of a worker: JSON over HTTP.
*/
import {Agent} from 'undici';
import {type WorkerClient} from '../types/platform.ts';
import {callJson} from '../utils/json-client.ts';

const timeoutMs = 2000;

/** A worker client that holds connections. */
export type HttpWorkerClient = WorkerClient & {
	close(): Promise<void>;
};

/** Creates a client of the worker at the address. Throws `peer-unavailable` if no answer arrives. */
export const createWorkerClient = (address: string): HttpWorkerClient => {
	const agent = new Agent({connections: 4, pipelining: 1});
	const post = async <Reply>(operation: string, body: unknown): Promise<Reply> => callJson<Reply>({
		method: 'POST', url: `http://${address}/v1/worker/${operation}`, body, timeoutMs, dispatcher: agent, step: `worker ${operation}`,
	});

	return {
		start: async order => post('start', order),
		renew: async (refs, leaseMs) => post('renew', {refs, leaseMs}),
		stop: async (ref, {isCheckpoint}) => post('stop', {ref, isCheckpoint}),
		throttle: async (ref, share) => post('throttle', {ref, share}),
		async forget(refs) {
			await post('forget', {refs});
		},
		seal: async (shard, fencingToken) => post('seal', {shard, fencingToken}),
		list: async () => post('list', {}),
		close: async () => agent.destroy(),
	};
};
