/**
Stand-in for an upstream: answers requests within its slots and counts what it ran.
*/
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock} from '../types/clock.ts';
import {Header} from '../types/requests.ts';
import {close, listen, readBody} from '../utils/http-server.ts';
import {tryHeader} from './host-events.ts';

/** Ways an upstream can go wrong. */
export enum UpstreamFault {
	None = 'none',
	Silent = 'silent',
	Truncated = 'truncated',
	FailFast = 'fail-fast',
}

/** Settings of a stand-in upstream. */
export type UpstreamOptions = {
	clock: Clock;
	slots: number;
	getServiceMs(path: string): number;
	/** Told of each request that begins to run, with the id of its try. */
	onRan?(tryId: string): void;
};

/** A running stand-in upstream. */
export type StandinUpstream = {
	listen(address: string): Promise<string>;
	close(): Promise<void>;
	setFault(fault: UpstreamFault): void;
	/** How often each request id ran. */
	getRuns(): Map<string, number>;
	/** Most requests that were in progress at once. */
	getPeak(): number;
};

const bodyBounds = {maxBytes: 16_777_216, timeoutMs: 60_000};

/** Creates a stand-in upstream. */
export const createStandinUpstream = (options: UpstreamOptions): StandinUpstream => {
	const runs = new Map<string, number>();
	let fault = UpstreamFault.None;
	let inProgress = 0;
	let peak = 0;

	const serve = async (request: IncomingMessage, response: ServerResponse) => {
		inProgress++;
		peak = Math.max(peak, inProgress);
		try {
			const body = await readBody(request, options.clock, bodyBounds);
			const requestId = request.headers[Header.RequestId];
			if (typeof requestId === 'string') {
				runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
			}

			const tryId = request.headers[tryHeader];
			if (typeof tryId === 'string') {
				options.onRan?.(tryId);
			}

			await answer(request.url ?? '/', body, response);
		} finally {
			inProgress--;
		}
	};

	const answer = async (path: string, body: Buffer, response: ServerResponse) => {
		if (fault === UpstreamFault.Silent) {
			return;
		}

		if (fault === UpstreamFault.FailFast) {
			response.writeHead(500).end();
			return;
		}

		await options.clock.sleep(options.getServiceMs(path));
		const reply = JSON.stringify({path, receivedBytes: body.length});
		response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(reply)});
		if (fault === UpstreamFault.Truncated) {
			response.write(reply.slice(0, reply.length / 2));
			response.destroy();
			return;
		}

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
		setFault(next) {
			fault = next;
		},
		getRuns: () => runs,
		getPeak: () => peak,
	};
};
