/**
Choice of an upstream for a request.
*/
import {type UpstreamAnnouncement} from './announcements.ts';
import {type RequestClass} from './requests.ts';

/** What a choice is made from. */
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
	/** A whole answer that is no server error. */
	isSuccess: boolean;
	/** Given up by this process for its own reasons, as when the caller left or its deadline came: no failure of the upstream. */
	isAbandoned?: boolean;
};

/** Chooses upstreams and learns from how requests end. */
export type Chooser = {
	choose(serviceName: string, candidates: readonly UpstreamAnnouncement[], context: ChoiceContext): UpstreamAnnouncement | undefined;
	noteStart(upstreamId: string, requestClass: RequestClass): void;
	noteEnd(upstreamId: string, end: RequestEnd): void;
};
