/**
Accepts jobs and reports their status at any entry, and runs the jobs whose shards this entry owns.
*/
import {createAppendInterval} from '../core/append-interval.ts';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type Kernel} from '../core/kernel.ts';
import {jobSpecSchema} from '../jobs/job-records.ts';
import {JobScheduler} from '../jobs/job-scheduler.ts';
import {createPlacementEngine} from '../jobs/placement-engine.ts';
import {type JobStatus} from '../types/jobs.ts';
import {PeerMethod, ServiceName, type JobsService} from '../types/services.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';
import {createParser} from '../utils/parser.ts';
import {followQuotas} from './jobs-quotas.ts';

const log = createLogger(LogNamespace.Jobs);
const parseSpec = createParser('read job', jobSpecSchema);

/** Creates the jobs service. */
export const createJobsService = (kernel: Kernel): JobsService => {
	const {processId, incarnation} = kernel.get(ServiceName.Identity);
	const control = kernel.get(ServiceName.Control);
	const clock = kernel.get(ServiceName.Clock);
	const random = kernel.get(ServiceName.Random);
	const settings = kernel.get(ServiceName.Settings);
	const engine = createPlacementEngine({settings: settings.placement, random});
	const scheduler = new JobScheduler({
		log: kernel.get(ServiceName.Log),
		clock,
		random,
		metrics: kernel.get(ServiceName.Metrics),
		self: {processId, incarnation},
		settings,
		workers: kernel.get(ServiceName.Workers),
		engine,
		getLingerMs: createAppendInterval(kernel, kernel.get(ServiceName.Settings).jobs.gatherMs),
		getRegion: service => kernel.has(ServiceName.Moves) ? kernel.get(ServiceName.Moves).getRegion(service) : undefined,
	});
	const aborter = new AbortController();
	let running: Promise<unknown> | undefined;

	const getKnownStatus = (jobId: string): JobStatus => {
		const status = scheduler.getStatus(jobId);
		if (!status) {
			throw createError(ErrorCode.NotFound, {step: 'find job', peer: jobId});
		}

		return status;
	};

	/** Gets the status from the owner of the shard, which knows the tasks; if it is unreachable, the last known one, marked so. */
	const fetchStatus = async (jobId: string): Promise<JobStatus> => {
		const known = getKnownStatus(jobId);
		const ownerId = scheduler.getOwner(jobId);
		if (scheduler.isOwnerOf(jobId)) {
			return known;
		}

		if (ownerId !== undefined && kernel.has(ServiceName.Peers)) {
			try {
				return await kernel.get(ServiceName.Peers).call(ownerId, PeerMethod.Jobs, {jobId}) as JobStatus;
			} catch (error) {
				log('Owner of job %s not reached: %s', jobId, getMessage(error));
			}
		}

		return {...known, reason: known.reason ?? 'last known: the owner of the job was not reached'};
	};

	const service: JobsService = {
		submit: async spec => scheduler.submit(spec),
		getStatus: jobId => scheduler.getStatus(jobId),
		cancel: async jobId => scheduler.cancel(jobId),
		list: () => [...scheduler.fold.jobs.keys()].map(jobId => getKnownStatus(jobId)),
		async start() {
			if (kernel.has(ServiceName.Peers)) {
				kernel.get(ServiceName.Peers).handle(PeerMethod.Jobs, body => getKnownStatus((body as {jobId: string}).jobId));
			}

			running = Promise.all([
				scheduler.run(aborter.signal),
				followQuotas({
					engine,
					clock,
					config: kernel.get(ServiceName.Config),
					getOwnedShare: () => scheduler.ownership.owned.size / settings.jobs.shards,
				}, aborter.signal),
			]);
		},
		async stop() {
			await scheduler.leave();
			aborter.abort();
			await running;
		},
	};

	control.addReadiness('jobs', () => scheduler.isCaughtUp);
	control.addStatus('jobs', () => ({
		offset: scheduler.fold.offset,
		jobs: scheduler.fold.jobs.size,
		tasks: scheduler.tasks.size,
		queued: scheduler.queued,
		shards: Object.fromEntries(scheduler.ownership.owned),
		hasLease: scheduler.ownership.hasLease(),
	}));
	control.route('POST', '/v1/jobs', async ({body}) => ({status: 202, body: await service.submit(parseSpec(body))}));
	control.route('GET', '/v1/jobs', () => ({body: {jobs: service.list()}}));
	control.route('GET', '/v1/jobs/:id', async ({params}) => ({body: await fetchStatus(params.id!)}));
	control.route('POST', '/v1/jobs/:id/cancel', async ({params}) => ({body: await service.cancel(params.id!)}));
	return service;
};
