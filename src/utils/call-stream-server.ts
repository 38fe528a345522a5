/**
The server's end of call streams: connections that were upgraded, and the calls in progress on them.
*/
import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {
	callStreamProtocol, formatLine, readLines, type CallLine,
} from './call-stream.ts';

/** Runs a call; errors are answers. */
export type RunCall = (path: string, body: unknown, signal: AbortSignal) => Promise<{status: number; body: unknown}>;

/** Streams of one server. */
export class CallStreams {
	readonly #run: RunCall;
	/** Calls in progress by connection. */
	readonly #open = new Map<Socket, number>();
	#isClosing = false;

	constructor(run: RunCall) {
		this.#run = run;
	}

	/** Takes a connection that asks for an upgrade. */
	accept({headers}: IncomingMessage, socket: Socket, head: Buffer): void {
		if (headers.upgrade !== callStreamProtocol || this.#isClosing) {
			socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n');
			return;
		}

		const aborter = new AbortController();
		this.#open.set(socket, 0);
		socket.once('close', () => {
			this.#open.delete(socket);
			aborter.abort();
		});
		socket.write(`HTTP/1.1 101 Switching Protocols\r\nconnection: Upgrade\r\nupgrade: ${callStreamProtocol}\r\n\r\n`);
		readLines(socket, head, line => {
			void this.#answer(socket, line, aborter.signal);
		});
	}

	/** Ends each connection once nothing is in progress on it. */
	close(): void {
		this.#isClosing = true;
		for (const [socket, calls] of this.#open) {
			if (calls === 0) {
				socket.end();
			}
		}
	}

	async #answer(socket: Socket, {number, word, json}: CallLine, signal: AbortSignal): Promise<void> {
		this.#count(socket, 1);
		let body: unknown;
		try {
			body = JSON.parse(json);
		} catch {
			// What is no JSON may be out of step with what follows.
			socket.destroy();
			return;
		}

		const answer = await this.#run(word, body, signal);
		if (!socket.destroyed) {
			socket.write(formatLine(number, answer.status, answer.body));
		}

		this.#count(socket, -1);
	}

	#count(socket: Socket, change: number): void {
		const calls = this.#open.get(socket);
		if (calls === undefined) {
			return;
		}

		this.#open.set(socket, calls + change);
		if (this.#isClosing && calls + change === 0) {
			socket.end();
		}
	}
}
