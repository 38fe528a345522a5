import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createSettings} from '../src/core/settings.ts';
import {createPlacementEngine} from '../src/jobs/placement-engine.ts';
import {JobState} from '../src/types/jobs.ts';
import {type PlacementEngine} from '../src/types/placement.ts';
import {createRandom} from '../src/utils/seeded-random.ts';
import {createSpec, SimulatedCluster} from './jobs-harness.ts';

enum EventType {
	Submit = 'submit',
	Cancel = 'cancel',
	Evict = 'evict',
	PauseEntry = 'pause-entry',
	CrashEntry = 'crash-entry',
	CutEntryFromLog = 'cut-entry-from-log',
	CutEntryFromWorker = 'cut-entry-from-worker',
	CutWorker = 'cut-worker',
	PauseWorker = 'pause-worker',
	RestartWorker = 'restart-worker',
	LoseAnswers = 'lose-answers',
	SlowWorker = 'slow-worker',
	LogDown = 'log-down',
	LoseLogAnswers = 'lose-log-answers',
}

type Event = {
	type: EventType;
	/** Selects the affected entry, worker, job or task. */
	target: number;
	afterMs: number;
	durationMs: number;
	taskCount: number;
	isIdempotent: boolean;
};

const eventArbitrary: fc.Arbitrary<Event> = fc.record({
	type: fc.constantFrom(...Object.values(EventType), EventType.Submit, EventType.Submit, EventType.Evict),
	target: fc.nat(20),
	afterMs: fc.integer({min: 50, max: 6000}),
	durationMs: fc.integer({min: 100, max: 60_000}),
	taskCount: fc.integer({min: 1, max: 4}),
	isIdempotent: fc.boolean(),
});

const callerTimeoutMs = 8000;
const workerCount = 4;
const entryCount = 3;

/** Applies events to a cluster and reverts each fault after its duration. */
class FaultScenario {
	readonly cluster: SimulatedCluster;
	readonly submitted = new Map<string, {isIdempotent: boolean}>();
	readonly #reversals: Array<{atMs: number; revert: () => void}> = [];

	constructor(seed: number, createEngine?: () => PlacementEngine) {
		this.cluster = new SimulatedCluster({
			seed,
			workers: workerCount,
			entries: entryCount,
			shards: 3,
			createEngine,
			getBehaviour: order => ({runTimeMs: 3000 + ((order.taskId.length * 7919) % 20_000)}),
		});
	}

	async run(events: Event[]): Promise<void> {
		await this.cluster.clock.advance(6000);
		for (const event of events) {
			await this.#advance(event.afterMs);
			this.#apply(event);
		}

		await this.#advance(70_000);
	}

	async #advance(durationMs: number): Promise<void> {
		const {clock} = this.cluster;
		const endMs = clock.monotonicMs() + durationMs;
		for (;;) {
			const next = this.#reversals.toSorted((a, b) => a.atMs - b.atMs)[0];
			if (!next || next.atMs > endMs) {
				break;
			}

			this.#reversals.splice(this.#reversals.indexOf(next), 1);
			await clock.advance(Math.max(0, next.atMs - clock.monotonicMs()));
			next.revert();
		}

		await clock.advance(Math.max(0, endMs - clock.monotonicMs()));
	}

	#apply({type, target, durationMs, taskCount, isIdempotent}: Event): void {
		const {cluster} = this;
		const entry = cluster.getEntry(target % cluster.entries.size);
		const workerId = `worker-${target % workerCount}`;
		const {faults} = cluster.workers.get(workerId)!;
		const revertLater = (revert: () => void) => {
			this.#reversals.push({atMs: cluster.clock.monotonicMs() + durationMs, revert});
		};

		switch (type) {
			case EventType.Submit: {
				void this.#submit(`job-${this.submitted.size}-${target}`, taskCount, isIdempotent);
				break;
			}

			case EventType.Cancel: {
				const jobId = [...this.submitted.keys()][target];
				if (jobId !== undefined) {
					entry.scheduler.cancel(jobId).catch(() => undefined);
				}

				break;
			}

			case EventType.Evict: {
				const running = cluster.getRunning();
				const taskId = running[target % running.length];
				if (taskId !== undefined && cluster.getOwner(taskId.split('/')[0]!)) {
					cluster.evict(taskId);
				}

				break;
			}

			case EventType.PauseEntry: {
				entry.gate.pause();
				revertLater(() => {
					entry.gate.resume();
				});
				break;
			}

			case EventType.CrashEntry: {
				entry.crash();
				cluster.startEntry(entry.id);
				break;
			}

			case EventType.CutEntryFromLog: {
				entry.gate.isLogCut = true;
				revertLater(() => {
					entry.gate.isLogCut = false;
				});
				break;
			}

			case EventType.CutEntryFromWorker: {
				entry.gate.cutWorkers.add(workerId);
				revertLater(() => {
					entry.gate.cutWorkers.delete(workerId);
				});
				break;
			}

			case EventType.CutWorker: {
				faults.isUnreachable = true;
				revertLater(() => {
					faults.isUnreachable = false;
				});
				break;
			}

			case EventType.PauseWorker: {
				faults.isPaused = true;
				revertLater(() => {
					faults.isPaused = false;
				});
				break;
			}

			case EventType.RestartWorker: {
				cluster.workers.get(workerId)!.restart();
				cluster.announce(workerId);
				break;
			}

			case EventType.LoseAnswers: {
				faults.loseAnswerChance = 0.4;
				revertLater(() => {
					faults.loseAnswerChance = 0;
				});
				break;
			}

			case EventType.SlowWorker: {
				faults.jitterMs = 1500;
				revertLater(() => {
					faults.jitterMs = 0;
				});
				break;
			}

			case EventType.LogDown: {
				cluster.log.faults.isDown = true;
				revertLater(() => {
					cluster.log.faults.isDown = false;
				});
				break;
			}

			case EventType.LoseLogAnswers: {
				cluster.log.faults.loseAnswerChance = 0.4;
				revertLater(() => {
					cluster.log.faults.loseAnswerChance = 0;
				});
			}
		}
	}

	async #timeOut(): Promise<never> {
		await this.cluster.clock.sleep(callerTimeoutMs);
		throw new Error('no answer');
	}

	/** Submits a job to one entry after another, as a caller would, until one acknowledges it. */
	async #submit(jobId: string, taskCount: number, isIdempotent: boolean): Promise<void> {
		this.submitted.set(jobId, {isIdempotent});
		const spec = createSpec(jobId, {taskCount, isIdempotent});
		for (let attempt = 0; attempt < 50; attempt++) {
			const entry = this.cluster.getEntry(attempt % this.cluster.entries.size);
			try {
				// An entry that crashed never answers: the caller times out and tries another one.
				await Promise.race([entry.scheduler.submit(spec), this.#timeOut()]);
				return;
			} catch {
				// The outcome is unknown: the job is sent again under the same id, to another entry.
			}
		}
	}
}

const finalStates: ReadonlySet<string | undefined> = new Set([JobState.Succeeded, JobState.Cancelled]);

const check = async (seed: number, events: Event[], createEngine?: () => PlacementEngine): Promise<void> => {
	const scenario = new FaultScenario(seed, createEngine);
	const {cluster, submitted} = scenario;
	try {
		await scenario.run(events);
		const isEnded = (jobId: string) => finalStates.has(cluster.getState(jobId)) || (!submitted.get(jobId)!.isIdempotent && cluster.getState(jobId) === JobState.Failed);
		await cluster.runUntil(() => [...submitted.keys()].every(jobId => isEnded(jobId)), 900_000, 1000);
		expect([...submitted.keys()].filter(jobId => !isEnded(jobId))).toEqual([]);
		expect(cluster.violations).toEqual([]);
		for (const [taskId, orders] of cluster.orders) {
			const attempts = orders.map(({attempt}) => attempt);
			// Attempt numbers grow, and a non-idempotent task runs again only from the checkpoint of its previous attempt.
			expect(attempts).toEqual([...new Set(attempts)].toSorted((a, b) => a - b));
			const checkpoints = orders.slice(1).map(({checkpointId}) => checkpointId);
			if (!submitted.get(taskId.split('/')[0]!)!.isIdempotent) {
				expect(checkpoints).toEqual(attempts.slice(0, -1).map(attempt => `${taskId}/${attempt}`));
			}
		}
	} finally {
		await cluster.stop();
	}
};

test.each([
	['first fit', undefined],
	['the placement engine', () => createPlacementEngine({settings: createSettings({}).placement, random: createRandom(7)})],
])('under random faults no task runs in two places, no worker is overcommitted, no checkpoint is resumed twice and no job is lost, with %s', async (_, createEngine) => {
	const numRuns = Number(process.env.PROPERTY_RUNS ?? 40);
	const seed = Number(process.env.PROPERTY_SEED ?? 20_261);
	const property = fc.asyncProperty(fc.nat(1_000_000), fc.array(eventArbitrary, {minLength: 4, maxLength: 25}), async (clusterSeed, events) =>
		check(clusterSeed, events, createEngine));
	await fc.assert(property, {numRuns, seed});
}, 600_000);
