/**
HTTP client and call-stream client that share one `Turns`, as in a process.
*/
import {createStreamClient, type StreamClient} from '../src/utils/call-stream-client.ts';
import {createHttpClient, type HttpClient} from '../src/utils/http-calls.ts';
import {Turns} from '../src/utils/turns.ts';

export type CallClients = {http: HttpClient; streams: StreamClient; close: () => void};

export const createCallClients = (): CallClients => {
	const turns = new Turns();
	const http = createHttpClient(1, turns);
	const streams = createStreamClient(http, turns);
	return {
		http, streams, close() {
			streams.close();
			http.close();
		},
	};
};
