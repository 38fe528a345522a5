/**
One request of a caller: what to send, its deadline, and whether the caller still waits for the answer.
*/
import {type AnswerTarget} from './answer.ts';
import {type RequestFacts} from './request-facts.ts';

/** Request, arrival time and callbacks of a call. */
export type CallOptions = {
	facts: RequestFacts;
	headers: string[];
	body?: Buffer;
	/** On the monotonic clock. */
	arrivedAtMs: number;
	target: AnswerTarget;
	/** Called right before the first byte is written. */
	mayWrite(): boolean;
};

/** One request of a caller. */
export class Call {
	readonly facts: RequestFacts;
	readonly headers: string[];
	readonly body: Buffer | undefined;
	readonly arrivedAtMs: number;
	readonly deadlineAtMs: number;
	readonly target: AnswerTarget;
	/** Ids of the upstreams to which the request was dispatched. */
	readonly triedUpstreamIds = new Set<string>();
	readonly mayWrite: () => boolean;
	#isClosed = false;
	#onClose: (() => void) | undefined;

	constructor(options: CallOptions) {
		const {facts, headers, body, arrivedAtMs, target, mayWrite} = options;
		this.facts = facts;
		this.headers = headers;
		this.body = body;
		this.arrivedAtMs = arrivedAtMs;
		this.deadlineAtMs = arrivedAtMs + facts.deadlineMs;
		this.target = target;
		this.mayWrite = mayWrite;
	}

	/** Whether the caller has disconnected or received its final answer. */
	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Marks the call as closed: the caller no longer waits for the answer. */
	close(): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#onClose?.();
		}
	}

	/** Sets what `close` does at the current stage of the request; undefined for nothing. */
	setOnClose(onClose: (() => void) | undefined): void {
		this.#onClose = onClose;
	}
}
