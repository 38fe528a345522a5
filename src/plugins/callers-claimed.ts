/**
Serves non-idempotent requests: claims the request id, dispatches the request at most once, and records how it ended.
*/
import {type IncomingHttpHeaders} from 'node:http';
import {type CompleteAnswer} from '../requests/answer.ts';
import {type Call} from '../requests/dispatch-call.ts';
import {type CallEnd, type Lane} from '../requests/dispatch-lane.ts';
import {type Clock} from '../types/clock.ts';
import {Header, Outcome, RefusalReason} from '../types/requests.ts';
import {
	ClaimState, type ClaimEnd, type ClaimsService, type ClaimStatus,
} from '../types/services.ts';
import {type CallerRefusal} from './callers-refusals.ts';

/** Dependencies of claimed requests. */
export type ClaimedRequestOptions = {
	claims: ClaimsService;
	clock: Clock;
	maxBodyBytes: number;
	/** Whether non-idempotent requests of the service may run in this region now. */
	isSettled(serviceName: string): boolean;
};

/** How a claimed request ended: with an answer or a refusal. */
export type ClaimedResult = {
	answer?: CompleteAnswer & {isReplayed?: boolean};
	refusal?: CallerRefusal;
};

/** Share of the time until the deadline that the claim may take; the rest is for the run. */
const claimShare = 0.5;
const inUseRetryAfterMs = 1000;
const unavailableRetryAfterMs = 1000;
const wrongRegionRetryAfterMs = 1000;
const maxContentTypeLength = 256;

/** Serves one request with an id. */
export const serveClaimedRequest = async (call: Call, lane: Lane, options: ClaimedRequestOptions): Promise<ClaimedResult> => {
	const {claims, clock, isSettled} = options;
	const {serviceName} = call.facts;
	const requestId = call.facts.requestId!;
	const reason = claims.checkRequestId(requestId);
	if (reason) {
		// The request may have run before its id expired.
		const outcome = reason === RefusalReason.RequestIdExpired ? Outcome.Unknown : Outcome.NotRun;
		return {refusal: {reason, outcome, retryAfterMs: 0}};
	}

	if (!isSettled(serviceName)) {
		return refuseNotRun(RefusalReason.WrongRegion, wrongRegionRetryAfterMs);
	}

	// Checked before the claim, because a refusal after it would cost two log records for each request under overload.
	const early = lane.findRefusal(call);
	if (early) {
		return refuseNotRun(early.reason, early.retryAfterMs);
	}

	lane.admission.reserve(call.facts.requestClass, 1);
	const claim = await claims.claim(requestId, serviceName, (call.deadlineAtMs - clock.monotonicMs()) * claimShare);
	lane.admission.reserve(call.facts.requestClass, -1);
	if (!claim.isWon) {
		return claim.claim ? answerDuplicate(claim.claim) : refuseNotRun(RefusalReason.ClaimUnavailable, unavailableRetryAfterMs);
	}

	const end = await runClaimed(call, lane);
	claims.finish(requestId, getClaimEnd(end, options.maxBodyBytes));
	return end;
};

const runClaimed = async (call: Call, lane: Lane): Promise<CallEnd> => {
	if (call.isClosed) {
		return {refusal: {reason: RefusalReason.CallerGone, outcome: Outcome.NotRun, retryAfterMs: 0}, isWritten: false};
	}

	return lane.run(call);
};

const refuseNotRun = (reason: RefusalReason, retryAfterMs: number): ClaimedResult => ({refusal: {reason, outcome: Outcome.NotRun, retryAfterMs}});

const answerDuplicate = (claim: ClaimStatus): ClaimedResult => {
	const {state, status, body, contentType} = claim;
	if (state !== ClaimState.Done || status === undefined) {
		return {refusal: {reason: RefusalReason.RequestIdInUse, outcome: Outcome.Unknown, retryAfterMs: inUseRetryAfterMs}};
	}

	if (body === undefined) {
		return {
			refusal: {
				reason: RefusalReason.AnswerNotKept, outcome: Outcome.Done, retryAfterMs: 0, headers: {[Header.Status]: String(status)},
			},
		};
	}

	const headers: IncomingHttpHeaders = contentType === undefined ? {} : {'content-type': contentType};
	return {
		answer: {
			status, headers, body: Buffer.from(body, 'base64'), isReplayed: true,
		},
	};
};

const getClaimEnd = ({answer, isWritten}: CallEnd, maxBodyBytes: number): ClaimEnd => {
	if (!isWritten) {
		return {state: ClaimState.NotRun};
	}

	if (!answer) {
		return {state: ClaimState.Unknown};
	}

	const {status, body, headers} = answer;
	const isKept = body !== undefined && body.length <= maxBodyBytes && headers['content-encoding'] === undefined;
	return {
		state: ClaimState.Done,
		status,
		body: isKept ? body.toString('base64') : undefined,
		contentType: headers['content-type']?.slice(0, maxContentTypeLength),
	};
};
