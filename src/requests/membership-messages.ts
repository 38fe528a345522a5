/**
Messages in which entries exchange the state of the hosts that they monitor.
*/
import {z} from 'zod';
import {HostState, type UpstreamAnnouncement, type WorkerAnnouncement} from '../types/announcements.ts';
import {createParser} from '../utils/parser.ts';

/** Announcement of any host. */
export type HostAnnouncement = UpstreamAnnouncement | WorkerAnnouncement;

/** Kinds of hosts; the prefix of their keys. */
export enum HostKind {
	Upstream = 'upstream',
	Worker = 'worker',
}

/** Gets the key of a host. */
export const getHostKey = (kind: HostKind, id: string): string => `${kind}/${id}`;

const upstreamSchema = z.object({
	upstreamId: z.string().min(1).max(128),
	service: z.string().min(1).max(64),
	incarnation: z.number().int().nonnegative(),
	sequence: z.number().int().nonnegative(),
	state: z.enum(HostState),
	address: z.string().max(64),
	region: z.string().max(64),
	failureDomain: z.string().max(64),
	slots: z.number().int().min(1).max(10_000),
	connections: z.number().int().min(1).max(100_000),
	isGuarded: z.boolean(),
	sponsorId: z.string().max(128).optional(),
	sponsorTerm: z.number().int().nonnegative().optional(),
	formerSponsorId: z.string().max(128).optional(),
});

const workerSchema = z.object({
	workerId: z.string().min(1).max(128),
	incarnation: z.number().int().nonnegative(),
	sequence: z.number().int().nonnegative(),
	state: z.enum(HostState),
	address: z.string().max(64),
	region: z.string().max(64),
	failureDomain: z.string().max(64),
	rack: z.string().max(64),
	capacity: z.object({
		processors: z.number().nonnegative(),
		memoryMb: z.number().nonnegative(),
		accelerators: z.number().int().nonnegative(),
	}),
});

/** Checks an announcement of an upstream. */
export const parseUpstreamAnnouncement = createParser('read announcement', upstreamSchema);
/** Checks an announcement of a worker. */
export const parseWorkerAnnouncement = createParser('read announcement', workerSchema);

const ownerVersionSchema = z.object({ownerId: z.string().max(128), version: z.number().int().nonnegative(), ageMs: z.number().nonnegative()});

/** Checks a request for the changes of sets. */
export const parsePull = createParser('read membership pull', z.object({
	/** Sets that the requester has: their versions, and how long ago their owners were known to be alive. */
	known: z.array(ownerVersionSchema).max(1000),
	/** Hosts monitored by the receiver that announced themselves to the requester. */
	refreshed: z.array(z.object({id: z.string().max(160), incarnation: z.number(), leaseMs: z.number().nonnegative()})),
}));

/** Checks the answer to a request for the changes of sets. */
export const parsePullAnswer = createParser('read membership pull answer', z.object({
	owners: z.array(ownerVersionSchema.extend({
		isFull: z.boolean(),
		changes: z.array(z.object({id: z.string().max(160), announcement: z.union([upstreamSchema, workerSchema]).optional()})),
	})).max(1000),
}));

/** A request for the changes of sets. */
export type Pull = ReturnType<typeof parsePull>;
/** The answer to a request for the changes of sets. */
export type PullAnswer = ReturnType<typeof parsePullAnswer>;
