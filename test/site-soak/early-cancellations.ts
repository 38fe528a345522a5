/**
Callers who give up early: they hand a job in and cancel it at another entry before they know whether it was accepted. Some repeat the
submission at a third entry, which may come after the acknowledged cancellation.
*/
import {type Clock} from '../../src/types/clock.ts';
import {type Random} from '../../src/types/random.ts';
import {type Caller} from './caller.ts';
import {drawAbandonedJob} from './offered-jobs.ts';
import {type KnownJob, type PromiseChecker} from './promise-checker.ts';

/** Options of these callers. */
export type EarlyCancellationOptions = {
	clock: Clock;
	random: Random;
	checker: PromiseChecker;
	/** One for each entry. */
	callers: Caller[];
	signal: AbortSignal;
};

const intervalMs = 1000;
const maxCancelAfterMs = 1500;
const maxRepeatAfterMs = 3000;
const repeatShare = 0.5;

/** Submits and cancels jobs until the signal aborts. */
export const cancelEarly = async ({clock, random, checker, callers, signal}: EarlyCancellationOptions): Promise<void> => {
	const pending: Array<Promise<void>> = [];
	for (let first = 0; !signal.aborted; first++) {
		await clock.sleep(intervalMs, signal);
		const job: KnownJob = {...drawAbandonedJob(random), isAccepted: false, isRefusedOnly: false};
		checker.jobs.set(job.id, job);
		const [asked, other, third] = [0, 1, 2].map(index => callers[(first + index) % callers.length]!);
		const submitLater = async (afterMs: number): Promise<void> => {
			await clock.sleep(afterMs);
			await third!.submitOnce(job);
		};

		const cancelLater = async (afterMs: number): Promise<void> => {
			await clock.sleep(afterMs);
			await other!.cancel(job);
		};

		pending.push(asked!.submitOnce(job), cancelLater(random.below(maxCancelAfterMs)));
		if (random.next() < repeatShare) {
			pending.push(submitLater(random.below(maxRepeatAfterMs)));
		}
	}

	await Promise.all(pending);
};
