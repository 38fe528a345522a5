/**
All calls to one worker: orders with a deadline, lease renewals batched into one call for each period, and listings that report
ended tasks.
*/
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type Clock, type Timer} from '../types/clock.ts';
import {Metric, type Metrics} from '../types/metrics.ts';
import {
	TaskState, WorkerRefusal, type StartOrder, type AttemptRef, type TaskReport, type WorkerClient, type WorkerReply, type WorkerSnapshot,
} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';
import {getTaskRef, TaskPhase, type LiveTask} from './shard-task.ts';

const log = createLogger(LogNamespace.Jobs);
/** The period of a worker with nothing to renew is longer by this factor. */
const idlePeriodFactor = 10;

/** Durations that determine leases of tasks. */
export type LeaseTimes = {
	leaseMs: number;
	renewEveryMs: number;
	callTimeoutMs: number;
	clockErrorMs: number;
};

/** Options of `LeaseManager`. */
export type LeaseManagerOptions = {
	workerId: string;
	clock: Clock;
	random: Random;
	metrics: Metrics;
	times: LeaseTimes;
	getClient(): WorkerClient | undefined;
	/** Tells whether this entry may extend leases of the shard's tasks now. */
	mayRenew(shard: number): boolean;
	/** References without a task, which ask only whether the worker knows newer tokens; for `LeaseProof` while the log is unavailable. */
	getProbes(): AttemptRef[];
	/** The worker replied for one attempt. */
	onReply(task: LiveTask, attempt: number, reply: WorkerReply, report?: TaskReport): void;
	/** Every lease of the attempt has expired, and its end is not known. */
	onLeaseExpired(task: LiveTask): void;
	/** The worker knows a newer owner of the shard. */
	onStaleToken(shard: number, fencingToken: number): void;
	/** The worker sent its listing; `sentAtMs`: when it was requested; `sealedShard`: shard that the same call sealed. */
	onSnapshot(snapshot: WorkerSnapshot, sentAtMs: number, sealedShard?: number): void;
};

type Calibration = {
	incarnation: number;
	/** Lower bound of the worker's monotonic clock minus the local one; infinite if the worker did not send its clock. */
	offsetMs: number;
};

/** Makes all calls to one worker, and renews the leases of the tasks on it. */
export class LeaseManager {
	/** Tasks that may be running on the worker. */
	readonly tasks = new Set<LiveTask>();
	/** By shard: send time of the newest call that the worker answered without reporting a newer token. */
	readonly acceptedAtMs = new Map<number, number>();
	/** When the worker's current incarnation was first reported. */
	knownSinceMs = Number.POSITIVE_INFINITY;
	readonly #options: LeaseManagerOptions;
	#refsToForget: AttemptRef[] = [];
	#calibration?: Calibration;
	#calibrating?: Promise<unknown>;
	#isAnswering = true;
	#isSnapshotRequested = false;
	#wake?: () => void;

	constructor(options: LeaseManagerOptions) {
		this.#options = options;
	}

	get workerId(): string {
		return this.#options.workerId;
	}

	/** Incarnation that the worker last reported. */
	get incarnation(): number | undefined {
		return this.#calibration?.incarnation;
	}

	/** Tells whether the last call to the worker was answered. */
	get isAnswering(): boolean {
		return this.#isAnswering;
	}

	/** Tells whether orders carry a deadline, after which the worker refuses them. */
	get isDeadlineEnforced(): boolean {
		return Number.isFinite(this.#calibration?.offsetMs);
	}

	/** Latest moment at which a lease granted by an order or renewal sent now can end, by the local monotonic clock. */
	getLatestLeaseEndMs(): number {
		const {clock, times: {leaseMs, callTimeoutMs, clockErrorMs}} = this.#options;
		return clock.monotonicMs() + callTimeoutMs + leaseMs + clockErrorMs;
	}

	/** Reads the worker's incarnation and clock, unless they are known. */
	async ensureCalibrated(): Promise<void> {
		if (this.#calibration) {
			return;
		}

		// Concurrent callers share one call: otherwise the first starts on a worker would each make their own.
		this.#calibrating ??= this.list();
		try {
			await this.#calibrating;
		} finally {
			this.#calibrating = undefined;
		}
	}

	/** Orders a start, with a deadline counted from `asOfMs`. Throws if no answer comes: the task may be running. */
	async start(order: StartOrder, asOfMs: number): Promise<WorkerReply> {
		return this.#call(async client => client.start({...order, ...this.#getOrderDeadline(asOfMs)}));
	}

	/** Orders a stop. Throws if no answer comes: the task may be running. */
	async stop(task: LiveTask, isCheckpoint: boolean): Promise<WorkerReply> {
		return this.#call(async client => client.stop(getTaskRef(task), {isCheckpoint}));
	}

	/** Stops an attempt that no task of this entry refers to, and has the worker forget it. */
	async stopAndForget(ref: AttemptRef): Promise<void> {
		const reply = await this.#call(async client => client.stop(ref, {isCheckpoint: false}));
		if (reply.isAccepted) {
			this.forget(ref);
		}
	}

	/** Sets the share of its processors that a task may use. */
	async throttle(task: LiveTask, share: number): Promise<WorkerReply> {
		return this.#call(async client => client.throttle(getTaskRef(task), share));
	}

	/** Has the worker forget an ended attempt in the next cycle. */
	forget(ref: AttemptRef): void {
		this.#refsToForget.push(ref);
	}

	/** Has the worker refuse orders of earlier owners, and reads its listing. */
	async seal(shard: number, fencingToken: number): Promise<WorkerSnapshot> {
		const sentAtMs = this.#options.clock.monotonicMs();
		const snapshot = await this.#call(async client => client.seal(shard, fencingToken));
		this.acceptedAtMs.set(shard, sentAtMs);
		this.#handleSnapshot(snapshot, sentAtMs, shard);
		return snapshot;
	}

	/** Reads the worker's listing. */
	async list(): Promise<WorkerSnapshot> {
		const sentAtMs = this.#options.clock.monotonicMs();
		const snapshot = await this.#call(async client => client.list());
		this.#handleSnapshot(snapshot, sentAtMs);
		return snapshot;
	}

	/** Has the next cycle read the worker's listing. */
	requestSnapshot(): void {
		this.#isSnapshotRequested = true;
	}

	/** Starts the next cycle now. */
	wake(): void {
		this.#wake?.();
	}

	/** Runs cycles until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random, times} = this.#options;
		signal.addEventListener('abort', () => {
			this.wake();
		}, {once: true});
		while (!signal.aborted) {
			const aborter = new AbortController();
			this.#wake = () => {
				aborter.abort();
			};

			// Jitter avoids calls to all workers of the fleet at the same moment.
			const periodMs = this.#isIdle() ? times.renewEveryMs * idlePeriodFactor : times.renewEveryMs;
			await clock.sleep(periodMs * (0.75 + (random.next() / 2)), aborter.signal);
			if (!signal.aborted) {
				await this.runCycle();
			}
		}
	}

	/** Adds a task that may be running on the worker. */
	add(task: LiveTask): void {
		const isIdle = this.#isIdle();
		this.tasks.add(task);
		if (isIdle) {
			this.wake();
		}
	}

	/** Runs one cycle: lists the worker if needed, renews leases, has ended attempts forgotten, and reports expired leases. */
	async runCycle(): Promise<void> {
		try {
			await this.#resolveUnanswered();
			await this.#renew();
			await this.#sendForget();
		} catch (error) {
			log('Lease cycle of worker %s failed: %s', this.workerId, getMessage(error));
		}

		this.#reportExpiredLeases();
	}

	#isIdle(): boolean {
		return this.#isAnswering && this.tasks.size === 0 && this.#refsToForget.length === 0 && !this.#isSnapshotRequested && this.#options.getProbes().length === 0;
	}

	/** Lists the worker after an unanswered call, before leases are renewed: even an unanswered renewal may keep tasks running longer. */
	async #resolveUnanswered(): Promise<void> {
		if (this.#isAnswering && !this.#isSnapshotRequested && ![...this.tasks].some(task => task.isUnresolved)) {
			return;
		}

		this.#isSnapshotRequested = false;
		await this.list();
	}

	async #renew(): Promise<void> {
		const {clock, metrics, times, mayRenew, getProbes, onStaleToken} = this.#options;
		const tasks = [...this.tasks].filter(task => task.phase === TaskPhase.Running && mayRenew(task.job.shard));
		const sentAtMs = clock.monotonicMs();
		const deadline = this.#getOrderDeadline(sentAtMs);
		const probes = getProbes();
		const refs = [...tasks.map(task => getTaskRef(task)), ...probes].map(ref => ({...ref, ...deadline}));
		if (refs.length === 0) {
			return;
		}

		const attempts = tasks.map(({attempt}) => attempt);
		for (const task of tasks) {
			task.latestLeaseEndMs = this.getLatestLeaseEndMs();
		}

		metrics.count(Metric.LeaseRenewals);
		const replies = await this.#call(async client => client.renew(refs, times.leaseMs));
		for (const [index, ref] of refs.entries()) {
			const reply = replies[index];
			if (reply?.refusal === WorkerRefusal.StaleToken) {
				onStaleToken(ref.shard, ref.fencingToken);
			} else if (reply && reply.refusal !== WorkerRefusal.Expired) {
				this.acceptedAtMs.set(ref.shard, sentAtMs);
			}
		}

		await this.#handleReplies(tasks, attempts, replies);
	}

	async #handleReplies(tasks: LiveTask[], attempts: number[], replies: WorkerReply[]): Promise<void> {
		const isEnded = (reply?: WorkerReply) => reply?.isAccepted && reply.state !== undefined && reply.state !== TaskState.Running;
		// Replies to renewals carry no results; one listing reads the results of all ended tasks.
		const snapshot = replies.some(reply => isEnded(reply)) ? await this.list() : undefined;
		const reports = new Map(snapshot?.tasks.map(report => [report.taskId, report]));
		for (const [index, task] of tasks.entries()) {
			const reply = replies[index];
			if (!reply || reply.refusal === WorkerRefusal.StaleToken) {
				continue;
			}

			if (reply.refusal === WorkerRefusal.Expired) {
				// The renewal missed its deadline or reached a later incarnation; the listing of the next cycle shows which.
				this.#isSnapshotRequested = true;
				continue;
			}

			const report = reports.get(task.taskId);
			this.#options.onReply(task, attempts[index]!, reply, report?.attempt === attempts[index] ? report : undefined);
		}
	}

	async #sendForget(): Promise<void> {
		const refs = this.#refsToForget;
		if (refs.length === 0) {
			return;
		}

		this.#refsToForget = [];
		try {
			await this.#call(async client => client.forget(refs));
		} catch (error) {
			this.#refsToForget.push(...refs);
			throw error;
		}
	}

	#reportExpiredLeases(): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const task of this.tasks) {
			if (nowMs > task.latestLeaseEndMs) {
				this.#options.onLeaseExpired(task);
			}
		}
	}

	#handleSnapshot(snapshot: WorkerSnapshot, sentAtMs: number, sealedShard?: number): void {
		const {clock, onSnapshot} = this.#options;
		const nowMs = clock.monotonicMs();
		if (this.#calibration?.incarnation !== snapshot.incarnation) {
			this.knownSinceMs = nowMs;
		}

		// The local time is read after the answer came, so the offset is a lower bound: orders expire too early rather than too late.
		this.#calibration = {
			incarnation: snapshot.incarnation,
			offsetMs: snapshot.clockMs === undefined ? Number.POSITIVE_INFINITY : snapshot.clockMs - nowMs,
		};
		onSnapshot(snapshot, sentAtMs, sealedShard);
	}

	#getOrderDeadline(asOfMs: number): Pick<StartOrder, 'notAfterMs' | 'workerIncarnation'> {
		const {times} = this.#options;
		const {offsetMs, incarnation} = this.#calibration ?? {offsetMs: Number.POSITIVE_INFINITY};
		return {
			...(Number.isFinite(offsetMs) && {notAfterMs: asOfMs + offsetMs + times.callTimeoutMs}),
			...(incarnation !== undefined && {workerIncarnation: incarnation}),
		};
	}

	async #call<Reply>(send: (client: WorkerClient) => Promise<Reply>): Promise<Reply> {
		const {clock, times, workerId, getClient} = this.#options;
		const client = getClient();
		if (!client) {
			throw createError(ErrorCode.PeerUnavailable, {step: 'call worker', peer: workerId, detail: 'no address'});
		}

		let timer: Timer | undefined;
		const timeout = new Promise<never>((_, reject) => {
			timer = clock.setTimer(() => {
				reject(createError(ErrorCode.TimedOut, {step: 'call worker', peer: workerId}));
			}, times.callTimeoutMs);
		});
		try {
			const reply = await Promise.race([send(client), timeout]);
			this.#isAnswering = true;
			return reply;
		} catch (error) {
			this.#isAnswering = false;
			throw error;
		} finally {
			timer?.cancel();
		}
	}
}
