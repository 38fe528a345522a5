/**
Names of the services of a process, and what each offers to the others.
*/
import {type Service} from '../core/kernel.ts';
import {type Settings} from '../core/settings-schema.ts';
import {type MembershipService} from '../plugins/membership-service.ts';
import {type Sponsorship} from '../requests/sponsor-book.ts';
import {type JsonServer} from '../utils/http-server.ts';
import {type AnnouncementReply, type UpstreamAnnouncement, type WorkerAnnouncement} from './announcements.ts';
import {type Clock} from './clock.ts';
import {type ConfigResult, type ConfigSection, type ServiceOwner} from './config.ts';
import {type JobSpec, type JobStatus} from './jobs.ts';
import {type Metrics} from './metrics.ts';
import {type PlatformLog, type WorkerClient} from './platform.ts';
import {type Random} from './random.ts';
import {type RefusalReason} from './requests.ts';

/** Names by which services find each other. */
export enum ServiceName {
	Clock = 'clock',
	Random = 'random',
	Settings = 'settings',
	Identity = 'identity',
	Metrics = 'metrics',
	Log = 'log',
	Control = 'control',
	Config = 'config',
	Upstreams = 'upstreams',
	Workers = 'workers',
	Callers = 'callers',
	Jobs = 'jobs',
	Peers = 'peers',
	Slots = 'slots',
	Claims = 'claims',
	Moves = 'moves',
	Membership = 'membership',
}

/** What entries ask of each other. */
export enum PeerMethod {
	/** Presence and digests of what each side knows. */
	Hello = 'hello',
	/** Announcements that the other side does not know yet. */
	Announcements = 'announcements',
	/** Slot shares asked for, granted and given back. */
	Slots = 'slots',
	/** Configuration, from a peer that has more of it. */
	Config = 'config',
	/** Jobs passed to the owner of their shard. */
	Jobs = 'jobs',
	/** A guard's reports. */
	Guard = 'guard',
}

/** Who this process is. */
export type Identity = {
	processId: string;
	/** Grows with each start of the process. */
	incarnation: number;
	region: string;
	failureDomain: string;
};

/** Server for operators, upstreams and workers. */
export type ControlService = Service & Pick<JsonServer, 'route'> & {
	/** Address bound. */
	getAddress(): string;
	/** Adds a part to the answer of `/statusz`. */
	addStatus(name: string, getStatus: () => unknown): void;
	/** Adds a condition to `/readyz`. */
	addReadiness(name: string, isReady: () => boolean): void;
};

/** Configuration in force. */
export type ConfigService = Service & {
	isReady(): boolean;
	/** Offset of the last record folded. */
	getOffset(): number;
	getSection(name: string): ConfigSection | undefined;
	getSections(): Map<string, ConfigSection>;
	getHistory(): ConfigResult[];
	/** Region that owns the service, with the record that made it so. */
	getOwner(serviceName: string): ServiceOwner | undefined;
	/** Whether the end of the log was read within the last so many milliseconds. */
	isFresh(withinMs: number): boolean;
};

/** Upstreams that announced themselves. */
export type UpstreamRegistry = Service & {
	announce(announcement: UpstreamAnnouncement): AnnouncementReply;
	/** Takes an announcement that may be meant for another entry, and passes it on to its sponsor. */
	receive(announcement: UpstreamAnnouncement): Promise<AnnouncementReply>;
	/** Upstreams of the service that may get new requests. */
	getRoutable(serviceName: string): UpstreamAnnouncement[];
	list(): UpstreamAnnouncement[];
	get(upstreamId: string): UpstreamAnnouncement | undefined;
	/** This entry's right to grant the upstream's slots, while it may be believed. */
	getSponsorship(upstreamId: string): Sponsorship | undefined;
	/** Gives all sponsorships up; for a graceful shutdown. */
	resignSponsorships(): void;
};

/** Workers that announced themselves. */
export type WorkerRegistry = Service & {
	announce(announcement: WorkerAnnouncement): AnnouncementReply;
	list(): WorkerAnnouncement[];
	getClient(workerId: string): WorkerClient | undefined;
};

/** Server for callers. */
export type CallersService = Service & {
	getAddress(): string;
};

/** Jobs of this installation. */
export type JobsService = Service & {
	/** Resolves once the job is in the log. Throws `log-unavailable` when that is not known. */
	submit(spec: JobSpec): Promise<JobStatus>;
	getStatus(jobId: string): JobStatus | undefined;
	cancel(jobId: string): Promise<JobStatus>;
	list(): JobStatus[];
};

/** Another entry. */
export type Peer = {
	processId: string;
	incarnation: number;
	region: string;
	failureDomain: string;
	peerAddress: string;
	controlAddress: string;
	/** Heard of within its lease. */
	isAlive: boolean;
};

/** Answers a peer's call. */
export type PeerHandler = (body: unknown, peerId: string) => unknown;

/** Entries of the installation, and calls between them. */
export type PeersService = Service & {
	list(): Peer[];
	handle(method: PeerMethod, handler: PeerHandler): void;
	/** Calls a peer. Throws `peer-unavailable` without an answer; the call may then have been handled. */
	call(peerId: string, method: PeerMethod, body: unknown, timeoutMs?: number): Promise<unknown>;
};

/** One slot of an upstream, held for one request. */
export type SlotHold = {
	/** Gives the slot back; once. */
	release(): void;
};

/** Slots of upstreams that this entry may use. */
export type SlotsService = Service & {
	/** Takes a slot, or undefined when this entry's share has none free. `holdMs` bounds how long it may be held. */
	tryTake(upstreamId: string, holdMs: number): SlotHold | undefined;
	getFree(upstreamId: string): number;
	/** Connections to the upstream that this entry may keep open: the same part as its share of the slots. */
	getConnections(upstreamId: string): number;
	/** Requests that wait for a slot of the service: shares move to where the demand is. */
	setDemand(serviceName: string, waiting: number): void;
	/** Calls back when a slot may have become free. */
	onFree(callback: () => void): void;
};

/** What is known of a claimed request. */
export enum ClaimState {
	/** Claimed by an entry that may have dispatched it. */
	Claimed = 'claimed',
	/** Ran; its answer is kept when it is small. */
	Done = 'done',
	/** Given back by its claimant, never dispatched: may be claimed again. */
	NotRun = 'not-run',
	/** Dispatched, and its answer never came. */
	Unknown = 'unknown',
}

/** Status of a request id, as far as the log tells. */
export type ClaimStatus = {
	requestId: string;
	service: string;
	state: ClaimState;
	entryId: string;
	claimedAt: string;
	status?: number;
	/** Base64; only small bodies are kept. */
	body?: string;
	contentType?: string;
};

/** How a claimed request ended. */
export type ClaimEnd = Pick<ClaimStatus, 'state' | 'status' | 'body' | 'contentType'>;

/** Outcome of a try to claim. */
export type ClaimResult
	= | {isWon: true}
	/** Another claim came first. */
		| {isWon: false; claim: ClaimStatus}
	/** The log did not confirm in time; the claim was given up and must not be dispatched. */
		| {isWon: false; claim?: undefined};

/** At most one run for each request id. */
export type ClaimsService = Service & {
	/** Claims the id. Only after `isWon` may the request be dispatched, once, by this entry. */
	claim(requestId: string, serviceName: string, timeoutMs: number): Promise<ClaimResult>;
	/** Records the end of a claim that this entry won. */
	finish(requestId: string, end: ClaimEnd): void;
	/** Why the id may not be claimed, or undefined when it may. */
	judge(requestId: string): RefusalReason | undefined;
	/** Whether a claim that was won may still be dispatched; to be asked right before the first byte. */
	isDispatchable(requestId: string): boolean;
	lookup(requestId: string): ClaimStatus | undefined;
	/** Claims with no known end, oldest first. */
	listOpen(): ClaimStatus[];
};

/** On which side each service runs while it is moved between data centres. */
export type MovesService = Service & {
	/** Region whose upstreams get the service's new requests; undefined: any. */
	getRegion(serviceName: string): string | undefined;
	/** Whether non-idempotent requests may be dispatched now: not while a move settles. */
	isSettled(serviceName: string): boolean;
};

/** What each name stands for. */
export type ServiceMap = {
	[ServiceName.Clock]: Clock;
	[ServiceName.Random]: Random;
	[ServiceName.Settings]: Settings;
	[ServiceName.Identity]: Identity;
	[ServiceName.Metrics]: Metrics;
	[ServiceName.Log]: PlatformLog;
	[ServiceName.Control]: ControlService;
	[ServiceName.Config]: ConfigService;
	[ServiceName.Upstreams]: UpstreamRegistry;
	[ServiceName.Workers]: WorkerRegistry;
	[ServiceName.Callers]: CallersService;
	[ServiceName.Jobs]: JobsService;
	[ServiceName.Peers]: PeersService;
	[ServiceName.Slots]: SlotsService;
	[ServiceName.Claims]: ClaimsService;
	[ServiceName.Moves]: MovesService;
	[ServiceName.Membership]: MembershipService;
};
