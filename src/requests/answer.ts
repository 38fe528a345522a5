/**
One answer on its way to its caller: held until it is whole when it is small, streamed with backpressure when it is not.
*/
import {type IncomingHttpHeaders, type ServerResponse} from 'node:http';
import {getForwardedResponseHeaders} from './headers.ts';

/** A whole answer. Without a body it was streamed to the caller already. */
export type WholeAnswer = {
	status: number;
	headers: IncomingHttpHeaders;
	body?: Buffer;
};

/** Where an answer goes. */
export type AnswerTarget = {
	response: ServerResponse;
	/** Answers up to this size are held until they are whole. */
	bufferBytes: number;
	/** Headers that the entry adds. */
	ownHeaders: Record<string, string>;
	/** Callers that leave an answer unread; each is broken when it falls due. */
	stalls: StallWatch;
};

/** Breaks the connections of callers that do not read. */
export type StallWatch = {
	add(response: ServerResponse): void;
};

/** Takes the parts of one answer as they come. */
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

	/** Whether the caller has got a part of it. */
	get isStreaming(): boolean {
		return this.#isStreaming;
	}

	start(status: number, headers: IncomingHttpHeaders): void {
		this.#status = status;
		this.#headers = headers;
	}

	/** Takes a part; with `onDrain` called later, the sender is to pause until then. */
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

	/** The answer is whole. */
	end(): WholeAnswer {
		const {response} = this.#target;
		const answer = {status: this.#status, headers: this.#headers};
		if (!this.#isStreaming) {
			const [first] = this.#chunks;
			return {...answer, body: this.#chunks.length === 1 ? first! : Buffer.concat(this.#chunks)};
		}

		response.end();
		return answer;
	}

	/** The answer will never be whole: what the caller got of it is visibly broken. */
	break(): void {
		this.#chunks = [];
		// An ended response is another answer, already whole; its connection may carry the caller's next request.
		if (this.#isStreaming && !this.#target.response.writableEnded) {
			breakResponse(this.#target.response);
		}
	}

	#startStreaming(onDrain: () => void): boolean {
		const {response, ownHeaders} = this.#target;
		const chunks = this.#chunks;
		this.#chunks = [];
		this.#isStreaming = true;
		// Whoever closed the answer meanwhile, as the deadline, had the last word; the rest is drained unseen.
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

		// A caller that stops reading would hold memory, a slot and a connection for ever.
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
Ends an answer so that no caller can take what it got for the whole. A plain close would look like the end of a body
without a length to a caller of HTTP/1.0; a reset looks like what it is to all.
*/
export const breakResponse = (response: ServerResponse): void => {
	const {socket} = response;
	if (socket && !socket.destroyed) {
		socket.resetAndDestroy();
	}

	response.destroy();
};
