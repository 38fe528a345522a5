/**
Client of call streams: sends all calls to a peer over one connection. On a small host, a call over a keep-alive HTTP connection
takes several times as much processor time. Peers of a version that does not support call streams are called over HTTP.
*/
import {type Socket} from 'node:net';
import {createError, ErrorCode} from '../core/errors.ts';
import {
	callStreamPath, callStreamProtocol, formatLine, readLines, type CallLine,
} from './call-stream.ts';
import {type CountBytes, type HttpClient} from './keep-alive-client.ts';
import {createPeerRequest} from './peer-request.ts';
import {afterPendingInput, type TurnScheduler} from './turn-scheduler.ts';

/** A call to a peer. */
export type StreamCall = {
	address: string;
	path: string;
	json: unknown;
	timeoutMs: number;
	signal?: AbortSignal;
	/** Operation that the call is part of, for error messages. */
	step: string;
};

/** Response to a call. */
export type StreamAnswer = {status: number; json: unknown};

/** Sends calls. Throws `peer-unavailable` if there is no response (the call may have been carried out), `peer-unreached` if nothing was sent. */
export type StreamClient = {
	call(call: StreamCall): Promise<StreamAnswer>;
	close(): void;
};

type Pending = {
	call: StreamCall;
	/** Undefined: the peer does not support call streams. */
	resolve: (answer: StreamAnswer | undefined) => void;
	reject: (error: Error) => void;
};

/** One connection with its calls in progress. */
class PeerStream {
	isClosed = false;
	readonly #pending = new Map<number, Pending>();
	readonly #turnScheduler: TurnScheduler;
	readonly #countBytes: CountBytes;
	readonly #onClosed: () => void;
	readonly #abortConnect: () => void;
	#socket: Socket | undefined;
	#lastNumber = 0;

	/** `step` is for the error message. Throws `peer-unreached` for an address that no connection can be made to. */
	constructor(peer: {address: string; step: string}, {turnScheduler, countBytes, onClosed}: {turnScheduler: TurnScheduler; countBytes: CountBytes; onClosed: () => void}) {
		this.#turnScheduler = turnScheduler;
		this.#countBytes = countBytes;
		this.#onClosed = onClosed;
		const request = createPeerRequest(peer, {path: callStreamPath, headers: {connection: 'Upgrade', upgrade: callStreamProtocol}, agent: false});
		this.#abortConnect = () => {
			request.destroy();
		};

		request.on('upgrade', (_, socket, head) => {
			this.#open(socket, head);
		});
		request.on('response', response => {
			response.resume();
			this.#fallBackToHttp();
		});
		request.on('error', error => {
			this.close(error.message);
		});
		request.end();
	}

	/** Sends a call; resolves to undefined if the peer does not support call streams. */
	async send(call: StreamCall): Promise<StreamAnswer | undefined> {
		return new Promise((resolve, reject) => {
			const number = ++this.#lastNumber;
			const cleanUp = () => {
				clearTimeout(timer);
				call.signal?.removeEventListener('abort', onAbort);
			};

			const onAbort = () => {
				this.#fail(number, 'aborted by the caller');
			};

			const timer = setTimeout(() => {
				afterPendingInput(() => {
					if (this.#pending.has(number)) {
						// A connection may stop delivering data without a reset, so it is closed as a whole.
						this.close(`no response within ${call.timeoutMs} ms`);
					}
				});
			}, call.timeoutMs);
			this.#pending.set(number, {
				call, resolve(answer) {
					cleanUp();
					resolve(answer);
				}, reject(error) {
					cleanUp();
					reject(error);
				},
			});
			call.signal?.addEventListener('abort', onAbort, {once: true});
			if (call.signal?.aborted) {
				onAbort();
			} else {
				this.#write(number, call);
			}
		});
	}

	/** Closes the connection and fails all calls in progress. */
	close(detail: string): void {
		if (this.isClosed) {
			return;
		}

		this.isClosed = true;
		this.#onClosed();
		for (const number of this.#pending.keys()) {
			this.#fail(number, detail);
		}

		this.#socket?.destroy();
		this.#abortConnect();
	}

	#open(socket: Socket, head: Buffer): void {
		if (this.isClosed) {
			socket.destroy();
			return;
		}

		this.#socket = socket;
		readLines(socket, head, line => {
			this.#handleLine(line);
		});
		socket.on('close', () => {
			this.close('the connection was closed');
		});
		for (const [number, {call}] of this.#pending) {
			this.#write(number, call);
		}
	}

	#write(number: number, {path, json}: StreamCall): void {
		if (this.#socket) {
			const line = formatLine(number, path, json);
			this.#countBytes(line.length, 0);
			this.#socket.write(line);
		}
	}

	#handleLine({number, pathOrStatus, json}: CallLine): void {
		this.#countBytes(0, json.length);
		const pending = this.#pending.get(number);
		if (!pending) {
			// The call was aborted before its response arrived.
			return;
		}

		this.#pending.delete(number);
		const {call: {address, step}, resolve, reject} = pending;
		const answer = async () => {
			// Handling a response may take long; yield first, so that other work on the thread gets a turn.
			await this.#turnScheduler.waitForTurn();
			try {
				resolve({status: Number(pathOrStatus), json: JSON.parse(json) as unknown});
			} catch (error) {
				reject(createError(ErrorCode.BadInput, {
					step, peer: address, detail: 'the response is not JSON', cause: error,
				}));
			}
		};

		void answer();
	}

	#fallBackToHttp(): void {
		const pendingCalls = [...this.#pending.values()];
		this.#pending.clear();
		this.close('the peer does not support call streams');
		for (const {resolve} of pendingCalls) {
			resolve(undefined);
		}
	}

	#fail(number: number, detail: string): void {
		const pending = this.#pending.get(number);
		if (pending) {
			this.#pending.delete(number);
			const {call: {step, address}, reject} = pending;
			reject(createError(this.#socket ? ErrorCode.PeerUnavailable : ErrorCode.PeerUnreached, {step, peer: address, detail}));
		}
	}
}

/** Creates the client; `http` is used for peers that do not support call streams. */
export const createStreamClient = (http: HttpClient, turnScheduler: TurnScheduler, countBytes: CountBytes = () => undefined): StreamClient => {
	const streams = new Map<string, PeerStream>();
	const getStream = ({address, step}: StreamCall): PeerStream => {
		let stream = streams.get(address);
		if (!stream) {
			const created = new PeerStream({address, step}, {
				turnScheduler,
				countBytes,
				onClosed() {
					if (streams.get(address) === created) {
						streams.delete(address);
					}
				},
			});
			stream = created;
			streams.set(address, stream);
		}

		return stream;
	};

	return {
		async call(call) {
			const answer = await getStream(call).send(call);
			if (answer) {
				return answer;
			}

			const {status, json} = await http.callJson({...call, method: 'POST'});
			return {status, json};
		},
		close() {
			for (const stream of streams.values()) {
				stream.close('the client was closed');
			}
		},
	};
};
