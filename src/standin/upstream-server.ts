/**
Stand-in for an upstream: responds to each request after its service time and reports the requests that it runs.
*/
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock} from '../types/clock.ts';
import {close, listen, readBody} from '../utils/http-server.ts';
import {attemptIdHeader} from './host-events.ts';

/** Settings of a stand-in upstream. */
export type UpstreamOptions = {
	clock: Clock;
	getServiceMs(path: string): number;
	/** Called when a request starts to run, with the attempt id from its header. */
	onRan?(attemptId: string): void;
};

/** A running stand-in upstream. */
export type StandinUpstream = {
	listen(address: string): Promise<string>;
	close(): Promise<void>;
};

const bodyLimits = {maxBytes: 16_777_216, timeoutMs: 60_000};

/** Creates a stand-in upstream. */
export const createStandinUpstream = (options: UpstreamOptions): StandinUpstream => {
	const serve = async (request: IncomingMessage, response: ServerResponse) => {
		const body = await readBody(request, options.clock, bodyLimits);
		const attemptId = request.headers[attemptIdHeader];
		if (typeof attemptId === 'string') {
			options.onRan?.(attemptId);
		}

		const path = request.url ?? '/';
		await options.clock.sleep(options.getServiceMs(path));
		const reply = JSON.stringify({path, receivedBytes: body.length});
		response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(reply)});
		response.end(reply);
	};

	const server = createServer(async (request, response) => {
		try {
			await serve(request, response);
		} catch {
			response.destroy();
		}
	});

	return {
		listen: async address => listen(server, address),
		close: async () => close(server),
	};
};
