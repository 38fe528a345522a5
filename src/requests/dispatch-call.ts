/**
One request of a caller on its way: what to send, how long there is, and whether anybody still waits for the answer.
*/
import {type AnswerTarget} from './answer.ts';
import {type RequestFacts} from './request-facts.ts';

/** What a call is created with. */
export type CallOptions = {
	facts: RequestFacts;
	headers: string[];
	body?: Buffer;
	/** On the monotonic clock. */
	arrivedAtMs: number;
	target: AnswerTarget;
	/** Asked right before the first byte is written. */
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
	/** Upstreams that were tried. */
	readonly tried = new Set<string>();
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

	/** Whether the caller is gone or has got its final answer. */
	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Nobody waits for the answer any more. */
	close(): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#onClose?.();
		}
	}

	/** Sets what a close does at the present stage of the request. */
	setOnClose(onClose: (() => void) | undefined): void {
		this.#onClose = onClose;
	}
}
