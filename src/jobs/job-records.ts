/**
Records of the jobs stream: acceptance, cancellation and ends. Starts are not recorded.
*/
import {z} from 'zod';
import {TaskClass, type JobSpec} from '../types/jobs.ts';
import {TaskState} from '../types/platform.ts';

/** Types of records in the jobs stream. */
export enum JobRecordType {
	Accept = 'accept',
	Cancel = 'cancel',
	End = 'end',
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

/** Shape of a record of the jobs stream. */
export const jobRecordSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal(JobRecordType.Accept), spec: jobSpecSchema}),
	z.object({type: z.literal(JobRecordType.Cancel), jobId: z.string()}),
	z.object({
		type: z.literal(JobRecordType.End),
		jobId: z.string(),
		taskId: z.string(),
		attempt: z.number().int(),
		state: z.enum(TaskState),
		result: z.unknown().optional(),
	}),
]);

/** A record of the jobs stream. */
export type JobRecord = z.infer<typeof jobRecordSchema>;
