/**
Job scheduler of one entry: reads the jobs stream, owns shards of jobs, and runs their tasks on the workers.
*/
import {getMessage} from '../core/errors.ts';
import {followLog} from '../core/log-reader.ts';
import {type JobSpec, type JobStatus} from '../types/jobs.ts';
import {Metric} from '../types/metrics.ts';
import {
	Stream, type AttemptRef, type WorkerSnapshot,
} from '../types/platform.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';
import {createParser} from '../utils/parser.ts';
import {JobDecisions} from './job-decisions.ts';
import {JobFleet} from './job-fleet.ts';
import {JobFold, type FoldedJob} from './job-fold.ts';
import {CallLimiter} from './call-limiter.ts';
import {jobRecordSchema} from './job-records.ts';
import {getJobStatus, getMissingResources} from './job-status.ts';
import {type JobSchedulerOptions} from './job-scheduler-options.ts';
import {JobSubmissions} from './job-submissions.ts';
import {maintainJobs} from './job-maintenance.ts';
import {JobWriter} from './job-writer.ts';
import {LeaseManager} from './lease-manager.ts';
import {LeaseProof} from './lease-proof.ts';
import {OwnershipManager} from './ownership-manager.ts';
import {recoverShard, sealStream} from './recovery.ts';
import {ShardOwner} from './shard-owner.ts';
import {type LiveTask} from './shard-task.ts';

const log = createLogger(LogNamespace.Jobs);
const parseRecord = createParser('read job record', jobRecordSchema);
const fleetUpdateIntervalMs = 500;
const reconsiderIntervalMs = 5000;
const missingRetentionMs = 600_000;
const minMaintenanceIntervalMs = 1000;
const maxMaintenanceIntervalMs = 60_000;
const maintenanceRunsPerRetention = 100;

/** Schedules the jobs of the shards that this entry owns. */
export class JobScheduler {
	readonly fold = new JobFold();
	readonly ownership: OwnershipManager;
	readonly fleet: JobFleet;
	readonly tasks = new Map<string, LiveTask>();
	readonly #waitingTasks = new Set<LiveTask>();
	readonly #options: JobSchedulerOptions;
	readonly #writer: JobWriter;
	readonly #submissions: JobSubmissions;
	readonly #proof: LeaseProof;
	readonly #decisions: JobDecisions;
	readonly #limiter: CallLimiter;
	readonly #owners = new Map<number, ShardOwner>();
	readonly #sealedOwners = new Set<ShardOwner>();
	readonly #startedAtMs: number;
	#isCaughtUp = false;
	#isTruncated = false;

	constructor(options: JobSchedulerOptions) {
		const {clock, random, metrics, settings: {jobs, ownership, log: {timeoutMs}}} = options;
		this.#options = options;
		this.#startedAtMs = clock.monotonicMs();
		this.#limiter = new CallLimiter(jobs.maxCalls);
		this.#writer = new JobWriter({
			log: options.log, clock, random, metrics, getLingerMs: options.getLingerMs ?? (() => jobs.gatherMs), maxEntries: jobs.maxBatch, maxQueued: jobs.maxQueued,
		});
		this.#submissions = new JobSubmissions({
			clock, metrics, fold: this.fold, writer: this.#writer, shards: jobs.shards, submitTimeoutMs: jobs.submitTimeoutMs,
		});
		this.#decisions = new JobDecisions({
			clock,
			metrics,
			engine: options.engine,
			maxDecisions: jobs.maxDecisions,
			getTask: taskId => this.tasks.get(taskId),
			getOwner: shard => this.#owners.get(shard),
			getShard: jobId => this.fold.jobs.get(jobId)?.shard,
			getLeaseManager: workerId => this.fleet.getLeaseManager(workerId),
		});
		this.#proof = new LeaseProof({
			clock, validMs: ownership.leaseMs, getLeaseManagers: () => this.fleet.getLeaseManagers(), getLeaseEndMs: () => this.ownership.leaseEndMs,
		});
		this.ownership = new OwnershipManager({
			log: options.log,
			clock,
			random,
			metrics,
			self: options.self,
			...ownership,
			logTimeoutMs: timeoutMs,
			getShards: () => this.#getShards(),
			onOwned: (shard, fencingToken) => {
				this.#startOwner(shard, fencingToken);
			},
			onLost: shard => {
				this.#closeOwner(shard);
			},
			onRelease: async shard => this.#owners.get(shard)?.waitForStarts(),
		});
		this.fleet = new JobFleet({
			clock,
			engine: options.engine,
			missingRetentionMs,
			listWorkers: () => options.workers.list(),
			createLeaseManager: workerId => this.#createLeaseManager(workerId),
			isOwned: shard => this.#owners.has(shard),
			hasWaitingTasks: () => this.#waitingTasks.size > 0,
		});
	}

	/** True once the jobs stream has been read to its end. */
	get isCaughtUp(): boolean {
		return this.#isCaughtUp;
	}

	/** Number of entries waiting to be appended to the log. */
	get queued(): number {
		return this.#writer.queued;
	}

	/** Resolves once the job is in the log. Submitting the same job again has no effect; a different job under the same id is refused. */
	async submit(spec: JobSpec): Promise<JobStatus> {
		return this.#getStatus(await this.#submissions.submit(spec));
	}

	/** Resolves once the cancellation is in the log. */
	async cancel(jobId: string): Promise<JobStatus> {
		return this.#getStatus(await this.#submissions.cancel(jobId));
	}

	/** Status of a job as known to this entry; undefined for an unknown job. */
	getStatus(jobId: string): JobStatus | undefined {
		const job = this.fold.jobs.get(jobId);
		return job && this.#getStatus(job);
	}

	/** Entry that owns the job's shard and so knows the state of its tasks; undefined while the shard has no owner. */
	getOwner(jobId: string): string | undefined {
		const job = this.fold.jobs.get(jobId);
		return job && this.ownership.fold.getOwner(job.shard)?.processId;
	}

	/** Tells whether this entry owns the job's shard. */
	isOwnerOf(jobId: string): boolean {
		const job = this.fold.jobs.get(jobId);
		return job !== undefined && this.#owners.has(job.shard);
	}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {settings} = this.#options;
		const maintenanceIntervalMs = Math.min(maxMaintenanceIntervalMs, Math.max(minMaintenanceIntervalMs, settings.log.retentionMs / maintenanceRunsPerRetention));
		await Promise.all([
			this.#followStream(signal),
			this.#writer.run(signal),
			this.ownership.run(signal),
			this.#repeat(fleetUpdateIntervalMs, signal, () => {
				this.fleet.update();
			}),
			this.#repeat(reconsiderIntervalMs, signal, () => {
				this.#decisions.reconsider();
			}),
			this.#repeat(settings.jobs.roundMs, signal, () => {
				if (this.#sealedOwners.size > 0) {
					this.#decisions.decide();
				}
			}),
			this.#repeat(maintenanceIntervalMs, signal, async () => this.#maintainJobs()),
		]);
		// Running tasks stay on their workers, also if this entry never restarts: the next owner finds them there.
		for (const shard of this.#owners.keys()) {
			this.#closeOwner(shard);
		}

		await this.fleet.stop();
	}

	/** Releases all shards, so that other entries need not wait for this entry's lease to expire. */
	async leave(): Promise<void> {
		await this.ownership.releaseAll();
	}

	/** Tells whether this entry may act as owner of the shard: by its lease or, while the log is unavailable, by `LeaseProof`. */
	mayAct(shard: number): boolean {
		return this.ownership.owned.has(shard) && (this.ownership.hasLease() || this.#proof.has(shard));
	}

	async #repeat(everyMs: number, signal: AbortSignal, act: () => void | Promise<void>): Promise<void> {
		while (!signal.aborted) {
			try {
				await act();
			} catch (error) {
				log('Periodic action failed: %s', getMessage(error));
			}

			await this.#options.clock.sleep(everyMs, signal);
		}
	}

	async #followStream(signal: AbortSignal): Promise<void> {
		const {log: platformLog, clock, random, metrics} = this.#options;
		await followLog({
			onRecord: ({offset, value}) => {
				this.#applyRecord(offset, value);
			},
			onGap: () => {
				this.#onGap();
			},
			onPage: ({endOffset}) => {
				this.#isCaughtUp ||= this.fold.offset + 1 >= endOffset;
			},
			onBadRecord(record, error) {
				metrics.count(Metric.BadRecords, Stream.Jobs);
				log('Invalid jobs record at offset %d: %s', record.offset, getMessage(error));
			},
			onUnavailable(message) {
				metrics.count(Metric.LogErrors, Stream.Jobs);
				log('Cannot read the jobs stream: %s', message);
			},
		}, {
			log: platformLog, stream: Stream.Jobs, clock, random, fromOffset: 0, signal,
		});
	}

	#applyRecord(offset: number, value: unknown): void {
		for (const change of this.fold.apply(parseRecord(value), offset)) {
			const owner = this.#owners.get(change.shard);
			if (owner && this.#sealedOwners.has(owner)) {
				owner.onChange(change);
			}

			if (change.job) {
				this.#submissions.onChange(change.job.spec.jobId);
			}
		}
	}

	/** Records expired before they were read. Live jobs are republished in newer ones: the fold restarts empty, and owned shards are dropped. */
	#onGap(): void {
		this.#isTruncated = true;
		if (this.fold.offset < 0) {
			return;
		}

		for (const shard of this.#owners.keys()) {
			this.ownership.markSuperseded(shard);
		}

		this.fold.clear();
	}

	#startOwner(shard: number, fencingToken: number): void {
		const {clock, metrics, engine, settings: {jobs}} = this.#options;
		// Replies of workers to an earlier token of this entry prove nothing for the new token.
		this.#proof.clear(shard);
		const owner = new ShardOwner(shard, fencingToken, {
			clock,
			metrics,
			engine,
			writer: this.#writer,
			limiter: this.#limiter,
			tasks: this.tasks,
			waiting: this.#waitingTasks,
			times: jobs,
			maxFailures: jobs.maxFailures,
			getLeaseManager: workerId => this.fleet.getLeaseManager(workerId),
			mayStart: () => this.mayAct(shard) && !this.ownership.isReleasing(shard),
			getRegion: service => service === undefined ? undefined : this.#options.getRegion(service),
			onSuperseded: (supersededShard, token) => {
				this.#handleNewerOwner(supersededShard, token);
			},
		});
		this.#owners.set(shard, owner);
		void this.#recover(owner);
	}

	async #recover(owner: ShardOwner): Promise<void> {
		const {clock, random, metrics, settings: {jobs, ownership}} = this.#options;
		const {shard} = owner;
		if (!await sealStream(owner, {
			clock, fold: this.fold, writer: this.#writer, pollMs: jobs.gatherMs,
		})) {
			return;
		}

		// Every owner seals the stream before it starts any task: without an earlier seal nothing can be running.
		const isHeld = this.#isTruncated || this.fold.getPreviousToken(shard) >= 0;
		this.#sealedOwners.add(owner);
		for (const job of this.fold.getShardJobs(shard).values()) {
			owner.addJob(job, isHeld);
		}

		if (isHeld) {
			const waitMs = ownership.leaseMs + jobs.leaseMs + jobs.callTimeoutMs + jobs.clockErrorMs;
			await recoverShard(owner, {
				clock,
				random,
				metrics,
				limiter: this.#limiter,
				getLeaseManagers: () => this.fleet.getLeaseManagers(),
				isFleetKnown: () => clock.monotonicMs() - this.#startedAtMs >= waitMs,
				waitMs,
				retryMs: jobs.renewEveryMs,
			});
		}
	}

	#closeOwner(shard: number): void {
		const owner = this.#owners.get(shard);
		if (owner) {
			this.#owners.delete(shard);
			this.#sealedOwners.delete(owner);
			owner.close();
		}
	}

	#handleNewerOwner(shard: number, fencingToken: number): void {
		if (this.ownership.owned.get(shard) === fencingToken) {
			log('A worker reports a newer owner of shard %d.', shard);
			this.ownership.markSuperseded(shard);
		}
	}

	#createLeaseManager(workerId: string): LeaseManager {
		const {clock, random, metrics, workers, settings: {jobs}} = this.#options;
		const leaseManager: LeaseManager = new LeaseManager({
			workerId,
			clock,
			random,
			metrics,
			times: jobs,
			getClient: () => workers.getClient(workerId),
			mayRenew: shard => this.mayAct(shard),
			getProbes: () => this.#getProbes(),
			onReply: (task, attempt, reply, report) => {
				this.#owners.get(task.job.shard)?.runner.onReply(task, attempt, reply, report);
			},
			onLeaseExpired: task => {
				this.#owners.get(task.job.shard)?.runner.onLeaseExpired(task);
			},
			onStaleToken: (shard, fencingToken) => {
				this.#handleNewerOwner(shard, fencingToken);
			},
			onSnapshot: (snapshot, sentAtMs, sealedShard) => {
				this.#handleSnapshot(leaseManager, snapshot, sentAtMs, sealedShard);
			},
		});
		return leaseManager;
	}

	#handleSnapshot(leaseManager: LeaseManager, snapshot: WorkerSnapshot, sentAtMs: number, sealedShard?: number): void {
		const attempts = new Map<string, number>();
		for (const report of snapshot.tasks) {
			attempts.set(report.taskId, report.attempt);
			const owner = this.#owners.get(report.shard);
			if (owner && this.#sealedOwners.has(owner)) {
				owner.onReport(leaseManager, report, report.shard === sealedShard);
			}
		}

		for (const task of leaseManager.tasks) {
			if (attempts.get(task.taskId) !== task.attempt) {
				this.#owners.get(task.job.shard)?.runner.onAbsent(task, leaseManager, sentAtMs);
			}
		}

		this.fleet.applySnapshot(snapshot);
	}

	/** While the log cannot be read, each worker is asked whether it knows a newer owner of any shard owned here. */
	#getProbes(): AttemptRef[] {
		if (this.ownership.fold.isFresh(this.#options.clock.monotonicMs())) {
			return [];
		}

		return [...this.ownership.owned].map(([shard, fencingToken]) => ({
			taskId: '', attempt: 0, shard, fencingToken,
		}));
	}

	async #maintainJobs(): Promise<void> {
		const {clock, settings: {jobs, log: {retentionMs}}} = this.#options;
		for (const owner of this.#sealedOwners) {
			await maintainJobs(owner, clock.now().getTime(), {
				fold: this.fold, writer: this.#writer, retentionMs, keepFinishedMs: jobs.keepFinishedMs, maxEntries: jobs.maxBatch,
			});
		}
	}

	/** Shards of the current settings, and shards of earlier settings that still have jobs. */
	#getShards(): Set<number> {
		return new Set([...Array.from({length: this.#options.settings.jobs.shards}, (_, shard) => shard), ...this.fold.getShards()]);
	}

	#getStatus(job: FoldedJob): JobStatus {
		const owner = this.#owners.get(job.shard);
		const missing = getMissingResources(job.spec.resources, this.fleet.getCapacities());
		return getJobStatus(job, owner && (index => owner.getTaskStatus(job.spec.jobId, index)), missing);
	}
}
