/**
Everything said to one worker: orders that expire, lease renewals in one message a period, and the learning of ends.
*/
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type Clock, type Timer} from '../types/clock.ts';
import {Metric, type Metrics} from '../types/metrics.ts';
import {
	TaskState, WorkerRefusal, type StartOrder, type TaskRef, type TaskReport, type WorkerClient, type WorkerReply, type WorkerSnapshot,
} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {createLogger, Part} from '../utils/logger.ts';
import {getTaskRef, TaskPhase, type LiveTask} from './shard-task.ts';

const log = createLogger(Part.Jobs);
/** A worker with nothing to renew is looked at so many times less often. */
const idlePeriodFactor = 10;

/** Times that leases need. */
export type LeaseTimes = {
	leaseMs: number;
	renewEveryMs: number;
	callTimeoutMs: number;
	clockErrorMs: number;
};

/** What a leaseManager needs. */
export type LeaseManagerOptions = {
	workerId: string;
	clock: Clock;
	random: Random;
	metrics: Metrics;
	times: LeaseTimes;
	getClient(): WorkerClient | undefined;
	/** Tells whether this entry may keep tasks of the shard running now. */
	mayRenew(shard: number): boolean;
	/** Refs that ask only whether the worker knows newer tokens; for the proof of ownership while the log is away. */
	getProbes(): TaskRef[];
	/** The worker has answered for one attempt. */
	onReply(task: LiveTask, attempt: number, reply: WorkerReply, report?: TaskReport): void;
	/** No lease of the attempt can be running any more, and no end was learned. */
	onLeaseExpired(task: LiveTask): void;
	/** The worker knows a newer owner of the shard. */
	onStaleToken(shard: number, fencingToken: number): void;
	/** All that the worker has, when the question was sent, and which shard it sealed in doing so. */
	onSnapshot(snapshot: WorkerSnapshot, sentAtMs: number, sealedShard?: number): void;
};

type Calibration = {
	incarnation: number;
	/** Lower bound of the worker's clock less ours. */
	offsetMs: number;
};

/** Speaks to one worker; one task for each. */
export class LeaseManager {
	/** Tasks that may run at the worker. */
	readonly tasks = new Set<LiveTask>();
	/** When the last message was sent that the worker answered without naming a newer token, by shard. */
	readonly acceptedAtMs = new Map<number, number>();
	/** Since when the worker's present incarnation is known. */
	knownSinceMs = Number.POSITIVE_INFINITY;
	readonly #options: LeaseManagerOptions;
	#refsToForget: TaskRef[] = [];
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

	/** Incarnation of the worker as it last told. */
	get incarnation(): number | undefined {
		return this.#calibration?.incarnation;
	}

	/** Tells whether the last message to the worker was answered. */
	get isAnswering(): boolean {
		return this.#isAnswering;
	}

	/** Tells whether the worker refuses orders that come late. */
	get isDeadlineEnforced(): boolean {
		return Number.isFinite(this.#calibration?.offsetMs);
	}

	/** Until when an order or renewal sent now may keep a task running. */
	getLatestLeaseEndMs(): number {
		const {clock, times: {leaseMs, callTimeoutMs, clockErrorMs}} = this.#options;
		return clock.monotonicMs() + callTimeoutMs + leaseMs + clockErrorMs;
	}

	/** Learns the worker's incarnation and clock, unless they are known. */
	async ensureCalibrated(): Promise<void> {
		if (this.#calibration) {
			return;
		}

		// Shared: the first wave of starts at a worker would otherwise ask once for each task.
		this.#calibrating ??= this.list();
		try {
			await this.#calibrating;
		} finally {
			this.#calibrating = undefined;
		}
	}

	/** Orders a start as of the moment given. Throws without an answer: the task may run. */
	async start(order: StartOrder, asOfMs: number): Promise<WorkerReply> {
		return this.#call(async client => client.start({...order, ...this.#getOrderDeadline(asOfMs)}));
	}

	/** Orders a stop. Throws without an answer: the task may run. */
	async stop(task: LiveTask, isCheckpoint: boolean): Promise<WorkerReply> {
		return this.#call(async client => client.stop(getTaskRef(task), {isCheckpoint}));
	}

	/** Stops an attempt that no task of ours stands for, and drops it. */
	async stopAndForget(ref: TaskRef): Promise<void> {
		const reply = await this.#call(async client => client.stop(ref, {isCheckpoint: false}));
		if (reply.isAccepted) {
			this.forget(ref);
		}
	}

	/** Sets the share of processors of a task. */
	async throttle(task: LiveTask, share: number): Promise<WorkerReply> {
		return this.#call(async client => client.throttle(getTaskRef(task), share));
	}

	/** Has an ended attempt dropped with the next message. */
	forget(ref: TaskRef): void {
		this.#refsToForget.push(ref);
	}

	/** Refuses older owners at the worker and learns what it has. */
	async seal(shard: number, fencingToken: number): Promise<WorkerSnapshot> {
		const sentAtMs = this.#options.clock.monotonicMs();
		const snapshot = await this.#call(async client => client.seal(shard, fencingToken));
		this.acceptedAtMs.set(shard, sentAtMs);
		this.#handleSnapshot(snapshot, sentAtMs, shard);
		return snapshot;
	}

	/** Learns what the worker has. */
	async list(): Promise<WorkerSnapshot> {
		const sentAtMs = this.#options.clock.monotonicMs();
		const snapshot = await this.#call(async client => client.list());
		this.#handleSnapshot(snapshot, sentAtMs);
		return snapshot;
	}

	/** Has the worker listed in the next round. */
	requestSnapshot(): void {
		this.#isSnapshotRequested = true;
	}

	/** Has the next round begin now. */
	wake(): void {
		this.#wake?.();
	}

	/** Renews, learns ends and drops what has ended, until the signal aborts. */
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

			// Jitter: the workers of a fleet are not all spoken to in the same instant.
			const periodMs = this.#isIdle() ? times.renewEveryMs * idlePeriodFactor : times.renewEveryMs;
			await clock.sleep(periodMs * (0.75 + (random.next() / 2)), aborter.signal);
			if (!signal.aborted) {
				await this.runCycle();
			}
		}
	}

	/** Counts the task as one that may run here. */
	add(task: LiveTask): void {
		const isIdle = this.#isIdle();
		this.tasks.add(task);
		if (isIdle) {
			this.wake();
		}
	}

	/** One round: resolves what is unresolved, renews, forgets. */
	async runCycle(): Promise<void> {
		try {
			await this.#resolveUnanswered();
			await this.#renew();
			await this.#sendForget();
		} catch (error) {
			log('Worker %s: %s', this.workerId, getMessage(error));
		}

		this.#reportExpiredLeases();
	}

	#isIdle(): boolean {
		return this.#isAnswering && this.tasks.size === 0 && this.#refsToForget.length === 0 && !this.#isSnapshotRequested && this.#options.getProbes().length === 0;
	}

	/** After silence the worker is asked what it has before leases are renewed: an unanswered renewal prolongs what may run. */
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
		const expiry = this.#getOrderDeadline(sentAtMs);
		const probes = getProbes();
		const refs = [...tasks.map(task => getTaskRef(task)), ...probes].map(ref => ({...ref, ...expiry}));
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
		// Renewals do not bring results; one listing brings those of all tasks that have ended since.
		const snapshot = replies.some(reply => isEnded(reply)) ? await this.list() : undefined;
		const reports = new Map(snapshot?.tasks.map(report => [report.taskId, report]));
		for (const [index, task] of tasks.entries()) {
			const reply = replies[index];
			if (!reply || reply.refusal === WorkerRefusal.StaleToken) {
				continue;
			}

			if (reply.refusal === WorkerRefusal.Expired) {
				// Came late or to a later incarnation: the listing of the next round tells which.
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

		// Taken when the answer is here, the worker's clock is at least so far ahead: orders expire too early rather than too late.
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
		const expiry = new Promise<never>((_, reject) => {
			timer = clock.setTimer(() => {
				reject(createError(ErrorCode.TimedOut, {step: 'call worker', peer: workerId}));
			}, times.callTimeoutMs);
		});
		try {
			const reply = await Promise.race([send(client), expiry]);
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
