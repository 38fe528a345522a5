/**
Choice of an upstream for a request.
*/
import {type UpstreamAnnouncement} from './announcements.ts';
import {type RequestClass} from './requests.ts';

/** Conditions for the choice of an upstream. */
export type ChoiceContext = {
	requestClass: RequestClass;
	/** Upstreams already tried for this request. */
	excluded: ReadonlySet<string>;
	/** Whether this entry has a slot free at the upstream. */
	hasSlot(upstreamId: string): boolean;
};

/** How one dispatched request ended. */
export type RequestEnd = {
	requestClass: RequestClass;
	latencyMs: number;
	/** The answer was complete and not a server error. */
	isSuccess: boolean;
	/** Abandoned by this process, for example because the caller left or its deadline passed: not a failure of the upstream. */
	isAbandoned?: boolean;
};

/** Chooses upstreams, based on how earlier requests ended. */
export type Chooser = {
	choose(serviceName: string, candidates: readonly UpstreamAnnouncement[], context: ChoiceContext): UpstreamAnnouncement | undefined;
	recordStart(upstreamId: string, requestClass: RequestClass): void;
	recordEnd(upstreamId: string, end: RequestEnd): void;
};
