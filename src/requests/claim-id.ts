/**
Which request ids may be claimed: those whose every earlier claim the log still keeps.
*/
import {type Settings} from '../core/settings-schema.ts';
import {RefusalReason} from '../types/requests.ts';
import {getRequestIdTimeMs} from '../utils/request-id.ts';

/** Times that bound the ids taken. */
export type IdWindow = {
	/** Ids made before it are refused. */
	oldestMs: number;
	/** Ids made after it are refused. */
	newestMs: number;
};

/** Gets how old an id may be: never so old that a claim of it may have lapsed, less the margin. */
export const getIdLifetimeMs = ({claims, log}: Pick<Settings, 'claims' | 'log'>): number =>
	Math.max(0, Math.min(claims.idLifetimeMs, log.retentionMs - getMarginMs({claims, log})));

/** Gets the part of the retention that is not relied on; a short retention keeps half of itself. */
export const getMarginMs = ({claims, log}: Pick<Settings, 'claims' | 'log'>): number =>
	Math.min(claims.marginMs, log.retentionMs / 2);

/**
Tells why the id may not be claimed, or undefined when it may.
An id that outlives its claim in the log would be run again: an old one at once, one from the future later on.
*/
export const judgeRequestId = (requestId: string, {oldestMs, newestMs}: IdWindow): RefusalReason | undefined => {
	const madeAtMs = getRequestIdTimeMs(requestId);
	if (madeAtMs === undefined || madeAtMs > newestMs) {
		return RefusalReason.BadRequestId;
	}

	return madeAtMs < oldestMs ? RefusalReason.RequestIdExpired : undefined;
};
