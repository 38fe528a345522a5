/**
Refusals that the entry itself sends to callers.
*/
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {resetResponse} from '../requests/answer.ts';
import {type Clock} from '../types/clock.ts';
import {Header, type Outcome, RefusalReason} from '../types/requests.ts';

/** A refusal to send to a caller. */
export type CallerRefusal = {
	reason: RefusalReason;
	outcome: Outcome;
	retryAfterMs: number;
	/** Additional headers. */
	headers?: Record<string, string>;
	/** Request whose body was not read to its end, so its connection cannot be reused. */
	unreadRequest?: IncomingMessage;
};

/** What the entry adds to its refusals. */
export type RefusalOptions = {
	ownHeaders: Record<string, string>;
	clock: Clock;
};

const statusByReason: Record<RefusalReason, number> = {
	[RefusalReason.UnknownService]: 404,
	[RefusalReason.NoUpstream]: 503,
	[RefusalReason.WrongRegion]: 503,
	[RefusalReason.QueueFull]: 503,
	[RefusalReason.CallerShare]: 429,
	[RefusalReason.DeadlineUnmeetable]: 503,
	[RefusalReason.DeadlinePassed]: 503,
	[RefusalReason.ShuttingDown]: 503,
	[RefusalReason.BadRequest]: 400,
	[RefusalReason.BodyTooLarge]: 413,
	[RefusalReason.SlowCaller]: 408,
	[RefusalReason.MissingRequestId]: 400,
	[RefusalReason.BadRequestId]: 400,
	[RefusalReason.RequestIdExpired]: 410,
	[RefusalReason.RequestIdInUse]: 409,
	[RefusalReason.ClaimUnavailable]: 503,
	[RefusalReason.UpstreamFailed]: 502,
	[RefusalReason.UpstreamTimeout]: 504,
	[RefusalReason.AnswerTruncated]: 502,
	[RefusalReason.CallerGone]: 499,
	[RefusalReason.AnswerNotKept]: 409,
	[RefusalReason.GuardFull]: 503,
	[RefusalReason.GuardDraining]: 503,
};

const msPerSecond = 1000;
const discardMs = 500;

/** Sends a refusal; if part of an answer was already sent, breaks the connection instead. */
export const sendRefusal = (response: ServerResponse, refusal: CallerRefusal, {ownHeaders, clock}: RefusalOptions): void => {
	if (response.destroyed || response.writableEnded) {
		return;
	}

	if (response.headersSent) {
		resetResponse(response);
		return;
	}

	const {reason, outcome, retryAfterMs} = refusal;
	const body = JSON.stringify({reason, outcome});
	const headers: Record<string, string> = {
		'content-type': 'application/json',
		'content-length': String(Buffer.byteLength(body)),
		[Header.Outcome]: outcome,
		[Header.RefusalReason]: reason,
		...refusal.headers,
		...ownHeaders,
		...(refusal.unreadRequest && {connection: 'close'}),
	};
	if (retryAfterMs > 0) {
		headers[Header.RetryAfter] = String(Math.ceil(retryAfterMs / msPerSecond));
		headers[Header.RetryAfterMs] = String(Math.ceil(retryAfterMs));
	}

	response.writeHead(statusByReason[reason], headers);
	if (refusal.unreadRequest) {
		response.write(body);
		closeUnread(refusal.unreadRequest, response, clock);
	} else {
		response.end(body);
	}
};

/**
Closes the connection of an answered request whose body is still arriving. Discards incoming bytes for up to `discardMs`
first: closing with unread bytes would reset the connection, and the caller might never see the answer.
*/
const closeUnread = (request: IncomingMessage, response: ServerResponse, clock: Clock): void => {
	const end = () => {
		timer.cancel();
		response.end();
	};

	const timer = clock.setTimer(end, discardMs);
	request.once('end', end);
	request.once('close', end);
	request.resume();
};
