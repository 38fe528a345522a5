/**
Forwards one answer to its caller: a small answer is buffered until it is complete, a larger one is streamed with backpressure.
*/
import {type IncomingHttpHeaders, type ServerResponse} from 'node:http';
import {getForwardedResponseHeaders} from './headers.ts';

/** A complete answer. Without a body it has already been streamed to the caller. */
export type CompleteAnswer = {
	status: number;
	headers: IncomingHttpHeaders;
	body?: Buffer;
};

/** Where an answer is forwarded to, and how. */
export type AnswerTarget = {
	response: ServerResponse;
	/** Answers up to this size are buffered until they are complete. */
	bufferBytes: number;
	/** Headers that the entry adds to the answer. */
	ownHeaders: Record<string, string>;
	/** Watches answers that the caller does not read. */
	stalls: StallWatch;
};

/** Watches answers that are not read, and resets those that stay unread. */
export type StallWatch = {
	add(response: ServerResponse): void;
};

/** Collects or streams one answer as its chunks arrive. */
export class AnswerCollector {
	readonly #target: AnswerTarget;
	#chunks: Buffer[] = [];
	#size = 0;
	#status = 0;
	#headers: IncomingHttpHeaders = {};
	#isStreaming = false;

	constructor(target: AnswerTarget) {
		this.#target = target;
	}

	/** Whether streaming to the caller has started. */
	get isStreaming(): boolean {
		return this.#isStreaming;
	}

	start(status: number, headers: IncomingHttpHeaders): void {
		this.#status = status;
		this.#headers = headers;
	}

	/** Adds a chunk; if it returns false, the sender must pause until `onDrain` is called. */
	add(chunk: Buffer, onDrain: () => void): boolean {
		if (!this.#isStreaming) {
			this.#size += chunk.length;
			this.#chunks.push(chunk);
			if (this.#size <= this.#target.bufferBytes) {
				return true;
			}

			return this.#startStreaming(onDrain);
		}

		return this.#write(chunk, onDrain);
	}

	/** Completes the answer. */
	end(): CompleteAnswer {
		const {response} = this.#target;
		const answer = {status: this.#status, headers: this.#headers};
		if (!this.#isStreaming) {
			const [first] = this.#chunks;
			return {...answer, body: this.#chunks.length === 1 ? first! : Buffer.concat(this.#chunks)};
		}

		response.end();
		return answer;
	}

	/** Discards an incomplete answer; if part of it was streamed, resets the caller's connection. */
	abort(): void {
		this.#chunks = [];
		// A response that has ended carries another, complete answer; its connection may already serve the caller's next request.
		if (this.#isStreaming && !this.#target.response.writableEnded) {
			resetResponse(this.#target.response);
		}
	}

	#startStreaming(onDrain: () => void): boolean {
		const {response, ownHeaders} = this.#target;
		const chunks = this.#chunks;
		this.#chunks = [];
		this.#isStreaming = true;
		// The response was answered or closed meanwhile, for example at the deadline: the rest of this answer is discarded.
		if (response.headersSent || response.destroyed) {
			return true;
		}

		response.writeHead(this.#status, {...getForwardedResponseHeaders(this.#headers), ...ownHeaders});
		return this.#write(Buffer.concat(chunks), onDrain);
	}

	#write(chunk: Buffer, onDrain: () => void): boolean {
		const {response, stalls} = this.#target;
		if (response.destroyed || response.writableEnded || response.write(chunk)) {
			return true;
		}

		// Without the watch, a caller that stops reading would hold memory, a slot and a connection for ever.
		stalls.add(response);
		const resume = () => {
			response.off('drain', resume);
			response.off('close', resume);
			onDrain();
		};

		response.on('drain', resume);
		response.on('close', resume);
		return false;
	}
}

/**
Resets the connection of an incomplete answer, so that no caller takes it for a complete one. A plain close would look
to a caller of HTTP/1.0 like the end of a body without a length.
*/
export const resetResponse = (response: ServerResponse): void => {
	const {socket} = response;
	if (socket && !socket.destroyed) {
		socket.resetAndDestroy();
	}

	response.destroy();
};
