/**
Records of the jobs stream. Each is a batch of entries: acceptances, cancellations, ends of tasks, and the entries that owners
write for fencing and retention. Starts of idempotent tasks are not recorded.
*/
import {z} from 'zod';
import {TaskClass, type JobSpec} from '../types/jobs.ts';
import {TaskState} from '../types/platform.ts';

/** Types of entries in a record of the jobs stream. */
export enum JobEntryType {
	Accept = 'accept',
	Cancel = 'cancel',
	End = 'end',
	/** A non-idempotent task is about to be started. If its end is never learned, its outcome is unknown, rather than "not run". */
	Dispatch = 'dispatch',
	/** Fences earlier owners of the shard: entries that they append after this one have no effect. */
	Seal = 'seal',
	/** State of a live job, republished before its older records expire from the log. */
	Snapshot = 'snapshot',
	Forget = 'forget',
}

const maxTasks = 100_000;

/** Shape of a job as submitted. */
export const jobSpecSchema: z.ZodType<JobSpec> = z.object({
	jobId: z.string().min(1).max(128),
	team: z.string().min(1).max(64),
	kind: z.string().min(1).max(64),
	taskClass: z.enum(TaskClass),
	priority: z.number().int().min(0).max(1000),
	taskCount: z.number().int().min(1).max(maxTasks),
	isGang: z.boolean(),
	isIdempotent: z.boolean(),
	resources: z.object({
		processors: z.number().positive(),
		memoryMb: z.number().nonnegative(),
		accelerators: z.number().int().nonnegative(),
	}),
	declaredRunTimeMs: z.number().positive(),
	service: z.string().max(64).optional(),
	input: z.unknown().optional(),
});

const index = z.number().int().nonnegative();
const attempt = z.number().int().nonnegative();
const shard = z.number().int().nonnegative();
const fencingToken = z.number().int().nonnegative();

const taskEndSchema = z.object({
	index,
	attempt,
	state: z.enum(TaskState),
	result: z.unknown().optional(),
	/** Why the task counts as ended although no worker confirmed it. */
	reason: z.string().optional(),
	evictions: z.number().int().nonnegative().optional(),
});
const dispatchSchema = z.object({
	index, attempt, workerId: z.string(), incarnation: z.number(),
});

const jobEntrySchema = z.discriminatedUnion('type', [
	z.object({type: z.literal(JobEntryType.Accept), shard, spec: jobSpecSchema}),
	z.object({type: z.literal(JobEntryType.Cancel), jobId: z.string()}),
	z.object({
		type: z.literal(JobEntryType.End), jobId: z.string(), fencingToken, end: taskEndSchema,
	}),
	z.object({
		type: z.literal(JobEntryType.Dispatch), jobId: z.string(), fencingToken, dispatch: dispatchSchema,
	}),
	z.object({type: z.literal(JobEntryType.Seal), shard, fencingToken}),
	z.object({
		type: z.literal(JobEntryType.Snapshot),
		shard,
		fencingToken,
		spec: jobSpecSchema,
		isCancelled: z.boolean(),
		ends: z.array(taskEndSchema),
		dispatches: z.array(dispatchSchema),
	}),
	z.object({type: z.literal(JobEntryType.Forget), jobId: z.string(), fencingToken}),
]);

/** Shape of a record of the jobs stream. */
export const jobRecordSchema = z.object({
	id: z.string(),
	/** Wall time of the writer at the append; the age of a job's newest publication is counted from it. */
	writtenAtMs: z.number(),
	entries: z.array(jobEntrySchema),
});

/** Final end of a task, with the attempt that ended it. */
export type TaskEnd = z.infer<typeof taskEndSchema>;

/** Attempt and worker of a non-idempotent task that was about to be started. */
export type Dispatch = z.infer<typeof dispatchSchema>;

/** One entry of a record. */
export type JobEntry = z.infer<typeof jobEntrySchema>;

/** A record of the jobs stream. */
export type JobRecord = z.infer<typeof jobRecordSchema>;
