/**
One attempt to send a request to one upstream. It records whether a byte of the request was written.
*/
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';
import {createError, ErrorCode} from '../core/errors.ts';
import {Header, Outcome, RefusalReason} from '../types/requests.ts';
import {type AnswerCollector, type CompleteAnswer} from './answer.ts';
import {isFramed} from './headers.ts';
import {AttemptFailure} from './retry.ts';

/** The request as it is sent. */
export type AttemptRequest = {
	method: string;
	path: string;
	headers: string[];
	body?: Buffer;
};

/** How an attempt ended. */
export type AttemptEnd = {
	isWritten: boolean;
	answer?: CompleteAnswer;
	failure?: AttemptFailure;
	/** Refusal reason reported by a guard. */
	reason?: RefusalReason;
	error?: Error;
};

/** Dependencies and request of an attempt. */
export type AttemptOptions = {
	dispatcher: Pick<Dispatcher, 'dispatch'>;
	upstreamId: string;
	request: AttemptRequest;
	collector: AnswerCollector;
	/** Called right before the first byte is written. */
	mayWrite(): boolean;
	onEnd(end: AttemptEnd): void;
};

const guardRefusalStatus = 503;

/** An attempt in progress. */
export class Attempt implements Dispatcher.DispatchHandler {
	readonly #options: AttemptOptions;
	#controller: Dispatcher.DispatchController | undefined;
	#isWritten = false;
	#isEnded = false;
	#abortFailure: AttemptFailure | undefined;
	#status = 0;
	#headers: IncomingHttpHeaders = {};

	constructor(options: AttemptOptions) {
		this.#options = options;
	}

	get isEnded(): boolean {
		return this.#isEnded;
	}

	get isWritten(): boolean {
		return this.#isWritten;
	}

	/** Sends the request. */
	start(): void {
		const {dispatcher, request} = this.#options;
		try {
			dispatcher.dispatch({
				method: request.method, path: request.path, headers: request.headers, body: request.body,
			}, this);
		} catch (error) {
			this.#fail(error as Error);
		}
	}

	/** Ends the attempt. Its connection is not reused, so that a late answer is not taken for the answer to another request. */
	abort(failure: AttemptFailure): void {
		if (this.#isEnded) {
			return;
		}

		this.#abortFailure = failure;
		const error = createError(ErrorCode.TimedOut, {step: 'wait for answer', peer: this.#options.upstreamId});
		if (this.#controller) {
			this.#controller.abort(error);
		}

		// If the request is not sent yet, `onRequestStart` stops it when the connection is made.
		this.#fail(error);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		// The client library may resend a request when its connection fails. That is prevented, because the request
		// that was sent first may have run.
		if (this.#isWritten || this.#isEnded || !this.#options.mayWrite()) {
			controller.abort(createError(ErrorCode.TimedOut, {step: 'start request', peer: this.#options.upstreamId}));
			return;
		}

		this.#controller = controller;
		this.#isWritten = true;
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
		if (status < 200 || this.#isEnded) {
			return;
		}

		this.#status = status;
		this.#headers = headers;
		this.#options.collector.start(status, headers);
		if (!isFramed(this.#options.request.method, status, headers)) {
			controller.abort(createError(ErrorCode.PeerUnavailable, {
				step: 'read answer', peer: this.#options.upstreamId, detail: 'the answer has neither content-length nor transfer-encoding',
			}));
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.#isEnded) {
			return;
		}

		const isFlowing = this.#options.collector.add(chunk, () => {
			controller.resume();
		});
		if (!isFlowing) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		if (this.#isEnded) {
			return;
		}

		const outcome = this.#options.collector.isStreaming ? undefined : this.#headers[Header.Outcome];
		if (outcome === Outcome.NotRun && this.#status === guardRefusalStatus) {
			this.#end({isWritten: false, failure: AttemptFailure.GuardRefused, reason: getGuardReason(this.#headers)});
		} else if (outcome === Outcome.Unknown) {
			// The answer is complete, but it was created by a guard that received none from its upstream.
			this.#fail(createError(ErrorCode.PeerUnavailable, {
				step: 'read answer', peer: this.#options.upstreamId, detail: 'the guard received no answer from its upstream',
			}));
		} else {
			this.#end({isWritten: true, answer: this.#options.collector.end()});
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		this.#fail(error);
	}

	#fail(error: Error): void {
		if (this.#isEnded) {
			return;
		}

		this.#options.collector.abort();
		const failure = this.#isWritten ? this.#abortFailure ?? AttemptFailure.Broken : this.#abortFailure ?? AttemptFailure.NotWritten;
		this.#end({isWritten: this.#isWritten, failure, error});
	}

	#end(end: AttemptEnd): void {
		this.#isEnded = true;
		this.#options.onEnd(end);
	}
}

const getGuardReason = (headers: IncomingHttpHeaders): RefusalReason =>
	Object.values(RefusalReason).find(reason => reason === headers[Header.RefusalReason]) ?? RefusalReason.UpstreamFailed;
