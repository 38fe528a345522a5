/**
What upstreams and workers say of themselves.
*/
import {type Resources} from './platform.ts';

/** States that an upstream or worker announces. Within one incarnation, draining beats alive and gone beats both. */
export enum HostState {
	Alive = 'alive',
	Draining = 'draining',
	Gone = 'gone',
}

/** Announcement of one upstream instance. */
export type UpstreamAnnouncement = {
	upstreamId: string;
	service: string;
	/** Grows with each start of the instance. */
	incarnation: number;
	/** Grows with each announcement of one incarnation. */
	sequence: number;
	state: HostState;
	/** `host:port` where requests are taken. */
	address: string;
	region: string;
	failureDomain: string;
	slots: number;
	connections: number;
	/** A guard beside the upstream admits requests; entries then need no slot leases. */
	isGuarded: boolean;
	/** Echo of the sponsor from the last reply; empty for an upstream that does not echo. */
	sponsorId?: string;
	/** Echo of the sponsor's term from the last reply. */
	sponsorTerm?: number;
	/** Sponsor before the present one, in this incarnation. */
	formerSponsorId?: string;
};

/** Reply to an announcement. */
export type AnnouncementReply = {
	isAccepted: boolean;
	reason?: string;
	/** Entry that grants this upstream's slots; to be echoed. */
	sponsorId?: string;
	sponsorTerm?: number;
	/** How long the upstream takes no other sponsor after it got a reply with a new term. */
	sponsorLockMs?: number;
	/** The sponsor itself gives the sponsorship up; another may be taken at once. */
	isSponsorLeaving?: boolean;
	/** When to announce next. */
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
