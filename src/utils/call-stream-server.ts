/**
Server of call streams: upgraded connections and the calls in progress on them.
*/
import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {
	callStreamProtocol, formatLine, readLines, type CallLine,
} from './call-stream.ts';

/** Runs a call; never rejects: an error becomes a response with its status. */
export type RunCall = (path: string, body: unknown, signal: AbortSignal) => Promise<{status: number; body: unknown}>;

/** Call streams of one server. */
export class CallStreams {
	readonly #runCall: RunCall;
	/** Number of calls in progress by connection. */
	readonly #callsBySocket = new Map<Socket, number>();
	#isClosing = false;

	constructor(runCall: RunCall) {
		this.#runCall = runCall;
	}

	/** Accepts a connection that requests an upgrade. */
	accept({headers}: IncomingMessage, socket: Socket, head: Buffer): void {
		if (headers.upgrade !== callStreamProtocol || this.#isClosing) {
			socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n');
			return;
		}

		const aborter = new AbortController();
		this.#callsBySocket.set(socket, 0);
		socket.once('close', () => {
			this.#callsBySocket.delete(socket);
			aborter.abort();
		});
		socket.write(`HTTP/1.1 101 Switching Protocols\r\nconnection: Upgrade\r\nupgrade: ${callStreamProtocol}\r\n\r\n`);
		readLines(socket, head, line => {
			void this.#handleCall(socket, line, aborter.signal);
		});
	}

	/** Closes each connection once no call is in progress on it. */
	close(): void {
		this.#isClosing = true;
		for (const [socket, calls] of this.#callsBySocket) {
			if (calls === 0) {
				socket.end();
			}
		}
	}

	async #handleCall(socket: Socket, {number, pathOrStatus, json}: CallLine, signal: AbortSignal): Promise<void> {
		this.#changeCount(socket, 1);
		let body: unknown;
		try {
			body = JSON.parse(json);
		} catch {
			// After a line that is not JSON, the boundaries of the following lines cannot be trusted.
			socket.destroy();
			return;
		}

		const answer = await this.#runCall(pathOrStatus, body, signal);
		if (!socket.destroyed) {
			socket.write(formatLine(number, answer.status, answer.body));
		}

		this.#changeCount(socket, -1);
	}

	#changeCount(socket: Socket, change: number): void {
		const calls = this.#callsBySocket.get(socket);
		if (calls === undefined) {
			return;
		}

		this.#callsBySocket.set(socket, calls + change);
		if (this.#isClosing && calls + change === 0) {
			socket.end();
		}
	}
}
