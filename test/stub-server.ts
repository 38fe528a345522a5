/**
HTTP server for tests of the platform adapter: answers as the test says, and records the requests.
*/
import {Buffer} from 'node:buffer';
import {createServer, type IncomingHttpHeaders, type Server} from 'node:http';
import {createHttpClient, type HttpClient} from '../src/utils/keep-alive-client.ts';
import {close, listen} from '../src/utils/http-server.ts';

export type ReceivedRequest = {method: string; url: URL; headers: IncomingHttpHeaders; body: Buffer};
export type StubResponse = {status: number; json?: unknown; raw?: Buffer; headers?: Record<string, string>} | 'silence' | 'reset';

export class StubServer {
	readonly requests: ReceivedRequest[] = [];
	readonly http: HttpClient = createHttpClient(4);
	address = '';
	readonly #server: Server;

	constructor(respond: (received: ReceivedRequest) => StubResponse) {
		this.#server = createServer((request, response) => {
			const chunks: Buffer[] = [];
			request.on('data', (chunk: Buffer) => {
				chunks.push(chunk);
			});
			request.on('end', () => {
				const received = {
					method: request.method!, url: new URL(request.url!, 'http://stand-in'), headers: request.headers, body: Buffer.concat(chunks),
				};
				this.requests.push(received);
				const answer = respond(received);
				if (answer === 'reset') {
					request.socket.destroy();
				} else if (answer !== 'silence') {
					response.writeHead(answer.status, answer.headers);
					response.end(answer.raw ?? JSON.stringify(answer.json ?? {}));
				}
			});
		});
	}

	async start(): Promise<this> {
		this.address = await listen(this.#server, '127.0.0.1:0');
		return this;
	}

	async stop(): Promise<void> {
		this.http.close();
		this.#server.closeAllConnections();
		await close(this.#server);
	}
}
