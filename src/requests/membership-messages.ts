/**
What entries tell each other of the hosts in their care.
*/
import {z} from 'zod';
import {HostState, type UpstreamAnnouncement, type WorkerAnnouncement} from '../types/announcements.ts';
import {createParser} from '../utils/parser.ts';

/** Announcement of any host. */
export type HostAnnouncement = UpstreamAnnouncement | WorkerAnnouncement;

/** Kinds of hosts; a prefix of their keys. */
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

/** Checks a request for news. */
export const parsePull = createParser('read pull', z.object({
	/** Sets that the asking entry has, how far, and how long ago it knew their owners to be alive. */
	known: z.array(ownerVersionSchema).max(1000),
	/** Hosts in the care of the asked entry that announced themselves to the asking one. */
	refreshed: z.array(z.object({id: z.string().max(160), incarnation: z.number(), leaseMs: z.number().nonnegative()})),
}));

/** Checks the answer to a request for news. */
export const parsePullAnswer = createParser('read pull answer', z.object({
	owners: z.array(ownerVersionSchema.extend({
		isFull: z.boolean(),
		changes: z.array(z.object({id: z.string().max(160), announcement: z.union([upstreamSchema, workerSchema]).optional()})),
	})).max(1000),
}));

/** A request for news. */
export type Pull = ReturnType<typeof parsePull>;
/** The answer to a request for news. */
export type PullAnswer = ReturnType<typeof parsePullAnswer>;
