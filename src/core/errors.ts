/**
Errors of the program: codes, messages, and the step and peer at which an error occurred.
*/
import VError from 'verror';

/** Codes of errors, as sent in responses. */
export enum ErrorCode {
	BadSettings = 'bad-settings',
	BadInput = 'bad-input',
	BodyTooLarge = 'body-too-large',
	BodyTooSlow = 'body-too-slow',
	ServiceUnknown = 'service-unknown',
	ServiceCycle = 'service-cycle',
	StartFailed = 'start-failed',
	StopTimedOut = 'stop-timed-out',
	LogUnavailable = 'log-unavailable',
	PeerUnavailable = 'peer-unavailable',
	PeerUnreached = 'peer-unreached',
	TimedOut = 'timed-out',
	Refused = 'refused',
	NotFound = 'not-found',
	Conflict = 'conflict',
	StoreRefused = 'store-refused',
	StoreUnanswered = 'store-unanswered',
	OffsetGone = 'offset-gone',
	Fenced = 'fenced',
	Stopped = 'stopped',
}

const messages: Record<ErrorCode, string> = {
	[ErrorCode.BadSettings]: 'the settings are not valid',
	[ErrorCode.BadInput]: 'the input is not valid',
	[ErrorCode.BodyTooLarge]: 'the body is larger than allowed',
	[ErrorCode.BodyTooSlow]: 'the body did not arrive within the time allowed',
	[ErrorCode.ServiceUnknown]: 'no such service is registered',
	[ErrorCode.ServiceCycle]: 'circular dependency between services',
	[ErrorCode.StartFailed]: 'a service did not start',
	[ErrorCode.StopTimedOut]: 'a service did not stop within the time allowed',
	[ErrorCode.LogUnavailable]: 'the platform log did not answer',
	[ErrorCode.PeerUnavailable]: 'the peer did not answer',
	[ErrorCode.PeerUnreached]: 'could not connect to the peer; nothing was sent',
	[ErrorCode.TimedOut]: 'the time allowed has passed',
	[ErrorCode.Refused]: 'the peer refused the call',
	[ErrorCode.NotFound]: 'not found',
	[ErrorCode.Conflict]: 'conflicts with an earlier change',
	[ErrorCode.StoreRefused]: 'the store refused the call; nothing was stored',
	[ErrorCode.StoreUnanswered]: 'the store did not answer; the call may have been carried out',
	[ErrorCode.OffsetGone]: 'the requested records are no longer retained',
	[ErrorCode.Fenced]: 'a newer owner has taken over',
	[ErrorCode.Stopped]: 'this process is stopping',
};

/** Step and peer at which an error occurred; `detail` says what was expected or found. */
export type ErrorContext = {
	step: string;
	peer?: string;
	detail?: string;
	cause?: unknown;
};

/** Creates an error whose message names its step and peer. */
export const createError = (code: ErrorCode, context: ErrorContext): VError => {
	const {step, peer, detail, cause} = context;
	const location = peer === undefined ? step : `${step} (${peer})`;
	// VError appends the cause's message; a detail that repeats it is left out.
	const isRepeated = cause instanceof Error && detail === cause.message;
	const description = detail === undefined || isRepeated ? messages[code] : `${messages[code]}: ${detail}`;
	return new VError({
		name: 'ChervilworksError',
		cause: cause instanceof Error ? cause : undefined,
		info: {code, step, peer},
	}, '%s', `${location}: ${description}`);
};

/** Gets the code of an error of this program, or undefined for any other error. */
export const getErrorCode = (error: unknown): ErrorCode | undefined =>
	error instanceof Error ? (VError.info(error) as {code?: ErrorCode}).code : undefined;

/** Returns whether the error is one of this program and has the code. */
export const isError = (error: unknown, code: ErrorCode): boolean => getErrorCode(error) === code;

/** Whether a call failed because nothing listened at the address. */
export const isConnectionRefused = (error: unknown): boolean =>
	error instanceof Error && (VError.cause(error) as {code?: unknown} | null)?.code === 'ECONNREFUSED';

/** Gets the message of any thrown value. */
export const getMessage = (error: unknown): string => error instanceof Error ? error.message : String(error);

/** Gets the oldest retained offset from the text of an `offset-gone` error; undefined for any other error. */
export const getOldestOffset = (error: unknown): number | undefined =>
	isError(error, ErrorCode.OffsetGone) ? Number(/(\d+)$/.exec(getMessage(error))?.[1] ?? 0) : undefined;
