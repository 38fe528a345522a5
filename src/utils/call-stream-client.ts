/**
Calls to peers over one open connection each. On a small host a call over a kept HTTP connection takes several times as much
processor time. A peer of a version that knows no streams is called over HTTP.
*/
import {request as sendRequest} from 'node:http';
import {type Socket} from 'node:net';
import {createError, ErrorCode} from '../core/errors.ts';
import {parseAddress} from './address.ts';
import {
	callStreamPath, callStreamProtocol, formatLine, readLines, type CallLine,
} from './call-stream.ts';
import {type HttpClient} from './http-calls.ts';
import {afterPendingInput, type Turns} from './turns.ts';

/** One call. */
export type StreamCall = {
	address: string;
	path: string;
	json: unknown;
	timeoutMs: number;
	signal?: AbortSignal;
	/** What is being done, for errors. */
	step: string;
};

/** An answer. */
export type StreamAnswer = {status: number; json: unknown};

/** Sends calls. Throws `peer-unavailable` without an answer: the call may have been carried out; `peer-unreached` if nothing was sent. */
export type StreamClient = {
	call(call: StreamCall): Promise<StreamAnswer>;
	close(): void;
};

type Pending = {
	call: StreamCall;
	/** Undefined: the peer knows no streams. */
	resolve: (answer: StreamAnswer | undefined) => void;
	reject: (error: Error) => void;
};

/** One connection with the calls that are out on it. */
class PeerStream {
	isOver = false;
	readonly #pending = new Map<number, Pending>();
	readonly #turns: Turns;
	readonly #onOver: () => void;
	readonly #abortConnect: () => void;
	#socket: Socket | undefined;
	#lastNumber = 0;

	constructor(address: string, turns: Turns, onOver: () => void) {
		this.#turns = turns;
		this.#onOver = onOver;
		const request = sendRequest({
			...parseAddress(address), path: callStreamPath, headers: {connection: 'Upgrade', upgrade: callStreamProtocol}, agent: false,
		});
		this.#abortConnect = () => {
			request.destroy();
		};

		request.on('upgrade', (_, socket, head) => {
			this.#open(socket, head);
		});
		request.on('response', response => {
			response.resume();
			this.#refuse();
		});
		request.on('error', error => {
			this.end(error.message);
		});
		request.end();
	}

	/** Sends a call; resolves to undefined if the peer knows no streams. */
	async send(call: StreamCall): Promise<StreamAnswer | undefined> {
		return new Promise((resolve, reject) => {
			const number = ++this.#lastNumber;
			const finish = () => {
				clearTimeout(timer);
				call.signal?.removeEventListener('abort', onAbort);
			};

			const onAbort = () => {
				this.#fail(number, 'given up');
			};

			const timer = setTimeout(() => {
				afterPendingInput(() => {
					if (this.#pending.has(number)) {
						// Connections may go silent for good with no reset.
						this.end(`no answer in ${call.timeoutMs} ms`);
					}
				});
			}, call.timeoutMs);
			this.#pending.set(number, {
				call, resolve(answer) {
					finish();
					resolve(answer);
				}, reject(error) {
					finish();
					reject(error);
				},
			});
			call.signal?.addEventListener('abort', onAbort, {once: true});
			if (call.signal?.aborted) {
				onAbort();
			} else {
				this.#socket?.write(formatLine(number, call.path, call.json));
			}
		});
	}

	/** Ends the connection and fails all calls that are out. */
	end(detail: string): void {
		if (this.isOver) {
			return;
		}

		this.isOver = true;
		this.#onOver();
		for (const number of this.#pending.keys()) {
			this.#fail(number, detail);
		}

		this.#socket?.destroy();
		this.#abortConnect();
	}

	#open(socket: Socket, head: Buffer): void {
		if (this.isOver) {
			socket.destroy();
			return;
		}

		this.#socket = socket;
		readLines(socket, head, line => {
			this.#take(line);
		});
		socket.on('close', () => {
			this.end('the connection was closed');
		});
		for (const [number, {call}] of this.#pending) {
			socket.write(formatLine(number, call.path, call.json));
		}
	}

	#take({number, word, json}: CallLine): void {
		const pending = this.#pending.get(number);
		if (!pending) {
			// Given up meanwhile.
			return;
		}

		this.#pending.delete(number);
		const {call: {address, step}, resolve, reject} = pending;
		const answer = async () => {
			// What follows from an answer may take a while, and callers wait for the thread as well.
			await this.#turns.next();
			try {
				resolve({status: Number(word), json: JSON.parse(json) as unknown});
			} catch (error) {
				reject(createError(ErrorCode.BadInput, {
					step, peer: address, detail: 'the answer is not JSON', cause: error,
				}));
			}
		};

		void answer();
	}

	#refuse(): void {
		const refused = [...this.#pending.values()];
		this.#pending.clear();
		this.end('the peer knows no streams');
		for (const {resolve} of refused) {
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

/** Creates the client; `http` serves peers that know no streams. */
export const createStreamClient = (http: HttpClient, turns: Turns): StreamClient => {
	const streams = new Map<string, PeerStream>();
	const getStream = (address: string): PeerStream => {
		let stream = streams.get(address);
		if (!stream) {
			const created = new PeerStream(address, turns, () => {
				if (streams.get(address) === created) {
					streams.delete(address);
				}
			});
			stream = created;
			streams.set(address, stream);
		}

		return stream;
	};

	return {
		async call(call) {
			const answer = await getStream(call.address).send(call);
			if (answer) {
				return answer;
			}

			const {status, json} = await http.callJson({...call, method: 'POST'});
			return {status, json};
		},
		close() {
			for (const stream of streams.values()) {
				stream.end('closed');
			}
		},
	};
};
