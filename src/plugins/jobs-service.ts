/**
Takes jobs into the log, places their tasks on workers and follows them to their ends.
*/
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type Kernel} from '../core/kernel.ts';
import {followLog} from '../core/log-reader.ts';
import {
	JobState, type JobSpec, type JobStatus, type TaskStatus,
} from '../types/jobs.ts';
import {Metric} from '../types/metrics.ts';
import {Stream, TaskState, type TaskRef} from '../types/platform.ts';
import {ServiceName, type JobsService} from '../types/services.ts';
import {createLogger, Part} from '../utils/logger.ts';
import {
	jobRecordSchema, JobRecordType, jobSpecSchema, type JobRecord,
} from '../jobs/job-records.ts';
import {createParser} from '../utils/parser.ts';

const log = createLogger(Part.Jobs);
const roundMs = 200;
const leaseMs = 5000;
const parseSpec = createParser('read job', jobSpecSchema);
const parseRecord = createParser('read job record', jobRecordSchema);

type Job = {
	spec: JobSpec;
	offset: number;
	tasks: TaskStatus[];
	isCancelled: boolean;
};

/** Creates the jobs service. */
export const createJobsService = (kernel: Kernel): JobsService => {
	const platformLog = kernel.get(ServiceName.Log);
	const workers = kernel.get(ServiceName.Workers);
	const clock = kernel.get(ServiceName.Clock);
	const metrics = kernel.get(ServiceName.Metrics);
	const control = kernel.get(ServiceName.Control);
	const jobs = new Map<string, Job>();
	const aborter = new AbortController();
	const running: Array<Promise<void>> = [];

	const fold = (record: JobRecord, offset: number) => {
		const job = jobs.get(record.type === JobRecordType.Accept ? record.spec.jobId : record.jobId);
		switch (record.type) {
			case JobRecordType.Accept: {
				if (!job) {
					jobs.set(record.spec.jobId, {
						spec: record.spec, offset, isCancelled: false, tasks: createTasks(record.spec),
					});
				}

				return;
			}

			case JobRecordType.End: {
				const task = job?.tasks.find(({taskId}) => taskId === record.taskId);
				if (task) {
					task.state = record.state;
					task.result = record.result;
				}

				return;
			}

			case JobRecordType.Cancel: {
				if (job) {
					job.isCancelled = true;
				}
			}
		}
	};

	const place = async (job: Job, task: TaskStatus) => {
		for (const worker of workers.list()) {
			const reply = await workers.getClient(worker.workerId)!.start({
				taskId: task.taskId,
				attempt: task.attempt,
				kind: job.spec.kind,
				taskClass: job.spec.taskClass,
				resources: job.spec.resources,
				leaseMs,
				fencingToken: 0,
				shard: 0,
				input: job.spec.input,
			});
			if (reply.isAccepted) {
				task.state = TaskState.Running;
				task.workerId = worker.workerId;
				metrics.count(Metric.TasksStarted);
				return;
			}

			metrics.count(Metric.TaskRefusals, reply.refusal);
		}
	};

	const follow = async (job: Job, task: TaskStatus) => {
		const client = workers.getClient(task.workerId!);
		const ref: TaskRef = {
			taskId: task.taskId, attempt: task.attempt, shard: 0, fencingToken: 0,
		};
		const [reply] = await client!.renew([ref], leaseMs);
		if (reply?.state === undefined || reply.state === TaskState.Running) {
			return;
		}

		const snapshot = await client!.list();
		const report = snapshot.tasks.find(({taskId}) => taskId === task.taskId);
		await platformLog.append(Stream.Jobs, {
			type: JobRecordType.End, jobId: job.spec.jobId, taskId: task.taskId, attempt: task.attempt, state: reply.state, result: report?.result,
		} satisfies JobRecord);
		await client!.forget([ref]);
		metrics.count(Metric.TasksEnded, reply.state);
	};

	const step = async (job: Job, task: TaskStatus) => {
		try {
			if (task.state === undefined) {
				await place(job, task);
			} else if (task.state === TaskState.Running) {
				await follow(job, task);
			}
		} catch (error) {
			log('Task %s: %s', task.taskId, getMessage(error));
		}
	};

	const schedule = async () => {
		while (!aborter.signal.aborted) {
			for (const job of jobs.values()) {
				for (const task of job.tasks) {
					if (!job.isCancelled) {
						await step(job, task);
					}
				}
			}

			await clock.sleep(roundMs, aborter.signal);
		}
	};

	const getKnown = (jobId: string): Job => {
		const job = jobs.get(jobId);
		if (!job) {
			throw createError(ErrorCode.NotFound, {step: 'find job', peer: jobId});
		}

		return job;
	};

	const service: JobsService = {
		async submit(spec) {
			if (!jobs.has(spec.jobId)) {
				const offset = await platformLog.append(Stream.Jobs, {type: JobRecordType.Accept, spec} satisfies JobRecord);
				metrics.count(Metric.JobsAccepted);
				return {
					jobId: spec.jobId, state: JobState.Accepted, reason: `offset ${offset}`, tasks: createTasks(spec),
				};
			}

			return getJobStatus(getKnown(spec.jobId));
		},
		getStatus(jobId) {
			const job = jobs.get(jobId);
			return job && getJobStatus(job);
		},
		async cancel(jobId) {
			const job = getKnown(jobId);
			await platformLog.append(Stream.Jobs, {type: JobRecordType.Cancel, jobId} satisfies JobRecord);
			return getJobStatus(job);
		},
		list: () => [...jobs.values()].map(job => getJobStatus(job)),
		async start() {
			const following = followLog({
				onRecord(record) {
					fold(parseRecord(record.value), record.offset);
				},
				onBadRecord(record, error) {
					metrics.count(Metric.BadRecords, Stream.Jobs);
					log('Bad record at offset %d: %s', record.offset, getMessage(error));
				},
			}, {
				log: platformLog, stream: Stream.Jobs, clock, random: kernel.get(ServiceName.Random), fromOffset: 0, signal: aborter.signal,
			});
			running.push(following, schedule());
		},
		async stop() {
			aborter.abort();
			await Promise.all(running);
		},
	};

	control.route('POST', '/v1/jobs', async ({body}) => ({status: 202, body: await service.submit(parseSpec(body))}));
	control.route('GET', '/v1/jobs', () => ({body: {jobs: service.list()}}));
	control.route('GET', '/v1/jobs/:id', ({params}) => ({body: getJobStatus(getKnown(params.id!))}));
	control.route('POST', '/v1/jobs/:id/cancel', async ({params}) => ({body: await service.cancel(params.id!)}));
	return service;
};

const createTasks = (spec: JobSpec): TaskStatus[] => Array.from({length: spec.taskCount}, (_, index) => ({
	taskId: `${spec.jobId}/${index}`, attempt: 0, evictions: 0,
}));

const getJobStatus = ({spec, tasks, isCancelled}: Job): JobStatus => ({jobId: spec.jobId, state: getJobState(tasks, isCancelled), tasks});

const getJobState = (tasks: TaskStatus[], isCancelled: boolean): JobState => {
	if (isCancelled) {
		return JobState.Cancelled;
	}

	if (tasks.every(({state}) => state === TaskState.Succeeded)) {
		return JobState.Succeeded;
	}

	if (tasks.some(({state}) => state === TaskState.Failed)) {
		return JobState.Failed;
	}

	return tasks.some(({state}) => state !== undefined) ? JobState.Running : JobState.Accepted;
};
