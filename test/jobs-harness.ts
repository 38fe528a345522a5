/**
Simulated cluster: entries, workers and a log in one process on manual time, with faults that tests inject.
*/
import {createSettings} from '../src/core/settings.ts';
import {createError, ErrorCode} from '../src/core/errors.ts';
import {FirstFitEngine} from '../src/jobs/first-fit-engine.ts';
import {JobScheduler} from '../src/jobs/job-scheduler.ts';
import {MemoryLog} from '../src/standin/memory-log.ts';
import {MemoryWorker, type TaskBehaviour} from '../src/standin/memory-worker.ts';
import {HostState, type WorkerAnnouncement} from '../src/types/announcements.ts';
import {type Clock} from '../src/types/clock.ts';
import {TaskClass, type JobSpec} from '../src/types/jobs.ts';
import {type Metrics} from '../src/types/metrics.ts';
import {
	DecisionType, EvictionReason, type Decision, type PlacementEngine,
} from '../src/types/placement.ts';
import {
	type PlatformLog, type Resources, type StartOrder, type WorkerClient,
} from '../src/types/platform.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createRandom} from '../src/utils/seeded-random.ts';

export const defaultCapacity: Resources = {processors: 4, memoryMb: 4096, accelerators: 0};

export const createSpec = (jobId: string, changes: Partial<JobSpec> = {}): JobSpec => ({
	jobId,
	team: 'authority',
	kind: 'compute-relief',
	taskClass: TaskClass.Batch,
	priority: 100,
	taskCount: 1,
	isGang: false,
	isIdempotent: true,
	resources: {processors: 1, memoryMb: 512, accelerators: 0},
	declaredRunTimeMs: 5000,
	...changes,
});

/** Passes all calls and timers of one simulated process: while it is paused they wait, and once it is dead they never return. */
class ProcessGate {
	isDead = false;
	isLogCut = false;
	readonly cutWorkers = new Set<string>();
	maxConcurrentCalls = 0;
	#calls = 0;
	#waiting: Array<() => void> | undefined;

	get isPaused(): boolean {
		return this.#waiting !== undefined;
	}

	pause(): void {
		this.#waiting ??= [];
	}

	resume(): void {
		const waiting = this.#waiting ?? [];
		this.#waiting = undefined;
		for (const wake of waiting) {
			wake();
		}
	}

	async pass(): Promise<void> {
		while (this.isDead || this.#waiting) {
			await new Promise<void>(resolve => {
				this.#waiting?.push(resolve);
			});
		}
	}

	/** Counts concurrent calls to workers. */
	async count<Result>(act: () => Promise<Result>): Promise<Result> {
		this.maxConcurrentCalls = Math.max(this.maxConcurrentCalls, ++this.#calls);
		try {
			return await act();
		} finally {
			this.#calls--;
		}
	}

	async call<Result>(isCut: () => boolean, act: () => Promise<Result>): Promise<Result> {
		await this.pass();
		if (isCut()) {
			throw createError(ErrorCode.PeerUnavailable, {step: 'call'});
		}

		try {
			return await act();
		} finally {
			await this.pass();
			if (isCut()) {
				throw createError(ErrorCode.PeerUnavailable, {step: 'call (answer)'}); // eslint-disable-line no-unsafe-finally
			}
		}
	}
}

const gateClock = (clock: ManualClock, gate: ProcessGate): Clock => ({
	monotonicMs: () => clock.monotonicMs(),
	now: () => clock.now(),
	setTimer: (callback, delayMs) => clock.setTimer(() => {
		void gate.pass().then(callback);
	}, delayMs),
	async sleep(delayMs, signal) {
		await clock.sleep(delayMs, signal);
		await gate.pass();
	},
});

const gateLog = (log: PlatformLog, gate: ProcessGate): PlatformLog => ({
	append: async (stream, value) => gate.call(() => gate.isLogCut, async () => log.append(stream, value)),
	read: async (stream, fromOffset, options) => gate.call(() => gate.isLogCut, async () => log.read(stream, fromOffset, options)),
});

const gateWorker = (worker: MemoryWorker, workerId: string, gate: ProcessGate): WorkerClient => {
	const isCut = () => gate.cutWorkers.has(workerId);
	const through = async <Result>(act: () => Promise<Result>) => gate.count(async () => gate.call(isCut, act));
	return {
		start: async order => through(async () => worker.start(order)),
		renew: async (refs, leaseMs) => through(async () => worker.renew(refs, leaseMs)),
		stop: async (ref, options) => through(async () => worker.stop(ref, options)),
		throttle: async (ref, share) => through(async () => worker.throttle(ref, share)),
		forget: async refs => through(async () => worker.forget(refs)),
		seal: async (shard, token) => through(async () => worker.seal(shard, token)),
		list: async () => through(async () => worker.list()),
	};
};

const createCounts = (): Metrics => {
	const counts = new Map<string, number>();
	return {
		count(metric, reason, amount = 1) {
			const key = reason === undefined ? metric : `${metric}.${reason}`;
			counts.set(key, (counts.get(key) ?? 0) + amount);
		},
		gauge(metric, value) {
			counts.set(metric, value);
		},
		timing(metric, valueMs) {
			counts.set(metric, valueMs);
		},
		getCounts: () => Object.fromEntries(counts),
	};
};

/** An engine that also returns decisions queued by a test. */
export type ScriptedEngine = PlacementEngine & {script: Decision[]};

const createScriptedEngine = (engine: PlacementEngine): ScriptedEngine => {
	const script: Decision[] = [];
	const decide = engine.decide.bind(engine);
	return Object.assign(engine, {
		script,
		decide: (nowMs: number, maxDecisions: number) => [...script.splice(0), ...decide(nowMs, maxDecisions)],
	});
};

export type TestEntry = {
	id: string;
	gate: ProcessGate;
	scheduler: JobScheduler;
	metrics: Metrics;
	engine: ScriptedEngine;
	/** Ends the process without releasing its shards. */
	crash(): void;
	/** Releases its shards and ends the process. */
	leave(): Promise<void>;
};

export type SimulatedClusterOptions = {
	seed?: number;
	workers?: number;
	entries?: number;
	shards?: number;
	capacity?: Resources;
	retentionMs?: number;
	settings?: Parameters<typeof createSettings>[0];
	getBehaviour?(order: StartOrder): TaskBehaviour;
	createEngine?(): PlacementEngine;
};

/** A cluster of entries, workers and a log. Records a violation when a task runs in two places or a worker is overcommitted. */
export class SimulatedCluster {
	readonly clock = new ManualClock();
	readonly log: MemoryLog;
	readonly workers = new Map<string, MemoryWorker>();
	readonly entries = new Map<string, TestEntry>();
	readonly violations: string[] = [];
	/** Starts of each task, in order: `worker#attempt`. */
	readonly starts = new Map<string, string[]>();
	readonly orders = new Map<string, StartOrder[]>();
	/** Announcements of workers, as all entries see them. */
	readonly announced = new Map<string, WorkerAnnouncement>();
	mostRunning = 0;
	readonly #running = new Map<string, Set<string>>();
	readonly #options: SimulatedClusterOptions;
	#incarnation = 0;

	constructor(options: SimulatedClusterOptions = {}) {
		this.#options = options;
		const {seed = 1, retentionMs} = options;
		this.log = new MemoryLog(this.clock, createRandom(seed), retentionMs);
		for (let index = 0; index < (options.workers ?? 3); index++) {
			this.addWorker(`worker-${index}`);
		}

		for (let index = 0; index < (options.entries ?? 1); index++) {
			this.startEntry(`entry-${index}`);
		}
	}

	addWorker(workerId: string, capacity = this.#options.capacity ?? defaultCapacity): MemoryWorker {
		const worker = new MemoryWorker({
			workerId,
			incarnation: 1,
			capacity,
			clock: this.clock,
			random: createRandom((this.#options.seed ?? 1) + this.workers.size + 100),
			getBehaviour: order => {
				this.#recordOrder(order);
				return this.#options.getBehaviour?.(order) ?? {runTimeMs: 5000, result: order.taskId};
			},
			onRunning: (taskId, attempt, isRunning) => {
				this.#recordRunning(workerId, taskId, attempt, isRunning);
			},
		});
		this.workers.set(workerId, worker);
		this.announce(workerId, {capacity});
		return worker;
	}

	announce(workerId: string, changes: Partial<WorkerAnnouncement> = {}): void {
		const known = this.announced.get(workerId);
		this.announced.set(workerId, {
			workerId,
			incarnation: this.workers.get(workerId)!.incarnation,
			sequence: 1,
			state: HostState.Alive,
			address: workerId,
			region: 'bagmati',
			failureDomain: 'hall-ktm',
			rack: 'rack-1',
			capacity: known?.capacity ?? defaultCapacity,
			...changes,
		});
	}

	startEntry(id: string): TestEntry {
		const gate = new ProcessGate();
		const clock = gateClock(this.clock, gate);
		const aborter = new AbortController();
		const metrics = createCounts();
		const engine = createScriptedEngine(this.#options.createEngine?.() ?? new FirstFitEngine());
		const {jobs, ownership, log, ...others} = this.#options.settings ?? {};
		const scheduler = new JobScheduler({
			log: gateLog(this.log, gate),
			clock,
			random: createRandom((this.#options.seed ?? 1) + (1000 * ++this.#incarnation)),
			metrics,
			self: {processId: id, incarnation: this.#incarnation},
			settings: createSettings({
				jobs: {shards: this.#options.shards ?? 4, ...jobs},
				ownership: {settleMs: 5000, ...ownership},
				log: {...(this.#options.retentionMs !== undefined && {retentionMs: this.#options.retentionMs}), ...log},
				...others,
			}),
			workers: {
				list: () => [...this.announced.values()],
				getClient: workerId => gateWorker(this.workers.get(workerId)!, workerId, gate),
			},
			engine,
			getRegion: () => undefined,
		});
		const running = scheduler.run(aborter.signal);
		const entry: TestEntry = {
			id,
			gate,
			scheduler,
			metrics,
			engine,
			crash: () => {
				gate.isDead = true;
				aborter.abort();
				this.entries.delete(id);
			},
			leave: async () => {
				await scheduler.leave();
				aborter.abort();
				this.entries.delete(id);
				await running;
			},
		};
		this.entries.set(id, entry);
		return entry;
	}

	getEntry(index = 0): TestEntry {
		return [...this.entries.values()][index]!;
	}

	/** First entry that considers itself the owner of the job's shard. */
	getOwner(jobId: string): TestEntry | undefined {
		return [...this.entries.values()].find(({scheduler}) => scheduler.isOwnerOf(jobId));
	}

	/** Advances the clock until the condition holds; returns whether it held within the limit. */
	async runUntil(isDone: () => boolean, limitMs = 120_000, stepMs = 100): Promise<boolean> {
		const endMs = this.clock.monotonicMs() + limitMs;
		while (!isDone() && this.clock.monotonicMs() < endMs) {
			await this.clock.advance(stepMs);
		}

		return isDone();
	}

	async submit(spec: JobSpec, entry = this.getEntry()): Promise<void> {
		let outcome: unknown;
		const submitting = (async () => {
			try {
				await entry.scheduler.submit(spec);
				outcome = true;
			} catch (error) {
				outcome = error;
			}
		})();
		await this.runUntil(() => outcome !== undefined);
		await submitting;
		if (outcome !== true) {
			throw outcome as Error;
		}
	}

	getState(jobId: string): string | undefined {
		return this.getEntry().scheduler.getStatus(jobId)?.state;
	}

	/** Tasks that the workers run now. */
	getRunning(): string[] {
		return [...this.#running].filter(([, workerIds]) => workerIds.size > 0).map(([taskId]) => taskId);
	}

	/** Workers that run the task now. */
	getRunningWorkers(taskId: string): string[] {
		return [...this.#running.get(taskId) ?? []];
	}

	/** Queues a decision to evict a task at the owner of its job. */
	evict(taskId: string): void {
		const owner = this.getOwner(taskId.split('/')[0]!)!;
		owner.engine.script.push({
			type: DecisionType.Evict, taskId, workerId: this.getRunningWorkers(taskId)[0]!, reason: EvictionReason.Harm,
		});
	}

	/** Sums a counter over all entries that have not crashed. */
	count(key: string): number {
		return [...this.entries.values()].reduce((sum, {metrics}) => sum + (metrics.getCounts()[key] ?? 0), 0);
	}

	async stop(): Promise<void> {
		for (const entry of this.entries.values()) {
			entry.crash();
		}
	}

	#recordOrder(order: StartOrder): void {
		this.orders.set(order.taskId, [...this.orders.get(order.taskId) ?? [], order]);
	}

	#recordRunning(workerId: string, taskId: string, attempt: number, isRunning: boolean): void {
		const places = this.#running.get(taskId) ?? new Set();
		this.#running.set(taskId, places);
		if (!isRunning) {
			places.delete(workerId);
			return;
		}

		places.add(workerId);
		this.starts.set(taskId, [...this.starts.get(taskId) ?? [], `${workerId}#${attempt}`]);
		if (places.size > 1) {
			this.violations.push(`${taskId} runs in two places: ${[...places].join(', ')}`);
		}

		const {used} = this.workers.get(workerId)!;
		const {capacity} = this.announced.get(workerId)!;
		if (used.processors > capacity.processors || used.memoryMb > capacity.memoryMb || used.accelerators > capacity.accelerators) {
			this.violations.push(`${workerId} is overcommitted`);
		}
	}
}
