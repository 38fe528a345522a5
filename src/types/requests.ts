/**
Callers' requests, and the answers that the program gives itself.
*/

/** Classes of requests: short checks have priority over long requests, which have a reserved share. */
export enum RequestClass {
	Check = 'check',
	Long = 'long',
}

/** What is known of a request that got no complete answer from an upstream. */
export enum Outcome {
	/** No byte of the request can have reached an upstream. */
	NotRun = 'not-run',
	/** The request may have run. */
	Unknown = 'unknown',
	/** The request ran and was answered; the answer is no longer available. */
	Done = 'done',
}

/** Why a request was refused or abandoned. Each reason has its own counter. */
export enum RefusalReason {
	UnknownService = 'unknown-service',
	NoUpstream = 'no-upstream',
	WrongRegion = 'wrong-side',
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
	/** The guard on the upstream's host has no slot or connection left. */
	GuardFull = 'guard-full',
	/** The guard on the upstream's host is stopping. */
	GuardDraining = 'guard-draining',
	AnswerNotKept = 'answer-not-kept',
}

/** Why a request was tried again. Each reason has its own counter. */
export enum RetryReason {
	ConnectFailed = 'connect-failed',
	GuardRefused = 'guard-refused',
	IdempotentFailed = 'idempotent-failed',
	IdempotentTimeout = 'idempotent-timeout',
	Hedge = 'hedge',
}

/** Headers of requests and answers, as agreed with callers and upstreams. */
export enum Header {
	/** Id of a non-idempotent request: a version 7 UUID, created by the caller and reused for its own retries. */
	RequestId = 'request-id',
	RequestClass = 'request-class',
	/** Milliseconds from arrival within which the caller can use the answer. */
	DeadlineMs = 'request-deadline-ms',
	CallerId = 'caller-id',
	/** On answers that the program gives itself: a value of `Outcome`. */
	Outcome = 'request-outcome',
	RefusalReason = 'refusal-reason',
	RetryAfter = 'retry-after',
	/** The value of `retry-after`, in milliseconds. */
	RetryAfterMs = 'retry-after-ms',
	/** Status of an answer that is no longer available. */
	Status = 'request-status',
	/** On an answer that was recorded for an earlier attempt with the same id. */
	Replayed = 'request-replayed',
	/** To upstreams: number of the attempt, from 1. */
	Attempt = 'request-attempt',
	/** Set by a sender that retries itself: the receiver must not retry. */
	NoRetry = 'no-retry',
	/** On every answer: the entry that served it. */
	Entry = 'served-by-entry',
}
