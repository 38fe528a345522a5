/**
Callers that do not read their answers: found by one timer, judged by whether any byte has left since.
*/
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock} from '../types/clock.ts';
import {type StallWatch} from './answer.ts';
import {DeadlineHeap} from './deadline-heap.ts';

type Unread = {
	response: ServerResponse;
	socket: Socket;
	sentBytes: number;
};

/** Watches over answers that are not read. */
export class StallBook implements StallWatch {
	readonly #clock: Clock;
	readonly #stalledMs: number;
	readonly #heap: DeadlineHeap<Unread>;
	readonly #watched = new Set<ServerResponse>();

	constructor(clock: Clock, stalledMs: number, onStalled: (response: ServerResponse) => void) {
		this.#clock = clock;
		this.#stalledMs = stalledMs;
		this.#heap = new DeadlineHeap<Unread>({
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

	/** Watches the answer, unless all of it that was written has left already. */
	add(response: ServerResponse): void {
		const {socket} = response;
		if (!socket || socket.writableLength === 0 || this.#watched.has(response)) {
			return;
		}

		this.#watched.add(response);
		this.#heap.add({response, socket, sentBytes: getSentBytes(socket)}, this.#clock.monotonicMs() + this.#stalledMs, this.#watched.size);
	}

	stop(): void {
		this.#heap.stop();
		this.#watched.clear();
	}
}

/** What has left the buffers of this process. */
const getSentBytes = (socket: Socket): number => socket.bytesWritten - socket.writableLength;
