/**
Decides which request ids may be claimed: those of which the log still contains every earlier claim.
*/
import {type Settings} from '../core/settings-schema.ts';
import {RefusalReason} from '../types/requests.ts';
import {getRequestIdTimeMs} from '../utils/request-id.ts';

/** Range of the creation times of ids that may be claimed. */
export type IdWindow = {
	/** Ids created before it are refused. */
	oldestMs: number;
	/** Ids created after it are refused. */
	newestMs: number;
};

/** Gets the maximum age of an id: at most the retention of the log less the margin, so that no claim of it has expired. */
export const getIdLifetimeMs = ({claims, log}: Pick<Settings, 'claims' | 'log'>): number =>
	Math.max(0, Math.min(claims.idLifetimeMs, log.retentionMs - getMarginMs({claims, log})));

/** Gets the part of the retention that is not relied on: the configured margin, at most half of the retention. */
export const getMarginMs = ({claims, log}: Pick<Settings, 'claims' | 'log'>): number =>
	Math.min(claims.marginMs, log.retentionMs / 2);

/**
Returns why the id may not be claimed, or undefined if it may.
A request would run again if its id were still accepted after its claim has expired from the log. That may be so now for
an id that is too old, and later for an id from the future.
*/
export const checkIdAgainstWindow = (requestId: string, {oldestMs, newestMs}: IdWindow): RefusalReason | undefined => {
	const createdAtMs = getRequestIdTimeMs(requestId);
	if (createdAtMs === undefined || createdAtMs > newestMs) {
		return RefusalReason.BadRequestId;
	}

	return createdAtMs < oldestMs ? RefusalReason.RequestIdExpired : undefined;
};
