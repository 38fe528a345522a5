import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createSettings} from '../src/core/settings.ts';
import {createPlacementEngine} from '../src/jobs/placement-engine.ts';
import {JobState} from '../src/types/jobs.ts';
import {type PlacementEngine} from '../src/types/placement.ts';
import {createRandom} from '../src/utils/seeded-random.ts';
import {createSpec, World} from './jobs-harness.ts';

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
	/** Which entry, worker or job is struck. */
	target: number;
	afterMs: number;
	lastsMs: number;
	tasks: number;
	isIdempotent: boolean;
};

const eventArbitrary: fc.Arbitrary<Event> = fc.record({
	type: fc.constantFrom(...Object.values(EventType), EventType.Submit, EventType.Submit, EventType.Evict),
	target: fc.nat(20),
	afterMs: fc.integer({min: 50, max: 6000}),
	lastsMs: fc.integer({min: 100, max: 60_000}),
	tasks: fc.integer({min: 1, max: 4}),
	isIdempotent: fc.boolean(),
});

const callerTimeoutMs = 8000;
const workerCount = 4;
const entryCount = 3;

/** Applies events to a world, and undoes each after its time. */
class Storm {
	readonly world: World;
	readonly submitted = new Map<string, {isIdempotent: boolean}>();
	readonly #endings: Array<{atMs: number; end: () => void}> = [];

	constructor(seed: number, createEngine?: () => PlacementEngine) {
		this.world = new World({
			seed,
			workers: workerCount,
			entries: entryCount,
			shards: 3,
			createEngine,
			getBehaviour: order => ({runTimeMs: 3000 + ((order.taskId.length * 7919) % 20_000)}),
		});
	}

	async run(events: Event[]): Promise<void> {
		await this.world.clock.advance(6000);
		for (const event of events) {
			await this.#advance(event.afterMs);
			this.#apply(event);
		}

		await this.#advance(70_000);
	}

	async #advance(durationMs: number): Promise<void> {
		const {clock} = this.world;
		const endMs = clock.monotonicMs() + durationMs;
		for (;;) {
			const next = this.#endings.toSorted((a, b) => a.atMs - b.atMs)[0];
			if (!next || next.atMs > endMs) {
				break;
			}

			this.#endings.splice(this.#endings.indexOf(next), 1);
			await clock.advance(Math.max(0, next.atMs - clock.monotonicMs()));
			next.end();
		}

		await clock.advance(Math.max(0, endMs - clock.monotonicMs()));
	}

	#apply({type, target, lastsMs, tasks, isIdempotent}: Event): void {
		const {world} = this;
		const entry = world.getEntry(target % world.entries.size);
		const workerId = `worker-${target % workerCount}`;
		const {faults} = world.workers.get(workerId)!;
		const until = (end: () => void) => {
			this.#endings.push({atMs: world.clock.monotonicMs() + lastsMs, end});
		};

		switch (type) {
			case EventType.Submit: {
				void this.#submit(`job-${this.submitted.size}-${target}`, tasks, isIdempotent);
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
				const running = world.getRunning();
				const taskId = running[target % running.length];
				if (taskId !== undefined && world.getOwner(taskId.split('/')[0]!)) {
					world.evict(taskId);
				}

				break;
			}

			case EventType.PauseEntry: {
				entry.gate.pause();
				until(() => {
					entry.gate.resume();
				});
				break;
			}

			case EventType.CrashEntry: {
				entry.crash();
				world.startEntry(entry.id);
				break;
			}

			case EventType.CutEntryFromLog: {
				entry.gate.isLogCut = true;
				until(() => {
					entry.gate.isLogCut = false;
				});
				break;
			}

			case EventType.CutEntryFromWorker: {
				entry.gate.cutWorkers.add(workerId);
				until(() => {
					entry.gate.cutWorkers.delete(workerId);
				});
				break;
			}

			case EventType.CutWorker: {
				faults.isCut = true;
				until(() => {
					faults.isCut = false;
				});
				break;
			}

			case EventType.PauseWorker: {
				faults.isPaused = true;
				until(() => {
					faults.isPaused = false;
				});
				break;
			}

			case EventType.RestartWorker: {
				world.workers.get(workerId)!.restart();
				world.announce(workerId);
				break;
			}

			case EventType.LoseAnswers: {
				faults.loseAnswerChance = 0.4;
				until(() => {
					faults.loseAnswerChance = 0;
				});
				break;
			}

			case EventType.SlowWorker: {
				faults.jitterMs = 1500;
				until(() => {
					faults.jitterMs = 0;
				});
				break;
			}

			case EventType.LogDown: {
				world.log.faults.isDown = true;
				until(() => {
					world.log.faults.isDown = false;
				});
				break;
			}

			case EventType.LoseLogAnswers: {
				world.log.faults.loseAnswerChance = 0.4;
				until(() => {
					world.log.faults.loseAnswerChance = 0;
				});
			}
		}
	}

	async #giveUp(): Promise<never> {
		await this.world.clock.sleep(callerTimeoutMs);
		throw new Error('no answer');
	}

	/** Submits until it is acknowledged, as a caller would, to any entry. */
	async #submit(jobId: string, taskCount: number, isIdempotent: boolean): Promise<void> {
		this.submitted.set(jobId, {isIdempotent});
		const spec = createSpec(jobId, {taskCount, isIdempotent});
		for (let round = 0; round < 50; round++) {
			const entry = this.world.getEntry(round % this.world.entries.size);
			try {
				// An entry that died never answers: the caller gives up and asks another.
				await Promise.race([entry.scheduler.submit(spec), this.#giveUp()]);
				return;
			} catch {
				// Not known: sent again under the same id, to another entry.
			}
		}
	}
}

const endStates: ReadonlySet<string | undefined> = new Set([JobState.Succeeded, JobState.Cancelled]);

const check = async (seed: number, events: Event[], createEngine?: () => PlacementEngine): Promise<void> => {
	const storm = new Storm(seed, createEngine);
	const {world, submitted} = storm;
	try {
		await storm.run(events);
		const isEnded = (jobId: string) => endStates.has(world.getState(jobId)) || (!submitted.get(jobId)!.isIdempotent && world.getState(jobId) === JobState.Failed);
		await world.until(() => [...submitted.keys()].every(jobId => isEnded(jobId)), 900_000, 1000);
		expect([...submitted.keys()].filter(jobId => !isEnded(jobId))).toEqual([]);
		expect(world.violations).toEqual([]);
		for (const [taskId, orders] of world.orders) {
			const attempts = orders.map(({attempt}) => attempt);
			// Attempts grow, and a non-idempotent task runs anew only from the checkpoint of the attempt before.
			expect(attempts).toEqual([...new Set(attempts)].toSorted((a, b) => a - b));
			const checkpoints = orders.slice(1).map(({checkpointId}) => checkpointId);
			if (!submitted.get(taskId.split('/')[0]!)!.isIdempotent) {
				expect(checkpoints).toEqual(attempts.slice(0, -1).map(attempt => `${taskId}/${attempt}`));
			}
		}
	} finally {
		await world.stop();
	}
};

test.each([
	['first fit', undefined],
	['the placement engine', () => createPlacementEngine({settings: createSettings({}).placement, random: createRandom(7)})],
])('through any interleaving of failures no task is in two places, no worker overcommitted, no resume doubled, no job lost, with %s', async (_, createEngine) => {
	const numRuns = Number(process.env.PROPERTY_RUNS ?? 40);
	const seed = Number(process.env.PROPERTY_SEED ?? 20_261);
	const property = fc.asyncProperty(fc.nat(1_000_000), fc.array(eventArbitrary, {minLength: 4, maxLength: 25}), async (world, events) =>
		check(world, events, createEngine));
	await fc.assert(property, {numRuns, seed});
}, 600_000);
