/**
One simulated run of one placement policy, with arrivals, waves of interfering batch work, urgent work and evictions.
*/
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {createPlacementEngine} from '../jobs/placement-engine.ts';
import {type ChooseWorker} from '../jobs/placement-search.ts';
import {TaskClass, type JobSpec} from '../types/jobs.ts';
import {
	DecisionType, type Decision, type PendingTask, type PlacementEngine, type PlacementWorker,
} from '../types/placement.ts';
import {type Random} from '../types/random.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {type MeasuredUser, type SimulatedTaskKind} from './jobs-users.ts';
import {SimulatedWorkers, type SimulatedPlacedTask} from './simulated-workers.ts';

/** Result of one run. Counts exclude the warm-up. */
export type JobsResult = {
	user: string;
	policy: string;
	seed: number;
	serviceP99: number;
	serviceP50: number;
	batchPerHour: number;
	/** Batch work completed, as processor hours of run time without interference, an hour. */
	batchWorkPerHour: number;
	evictionsPerHour: number;
	evictionsByReason: Record<string, number>;
	throttles: number;
	unplaceable: number;
	/** Processor seconds of work lost to evictions an hour. */
	lostPerHour: number;
	/** The 99th percentile of the time to start. */
	urgentStartP99Ms: number;
	batchStartP99Ms: number;
	serviceStartP99Ms: number;
	/** Largest share of a service's replicas on one host, and in one failure domain. */
	worstHostLoss: number;
	worstDomainLoss: number;
	/** The user's own weighted measure; lower is better. */
	cost: number;
	/** Digest of all decisions. */
	digest: number;
};

/** A policy to be measured. */
export type MeasuredPolicy = {
	name: string;
	isInterferenceAware: boolean;
	createChoose?(random: Random): ChooseWorker;
};

const stepMs = 250;
const warmUpMs = 300_000;
const waveIntervalMs = 240_000;
const waveTasks = 24;
const urgentIntervalMs = 45_000;
const urgentPriority = 950;
const batchPriority = 100;
// Offered batch work as a share of the processors that services leave; high enough that tasks are nearly always waiting.
const offeredShare = 0.85;
const restartMs = 5000;
const hourMs = 3_600_000;
const slowdownScale = 1000;
const seedSpread = 7_368_787;
const skippedDraws = 32;
const streams = 8;

/** Runs one policy through the warm-up and for `countedMs` after it. */
export const runJobs = (user: MeasuredUser, policy: MeasuredPolicy, {seed, countedMs}: {seed: number; countedMs: number}): JobsResult =>
	new JobsRun(user, policy, seed).run(warmUpMs + countedMs);

class JobsRun {
	readonly #user: MeasuredUser;
	readonly #policy: MeasuredPolicy;
	readonly #seed: number;
	readonly #engine: PlacementEngine;
	readonly #workers: SimulatedWorkers;
	// Arrivals have a random stream of their own, so that every policy gets the same ones.
	readonly #arrivals: Random;
	readonly #stopDelays: Random;
	readonly #waiting = new Map<string, PendingTask>();
	readonly #startedTasks = new Map<string, PendingTask>();
	readonly #savedMs = new Map<string, number>();
	readonly #slowdowns = createHistogram();
	readonly #starts = {urgent: createHistogram(), batch: createHistogram(), service: createHistogram()};
	readonly #evictions = new Map<string, number>();
	#jobs = 0;
	#nowMs = 0;
	#finished = 0;
	#workMs = 0;
	#lostMs = 0;
	#throttles = 0;
	#unplaceable = 0;
	#digest = 0;
	#nextBatchMs = 0;

	constructor(user: MeasuredUser, policy: MeasuredPolicy, seed: number) {
		this.#user = user;
		this.#policy = policy;
		this.#seed = seed;
		this.#arrivals = createStream(seed, 1);
		this.#stopDelays = createStream(seed, 2);
		this.#workers = new SimulatedWorkers(user.workers, user.kinds, createStream(seed, 3));
		this.#engine = createPlacementEngine({
			settings: {...user.placement, isHarmAware: policy.isInterferenceAware}, random: createStream(seed, 0), choose: policy.createChoose?.(createStream(seed, 4)),
		});
	}

	run(durationMs: number): JobsResult {
		for (const worker of this.#user.workers) {
			this.#engine.setWorker(worker);
		}

		for (const kind of this.#user.kinds) {
			if (kind.replicas > 0) {
				this.#submit(kind, {count: kind.replicas, priority: 500});
			}
		}

		for (this.#nowMs = 0; this.#nowMs < durationMs; this.#nowMs += stepMs) {
			this.#submitArrivals();
			this.#advance();
			for (const {taskId, usage} of this.#workers.drainReports(this.#nowMs)) {
				this.#engine.recordUsage(taskId, usage);
			}

			for (const decision of this.#engine.decide(this.#nowMs, 1000)) {
				this.#apply(decision);
			}
		}

		return this.#summarize(durationMs);
	}

	get #isCounted(): boolean {
		return this.#nowMs >= warmUpMs;
	}

	#submit(kind: SimulatedTaskKind, {count, priority}: {count: number; priority: number}): void {
		const spec: JobSpec = {
			jobId: `${kind.name}-${this.#jobs++}`,
			team: `team-${this.#jobs % 3}`,
			kind: kind.name,
			taskClass: kind.taskClass,
			priority,
			taskCount: count,
			isGang: false,
			isIdempotent: true,
			resources: {processors: kind.processors * kind.declaredRatio, memoryMb: kind.memoryMb * kind.declaredRatio, accelerators: 0},
			declaredRunTimeMs: kind.taskClass === TaskClass.Batch ? kind.runTimeMs * kind.declaredTimeRatio : 30 * 24 * hourMs,
		};
		for (let index = 0; index < count; index++) {
			const task: PendingTask = {
				taskId: `${spec.jobId}/${index}`, attempt: 0, spec, queuedAtMs: this.#nowMs, isCheckpointable: kind.isCheckpointable,
			};
			this.#enqueue(task);
		}
	}

	#enqueue(task: PendingTask): void {
		this.#waiting.set(task.taskId, task);
		this.#engine.enqueue(task);
	}

	#submitArrivals(): void {
		const random = this.#arrivals;
		const batch = this.#user.kinds.filter(({taskClass}) => taskClass === TaskClass.Batch);
		while (this.#nowMs >= this.#nextBatchMs) {
			this.#submit(batch[random.below(batch.length)]!, {count: 1, priority: batchPriority});
			this.#nextBatchMs += -Math.log(1 - random.next()) * getMeanGapMs(this.#user);
		}

		if (this.#nowMs % waveIntervalMs === 0 && this.#nowMs > 0) {
			this.#submit(batch.at(-1 - random.below(2))!, {count: waveTasks, priority: batchPriority});
		}

		if (this.#nowMs % urgentIntervalMs === 0 && this.#nowMs > 0) {
			this.#submit(batch[random.below(3)]!, {count: 2, priority: urgentPriority});
		}
	}

	#advance(): void {
		this.#workers.step(this.#nowMs, stepMs);
		for (const task of this.#workers.tasks.values()) {
			if (task.doneMs >= task.kind.runTimeMs) {
				this.#finish(task);
			} else if (this.#nowMs >= task.stopAtMs) {
				this.#stop(task);
			} else if (this.#isCounted && task.kind.taskClass === TaskClass.LatencyCritical) {
				this.#slowdowns.recordValue(Math.round(task.slowdown * slowdownScale));
			}
		}
	}

	#finish(task: SimulatedPlacedTask): void {
		this.#workers.remove(task);
		this.#engine.recordEnded(task.taskId, true, this.#nowMs);
		this.#savedMs.delete(task.taskId);
		this.#startedTasks.delete(task.taskId);
		if (this.#isCounted) {
			this.#finished++;
			this.#workMs += task.kind.runTimeMs * task.kind.processors;
		}
	}

	/** Stops an evicted task. It loses `restartMs` of its work if it is checkpointable, otherwise all of it. */
	#stop(task: SimulatedPlacedTask): void {
		const {kind, taskId, doneMs} = task;
		const savedMs = kind.isCheckpointable ? Math.max(0, doneMs - restartMs) : 0;
		if (this.#isCounted) {
			this.#lostMs += (doneMs - savedMs) * kind.processors;
		}

		this.#workers.remove(task);
		this.#savedMs.set(taskId, savedMs);
		this.#engine.recordEnded(taskId, false, this.#nowMs);
		this.#enqueue({...this.#startedTasks.get(taskId)!, attempt: task.attempt + 1, queuedAtMs: this.#nowMs});
	}

	#apply(decision: Decision): void {
		this.#digest = addToDigest(this.#digest, JSON.stringify(decision));
		switch (decision.type) {
			case DecisionType.Start: {
				this.#start(decision.taskId, decision.workerId);
				return;
			}

			case DecisionType.Evict: {
				const task = this.#workers.tasks.get(decision.taskId);
				if (task) {
					task.stopAtMs = this.#nowMs + 200 + this.#stopDelays.below(800);
				}

				if (this.#isCounted) {
					this.#evictions.set(decision.reason, (this.#evictions.get(decision.reason) ?? 0) + 1);
				}

				return;
			}

			case DecisionType.Throttle: {
				const task = this.#workers.tasks.get(decision.taskId);
				if (task) {
					task.share = decision.share;
				}

				this.#throttles += this.#isCounted ? 1 : 0;
				break;
			}

			case DecisionType.Unplaceable: {
				this.#unplaceable++;
				break;
			}
		}
	}

	#start(taskId: string, workerId: string): void {
		const pending = this.#waiting.get(taskId)!;
		const {spec, attempt} = pending;
		const kindIndex = this.#user.kinds.findIndex(({name}) => name === spec.kind);
		const isUrgent = spec.priority === urgentPriority;
		this.#waiting.delete(taskId);
		this.#startedTasks.set(taskId, pending);
		this.#workers.start({
			taskId,
			attempt,
			kind: this.#user.kinds[kindIndex]!,
			kindIndex,
			workerId,
			isUrgent,
			doneMs: this.#savedMs.get(taskId) ?? 0,
			share: 1,
			slowdown: 1,
			stopAtMs: Number.POSITIVE_INFINITY,
			reportAtMs: this.#nowMs + 2000 + this.#stopDelays.below(8000),
		});
		const waitedMs = this.#nowMs - pending.queuedAtMs;
		if (this.#isCounted || spec.taskClass === TaskClass.LatencyCritical) {
			const histogram = isUrgent ? this.#starts.urgent : (spec.taskClass === TaskClass.Batch ? this.#starts.batch : this.#starts.service);
			histogram.recordValue(waitedMs);
		}
	}

	#getWorstLoss(getPlace: (worker: PlacementWorker) => string): number {
		const counts = new Map<string, number>();
		let worst = 0;
		for (const {kind, workerId} of this.#workers.tasks.values()) {
			if (kind.replicas > 0) {
				const worker = this.#user.workers.find(other => other.workerId === workerId)!;
				const key = `${kind.name}/${getPlace(worker)}`;
				counts.set(key, (counts.get(key) ?? 0) + 1);
				worst = Math.max(worst, counts.get(key)! / kind.replicas);
			}
		}

		return worst;
	}

	#summarize(durationMs: number): JobsResult {
		const hours = (durationMs - warmUpMs) / hourMs;
		const evictions = [...this.#evictions.values()].reduce((sum, count) => sum + count, 0);
		const result = {
			user: this.#user.name,
			policy: this.#policy.name,
			seed: this.#seed,
			serviceP99: this.#slowdowns.getValueAtPercentile(99) / slowdownScale,
			serviceP50: this.#slowdowns.getValueAtPercentile(50) / slowdownScale,
			batchPerHour: this.#finished / hours,
			batchWorkPerHour: this.#workMs / hourMs / hours,
			evictionsPerHour: evictions / hours,
			evictionsByReason: Object.fromEntries(this.#evictions),
			throttles: this.#throttles,
			unplaceable: this.#unplaceable,
			lostPerHour: this.#lostMs / 1000 / hours,
			urgentStartP99Ms: this.#starts.urgent.getValueAtPercentile(99),
			batchStartP99Ms: this.#starts.batch.getValueAtPercentile(99),
			serviceStartP99Ms: this.#starts.service.getValueAtPercentile(99),
			worstHostLoss: this.#getWorstLoss(({workerId}) => workerId),
			worstDomainLoss: this.#getWorstLoss(({failureDomain}) => failureDomain),
			digest: this.#digest,
		};
		return {...result, cost: getCost(this.#user, result)};
	}
}

/** Small seeds give similar first numbers. So the seeds of a run's streams are spread, and the first draws are skipped. */
const createStream = (seed: number, stream: number): Random => {
	const random = createRandom(((seed * streams) + stream) * seedSpread);
	for (let draw = 0; draw < skippedDraws; draw++) {
		random.next();
	}

	return random;
};

const createHistogram = (): Histogram => buildHistogram({
	lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3,
});

const getMeanGapMs = ({kinds, workers}: MeasuredUser): number => {
	const capacity = workers.reduce((sum, worker) => sum + worker.capacity.processors, 0);
	const services = kinds.reduce((sum, kind) => sum + (kind.replicas * kind.processors), 0);
	const batch = kinds.filter(({taskClass}) => taskClass === TaskClass.Batch);
	const meanWork = batch.reduce((sum, kind) => sum + (kind.processors * kind.runTimeMs), 0) / batch.length;
	return meanWork / (offeredShare * (capacity - services));
};

/**
The user's cost, a weighted sum of the 99th percentile of services' slowdown above 1, the share of the batch work that the
processors left by services could do but did not, and the evictions for each ten batch tasks finished.
*/
const getCost = ({weights, workers, kinds}: MeasuredUser, result: {serviceP99: number; batchWorkPerHour: number; evictionsPerHour: number; batchPerHour: number}): number => {
	const capacity = workers.reduce((sum, worker) => sum + worker.capacity.processors, 0);
	const services = kinds.reduce((sum, kind) => sum + (kind.replicas * kind.processors), 0);
	const undoneShare = 1 - (result.batchWorkPerHour / (capacity - services));
	const evictions = 10 * result.evictionsPerHour / Math.max(1, result.batchPerHour);
	return (weights.tail * (result.serviceP99 - 1)) + (weights.batch * undoneShare) + (weights.evictions * evictions);
};

const addToDigest = (digest: number, line: string): number => {
	let next = digest;
	for (let index = 0; index < line.length; index++) {
		next = Math.trunc(Math.imul(next, 31) + line.codePointAt(index)!);
	}

	return next;
};
