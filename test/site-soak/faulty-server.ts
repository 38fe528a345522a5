/**
HTTP server whose calls are delayed, refused, lost or cut off as faults demand.
*/
import {type Buffer} from 'node:buffer';
import {
	createServer, type IncomingHttpHeaders, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock} from '../../src/types/clock.ts';
import {listen, readBody} from '../../src/utils/http-server.ts';

/** What the caller gets once the call was carried out or dropped. */
export enum Reply {
	Answer = 'answer',
	Nothing = 'nothing',
	Reset = 'reset',
	Refusal = 'refusal',
}

/** What becomes of one call. */
export type Treatment = {
	delayMs?: number;
	/** Delay of the answer, after the call was carried out. */
	answerDelayMs?: number;
	isDropped?: boolean;
	reply?: Reply;
};

/** A call as the stand-ins see it. */
export type ServedCall = {
	method: string;
	url: URL;
	headers: IncomingHttpHeaders;
	body: Buffer;
	/** Aborts when the caller is gone. */
	signal: AbortSignal;
};

/** An answer of a stand-in. */
export type ServedAnswer = {
	status: number;
	body: Buffer | string;
	headers?: Record<string, string>;
};

const limits = {maxBytes: 8_388_608, timeoutMs: 10_000};

/** Options of the server. */
export type FaultyServerOptions = {
	clock: Clock;
	handle: (call: ServedCall) => Promise<ServedAnswer>;
};

/** Decides on a call; undefined leaves it to others. */
export type FaultPolicy = (path: string) => Treatment | undefined;

/** The server. */
export class FaultyServer {
	/** Faults in force. */
	readonly faults = new Set<FaultPolicy>();
	readonly #options: FaultyServerOptions;
	readonly #sockets = new Set<Socket>();
	readonly #server: Server;

	constructor(options: FaultyServerOptions) {
		this.#options = options;
		this.#server = createServer(async (request, response) => {
			await this.#serve(request, response);
		});
		this.#server.keepAliveTimeout = 0;
		this.#server.on('connection', (socket: Socket) => {
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	/** Binds to `host:port`; resolves to the address bound. */
	async listen(address: string): Promise<string> {
		return listen(this.#server, address);
	}

	/** Resets all open connections. */
	resetConnections(): void {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	close(): void {
		this.#server.close();
		this.resetConnections();
	}

	#getTreatment(path: string): Treatment {
		for (const policy of this.faults) {
			const treatment = policy(path);
			if (treatment) {
				return treatment;
			}
		}

		return {};
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {clock, handle} = this.#options;
		const url = new URL(request.url ?? '/', 'http://stand-in');
		const {delayMs = 0, answerDelayMs = 0, isDropped = false, reply = Reply.Answer} = this.#getTreatment(url.pathname);
		const aborter = new AbortController();
		response.once('close', () => {
			aborter.abort();
		});
		try {
			const body = await readBody(request, clock, limits);
			if (delayMs > 0) {
				await clock.sleep(delayMs);
			}

			const answer = isDropped
				? {status: 503, body: '{}'}
				: await handle({
					method: request.method ?? 'GET', url, headers: request.headers, body, signal: aborter.signal,
				});
			if (answerDelayMs > 0) {
				await clock.sleep(answerDelayMs);
			}

			send(response, answer, reply);
		} catch {
			// A stand-in that is down, or a caller that has left.
			response.socket?.resetAndDestroy();
		}
	}
}

const send = (response: ServerResponse, {status, body, headers}: ServedAnswer, reply: Reply): void => {
	if (reply === Reply.Nothing || response.destroyed) {
		return;
	}

	if (reply === Reply.Reset) {
		response.socket?.resetAndDestroy();
		return;
	}

	response.writeHead(reply === Reply.Refusal ? 503 : status, headers);
	response.end(reply === Reply.Refusal ? '{}' : body);
};
