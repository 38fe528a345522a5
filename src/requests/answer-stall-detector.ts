/**
Detects callers that do not read their answers, with one timer for all: a caller has stalled if no byte was sent to it within the time limit.
*/
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock} from '../types/clock.ts';
import {type StallWatch} from './answer.ts';
import {DeadlineHeap} from './deadline-heap.ts';

type UnreadAnswer = {
	response: ServerResponse;
	socket: Socket;
	sentBytes: number;
};

/** Watches answers that are not read, and reports those that have stalled. */
export class StallDetector implements StallWatch {
	readonly #clock: Clock;
	readonly #stallTimeoutMs: number;
	readonly #heap: DeadlineHeap<UnreadAnswer>;
	readonly #watched = new Set<ServerResponse>();

	constructor(clock: Clock, stallTimeoutMs: number, onStalled: (response: ServerResponse) => void) {
		this.#clock = clock;
		this.#stallTimeoutMs = stallTimeoutMs;
		this.#heap = new DeadlineHeap<UnreadAnswer>({
			clock,
			isWaiting: ({response}) => this.#watched.has(response),
			onDue: ({response, socket, sentBytes}) => {
				this.#watched.delete(response);
				if (socket.destroyed || socket.writableLength === 0) {
					return;
				}

				if (getSentBytes(socket) > sentBytes) {
					this.add(response);
				} else {
					onStalled(response);
				}
			},
		});
	}

	/** Starts to watch the answer, unless its connection has no unsent bytes. */
	add(response: ServerResponse): void {
		const {socket} = response;
		if (!socket || socket.writableLength === 0 || this.#watched.has(response)) {
			return;
		}

		this.#watched.add(response);
		this.#heap.add({response, socket, sentBytes: getSentBytes(socket)}, this.#clock.monotonicMs() + this.#stallTimeoutMs, this.#watched.size);
	}

	stop(): void {
		this.#heap.stop();
		this.#watched.clear();
	}
}

/** Number of bytes that have left the buffers of this process. */
const getSentBytes = (socket: Socket): number => socket.bytesWritten - socket.writableLength;
