/**
Announcements of upstreams and workers.
*/
import {type Resources} from './platform.ts';

/** States that an upstream or worker announces. Within one incarnation, draining overrides alive, and gone overrides both. */
export enum HostState {
	Alive = 'alive',
	Draining = 'draining',
	Gone = 'gone',
}

/** Announcement of one upstream instance. */
export type UpstreamAnnouncement = {
	upstreamId: string;
	service: string;
	/** Increases with each start of the instance. */
	incarnation: number;
	/** Increases with each announcement of one incarnation. */
	sequence: number;
	state: HostState;
	/** `host:port` for requests. */
	address: string;
	region: string;
	failureDomain: string;
	slots: number;
	connections: number;
	/** A guard on the upstream's host admits requests; entries then need no slot leases. */
	isGuarded: boolean;
	/** `sponsorId` of the last reply, sent back; undefined for an upstream that does not send it back. */
	sponsorId?: string;
	/** `sponsorTerm` of the last reply, sent back. */
	sponsorTerm?: number;
	/** Sponsor before the present one, in this incarnation. */
	formerSponsorId?: string;
};

/** Reply to an announcement. */
export type AnnouncementReply = {
	isAccepted: boolean;
	reason?: string;
	/** The sponsor: the entry that grants this upstream's slots. To be sent back in the next announcement. */
	sponsorId?: string;
	sponsorTerm?: number;
	/** How long the upstream accepts no other sponsor after it received a reply with a new term. */
	sponsorLockMs?: number;
	/** The sponsor resigns; the upstream may accept another one at once. */
	isSponsorLeaving?: boolean;
	/** Time until the next announcement. */
	nextAfterMs: number;
};

/** Announcement of one worker. */
export type WorkerAnnouncement = {
	workerId: string;
	incarnation: number;
	sequence: number;
	state: HostState;
	address: string;
	region: string;
	failureDomain: string;
	rack: string;
	capacity: Resources;
};
