/**
Requests of callers, and the answers that are the program's own.
*/

/** Classes of requests: quick checks go before long requests, which keep a reserved share. */
export enum RequestClass {
	Check = 'check',
	Long = 'long',
}

/** What is known of a request that got no whole answer from an upstream. */
export enum Outcome {
	/** No byte of the request can have reached an upstream. */
	NotRun = 'not-run',
	/** The request may have run. */
	Unknown = 'unknown',
	/** The request ran and was answered; its answer is not at hand any more. */
	Done = 'done',
}

/** Why a request was refused or given up. One counter each. */
export enum RefusalReason {
	UnknownService = 'unknown-service',
	NoUpstream = 'no-upstream',
	WrongSide = 'wrong-side',
	QueueFull = 'queue-full',
	CallerShare = 'caller-share',
	DeadlineUnmeetable = 'deadline-unmeetable',
	DeadlinePassed = 'deadline-passed',
	ShuttingDown = 'shutting-down',
	BadRequest = 'bad-request',
	BodyTooLarge = 'body-too-large',
	SlowCaller = 'slow-caller',
	MissingRequestId = 'missing-request-id',
	BadRequestId = 'bad-request-id',
	RequestIdExpired = 'request-id-expired',
	RequestIdInUse = 'request-id-in-use',
	ClaimUnavailable = 'claim-unavailable',
	UpstreamFailed = 'upstream-failed',
	UpstreamTimeout = 'upstream-timeout',
	AnswerTruncated = 'answer-truncated',
	CallerGone = 'caller-gone',
	/** The guard beside the upstream has no slot or connection left. */
	GuardFull = 'guard-full',
	/** The guard beside the upstream is stopping. */
	GuardDraining = 'guard-draining',
	AnswerNotKept = 'answer-not-kept',
}

/** Why a request was tried again. One counter each. */
export enum RetryReason {
	ConnectFailed = 'connect-failed',
	GuardRefused = 'guard-refused',
	IdempotentFailed = 'idempotent-failed',
	IdempotentTimeout = 'idempotent-timeout',
	Hedge = 'hedge',
}

/** Headers of the callers' contract. */
export enum Header {
	/** Id of a non-idempotent request: a UUID of version 7, made by the caller, kept over its own retries. */
	RequestId = 'request-id',
	RequestClass = 'request-class',
	/** Milliseconds from arrival within which the answer is of use. */
	DeadlineMs = 'request-deadline-ms',
	CallerId = 'caller-id',
	/** On answers of the program itself: `not-run` or `unknown`. */
	Outcome = 'request-outcome',
	RefusalReason = 'refusal-reason',
	RetryAfter = 'retry-after',
	/** The same in milliseconds. */
	RetryAfterMs = 'retry-after-ms',
	/** Status of an answer that is not at hand any more. */
	Status = 'request-status',
	/** On an answer that was recorded at an earlier try of the same id. */
	Replayed = 'request-replayed',
	/** To upstreams: number of the try, from 1. */
	Attempt = 'request-attempt',
	/** Set by whoever retries itself: whoever receives it does not. */
	NoRetry = 'no-retry',
	/** On every answer: entry that served it. */
	Entry = 'served-by-entry',
}
