/**
A bare HTTP pass-through of node:http and undici, the baseline for the processor time of an entry.
*/
import {createServer} from 'node:http';
import {Agent} from 'undici';
import {close, listen} from '../utils/http-server.ts';

/** A running pass-through. */
export type PassThrough = {
	start(address: string): Promise<string>;
	stop(): Promise<void>;
};

/** Creates a pass-through that sends requests to its targets in turn. */
export const createPassThrough = (targets: string[]): PassThrough => {
	const agent = new Agent({pipelining: 1});
	let turn = 0;
	const server = createServer(async (request, response) => {
		try {
			const {statusCode, headers, body} = await agent.request({
				origin: `http://${targets[turn++ % targets.length]!}`, path: request.url!, method: request.method!, headers: {accept: '*/*'}, body: request,
			});
			delete headers.connection;
			delete headers['transfer-encoding'];
			response.writeHead(statusCode, headers);
			for await (const chunk of body) {
				response.write(chunk);
			}

			response.end();
		} catch {
			response.destroy();
		}
	});
	return {
		start: async address => listen(server, address),
		async stop() {
			await close(server);
			await agent.close();
		},
	};
};
