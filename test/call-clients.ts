/**
HTTP client and call-stream client that share one turn scheduler, as in a process.
*/
import {createStreamClient, type StreamClient} from '../src/utils/call-stream-client.ts';
import {createHttpClient, type HttpClient} from '../src/utils/keep-alive-client.ts';
import {TurnScheduler} from '../src/utils/turn-scheduler.ts';

export type CallClients = {http: HttpClient; streams: StreamClient; close: () => void};

export const createCallClients = (): CallClients => {
	const turnScheduler = new TurnScheduler();
	const http = createHttpClient(1, turnScheduler);
	const streams = createStreamClient(http, turnScheduler);
	return {
		http, streams, close() {
			streams.close();
			http.close();
		},
	};
};
