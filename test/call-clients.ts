/**
HTTP client and call-stream client that share one turn scheduler, as in a process.
*/
import {createStreamClient, type StreamClient} from '../src/utils/call-stream-client.ts';
import {createHttpClient, type HttpClient} from '../src/utils/http-calls.ts';
import {Turns} from '../src/utils/turns.ts';

export type CallClients = {http: HttpClient; streams: StreamClient; close: () => void};

export const createCallClients = (): CallClients => {
	const turnScheduler = new Turns();
	const http = createHttpClient(1, turnScheduler);
	const streams = createStreamClient(http, turnScheduler);
	return {
		http, streams, close() {
			streams.close();
			http.close();
		},
	};
};
