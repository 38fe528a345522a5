/**
Names and interfaces of the services within a process.
*/
import {type Service} from '../core/kernel.ts';
import {type Settings} from '../core/settings-schema.ts';
import {type MembershipService} from '../plugins/membership-service.ts';
import {type Sponsorship} from '../requests/sponsor-registry.ts';
import {type JsonServer} from '../utils/http-server.ts';
import {type AnnouncementReply, type UpstreamAnnouncement, type WorkerAnnouncement} from './announcements.ts';
import {type Clock} from './clock.ts';
import {type ConfigResult, type ConfigSection, type ServiceOwner} from './config.ts';
import {type JobSpec, type JobStatus} from './jobs.ts';
import {type Metrics} from './metrics.ts';
import {type PlatformLog, type WorkerClient} from './platform.ts';
import {type Random} from './random.ts';
import {type RefusalReason} from './requests.ts';

/** Names under which services are registered. */
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

/** Methods of calls between entries. */
export enum PeerMethod {
	/** Heartbeat: the presence of the sender and of some other entries. */
	Hello = 'hello',
	/** Pulls changes of the hosts that the peer monitors, and forwards announcements to the sponsor. */
	Announcements = 'announcements',
	/** Requests, grants and returns of slot shares. */
	Slots = 'slots',
	/** Configuration from a peer that has read more of it. */
	Config = 'config',
	/** Status of a job, from the owner of its shard. */
	Jobs = 'jobs',
	/** Reports of a guard. */
	Guard = 'guard',
}

/** Identity of this process. */
export type Identity = {
	processId: string;
	/** Increases with each start of the process. */
	incarnation: number;
	region: string;
	failureDomain: string;
};

/** Server for operators, upstreams and workers. */
export type ControlService = Service & Pick<JsonServer, 'route'> & {
	/** Gets the address that the server listens on. */
	getAddress(): string;
	/** Adds a part to the answer of `/statusz`. */
	addStatus(name: string, getStatus: () => unknown): void;
	/** Adds a condition to `/readyz`. */
	addReadiness(name: string, isReady: () => boolean): void;
};

/** Configuration in effect. */
export type ConfigService = Service & {
	isReady(): boolean;
	/** Offset of the last record folded. */
	getOffset(): number;
	getSection(name: string): ConfigSection | undefined;
	getSections(): Map<string, ConfigSection>;
	getHistory(): ConfigResult[];
	/** Gets the region that owns the service, with the offset of the record that made it the owner. */
	getOwner(serviceName: string): ServiceOwner | undefined;
	/** Whether the log was read to its end within the last `withinMs` milliseconds. */
	isFresh(withinMs: number): boolean;
};

/** Upstreams that announced themselves. */
export type UpstreamRegistry = Service & {
	announce(announcement: UpstreamAnnouncement): AnnouncementReply;
	/** Handles an announcement that may be meant for another entry; it is then forwarded to the upstream's sponsor. */
	receive(announcement: UpstreamAnnouncement): Promise<AnnouncementReply>;
	/** Gets the upstreams of the service that new requests may be routed to. */
	getRoutable(serviceName: string): UpstreamAnnouncement[];
	list(): UpstreamAnnouncement[];
	get(upstreamId: string): UpstreamAnnouncement | undefined;
	/** Gets this entry's right to grant the upstream's slots; undefined if it has none or the right is no longer certain. */
	getSponsorship(upstreamId: string): Sponsorship | undefined;
	/** Resigns all sponsorships, for a graceful shutdown. */
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
	/** Resolves once the job is in the log. Throws `log-unavailable` if it is not known whether it is. */
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
	/** Its presence was received, and its lease has not expired. */
	isAlive: boolean;
};

/** Handles a peer's call; what it returns is the answer. */
export type PeerHandler = (body: unknown, peerId: string) => unknown;

/** The other entries of the installation, and calls between them. */
export type PeersService = Service & {
	list(): Peer[];
	handle(method: PeerMethod, handler: PeerHandler): void;
	/** Calls a peer. Throws `peer-unavailable` if there is no answer; the peer may have handled the call. */
	call(peerId: string, method: PeerMethod, body: unknown, timeoutMs?: number): Promise<unknown>;
};

/** One slot of an upstream, held for one request. */
export type SlotHold = {
	/** Returns the slot; repeated calls have no effect. */
	release(): void;
};

/** Slots of upstreams that this entry may use. */
export type SlotsService = Service & {
	/** Acquires a slot for at most `holdMs`; undefined if no slot of this entry's share is free. */
	tryTake(upstreamId: string, holdMs: number): SlotHold | undefined;
	getFree(upstreamId: string): number;
	/** Gets the number of connections to the upstream that this entry may keep open, in proportion to its share of the slots. */
	getConnections(upstreamId: string): number;
	/** Sets how many requests wait for a slot of the service; shares are moved to entries with demand. */
	setDemand(serviceName: string, waiting: number): void;
	/** Registers a callback for when a slot may have become free. */
	onFree(callback: () => void): void;
};

/** What is known of a claimed request. */
export enum ClaimState {
	/** Claimed by an entry that may have dispatched it. */
	Claimed = 'claimed',
	/** The request ran; its answer is kept if it is small. */
	Done = 'done',
	/** Released by its claimant and never dispatched: may be claimed again. */
	NotRun = 'not-run',
	/** Dispatched, but no answer arrived. */
	Unknown = 'unknown',
}

/** Status of a request id according to the log. */
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

/** Outcome of an attempt to claim a request id. */
export type ClaimResult
	= | {isWon: true}
	/** Another claim came first. */
		| {isWon: false; claim: ClaimStatus}
	/** The log did not confirm in time; the claim was abandoned and the request must not be dispatched. */
		| {isWon: false; claim?: undefined};

/** Ensures that each request id is run at most once. */
export type ClaimsService = Service & {
	/** Claims the id. With `isWon`, this entry may dispatch the request once; otherwise it must not. */
	claim(requestId: string, serviceName: string, timeoutMs: number): Promise<ClaimResult>;
	/** Records the end of a claim that this entry won. */
	finish(requestId: string, end: ClaimEnd): void;
	/** Gets the reason why the id may not be claimed; undefined if it may. */
	checkRequestId(requestId: string): RefusalReason | undefined;
	/** Whether a request whose claim was won may still be dispatched; to be checked right before its first byte is sent. */
	isDispatchable(requestId: string): boolean;
	lookup(requestId: string): ClaimStatus | undefined;
	/** Lists claims with no known end, oldest first. */
	listOpen(): ClaimStatus[];
};

/** Region in which each service runs while it is moved between data centres. */
export type MovesService = Service & {
	/** Gets the region whose upstreams get the service's new requests; undefined: any. */
	getRegion(serviceName: string): string | undefined;
	/** Whether non-idempotent requests may be dispatched now; false after a move until the previous region has had time to learn of it. */
	isMoveSettled(serviceName: string): boolean;
};

/** Type of the service under each name. */
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
