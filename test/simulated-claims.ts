/**
Simulates several claim registries on one in-memory log. Their processes can pause, crash and restart; an append can be
answered by an error and still take effect, at once or later.
*/
import {followLog} from '../src/core/log-reader.ts';
import {createSettings} from '../src/core/settings.ts';
import {type Settings} from '../src/core/settings-schema.ts';
import {ClaimRegistry} from '../src/requests/claim-registry.ts';
import {findStartOffset} from '../src/requests/claim-start.ts';
import {MemoryLog} from '../src/standin/memory-log.ts';
import {type Clock, type Timer} from '../src/types/clock.ts';
import {Stream, type PlatformLog} from '../src/types/platform.ts';
import {ClaimState} from '../src/types/services.ts';
import {sleepOn} from '../src/utils/system-clock.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createRequestId} from '../src/utils/request-id.ts';
import {createRandom} from '../src/utils/seeded-random.ts';

/** Defers all actions of a process while it is paused. */
export class PauseGate {
	isPaused = false;
	readonly #deferred: Array<() => void> = [];

	pass(action: () => void): void {
		if (this.isPaused) {
			this.#deferred.push(action);
		} else {
			action();
		}
	}

	async wait(): Promise<void> {
		await new Promise<void>(resolve => {
			this.pass(resolve);
		});
	}

	resume(): void {
		this.isPaused = false;
		for (const action of this.#deferred.splice(0)) {
			action();
		}
	}
}

/** A clock whose timers do not fire while the process is paused. */
const createGatedClock = (clock: Clock, gate: PauseGate): Clock => {
	const setTimer = (callback: () => void, delayMs: number): Timer => {
		let isCancelled = false;
		const timer = clock.setTimer(() => {
			gate.pass(() => {
				if (!isCancelled) {
					callback();
				}
			});
		}, delayMs);
		return {
			cancel() {
				isCancelled = true;
				timer.cancel();
			},
		};
	};

	return {
		monotonicMs: () => clock.monotonicMs(),
		now: () => clock.now(),
		setTimer,
		sleep: async (delayMs, signal) => sleepOn(setTimer, delayMs, signal),
	};
};

/** One attempt of a caller, and its result. */
export type Attempt = {
	requestId: string;
	refusal?: 'not-run' | 'in-use';
	isDispatched: boolean;
	holderState?: ClaimState;
};

/** Options of the simulation. */
export type SimulatedClaimsOptions = {
	seed?: number;
	retentionMs?: number;
	claims?: Partial<Settings['claims']>;
};

/** Creates a log, and functions that start processes on it. */
export const createSimulatedClaims = ({seed = 1, retentionMs, claims = {}}: SimulatedClaimsOptions = {}) => {
	const clock = new ManualClock();
	const random = createRandom(seed);
	const memory = new MemoryLog(clock, random, retentionMs);
	const settings = createSettings({claims, ...(retentionMs !== undefined && {log: {retentionMs}})});
	const dispatches = new Map<string, number>();
	const tries: Attempt[] = [];
	const late = {chance: 0, delayMs: 3000};

	const append: PlatformLog['append'] = async (stream, value) => {
		if (random.next() >= late.chance) {
			return memory.append(stream, value);
		}

		// Rejected now and applied later: an append that hung in the platform.
		clock.setTimer(() => {
			void memory.append(stream, value).catch(() => undefined);
		}, late.delayMs * random.next());
		throw new Error('no answer');
	};

	const start = (entryId: string) => {
		const gate = new PauseGate();
		const aborter = new AbortController();
		const gatedClock = createGatedClock(clock, gate);
		const log: PlatformLog = {
			async append(stream, value) {
				try {
					return await append(stream, value);
				} finally {
					await gate.wait();
				}
			},
			async read(stream, fromOffset, options) {
				try {
					return await memory.read(stream, fromOffset, options);
				} finally {
					await gate.wait();
				}
			},
		};
		const registry = new ClaimRegistry({
			log, clock: gatedClock, random, entryId, settings,
		});
		const follow = async () => {
			const fromOffset = await findStartOffset({
				log, clock: gatedClock, random, settings, signal: aborter.signal,
			});
			await followLog(registry, {
				log, stream: Stream.Claims, clock: gatedClock, random, fromOffset, signal: aborter.signal,
			});
		};

		void follow();
		void registry.run(aborter.signal);
		let isCrashed = false;

		/** One attempt of a caller: claims the id, and if the claim won, dispatches the request, which runs for `runMs`. */
		const request = async (requestId: string, {timeoutMs = 500, runMs = 50, queueMs = 0} = {}): Promise<Attempt> => {
			const attempt: Attempt = {requestId, isDispatched: false};
			tries.push(attempt);
			const result = await registry.claim(requestId, 'desk', timeoutMs);
			if (result.isWon && queueMs > 0) {
				await gatedClock.sleep(queueMs);
			}

			await gate.wait();
			if (isCrashed) {
				return attempt;
			}

			if (!result.isWon) {
				attempt.refusal = result.claim ? 'in-use' : 'not-run';
				attempt.holderState = result.claim?.state;
				return attempt;
			}

			if (!registry.isDispatchable(requestId)) {
				registry.finish(requestId, {state: ClaimState.NotRun});
				attempt.refusal = 'not-run';
				return attempt;
			}

			attempt.isDispatched = true;
			dispatches.set(requestId, (dispatches.get(requestId) ?? 0) + 1);
			await gatedClock.sleep(runMs);
			if (!isCrashed) {
				registry.finish(requestId, {state: ClaimState.Done, status: 200});
			}

			return attempt;
		};

		return {
			registry,
			gate,
			request,
			crash() {
				isCrashed = true;
				aborter.abort();
				gate.resume();
			},
		};
	};

	return {
		clock, random, memory, settings, start, tries, dispatches, late,
		createId: () => createRequestId(clock, random),
	};
};
